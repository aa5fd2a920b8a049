//! A test router with the real admin service and endpoint list but no instances; it records the effects that
//! the admin service has on the other parts of the router.
use super::{LONG_TIMEOUT, serve_handler};
use admin::{AdminService, ServiceDependencies};
use client_listener::ServerCommand;
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use routing::{Clock, EndpointUpdate, EndpointsHandle, GroupId, MemberState, Metrics, RouterMessage};
use settings::Limits;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use testkit::routing::{NoProtocol, endpoint, start_endpoints};

/// An effect of a command on the other parts of the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Readiness probes were set to draining (`true`) or not draining.
    Drain(bool),
    /// The client listener was told to drain (`true`) or to stop draining.
    DrainCommand(bool),
    /// The client listener was notified of the number of processes of this router.
    Processes { count: usize, successor: bool },
    /// The routing core was notified of the number of processes of this router.
    CoreProcesses(u32),
    /// The routing core received a new state of this endpoint.
    Endpoint { id: String, draining: bool },
    /// The routing core was notified of the groups whose endpoints are all in maintenance.
    ClosedGroups(Vec<u32>),
}

pub(crate) struct TestRouter {
    pub(crate) service: Arc<AdminService>,
    folder: PathBuf,
    endpoints: EndpointsHandle,
    accepting: Arc<AtomicBool>,
    core: Receiver<RouterMessage<NoProtocol>>,
    client_commands: Receiver<ServerCommand>,
    callbacks: Receiver<Effect>,
}

/// Port of the listed endpoints, to which nothing connects.
const UNUSED_PORT: u16 = 9;

fn limits() -> Limits {
    let mut limits = testkit::routing::limits(LONG_TIMEOUT);
    limits.max_maintenance_entries = 2;
    limits
}

impl TestRouter {
    /// Starts a router whose processes share a new folder with this name.
    pub(crate) fn start(name: &str) -> TestRouter {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        TestRouter::start_in(folder)
    }

    /// Starts a router whose processes share this folder.
    pub(crate) fn start_in(folder: PathBuf) -> TestRouter {
        let limits = limits();
        let metrics = Metrics::new(&["order".to_string()]).unwrap();
        let (to_core, core) = unbounded();
        let endpoints = start_endpoints(&limits, to_core, Some(metrics.clone()));
        let (to_clients, client_commands) = bounded(64);
        let (to_callbacks, callbacks): (Sender<Effect>, _) = unbounded();
        let accepting = Arc::new(AtomicBool::new(false));
        let drain_callbacks = to_callbacks.clone();
        let dependencies = ServiceDependencies {
            metrics,
            endpoints: endpoints.clone(),
            client_commands: to_clients,
            set_draining: Box::new(move |draining| _ = drain_callbacks.send(Effect::Drain(draining))),
            accepting: accepting.clone(),
            set_process_count: Box::new(move |count| _ = to_callbacks.send(Effect::CoreProcesses(count))),
            commits: None,
            clock: Clock::new(),
            limits: Arc::new(limits),
        };
        let service = Arc::new(AdminService::open(dependencies, Some(&folder)));
        TestRouter { service, folder, endpoints, accepting, core, client_commands, callbacks }
    }

    /// Returns the folder that this router's processes share.
    pub(crate) fn folder(&self) -> &Path {
        &self.folder
    }

    /// Serves the admin address.
    pub(crate) fn serve(&self) -> SocketAddr {
        serve_handler(8, LONG_TIMEOUT, self.service.clone())
    }

    pub(crate) fn accept_clients(&self) {
        self.accepting.store(true, Ordering::Release);
    }

    /// Replaces the endpoint list; the list is applied when this returns.
    pub(crate) fn list_endpoints(&self, ids: &[&str]) {
        let endpoints = ids.iter().map(|id| endpoint(id, UNUSED_PORT, GroupId(1))).collect();
        self.endpoints.notify(EndpointUpdate { version: 1, complete: true, endpoints });
        assert!(self.endpoints.wait_until_applied(LONG_TIMEOUT));
        _ = self.core.try_iter().count();
    }

    /// Returns the effects since the last call; effects of the same kind are in order.
    pub(crate) fn effects(&self) -> Vec<Effect> {
        assert!(self.endpoints.wait_until_applied(LONG_TIMEOUT));
        let mut effects: Vec<Effect> = self.callbacks.try_iter().collect();
        effects.extend(self.client_commands.try_iter().filter_map(|command| match command {
            ServerCommand::SetDraining(draining) => Some(Effect::DrainCommand(draining)),
            ServerCommand::SetProcessCount { processes, successor } => {
                Some(Effect::Processes { count: processes, successor })
            }
            ServerCommand::Shutdown => None,
        }));
        for message in self.core.try_iter() {
            match message {
                RouterMessage::UnavailableGroups(groups) => {
                    effects.push(Effect::ClosedGroups(groups.iter().map(|group| group.0).collect()));
                }
                RouterMessage::Endpoints(update) => effects.extend(update.endpoints.iter().map(|entry| {
                    Effect::Endpoint { id: entry.id.clone(), draining: entry.state == MemberState::Draining }
                })),
                _ => {}
            }
        }
        effects
    }
}

impl Drop for TestRouter {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}
