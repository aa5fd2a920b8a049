//! Synchronises the state machine, the state that the processes of this router share, and the other parts of
//! this process.
use super::dependencies::ServiceDependencies;
use super::shared_folder::{SharedFolder, StoredState};
use crate::response::Response;
use client_listener::ServerCommand;
use commit_exchange::ServedBefore;
use maintenance::{
    Action, EndpointChange, Event, LockedStateFile, Machine, MaintenanceError, MaintenanceMask,
    OtherProcesses, SharedFolderError,
};
use routing::Time;
use settings::Limits;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// A command that has taken effect in this process but may not be stored yet.
struct PendingCommand {
    received: Time,
    event: Event,
}

/// The values of the maintenance state that the other parts of this process were last notified of.
#[derive(Default)]
struct NotifiedState {
    mask: MaintenanceMask,
    draining: bool,
}

/// The result of one synchronisation.
struct SyncResult {
    /// The response to the last pending command, if there is one.
    response: Option<Result<(), MaintenanceError>>,
    /// `Ok` if the state is stored.
    stored: Result<(), SharedFolderError>,
}

/// The state of the service; see the module documentation.
pub(super) struct Coordinator {
    dependencies: ServiceDependencies,
    shared: Option<SharedFolder>,
    /// The state machine as of the stored state, without pending commands.
    stored_machine: Machine,
    pending: Vec<PendingCommand>,
    notified: NotifiedState,
    others: OtherProcesses,
}

impl Coordinator {
    /// Creates a coordinator from the stored state and applies that state to the endpoint list and the
    /// clients.
    pub(super) fn open(dependencies: ServiceDependencies, shared_folder: Option<&Path>) -> Coordinator {
        let limits = &dependencies.limits;
        let settings = maintenance::Settings {
            max_entries: limits.max_maintenance_entries,
            restored_retention: i64::try_from(limits.maintenance_warmup_duration.as_micros())
                .unwrap_or(i64::MAX),
        };
        let StoredState { state, shared } =
            SharedFolder::open(shared_folder, dependencies.commits.as_deref());
        let mut coordinator = Coordinator {
            dependencies,
            shared,
            stored_machine: Machine::new(settings, state),
            pending: Vec::new(),
            notified: NotifiedState::default(),
            others: OtherProcesses::default(),
        };
        // Notify before any endpoint list is received: an instance in maintenance must be masked from its
        // first listing on.
        let machine = coordinator.stored_machine.clone();
        coordinator.notify(&machine);
        coordinator
    }

    pub(super) fn limits(&self) -> Arc<Limits> {
        self.dependencies.limits.clone()
    }

    /// Whether no other process of this router was alive at the last count.
    pub(super) fn is_only_process(&self) -> bool {
        self.others.alive == 0
    }

    /// Whether the reads of sessions see the commits of each other process.
    pub(super) fn receives_all_commits(&self) -> bool {
        self.dependencies.commits.as_ref().is_none_or(|commits| commits.all_peers_publish())
    }

    /// Returns the response to `STATUS`.
    pub(super) fn status(&self) -> Response {
        if !self.dependencies.accepting.load(Ordering::Acquire) {
            return Response::Rejected(
                "no clients are accepted: wait until the router is ready, or check whether it shuts down"
                    .into(),
            );
        }
        let router = if self.notified.draining { "drained by PAUSE" } else { "taking clients" };
        let in_maintenance = self.notified.mask.in_maintenance.len();
        Response::Done(format!("{router}, {in_maintenance} instances held by hand"))
    }

    /// Returns the response to `METRICS`.
    pub(super) fn metrics(&self) -> Response {
        Response::Metrics(self.dependencies.metrics.render_text())
    }

    /// Returns the response to `GET /metrics`.
    pub(super) fn http_metrics(&self) -> Response {
        match self.dependencies.metrics.render_prometheus() {
            Ok(text) => Response::Http(text),
            Err(error) => Response::Rejected(format!("the metrics cannot be encoded: {error}")),
        }
    }

    /// Runs a command that may change the state. If the change cannot be stored, it still takes effect in
    /// this process, and the write is retried.
    pub(super) fn run_command(&mut self, event: Event) -> Response {
        self.update_endpoints();
        self.pending.push(PendingCommand { received: self.dependencies.clock.now(), event });
        let result = self.sync();
        match (result.response, result.stored) {
            (Some(Err(error)), _) => {
                // A rejected command changes nothing and must not be retried.
                self.pending.pop();
                Response::Rejected(error.to_string())
            }
            (_, Ok(())) => Response::Done("done".into()),
            (_, Err(error)) => {
                tracing::error!(%error, "maintenance state not stored, retrying");
                Response::Done(format!("done in this process, but not stored yet for others: {error}"))
            }
        }
    }

