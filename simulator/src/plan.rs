//! Plan of a simulation run: the fleet, its load and its faults, parsed from TOML. Unknown keys are errors.
use crate::fault::{Fault, InjectedBug};
use serde::{Deserialize, Serialize};

/// Plan of a simulation run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Name of the plan.
    pub name: String,
    /// Seed of the generator that all random numbers are drawn from.
    pub seed: u64,
    /// Length of the run in seconds. Clients make no requests after the end of the run, but requests in
    /// progress are simulated to their end.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Length of the warm-up in seconds: requests that clients make during the warm-up are not counted.
    pub warmup_s: f64,
    /// Number of routers, distributed over the zones.
    pub routers: usize,
    /// Number of routers in a session cluster, whose members replicate their sessions to each other.
    #[serde(rename = "cluster")]
    pub cluster_size: usize,
    /// Number of replication groups.
    pub groups: usize,
    /// Number of replicas in each group, in addition to the primary.
    pub replicas: usize,
    /// Number of zones that the nodes of each group are distributed over.
    #[serde(rename = "halls")]
    pub zones: usize,
    /// Number of cores of a node, each of which serves one request at a time.
    pub cores: usize,
    /// Maximum number of requests in a node's queue; the node rejects further requests.
    #[serde(rename = "queue")]
    pub queue_capacity: usize,
    /// Maximum number of connections that a node accepts.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Requests per second, over all routers.
    #[serde(rename = "rate")]
    pub request_rate: f64,
    /// Number of sessions, over all groups.
    #[serde(rename = "sessions")]
    pub session_count: u64,
    /// Maximum number of times that a client retries a rejected request.
    #[serde(rename = "client_tries")]
    pub client_retries: u32,
    /// Initial backoff of a client after a rejection without a retry-after, in milliseconds.
    #[serde(rename = "client_pause_ms")]
    pub client_backoff_ms: f64,
    /// One-way network delay within a zone, in milliseconds.
    #[serde(rename = "near_ms")]
    pub same_zone_delay_ms: f64,
    /// One-way network delay between zones, in milliseconds.
    #[serde(rename = "far_ms")]
    pub cross_zone_delay_ms: f64,
    /// Time that a connection's handshake takes in addition to the network delay, in milliseconds.
    pub handshake_ms: f64,
    /// Time after which an idle connection is closed, in milliseconds.
    #[serde(rename = "link_idle_ms")]
    pub idle_connection_timeout_ms: f64,
    /// Time from a commit on the primary until a replica has received it, in milliseconds.
    #[serde(rename = "ship_ms")]
    pub replication_delay_ms: f64,
    /// Time that a replica's single thread takes to apply a commit, in microseconds.
    pub apply_us: f64,
    /// Time from a primary's crash until a replica is promoted, in milliseconds.
    #[serde(rename = "handover_ms")]
    pub failover_ms: f64,
    /// Time from a change in the registry until a router receives the watch event, in milliseconds.
    #[serde(rename = "news_ms")]
    pub watch_delay_ms: f64,
    /// Share of its full capacity that a node has just after a restart.
    #[serde(rename = "cold_from")]
    pub slow_start_initial_share: f64,
    /// Time after a restart until a node has its full capacity, in seconds.
    #[serde(rename = "cold_s")]
    pub slow_start_s: f64,
    /// A node that warms up crashes if it receives, within a second, more than this multiple of the requests
    /// that its current capacity can serve.
    pub overload_factor: f64,
    /// Maximum number of attempts of one request.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Longest retry-after that a router sends with a rejection, in milliseconds; 0 for none.
    #[serde(rename = "come_back_ms")]
    pub max_retry_after_ms: f64,
    /// Request classes of the load.
    #[serde(rename = "class")]
    pub classes: Vec<ClassPlan>,
    /// Faults that are injected during the run.
    #[serde(rename = "trouble")]
    pub faults: Vec<Fault>,
    /// Bug to inject into the routers, which the checker is expected to find.
    #[serde(rename = "plant")]
    pub injected_bug: Option<InjectedBug>,
}

/// A request class of the load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// Name of the request class.
    pub name: String,
    /// Required freshness: `write`, `fresh`, `session`, `bounded` or `any`.
    pub freshness: String,
    /// Maximum staleness of the data read, in milliseconds; applies to `bounded` only.
    #[serde(default, rename = "bound_ms")]
    pub max_staleness_ms: f64,
    /// Whether requests of the class may be executed more than once.
    #[serde(default, rename = "safe")]
    pub idempotent: bool,
    /// Latency objective, in milliseconds: up to it, a response counts as in time.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Time after which a client no longer waits for the response, in milliseconds.
    pub deadline_ms: f64,
    /// Mean time that a node's core takes to serve a request, in milliseconds.
    #[serde(rename = "work_ms")]
    pub service_ms: f64,
    /// Weight of the class in the load, relative to the other classes.
    #[serde(rename = "share")]
    pub load_share: f64,
}

/// Value of [`ClassPlan::freshness`] for writes.
pub(crate) const WRITE: &str = "write";

impl ClassPlan {
    /// Whether requests of the class are writes.
    pub fn is_write(&self) -> bool {
        self.freshness == WRITE
    }
}

impl Plan {
    /// Requests per second that the cores of all nodes can serve together.
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
