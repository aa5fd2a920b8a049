//! The parameters of a simulation.
use decision::Micros;
use releases::{
    DisruptionBudget, HealthSettings, Limit, Limits, Plan, Settings, Target, TargetKind, Version,
};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) const SECOND: Micros = 1_000_000;

/// A fault in the simulated program, which the checker must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum InjectedFault {
    None,
    /// A reservation is returned when the update starts.
    ReturnedEarly,
    /// The ledger's clock runs ten times too fast.
    LeaseShortened,
    /// Waves start without waiting for the health of the previous one.
    HealthIgnored,
    /// A rollback proceeds without reservations from the ledger.
    RollbackOutsideBudget,
}

/// A fault of the target version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BadVersion {
    /// The fault occurs when at least this many routers run the version.
    pub(crate) from_routers: usize,
    /// The zone in which the fault occurs; `None` for all zones.
    pub(crate) zone: Option<usize>,
    /// The additional error rate.
    pub(crate) error_rate: f64,
}

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) zones: usize,
    pub(crate) routers: usize,
    pub(crate) instances: usize,
}

/// Faults of messages, as probabilities per message.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageFaults {
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
}

/// Random events in a fleet, as probabilities per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Incidents {
    pub(crate) leader_loss: f64,
    pub(crate) disconnection: f64,
    pub(crate) router_failure: f64,
    pub(crate) drain: f64,
    pub(crate) budget_change: f64,
}

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) size: FleetSize,
    pub(crate) budget: DisruptionBudget,
    pub(crate) settings: Settings,
    pub(crate) bad_version: Option<BadVersion>,
    pub(crate) message_faults: MessageFaults,
    pub(crate) incidents: Incidents,
    /// The probability that the driver is killed, for each event that results in actions.
    pub(crate) driver_kill: f64,
    /// The probability that a router fails during an update.
    pub(crate) update_failure: f64,
    /// When the operator rolls the release back.
    pub(crate) roll_back_at: Option<Micros>,
    /// Whether the operator rolls back after a halt for worse statistics and resumes after any other halt.
    pub(crate) operator_reacts: bool,
    pub(crate) injected_fault: InjectedFault,
    pub(crate) until: Micros,
}

impl Scenario {
    /// A small fleet without faults.
    pub(crate) fn without_faults(seed: u64) -> Scenario {
        Scenario {
            seed,
            size: FleetSize { zones: 3, routers: 15, instances: 9 },
            budget: DisruptionBudget {
                routers: limits(Limit::Count(4), Limit::Count(2)),
                instances: limits(Limit::Count(3), Limit::Count(1)),
            },
            settings: settings(),
            bad_version: None,
            message_faults: MessageFaults::default(),
            incidents: Incidents::default(),
            driver_kill: 0.0,
            update_failure: 0.0,
            roll_back_at: None,
            operator_reacts: true,
            injected_fault: InjectedFault::None,
            until: 3600 * SECOND,
        }
    }

    /// A small fleet with faults of all kinds.
    pub(crate) fn with_faults(seed: u64) -> Scenario {
        Scenario {
            message_faults: MessageFaults { loss: 0.02, duplication: 0.05 },
            incidents: Incidents {
                leader_loss: 0.02,
                disconnection: 0.01,
                router_failure: 0.0,
                drain: 0.3,
                budget_change: 0.02,
            },
            driver_kill: 0.01,
            ..Scenario::without_faults(seed)
        }
    }
}

pub(crate) fn limits(fleet: Limit, zone: Limit) -> Limits {
    Limits { fleet, zone }
}

pub(crate) fn settings() -> Settings {
    Settings {
        wave_growth: 2,
        max_wave_size: 32,
        lease: 60 * SECOND,
        update_timeout: 30 * SECOND,
        retry_interval: SECOND,
        max_lost_routers: 0,
        health: HealthSettings {
            min_requests: 500,
            max_error_rate_increase: 0.01,
            max_latency_factor: 1.5,
            observation_time: 15 * SECOND,
            health_timeout: 90 * SECOND,
        },
    }
}

pub(crate) fn last_good() -> Version {
    Version::Program("1".into())
}

pub(crate) fn target_version() -> Version {
    Version::Program("2".into())
}

pub(crate) fn target(kind: TargetKind, name: &str) -> Target {
    Target { kind, name: name.into() }
}

/// A plan for these routers, each with its zone; zones are updated in alphabetical order.
pub(crate) fn plan(routers: &BTreeMap<String, String>) -> Plan {
    Plan {
        name: super::RELEASE.into(),
        last_good: last_good(),
        target_version: target_version(),
        known_versions: BTreeSet::from([last_good(), target_version()]),
        zone_order: routers.values().cloned().collect::<BTreeSet<_>>().into_iter().collect(),
        routers: routers.clone(),
    }
}
