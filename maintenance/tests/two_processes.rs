//! Property test: random commands to two processes that share the stored state, compared with a model.
mod common;

use common::{SECOND, SETTINGS, handle};
use maintenance::{Action, EndpointChange, Event, Machine, MaintenanceError, MaintenanceMask, State};
use proptest::prelude::*;
use std::collections::BTreeSet;

type Response = Result<(), MaintenanceError>;

/// A simulated process: its machine, and the last mask and drain state that the machine reported.
struct Process {
    machine: Machine,
    mask: MaintenanceMask,
    draining: bool,
}

impl Process {
    fn start(stored: &State) -> Process {
        let machine = Machine::new(SETTINGS, stored.clone());
        Process { mask: machine.mask(), draining: machine.draining(), machine }
    }

    /// Reads the stored state, handles the event and carries out the actions.
    fn run(&mut self, stored: &mut State, now: i64, event: Event) -> Result<Option<Response>, TestCaseError> {
        let mut actions = handle(&mut self.machine, now, Event::StateRead(stored.clone()));
        actions.extend(handle(&mut self.machine, now, event));
        let mut response = None;
        for action in actions {
            prop_assert!(response.is_none(), "the response is the last action");
            match action {
                Action::Persist(state) => *stored = state,
                Action::SetMask(mask) => {
                    prop_assert_ne!(&std::mem::replace(&mut self.mask, mask), &self.mask);
                }
                Action::SetDraining(draining) => {
                    prop_assert_ne!(std::mem::replace(&mut self.draining, draining), draining);
                }
                Action::Respond(r) => response = Some(r),
            }
        }
        Ok(response)
    }
}

/// The expected state after the commands so far.
#[derive(Default)]
struct Model {
    in_maintenance: BTreeSet<String>,
    draining: bool,
}

impl Model {
    fn check_response(&mut self, event: Event, response: Option<Response>) -> Result<(), TestCaseError> {
        match (event, response) {
            (Event::Suspend(id), Some(Ok(()))) => {
                self.in_maintenance.insert(id);
            }
            (Event::Suspend(id), Some(Err(_))) => prop_assert!(!self.in_maintenance.contains(&id)),
            (Event::Restore(id), Some(response)) => {
                prop_assert_eq!(self.in_maintenance.remove(&id), response.is_ok());
            }
            (Event::EndpointsUpdated { .. }, None) => {}
            (event, response) => {
                prop_assert_eq!(response, Some(Ok(())));
                self.draining = event == Event::Pause;
            }
        }
        Ok(())
    }
}

fn event() -> impl Strategy<Value = Event> {
    let id = || (0u8..5).prop_map(|number| number.to_string());
    let change = (id(), any::<bool>()).prop_map(|(id, listed)| EndpointChange { id, listed });
    let changes = prop::collection::vec(change, 0..5);
    prop_oneof![
        3 => id().prop_map(Event::Suspend),
        3 => id().prop_map(Event::Restore),
        1 => Just(Event::Pause),
        1 => Just(Event::Resume),
        2 => (any::<bool>(), changes)
            .prop_map(|(complete, changes)| Event::EndpointsUpdated { complete, changes }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn suspended_instances_stay_in_maintenance_in_both_processes_until_restored(
        steps in prop::collection::vec((0usize..2, 0..20 * SECOND, any::<bool>(), event()), 1..80)
    ) {
        let (mut stored, mut now, mut model) = (State::default(), 0, Model::default());
        let mut processes = [Process::start(&stored), Process::start(&stored)];
        for (index, delay, restarted, event) in steps {
            now += delay;
            if restarted {
                processes[index] = Process::start(&stored);
            }
            let process = &mut processes[index];
            let revision_before = stored.revision;
            let response = process.run(&mut stored, now, event.clone())?;
            prop_assert!(
                stored.revision == revision_before || stored.revision == revision_before + 1
            );
            prop_assert_eq!(process.machine.state().revision, stored.revision);
            model.check_response(event, response)?;
            prop_assert_eq!(
                (&process.machine.mask(), process.machine.draining()),
                (&process.mask, process.draining)
            );
            prop_assert_eq!(
                (&process.mask.in_maintenance, process.draining),
                (&model.in_maintenance, model.draining)
            );
        }
        let [first, second] = processes.map(|mut process| {
            handle(&mut process.machine, now, Event::StateRead(stored.clone()));
            (process.machine.mask(), process.machine.draining())
        });
        prop_assert_eq!(first, second);
    }
}
