//! Tests of the state machine: each rule of the operators' documentation.
mod common;

use common::{SECOND, SETTINGS, endpoints, handle, mask};
use decision::Time;
use maintenance::{Action, Event, Machine, MaintenanceEntry, MaintenanceError, State};

fn suspend(machine: &mut Machine, now: i64, id: &str) -> Vec<Action> {
    handle(machine, now, Event::Suspend(id.into()))
}

fn restore(machine: &mut Machine, now: i64, id: &str) -> Vec<Action> {
    handle(machine, now, Event::Restore(id.into()))
}

fn accepted() -> Action {
    Action::Respond(Ok(()))
}

fn rejected(error: MaintenanceError) -> [Action; 1] {
    [Action::Respond(Err(error))]
}

fn not_listed(id: &str, listed_count: usize) -> [Action; 1] {
    rejected(MaintenanceError::NotListed { id: id.into(), listed_count })
}

fn not_in_maintenance(id: &str, entry_count: usize) -> [Action; 1] {
    rejected(MaintenanceError::NotInMaintenance { id: id.into(), entry_count })
}

/// Creates a machine with the listed endpoints `a` to `d`.
fn machine_with_endpoints() -> Machine {
    let mut machine = Machine::new(SETTINGS, State::default());
    let event = endpoints(true, &[("a", true), ("b", true), ("c", true), ("d", true)]);
    assert_eq!(handle(&mut machine, 0, event), []);
    machine
}

#[test]
fn suspend_persists_and_masks_before_response_and_repeat_changes_nothing() {
    let mut machine = machine_with_endpoints();
    let actions = suspend(&mut machine, SECOND, "a");
    let stored = machine.state().clone();
    assert_eq!((stored.revision, stored.in_maintenance["a"]), (1, MaintenanceEntry { since: Time(SECOND) }));
    assert_eq!(actions, [Action::Persist(stored.clone()), Action::SetMask(mask(&["a"], &[])), accepted()]);
    assert_eq!(suspend(&mut machine, 2 * SECOND, "a"), [accepted()]);
    assert_eq!(machine.state(), &stored);
}

#[test]
fn one_restore_undoes_two_suspends_and_instance_warms_up() {
    let mut machine = machine_with_endpoints();
    suspend(&mut machine, 0, "a");
    suspend(&mut machine, SECOND, "a");
    let actions = restore(&mut machine, 2 * SECOND, "a");
    let restored = Action::SetMask(mask(&[], &[("a", 2 * SECOND)]));
    assert_eq!(actions, [Action::Persist(machine.state().clone()), restored, accepted()]);
    assert_eq!(restore(&mut machine, 3 * SECOND, "a"), not_in_maintenance("a", 0));
}

#[test]
fn unknown_ids_are_rejected() {
    let mut machine = Machine::new(SETTINGS, State::default());
    let pending = MaintenanceError::EndpointsPending { id: "a".into() };
    assert_eq!(suspend(&mut machine, 0, "a"), rejected(pending));
    let mut machine = machine_with_endpoints();
    assert_eq!(suspend(&mut machine, 0, "x"), not_listed("x", 4));
    assert_eq!(restore(&mut machine, 0, "x"), not_in_maintenance("x", 0));
    handle(&mut machine, 0, endpoints(false, &[("a", false)]));
    assert_eq!(suspend(&mut machine, 0, "a"), not_listed("a", 3));
    handle(&mut machine, 0, endpoints(true, &[("c", true)]));
    assert_eq!(suspend(&mut machine, 0, "b"), not_listed("b", 1));
}

#[test]
fn instance_removed_from_the_list_stays_in_maintenance_until_restored() {
    let mut machine = machine_with_endpoints();
    suspend(&mut machine, 0, "a");
    assert_eq!(handle(&mut machine, SECOND, endpoints(true, &[("b", true)])), []);
    assert_eq!(handle(&mut machine, SECOND, endpoints(false, &[("a", true)])), []);
    assert_eq!(handle(&mut machine, SECOND, endpoints(false, &[("a", false)])), []);
    assert_eq!(machine.mask(), mask(&["a"], &[]));
    assert_eq!(suspend(&mut machine, SECOND, "a"), [accepted()]);
    assert_eq!(restore(&mut machine, SECOND, "a").last(), Some(&accepted()));
    // While its listing is awaited, the instance may be suspended again; once it was listed and removed, it
    // may not.
    assert_eq!(suspend(&mut machine, SECOND, "a").last(), Some(&accepted()));
    restore(&mut machine, SECOND, "a");
    handle(&mut machine, SECOND, endpoints(false, &[("a", true)]));
    handle(&mut machine, SECOND, endpoints(false, &[("a", false)]));
    assert_eq!(suspend(&mut machine, SECOND, "a"), not_listed("a", 1));
}

