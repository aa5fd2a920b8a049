//! Handles the operators' commands: it connects the admin server with the endpoint list, the metrics, the
//! client listener, and the state that the processes of this router share. [`maintenance::Machine`] defines
//! the effect of each command.
mod coordinator;
mod dependencies;
mod shared_commits;
mod shared_folder;

pub use dependencies::ServiceDependencies;
pub use shared_commits::SharedCommits;

use crate::command::Command;
use crate::handler::AdminHandler;
use crate::response::Response;
use coordinator::Coordinator;
use maintenance::Event;
use routing::spawn_needed;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const SYNC_THREAD_NAME: &str = "maintenance";

/// How often a starting process checks whether the other processes share their session commits, before it accepts
/// clients regardless.
const MAX_COMMIT_POLLS: u32 = 20;

/// The command handler of a router.
pub struct AdminService(Mutex<Coordinator>);

impl AdminService {
    /// Creates a service from the state that the router's previous process stored. It changes nothing in the
    /// folder, except that it moves an unusable state file aside: this process may still fail to start.
    ///
    /// `shared_folder` is used by the processes of this router only. Without one, maintenance and drain end
    /// with this process.
    pub fn open(dependencies: ServiceDependencies, shared_folder: Option<&Path>) -> AdminService {
        AdminService(Mutex::new(Coordinator::open(dependencies, shared_folder)))
    }

    /// Starts a thread that follows the router's other processes. If there are any, this returns once this
    /// process has reduced its use of the shared resources, and the other processes have had time to notice
    /// this process and to reduce their use too: a process that accepted clients immediately would use its
    /// share in addition to the shares of the others.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start_sync(self: &Arc<Self>) -> io::Result<()> {
        let service = self.clone();
        let (limits, alone) = {
            let mut coordinator = self.coordinator();
            coordinator.update_process_count();
            (coordinator.limits(), coordinator.is_only_process())
        };
        let interval = limits.maintenance_poll_interval;
        if !alone {
            // The router's other processes count its processes once per interval: two intervals are enough
            // for them to notice this process and to reduce their use of the shared resources.
            std::thread::sleep(2 * interval);
            self.wait_for_commits(interval);
        }
        spawn_needed(SYNC_THREAD_NAME, limits.socket_thread_stack_bytes, move || {
            loop {
                // On an overloaded host the checks become less frequent instead of queueing up.
                std::thread::sleep(interval);
                let mut coordinator = service.coordinator();
                coordinator.sync_if_needed();
                coordinator.update_process_count();
            }
        })
    }

    /// Waits until each other process shares its session commits, but not for long: an earlier version of the
    /// program shares none, and reads of sessions then go to the primary while it is alive.
    fn wait_for_commits(&self, interval: Duration) {
        for _ in 0..MAX_COMMIT_POLLS {
            let mut coordinator = self.coordinator();
            coordinator.update_process_count();
            if coordinator.receives_all_commits() {
                return;
            }
            drop(coordinator);
            std::thread::sleep(interval);
        }
        tracing::warn!("another process shares no session commits, reads of sessions go to the primary");
    }

    /// Announces that this process is shutting down: it accepts no more clients, and no other process may
    /// rely on it.
    pub fn announce_shutdown(&self) {
        self.coordinator().announce_shutdown();
    }

    fn coordinator(&self) -> MutexGuard<'_, Coordinator> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AdminHandler for AdminService {
    fn handle(&self, command: Command) -> Response {
        let mut coordinator = self.coordinator();
        let text = command.to_string();
        let event = match command {
            // Status and metrics commands change nothing, so they are not logged.
            Command::Status => return coordinator.status(),
            Command::Metrics => return coordinator.metrics(),
            Command::HttpMetrics => return coordinator.http_metrics(),
            Command::Suspend(id) => Event::Suspend(id),
            Command::Restore(id) => Event::Restore(id),
            Command::Pause => Event::Pause,
            Command::Resume => Event::Resume,
        };
        tracing::info!(command = %text, "admin command received");
        coordinator.run_command(event)
    }
}
