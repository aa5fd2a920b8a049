//! Carries the operators' commands out: it connects the server with what the commands are about, the endpoint list, the
//! metrics, the clients, and the state that the processes of this router share. What a command means is decided by
//! [`maintenance::Machine`].
mod coordinator;
mod dependencies;
mod shared_folder;

pub use dependencies::ServiceDependencies;

use crate::command::Command;
use crate::handler::AdminHandler;
use crate::response::Response;
use coordinator::Coordinator;
use maintenance::Event;
use routing::spawn_needed;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const SYNC_THREAD_NAME: &str = "maintenance";

/// The command handler of one router.
pub struct AdminService(Mutex<Coordinator>);

impl AdminService {
    /// A service that continues where the router's last process ended. It changes nothing in the folder, except that it
    /// moves a state file that cannot be used aside: this process may yet fail to start.
    ///
    /// `shared_folder` belongs to the processes of this router alone. Without one, maintenance and drain end with this
    /// process.
    pub fn open(dependencies: ServiceDependencies, shared_folder: Option<&Path>) -> AdminService {
        AdminService(Mutex::new(Coordinator::open(dependencies, shared_folder)))
    }

    /// Starts to follow the router's other processes, on a thread of its own. If there are others, this returns once this
    /// process has reduced its use of what they share and the others have had the time to see it and do the same: a
    /// process that accepted clients at once would use its part on top of all of theirs.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start_sync(self: &Arc<Self>) -> io::Result<()> {
        let service = self.clone();
        let (limits, alone) = {
            let mut coordinator = self.coordinator();
            coordinator.update_process_count();
            (coordinator.limits(), coordinator.is_only_process())
        };
        let interval = limits.maintenance_poll_interval;
        if !alone {
            // The others count the processes once an interval: two give them the time to see this one and to reduce
            // their use.
            std::thread::sleep(2 * interval);
        }
        spawn_needed(SYNC_THREAD_NAME, limits.socket_thread_stack_bytes, move || {
            loop {
                // On an overloaded host the checks become fewer instead of queueing up.
                std::thread::sleep(interval);
                let mut coordinator = service.coordinator();
                coordinator.sync_if_needed();
                coordinator.update_process_count();
            }
        })
    }

    /// Announces that this process is about to end: it accepts no more clients, and no other process may rely on it.
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
            // These two change nothing, so they are not logged.
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
