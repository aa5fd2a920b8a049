//! Description of a run: the fleet, its load and its faults, read from a TOML file. Unknown keys are errors.
use crate::fault::{Fault, InjectedBug};
use serde::{Deserialize, Serialize};

/// A run to be simulated.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Name of the plan.
    pub name: String,
    /// Seed of every random number.
    pub seed: u64,
    /// Length of the run in seconds; requests of its last seconds are still played to their end.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Seconds from the start that are not counted.
    pub warmup_s: f64,
    /// Number of routers, distributed over the zones.
    pub routers: usize,
    /// Number of routers that share sessions with each other.
    #[serde(rename = "cluster")]
    pub cluster_size: usize,
    /// Number of replication groups.
    pub groups: usize,
    /// Replicas of each group, beside its primary.
    pub replicas: usize,
    /// Number of zones, over which the nodes of a group are distributed.
    #[serde(rename = "halls")]
    pub zones: usize,
    /// Requests that a node serves at the same time.
    pub cores: usize,
    /// Requests that wait at a node before it rejects one.
    #[serde(rename = "queue")]
    pub queue_capacity: usize,
    /// Connections that a node accepts.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Requests a second, over all routers.
    #[serde(rename = "rate")]
    pub request_rate: f64,
    /// Number of sessions, over all groups.
    #[serde(rename = "sessions")]
    pub session_count: u64,
    /// How often a client retries a rejected request.
    #[serde(rename = "client_tries")]
    pub client_retries: u32,
    /// Initial backoff of a client whose rejection names no time to retry after, in milliseconds.
    #[serde(rename = "client_pause_ms")]
    pub client_backoff_ms: f64,
    /// One-way network delay within a zone, in milliseconds.
    #[serde(rename = "near_ms")]
    pub same_zone_delay_ms: f64,
    /// One-way network delay between zones, in milliseconds.
    #[serde(rename = "far_ms")]
    pub cross_zone_delay_ms: f64,
    /// Time to establish a connection beside the network's delay, in milliseconds.
    pub handshake_ms: f64,
    /// Time after which an idle connection is closed, in milliseconds.
    #[serde(rename = "link_idle_ms")]
    pub idle_connection_timeout_ms: f64,
    /// Time from a commit to its arrival at a replica, in milliseconds.
    #[serde(rename = "ship_ms")]
    pub replication_delay_ms: f64,
    /// Time that a replica's single thread needs to apply a commit, in microseconds.
    pub apply_us: f64,
    /// Time from a primary's crash to the promotion of a replica, in milliseconds.
    #[serde(rename = "handover_ms")]
    pub failover_ms: f64,
    /// Time from a write to the registry to its watch event at a router, in milliseconds.
    #[serde(rename = "news_ms")]
    pub watch_delay_ms: f64,
    /// Share of its capacity that a restarted node has at first.
    #[serde(rename = "cold_from")]
    pub slow_start_initial_share: f64,
    /// Time until a restarted node has its full capacity, in seconds.
    #[serde(rename = "cold_s")]
    pub slow_start_s: f64,
    /// A warming-up node crashes when it receives more than this multiple of its present capacity in a second.
    pub overload_factor: f64,
    /// Attempts that one request may have.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Longest retry-after that a rejection names, in milliseconds; 0 for none.
    #[serde(rename = "come_back_ms")]
    pub max_retry_after_ms: f64,
    /// Request classes.
    #[serde(rename = "class")]
    pub classes: Vec<ClassPlan>,
    /// Faults.
    #[serde(rename = "trouble")]
    pub faults: Vec<Fault>,
    /// Bug of the routers that the checker is expected to find.
    #[serde(rename = "plant")]
    pub injected_bug: Option<InjectedBug>,
}

/// A class of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// Name of the class.
    pub name: String,
    /// `write`, `fresh`, `session`, `bounded` or `any`.
    pub freshness: String,
    /// Greatest age of the data read, in milliseconds; for `bounded`.
    #[serde(default, rename = "bound_ms")]
    pub max_staleness_ms: f64,
    /// Whether a request may be executed more than once.
    #[serde(default, rename = "safe")]
    pub idempotent: bool,
    /// Latency up to which a response counts as in time, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Time that clients wait for a response, in milliseconds.
    pub deadline_ms: f64,
    /// Mean time on a node's core, in milliseconds.
    #[serde(rename = "work_ms")]
    pub service_ms: f64,
    /// Share of the load, relative to the other classes.
    #[serde(rename = "share")]
    pub load_share: f64,
}

/// Value of [`ClassPlan::freshness`] for writes.
pub(crate) const WRITE: &str = "write";

impl ClassPlan {
    /// Whether its requests write.
    pub fn is_write(&self) -> bool {
        self.freshness == WRITE
    }
}

impl Plan {
    /// Requests a second that the cores of all nodes can serve together.
    pub fn capacity(&self) -> f64 {
        let share: f64 = self.classes.iter().map(|class| class.load_share).sum();
        let work: f64 = self.classes.iter().map(|class| class.load_share * class.service_ms).sum::<f64>()
            / share.max(1e-9);
        (self.groups * (self.replicas + 1) * self.cores) as f64 * 1000.0 / work
    }
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            name: "plan".into(),
            seed: 1,
            duration_s: 20.0,
            warmup_s: 2.0,
            routers: 6,
            cluster_size: 3,
            groups: 4,
            replicas: 2,
            zones: 3,
            cores: 4,
            queue_capacity: 64,
            max_connections: 500,
            request_rate: 2000.0,
            session_count: 2000,
            client_retries: 3,
            client_backoff_ms: 50.0,
            same_zone_delay_ms: 0.2,
            cross_zone_delay_ms: 0.8,
            handshake_ms: 1.0,
            idle_connection_timeout_ms: 1500.0,
            replication_delay_ms: 5.0,
            apply_us: 200.0,
            failover_ms: 1500.0,
            watch_delay_ms: 20.0,
            slow_start_initial_share: 0.25,
            slow_start_s: 10.0,
            overload_factor: 3.0,
            max_attempts: 6,
            max_retry_after_ms: 500.0,
            classes: vec![
                default_class("basket-read", "session", 3.0, 5.0),
                default_class("stock-check", "bounded", 2.0, 3.0),
                default_class("catalogue", "any", 4.0, 6.0),
                default_class("order-place", WRITE, 4.0, 1.0),
            ],
            faults: Vec::new(),
            injected_bug: None,
        }
    }
}

fn default_class(name: &str, freshness: &str, service_ms: f64, load_share: f64) -> ClassPlan {
    ClassPlan {
        name: name.into(),
        freshness: freshness.into(),
        max_staleness_ms: 1000.0,
        idempotent: freshness != WRITE,
        latency_objective_ms: 200.0,
        deadline_ms: 800.0,
        service_ms,
        load_share,
    }
}
