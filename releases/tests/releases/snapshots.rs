//! What can't be used is refused before anything is done.
use crate::sim::{Scenario, Simulation, plan, settings};
use decision::Time;
use releases::{
    BudgetLedger, FormatError, LedgerSnapshot, Members, PlanError, Release, ReleaseSnapshot, Version,
};

#[test]
fn unknown_version_or_unusable_setting_starts_no_release() {
    let routers = [("r0".to_string(), "z0".to_string())].into();
    let mut unknown = plan(&routers);
    unknown.target_version = Version::Program("9".into());
    assert_eq!(
        Release::new(unknown, settings()).unwrap_err(),
        PlanError::UnknownVersion(Version::Program("9".into()))
    );
    let mut slow = settings();
    slow.update_timeout = slow.lease;
    let refused = Release::new(plan(&routers), slow);
    assert!(matches!(refused, Err(PlanError::InvalidSetting { key: "moving", .. })));
    let mut without_zones = plan(&routers);
    without_zones.zone_order.clear();
    let refused = Release::new(without_zones, settings());
    assert!(matches!(refused, Err(PlanError::ZoneNotOrdered { .. })));
}

#[test]
fn snapshot_of_another_format_is_refused() {
    let mut simulation = Simulation::new(Scenario::calm(1));
    simulation.snapshot.format = 2;
    simulation.ledger_snapshot.format = 2;
    let refused = Release::restore(simulation.snapshot, &mut Vec::new());
    assert_eq!(refused.unwrap_err(), FormatError { found: 2 });
    assert!(BudgetLedger::restore(simulation.ledger_snapshot, Members::new(), Time(0)).is_err());
}

#[test]
fn snapshots_are_read_as_they_were_written() {
    let mut simulation = Simulation::new(Scenario::calm(10));
    simulation.run_until_out(3);
    let text = serde_json::to_string(&simulation.snapshot).unwrap();
    assert_eq!(serde_json::from_str::<ReleaseSnapshot>(&text).unwrap(), simulation.snapshot);
    let text = serde_json::to_string(&simulation.ledger_snapshot).unwrap();
    assert_eq!(serde_json::from_str::<LedgerSnapshot>(&text).unwrap(), simulation.ledger_snapshot);
}
