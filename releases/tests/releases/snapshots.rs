//! Tests that invalid plans, settings and snapshots are rejected before any action.
use crate::sim::{Scenario, Simulation, plan, settings};
use decision::Time;
use releases::{
    BudgetLedger, FormatError, LedgerSnapshot, Members, PlanError, Release, ReleaseSnapshot, Version,
};

#[test]
fn unknown_version_or_invalid_setting_is_rejected() {
    let routers = [("r0".to_string(), "z0".to_string())].into();
    let mut with_unknown_version = plan(&routers);
    with_unknown_version.target_version = Version::Program("9".into());
    assert_eq!(
        Release::new(with_unknown_version, settings()).unwrap_err(),
        PlanError::UnknownVersion(Version::Program("9".into()))
    );
    let mut with_long_timeout = settings();
    with_long_timeout.update_timeout = with_long_timeout.lease;
    let result = Release::new(plan(&routers), with_long_timeout);
    assert!(matches!(result, Err(PlanError::InvalidSetting { key: "moving", .. })));
    let mut without_zones = plan(&routers);
    without_zones.zone_order.clear();
    let result = Release::new(without_zones, settings());
    assert!(matches!(result, Err(PlanError::ZoneNotOrdered { .. })));
}

#[test]
fn snapshot_with_other_format_is_rejected() {
    let mut simulation = Simulation::new(Scenario::without_faults(1));
    simulation.snapshot.format = 2;
    simulation.ledger_snapshot.format = 2;
    let result = Release::restore(simulation.snapshot, &mut Vec::new());
    assert_eq!(result.unwrap_err(), FormatError { found: 2 });
    assert!(BudgetLedger::restore(simulation.ledger_snapshot, Members::new(), Time(0)).is_err());
}

#[test]
fn snapshots_round_trip() {
    let mut simulation = Simulation::new(Scenario::without_faults(10));
    simulation.run_until_out(3);
    let text = serde_json::to_string(&simulation.snapshot).unwrap();
    assert_eq!(serde_json::from_str::<ReleaseSnapshot>(&text).unwrap(), simulation.snapshot);
    let text = serde_json::to_string(&simulation.ledger_snapshot).unwrap();
    assert_eq!(serde_json::from_str::<LedgerSnapshot>(&text).unwrap(), simulation.ledger_snapshot);
}