#[test]
fn restored_instance_is_retained_until_expiry_or_suspend() {
    let mut machine = machine_with_endpoints();
    for id in ["a", "b"] {
        suspend(&mut machine, 0, id);
        restore(&mut machine, SECOND, id);
    }
    let revision = machine.state().revision;
    assert_eq!(machine.mask(), mask(&[], &[("a", SECOND), ("b", SECOND)]));
    suspend(&mut machine, 2 * SECOND, "b");
    assert_eq!(machine.mask(), mask(&["b"], &[("a", SECOND)]));
    assert_eq!(handle(&mut machine, 31 * SECOND, endpoints(false, &[])), []);
    let expired = handle(&mut machine, 31 * SECOND + 1, endpoints(false, &[]));
    assert_eq!(expired, [Action::SetMask(mask(&["b"], &[]))]);
    assert_eq!(machine.state().revision, revision + 1, "expiry does not advance the revision");
}

#[test]
fn suspend_beyond_the_limit_is_rejected() {
    let mut machine = machine_with_endpoints();
    for id in ["a", "b", "c"] {
        assert_eq!(suspend(&mut machine, 0, id).last(), Some(&accepted()));
    }
    let too_many = MaintenanceError::TooManyEntries { max_entries: 3 };
    assert_eq!(suspend(&mut machine, 0, "d"), rejected(too_many));
    assert_eq!(suspend(&mut machine, 0, "a"), [accepted()]);
    restore(&mut machine, 0, "a");
    assert_eq!(suspend(&mut machine, 0, "d").last(), Some(&accepted()));
}

#[test]
fn repeated_pause_keeps_the_start_time_and_one_resume_ends_the_drain() {
    let mut machine = machine_with_endpoints();
    assert_eq!(handle(&mut machine, SECOND, Event::Resume), [accepted()]);
    let begun = handle(&mut machine, SECOND, Event::Pause);
    assert_eq!(begun, [Action::Persist(machine.state().clone()), Action::SetDraining(true), accepted()]);
    assert_eq!(handle(&mut machine, 2 * SECOND, Event::Pause), [accepted()]);
    assert_eq!((machine.draining(), machine.state().draining_since), (true, Some(Time(SECOND))));
    let ended = handle(&mut machine, 3 * SECOND, Event::Resume);
    assert_eq!(ended, [Action::Persist(machine.state().clone()), Action::SetDraining(false), accepted()]);
    assert_eq!((machine.draining(), machine.state().revision), (false, 2));
}

#[test]
fn only_later_stored_state_is_adopted_and_only_changes_are_reported() {
    let mut machine = machine_with_endpoints();
    suspend(&mut machine, 0, "a");
    let mut other = machine.state().clone();
    other.in_maintenance.clear();
    assert_eq!(handle(&mut machine, 0, Event::StateRead(other.clone())), [], "the same revision");
    other.revision = 0;
    assert_eq!(handle(&mut machine, 0, Event::StateRead(other)), [], "a lower revision");
    let mut later = machine.state().clone();
    (later.revision, later.draining_since) = (5, Some(Time(SECOND)));
    let actions = handle(&mut machine, SECOND, Event::StateRead(later.clone()));
    assert_eq!(actions, [Action::SetDraining(true)]);
    later.revision = 6;
    later.in_maintenance.clear();
    later.restored.insert("z".into(), Time(SECOND));
    let actions = handle(&mut machine, SECOND, Event::StateRead(later));
    assert_eq!(actions, [Action::SetMask(mask(&[], &[("z", SECOND)]))]);
    // Another process of the router restored `z` while `z` was not listed here, so `z` may be suspended.
    assert_eq!(suspend(&mut machine, SECOND, "z").last(), Some(&accepted()));
    assert_eq!(machine.state().revision, 7);
}

#[test]
fn next_process_starts_from_stored_state_before_any_endpoint_list() {
    let mut old = machine_with_endpoints();
    suspend(&mut old, 0, "a");
    suspend(&mut old, 0, "b");
    restore(&mut old, SECOND, "b");
    handle(&mut old, SECOND, Event::Pause);
    let mut new = Machine::new(SETTINGS, old.state().clone());
    assert_eq!((new.mask(), new.draining()), (old.mask(), true));
    assert_eq!(suspend(&mut new, SECOND, "b").last(), Some(&accepted()));
    assert_eq!(restore(&mut new, SECOND, "a").last(), Some(&accepted()));
}