    /// Synchronises if another process has changed the stored state, or if commands are not stored yet.
    pub(super) fn sync_if_needed(&mut self) {
        let changed = self.shared.as_mut().is_some_and(|shared| shared.state_file.has_changed());
        if !changed && self.pending.is_empty() {
            return;
        }
        if let Err(error) = self.sync().stored {
            tracing::warn!(%error, "maintenance state not synchronised, retrying");
        }
    }

    /// Counts the router's other processes, and notifies the routing core and the client listener if their
    /// number has changed.
    pub(super) fn update_process_count(&mut self) {
        let Some(shared) = &mut self.shared else { return };
        if self.dependencies.accepting.load(Ordering::Acquire) {
            shared.mark_ready_once();
        }
        let processes = shared.presence.others();
        if let Some(commits) = &self.dependencies.commits {
            let accepting = self.dependencies.accepting.load(Ordering::Acquire);
            let served = if accepting || shared.is_marked() { ServedBefore::Yes } else { ServedBefore::No };
            commits.update_processes(&processes, served);
        }
        let others = OtherProcesses::count(&processes);
        if others == self.others {
            return;
        }
        tracing::info!(
            other_processes = others.alive,
            other_ready_processes = others.ready,
            "process count of this router changed"
        );
        self.others = others;
        let processes = others.alive + 1;
        (self.dependencies.set_process_count)(u32::try_from(processes).unwrap_or(u32::MAX));
        let command = ServerCommand::SetProcessCount { processes, successor: others.ready > 0 };
        _ = self.dependencies.client_commands.send(command);
    }

    /// Marks this process as no longer accepting clients.
    pub(super) fn announce_shutdown(&mut self) {
        if let Some(shared) = &mut self.shared {
            shared.mark_shutting_down();
        }
    }

    fn update_endpoints(&mut self) {
        let ids = self.dependencies.endpoints.ids();
        let changes = ids.into_iter().map(|id| EndpointChange { id, listed: true }).collect();
        let event = Event::EndpointsUpdated { complete: true, changes };
        // The event has no response, and masks are reported by `notify`.
        self.stored_machine.handle(self.dependencies.clock.now(), event, &mut Vec::new());
    }

    /// Applies the pending commands on top of the stored state, stores the result, and reports changes to the
    /// other parts of this process.
    fn sync(&mut self) -> SyncResult {
        let now = self.dependencies.clock.now();
        let (mut next, mut actions) = (self.stored_machine.clone(), Vec::new());
        let mut locked = self.shared.as_ref().map(|shared| shared.state_file.lock()).transpose();
        let mut stored = match &mut locked {
            Ok(Some(file)) => apply_stored_state(file, &mut next, now, &mut actions),
            Ok(None) | Err(_) => Ok(()),
        };
        let stored_revision = next.state().revision;
        for command in &self.pending {
            next.handle(command.received, command.event.clone(), &mut actions);
        }
        let changed = next.state().revision != stored_revision;
        match locked {
            Ok(Some(mut file)) if changed => stored = file.write(next.state()),
            Ok(_) => {}
            Err(error) => stored = Err(error),
        }
        self.notify(&next);
        if stored.is_ok() {
            self.stored_machine = next;
            self.pending.clear();
        }
        SyncResult { response: last_response(actions), stored }
    }

    /// Applies the mask to the endpoint list and the drain state to the clients, where they have changed.
    fn notify(&mut self, machine: &Machine) {
        let (mask, draining) = (machine.mask(), machine.draining());
        if mask != self.notified.mask {
            let applied_mask = routing::MaintenanceMask {
                in_maintenance: mask.in_maintenance.clone(),
                restored_at: mask.restored_at.clone(),
            };
            _ = self.dependencies.endpoints.set_maintenance(applied_mask);
        }
        if draining != self.notified.draining {
            (self.dependencies.set_draining)(draining);
            _ = self.dependencies.client_commands.send(ServerCommand::SetDraining(draining));
        }
        self.notified = NotifiedState { mask, draining };
    }
}

fn apply_stored_state(
    file: &mut LockedStateFile<'_>,
    machine: &mut Machine,
    now: Time,
    actions: &mut Vec<Action>,
) -> Result<(), SharedFolderError> {
    if let Some(state) = file.read()? {
        machine.handle(now, Event::StateRead(state), actions);
    }
    Ok(())
}

fn last_response(actions: Vec<Action>) -> Option<Result<(), MaintenanceError>> {
    actions.into_iter().rev().find_map(|action| match action {
        Action::Respond(response) => Some(response),
        _ => None,
    })
}
