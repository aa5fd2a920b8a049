//! Helpers shared by the tests of this package. Times are in microseconds.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]
use decision::Time;
use maintenance::{Action, EndpointChange, Event, Machine, MaintenanceMask, Settings};
use testkit::fixture::Fixtures;

pub(crate) const FIXTURES: Fixtures = testkit::fixtures!();
pub(crate) const SECOND: i64 = 1_000_000;
pub(crate) const SETTINGS: Settings = Settings { max_entries: 3, restored_retention: 30 * SECOND };

/// Creates an event with the complete endpoint list or with changes: each id, and whether it is listed.
pub(crate) fn endpoints(complete: bool, ids: &[(&str, bool)]) -> Event {
    let change = |(id, listed): &(&str, bool)| EndpointChange { id: id.to_string(), listed: *listed };
    Event::EndpointsUpdated { complete, changes: ids.iter().map(change).collect() }
}

/// Handles one event; returns the resulting actions.
pub(crate) fn handle(machine: &mut Machine, now: i64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    machine.handle(Time(now), event, &mut actions);
    actions
}

pub(crate) fn mask(in_maintenance: &[&str], restored: &[(&str, i64)]) -> MaintenanceMask {
    MaintenanceMask {
        in_maintenance: in_maintenance.iter().map(ToString::to_string).collect(),
        restored_at: restored.iter().map(|(id, at)| (id.to_string(), Time(*at))).collect(),
    }
}
