//! Tests that values in the store are decoded and encoded exactly as recorded before this package's
//! identifiers were renamed.
use crate::sim::{self, SECOND};
use releases::{
    DisruptionBudget, GrantId, HaltReason, LedgerSnapshot, Limit, Limits, Phase, ReleaseSnapshot,
    RequestStats, Reservation, RouterState, RouterStep, SNAPSHOT_FORMAT, Settings, Target, TargetKind,
    Version,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::fmt::Debug;

fn assert_stored_form<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, stored: &str) {
    let stored = stored.trim_end();
    assert_eq!(serde_json::from_str::<T>(stored).unwrap(), *value);
    assert_eq!(serde_json::to_string(value).unwrap(), stored);
}

fn budget() -> DisruptionBudget {
    DisruptionBudget {
        routers: Limits { fleet: Limit::Percent(10), zone: Limit::Count(12) },
        instances: Limits { fleet: Limit::Percent(5), zone: Limit::Count(3) },
    }
}

#[test]
fn stored_form_of_ledger_is_stable() {
    let reservation = |kind, name: &str, grant| Reservation {
        target: Target { kind, name: name.into() },
        zone: "z1".into(),
        owner: "release-7".into(),
        grant: GrantId(grant),
    };
    let ledger = LedgerSnapshot {
        format: SNAPSHOT_FORMAT,
        next_grant: GrantId(9),
        lease: 60 * SECOND,
        budget: budget(),
        reservations: vec![
            reservation(TargetKind::Router, "r001", 7),
            reservation(TargetKind::Instance, "i001", 8),
        ],
    };
    assert_stored_form(&ledger, include_str!("../fixtures/ledger.json"));
}

fn settings() -> Settings {
    Settings { max_lost_routers: 1, ..sim::settings() }
}

fn release(phase: Phase, last_good: Version, target_version: Version) -> ReleaseSnapshot {
    let steps = [
        RouterStep::Pending,
        RouterStep::Updating,
        RouterStep::Updated,
        RouterStep::Lost,
        RouterStep::RollingBack,
        RouterStep::RolledBack,
        RouterStep::RollbackFailed,
    ];
    let state = |(i, step): (usize, &RouterStep)| {
        let baseline = RequestStats { requests: 1000 + i as u64, errors: 2, latency_sum: 1_000_000 };
        (
            format!("r{i:03}"),
            RouterState { zone: format!("z{}", i % 2), step: *step, wave: i as u32, baseline },
        )
    };
    ReleaseSnapshot {
        format: SNAPSHOT_FORMAT,
        name: "release-7".into(),
        last_good,
        target_version,
        settings: settings(),
        zone_order: vec!["z1".into(), "z0".into()],
        phase,
        is_rollback: false,
        wave: 3,
        next_wave_size: 4,
        wave_zone: Some("z1".into()),
        wave_routers: BTreeSet::from(["r001".into(), "r002".into()]),
        routers: steps.iter().enumerate().map(state).collect(),
        incarnation: 2,
    }
}

#[test]
fn stored_form_of_program_release_is_stable() {
    let release = release(Phase::Running, Version::Program("1.0".into()), Version::Program("1.1".into()));
    assert_stored_form(&release, include_str!("../fixtures/release.json"));
}

#[test]
fn stored_form_of_configuration_release_is_stable() {
    let mut release =
        release(Phase::RollingBack, Version::Configuration(41), Version::Configuration(u64::MAX));
    (release.is_rollback, release.wave_zone) = (true, None);
    assert_stored_form(&release, include_str!("../fixtures/undo.json"));
}

#[test]
fn stored_form_of_phases_is_stable() {
    let names = || vec!["r001".to_string(), "r002".to_string()];
    let phases = vec![
        Phase::Running,
        Phase::Halted(HaltReason::Operator),
        Phase::Halted(HaltReason::Regressed(names())),
        Phase::Halted(HaltReason::FleetDegraded(names())),
        Phase::Halted(HaltReason::RoutersLost(names())),
        Phase::RollingBack,
        Phase::Completed,
        Phase::RolledBack,
    ];
    assert_stored_form(&phases, include_str!("../fixtures/phases.json"));
}
