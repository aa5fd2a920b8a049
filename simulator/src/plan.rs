//! What is played: the fleet, its load and its troubles, from a TOML file. Unknown keys are errors.
use decision::{Class, Freshness, Idempotency, LaggingReplica, SessionCommitSource, Settings};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Seed of every random number.
    pub seed: u64,
    /// How long it is played, in seconds; what is asked in the last deadline of it is played to its end.
    pub seconds: f64,
    /// Counting begins then.
    pub warmup_s: f64,
    /// Routers, dealt over the halls.
    pub routers: usize,
    /// Routers that share sessions with each other.
    pub cluster: usize,
    /// Groups.
    pub groups: usize,
    /// Replicas of each, beside the primary.
    pub replicas: usize,
    /// Halls, over which a group's nodes are dealt.
    pub halls: usize,
    /// Requests a second that each node can serve at once.
    pub cores: usize,
    /// Requests that wait at a node before it turns one away.
    pub queue: usize,
    /// Connections that a node takes.
    pub connections: usize,
    /// Requests a second, over all routers.
    pub rate: f64,
    /// Sessions, over all groups.
    pub sessions: u64,
    /// How often a client asks again after a refusal.
    pub client_tries: u32,
    /// A client's pause where the answer names none.
    pub client_pause_ms: f64,
    /// One way within a hall, and between halls.
    pub near_ms: f64,
    /// One way between halls.
    pub far_ms: f64,
    /// What making a connection takes beside the way, and a node's core.
    pub handshake_ms: f64,
    /// An idle connection is closed after this.
    pub link_idle_ms: f64,
    /// From a commit to its coming at a replica.
    pub ship_ms: f64,
    /// What a replica's single thread needs to apply a commit.
    pub apply_us: f64,
    /// From a primary's death to its successor's taking over.
    pub handover_ms: f64,
    /// From the registry's write to a router's hearing.
    pub news_ms: f64,
    /// A started node has this share of its capacity
    pub cold_from: f64,
    /// and all of it after this.
    pub cold_s: f64,
    /// Sent more than this multiple of its present capacity for a second, a cold node falls over.
    pub overload_factor: f64,
    /// Attempts that one request may have.
    pub attempts: u32,
    /// Refusals name a time to come back, up to this; 0 for none.
    pub come_back_ms: f64,
    /// Classes.
    pub class: Vec<ClassPlan>,
    /// Troubles.
    pub trouble: Vec<Trouble>,
    /// A fault of the routers, planted to see that the checkers find it.
    pub plant: Option<Plant>,
}

/// A class of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// Its name.
    pub name: String,
    /// `write`, `fresh`, `session`, `bounded` or `any`.
    pub freshness: String,
    /// Oldest data, for `bounded`.
    #[serde(default)]
    pub bound_ms: f64,
    /// A repeat is harmless.
    #[serde(default)]
    pub safe: bool,
    /// Full worth within this.
    pub aim_ms: f64,
    /// Clients wait so long.
    pub deadline_ms: f64,
    /// A core's time for one, on average.
    pub work_ms: f64,
    /// Its part of the load, against the other classes'.
    pub share: f64,
}

/// Something that goes wrong, for a while.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What.
    pub kind: Kind,
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts.
    #[serde(default)]
    pub for_s: f64,
    /// How many nodes or routers it meets; all of the kind where it is 0.
    #[serde(default = "one")]
    pub count: usize,
    /// How bad it is: a factor, or a share.
    #[serde(default = "ten")]
    pub by: f64,
}

fn one() -> usize {
    1
}

fn ten() -> f64 {
    10.0
}

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Primaries die: connections are refused, and a successor takes over.
    CrashPrimary,
    /// Replicas die and start again, cold.
    CrashReplica,
    /// Every node of one hall dies and starts again, cold.
    CrashHall,
    /// Replicas answer nothing and keep their connections.
    Hang,
    /// Replicas answer every request with an error, at once.
    FastErrors,
    /// Nodes are slower by the factor: a crowded neighbour.
    Slow,
    /// Replicas answer that share of requests ten times as slowly.
    Gray,
    /// Applying, and writes, are slower by the factor: a slow disk.
    SlowDisk,
    /// One hall is cut off from the others.
    Partition,
    /// The registry tells nothing new.
    RegistryOutage,
    /// Replicas are marked draining, and put back.
    Drain,
    /// Routers are killed and start again.
    RestartRouters,
    /// Every connection breaks at once.
    Reconnect,
    /// The load is multiplied by the factor.
    Surge,
}

/// Faults that can be planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Plant {
    /// Reads of sessions need nothing.
    ForgetSessions,
    /// News of the list is not passed on.
    IgnoreDrains,
    /// A connection that broke is taken for one that never came up.
    DenyResets,
}

impl Default for Plan {
    fn default() -> Self {
        let class = |name: &str, freshness: &str, safe, work_ms, share| ClassPlan {
            name: name.into(),
            freshness: freshness.into(),
            bound_ms: 1000.0,
            safe,
            aim_ms: 200.0,
            deadline_ms: 800.0,
            work_ms,
            share,
        };
        Plan {
            name: "plan".into(),
            seed: 1,
            seconds: 20.0,
            warmup_s: 2.0,
            routers: 6,
            cluster: 3,
            groups: 4,
            replicas: 2,
            halls: 3,
            cores: 4,
            queue: 64,
            connections: 500,
            rate: 2000.0,
            sessions: 2000,
            client_tries: 3,
            client_pause_ms: 50.0,
            near_ms: 0.2,
            far_ms: 0.8,
            handshake_ms: 1.0,
            link_idle_ms: 1500.0,
            ship_ms: 5.0,
            apply_us: 200.0,
            handover_ms: 1500.0,
            news_ms: 20.0,
            cold_from: 0.25,
            cold_s: 10.0,
            overload_factor: 3.0,
            attempts: 6,
            come_back_ms: 500.0,
            class: vec![
                class("basket-read", "session", true, 3.0, 5.0),
                class("stock-check", "bounded", true, 2.0, 3.0),
                class("catalogue", "any", true, 4.0, 6.0),
                class("order-place", "write", false, 4.0, 1.0),
            ],
            trouble: Vec::new(),
            plant: None,
        }
    }
}

