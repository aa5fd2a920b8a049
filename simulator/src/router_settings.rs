//! Settings of the `decision` state machine in a simulated router.
use crate::plan::{ClassPlan, Plan};
use crate::times::{CONNECT_TIMEOUT, DRAIN_GRACE, SECOND, from_milliseconds, from_seconds};
use decision::{Class, Freshness, Idempotency, LaggingReplica, SessionCommitSource, Settings};

/// Shortest time between two timer events of the decision state machine, in microseconds.
const MIN_EVENT_INTERVAL: i64 = 5000;
/// Time over which the decision state machine detects overload, in microseconds.
const OVERLOAD_DURATION: i64 = SECOND;

impl Plan {
    /// Settings of the decision state machine in a router of the given zone.
    pub(crate) fn router_settings(&self, zone: usize) -> Settings {
        Settings {
            classes: self.classes.iter().map(ClassPlan::decision_class).collect(),
            tenant_rates: vec![],
            over_quota_weight: 1.0,
            router_count: self.routers as u32,
            zone: zone as u32,
            min_event_interval: MIN_EVENT_INTERVAL,
            lagging_replica: LaggingReplica::AnswersStale,
            session_commit_source: SessionCommitSource::CarriedByRequest,
            hedging_allowed: true,
            max_attempts: self.max_attempts,
            cancel_allowed: true,
            probing_allowed: true,
            probe_cost: 0.0,
            max_retry_after: (self.max_retry_after_ms > 0.0)
                .then(|| from_milliseconds(self.max_retry_after_ms)),
            connect_timeout: CONNECT_TIMEOUT,
            drain_grace: DRAIN_GRACE,
            missing_members_may_serve: false,
            slow_start_initial_share: self.slow_start_initial_share,
            slow_start_duration: from_seconds(self.slow_start_s),
            overload_factor: self.overload_factor,
            overload_duration: OVERLOAD_DURATION,
            list_requires_subscription: false,
        }
    }
}

impl ClassPlan {
    fn decision_class(&self) -> Class {
        Class {
            freshness: self.required_freshness().unwrap_or(Freshness::Latest),
            idempotency: if self.idempotent { Idempotency::Idempotent } else { Idempotency::NotIdempotent },
            latency_objective: from_milliseconds(self.latency_objective_ms),
            deadline: from_milliseconds(self.deadline_ms),
            priority_weight: 1.0,
            late_weight_share: 0.5,
        }
    }
}
