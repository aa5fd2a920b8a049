//! Helpers for the tests of the registry's state machine.
use decision::Time;
use registry::machine::{Action, Event, Item, Machine, Settings};

/// A second in microseconds, the unit of the state machine's times.
pub(crate) const SECOND: i64 = 1_000_000;

pub(crate) fn item(key: &str, value: &str, created: u64, modified: u64) -> Item {
    Item { key: key.into(), value: value.into(), created, modified }
}

/// A state machine that considers the registry restored after its members have been behind for ten seconds.
pub(crate) fn machine() -> Machine {
    Machine::new(Settings { restored_after: 10 * SECOND, max_tombstones: 16 })
}

/// Passes an event to the state machine, and returns its actions.
pub(crate) fn handle(machine: &mut Machine, at: i64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    machine.handle(Time(at), event, &mut actions);
    actions
}

pub(crate) fn member_reached(endpoint: usize, revision: u64) -> Event {
    Event::MemberReached { endpoint, cluster: 7, revision }
}

pub(crate) fn snapshot(endpoint: usize, revision: u64, items: &[Item]) -> Event {
    Event::Snapshot { endpoint, cluster: 7, revision, items: items.to_vec() }
}