/// Why a plan can't be played; each names the key.
#[derive(Debug, Error)]
pub enum PlanError {
    /// It is no TOML, or no plan.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A key that must be above 0 is not.
    #[error("expected more than 0 in '{0}', found {1}")]
    Positive(&'static str, f64),
    /// Nothing is left to be counted behind the warm-up.
    #[error("expected 'warmup_s' to be less than 'seconds', found {0} and {1}")]
    Warmup(f64, f64),
    /// Nobody asks anything.
    #[error("expected a class: give a [[class]]")]
    NoClass,
    /// A class whose work, share or times can't be.
    #[error("class {0}: expected work_ms > 0, share >= 0, 0 < aim_ms <= deadline_ms")]
    Times(String),
    /// A class of writes that may run twice.
    #[error("class {0}: expected safe = false with writes")]
    SafeWrite(String),
    /// A class whose need is not known.
    #[error("class {0}: expected write, fresh, session, bounded or any in 'freshness', found '{1}'")]
    Freshness(String, String),
}

impl Plan {
    /// Reads a plan, and checks it.
    pub fn read(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = toml::from_str(text)?;
        plan.check()?;
        Ok(plan)
    }

    /// What can't be played is named.
    pub fn check(&self) -> Result<(), PlanError> {
        let positive = [
            ("seconds", self.seconds),
            ("rate", self.rate),
            ("routers", self.routers as f64),
            ("groups", self.groups as f64),
            ("halls", self.halls as f64),
            ("cores", self.cores as f64),
            ("cluster", self.cluster as f64),
            ("sessions", self.sessions as f64),
            ("near_ms", self.near_ms),
            ("far_ms", self.far_ms),
        ];
        if let Some((key, x)) = positive.iter().find(|(_, x)| !(x.is_finite() && *x > 0.0)) {
            return Err(PlanError::Positive(key, *x));
        }
        if self.warmup_s >= self.seconds {
            return Err(PlanError::Warmup(self.warmup_s, self.seconds));
        }
        if self.class.is_empty() {
            return Err(PlanError::NoClass);
        }
        for c in &self.class {
            c.freshness()?;
            if !(c.work_ms > 0.0 && c.share >= 0.0 && c.aim_ms > 0.0 && c.aim_ms <= c.deadline_ms) {
                return Err(PlanError::Times(c.name.clone()));
            }
            if c.safe && c.freshness == "write" {
                return Err(PlanError::SafeWrite(c.name.clone()));
            }
        }
        Ok(())
    }

    /// What the module is told.
    pub fn settings(&self, hall: usize) -> Settings {
        let us = |ms: f64| (ms * 1000.0) as i64;
        let class = |c: &ClassPlan| Class {
            freshness: c.freshness().unwrap_or(Freshness::Latest),
            idempotency: if c.safe { Idempotency::Idempotent } else { Idempotency::NotIdempotent },
            latency_objective: us(c.aim_ms),
            deadline: us(c.deadline_ms),
            priority_weight: 1.0,
            late_weight_share: 0.5,
        };
        Settings {
            classes: self.class.iter().map(class).collect(),
            tenant_rates: vec![],
            over_quota_weight: 1.0,
            router_count: self.routers as u32,
            zone: hall as u32,
            min_event_interval: 5000,
            lagging_replica: LaggingReplica::AnswersStale,
            session_commit_source: SessionCommitSource::CarriedByRequest,
            hedging_allowed: true,
            max_attempts: self.attempts,
            cancel_allowed: true,
            probing_allowed: true,
            probe_cost: 0.0,
            max_retry_after: (self.come_back_ms > 0.0).then(|| us(self.come_back_ms)),
            connect_timeout: 250_000,
            drain_grace: 250_000,
            missing_members_may_serve: false,
            slow_start_initial_share: self.cold_from,
            slow_start_duration: us(self.cold_s * 1000.0),
            overload_factor: self.overload_factor,
            overload_duration: 1_000_000,
            list_requires_subscription: false,
        }
    }

    /// Requests a second that the fleet's cores can serve, all nodes alike.
    pub fn capacity(&self) -> f64 {
        let share: f64 = self.class.iter().map(|c| c.share).sum();
        let work: f64 = self.class.iter().map(|c| c.share * c.work_ms).sum::<f64>() / share.max(1e-9);
        (self.groups * (self.replicas + 1) * self.cores) as f64 * 1000.0 / work
    }
}

impl ClassPlan {
    /// What its requests need.
    pub fn freshness(&self) -> Result<Freshness, PlanError> {
        Ok(match self.freshness.as_str() {
            "write" => Freshness::Write,
            "fresh" => Freshness::Latest,
            "session" => Freshness::Session,
            "bounded" => Freshness::Bounded((self.bound_ms * 1000.0) as i64),
            "any" => Freshness::Any,
            x => {
                return Err(PlanError::Freshness(self.name.clone(), x.into()));
            }
        })
    }
}
