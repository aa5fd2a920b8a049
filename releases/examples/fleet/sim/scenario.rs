//! What a simulation is run with.
use decision::Micros;
use releases::{
    DisruptionBudget, HealthSettings, Limit, Limits, Plan, Settings, Target, TargetKind, Version,
};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) const SECOND: Micros = 1_000_000;

/// A fault of the wiring, which the checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum InjectedFault {
    None,
    /// A reservation is returned as the update starts.
    ReturnedEarly,
    /// The ledger's clock runs ten times too fast.
    LeaseShortened,
    /// Waves do not wait for health.
    HealthIgnored,
    /// A rollback grants its reservations itself.
    RollbackOutsideBudget,
}

/// What is wrong with the target version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BadVersion {
    /// It shows once this many routers run the version.
    pub(crate) from_routers: usize,
    /// In this zone only, or in all.
    pub(crate) zone: Option<usize>,
    /// Additional error rate.
    pub(crate) error_rate: f64,
}

/// How large a fleet is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) zones: usize,
    pub(crate) routers: usize,
    pub(crate) instances: usize,
}

/// What happens to messages; probabilities for each message.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageFaults {
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
}

/// What happens to a fleet by itself; probabilities for each second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Incidents {
    pub(crate) leader_loss: f64,
    pub(crate) disconnection: f64,
    pub(crate) router_death: f64,
    pub(crate) drain: f64,
    pub(crate) budget_change: f64,
}

/// What a simulation is run with.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) size: FleetSize,
    pub(crate) budget: DisruptionBudget,
    pub(crate) settings: Settings,
    pub(crate) bad_version: Option<BadVersion>,
    pub(crate) message_faults: MessageFaults,
    pub(crate) incidents: Incidents,
    /// Probability that the driver is killed, for each event that makes it act.
    pub(crate) driver_kill: f64,
    /// Probability that a router does not come back, for each update.
    pub(crate) update_death: f64,
    /// When the operator rolls back.
    pub(crate) roll_back_at: Option<Micros>,
    /// Whether the operator rolls back after a halt for worse statistics and resumes after any other.
    pub(crate) operator_reacts: bool,
    pub(crate) injected_fault: InjectedFault,
    pub(crate) until: Micros,
}

impl Scenario {
    /// A small fleet without faults.
    pub(crate) fn calm(seed: u64) -> Scenario {
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
            update_death: 0.0,
            roll_back_at: None,
            operator_reacts: true,
            injected_fault: InjectedFault::None,
            until: 3600 * SECOND,
        }
    }

    /// A small fleet with faults of all kinds.
    pub(crate) fn stormy(seed: u64) -> Scenario {
        Scenario {
            message_faults: MessageFaults { loss: 0.02, duplication: 0.05 },
            incidents: Incidents {
                leader_loss: 0.02,
                disconnection: 0.01,
                router_death: 0.0,
                drain: 0.3,
                budget_change: 0.02,
            },
            driver_kill: 0.01,
            ..Scenario::calm(seed)
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
