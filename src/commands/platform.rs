//! The router that the platform runs: a `PostgreSQL` front end, configured by the file `$BALANCER_CONFIG`.
//!
//! [`run`] binds the admin address first and accepts clients last. In between it starts the routing core,
//! applies the stored maintenance state and the configured endpoints, and waits a short time for the endpoint
//! list of discovery.
mod admin;

use super::Error;
use crate::signals;
use ::admin::{AdminService, SharedCommits};
use admin::AdminListener;
use client_listener::{ClientListener, ClientServer, ServerCommand};
use crossbeam_channel::{Receiver, Sender, bounded};
use discovery::Watch;
use postgres::backend::Postgres;
use postgres::front::Front;
use routing::{Clock, CommitSharing, EndpointsHandle, Metrics, RouterHandle, SessionCommitSource, WallClock};
use settings::Limits;
use settings::operator::LogConfig;
use settings::start::PlatformConfig;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Capacity of the command queue of the client listener; only a few commands are queued at a time.
const MAX_PENDING_COMMANDS: usize = 64;

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Runs the platform's router until SIGTERM.
pub(crate) fn run() -> Result<(), Error> {
    start_log();
    let path = PathBuf::from(environment_variable("BALANCER_CONFIG").ok_or(Error::NoPlatformConfiguration)?);
    let signals = signals::register()?;
    let configuration = Configuration::read(path)?;
    let inherited = inherited_listener()?;
    let admin = AdminListener::bind(&configuration.start)?;

    let router = Router::start(&configuration.start, admin.as_ref().map(|admin| admin.metrics.clone()))?;
    let (command_sender, commands) = bounded(MAX_PENDING_COMMANDS);
    // The stored maintenance state is restored before the first endpoint list is applied.
    let admin = admin.map(|admin| admin.serve(&configuration.start, &router, command_sender.clone()));
    let admin = admin.transpose()?;
    configuration.apply_known_endpoints(&router.endpoints)?;
    let watch = start_discovery(&configuration.start, &router)?;
    let listener = match inherited {
        Some(listener) => log_inherited_listener(listener, &configuration.start.name)?,
        None => {
            ClientListener::Exclusive(super::listen(&configuration.start.name, &configuration.start.listen)?)
        }
    };
    let stack_bytes = router.limits.routing_thread_stack_bytes;
    let reload = configuration.into_reload(watch);
    signals::handle(signals, stack_bytes, reload, shut_down(admin.clone(), command_sender))?;
    if let Some(admin) = admin {
        admin.start_sync().map_err(|source| Error::Thread { purpose: "holds", source })?;
    }
    router.serve(listener, &commands)
}

/// Initializes the log with the level of `$DAMSONVALE_LOG`. The default level logs events that matter to
/// operators, and no line per request.
fn start_log() {
    let level = environment_variable("DAMSONVALE_LOG").unwrap_or_else(|| LogConfig::default().level);
    crate::log::start(&LogConfig { level, ..LogConfig::default() });
}

/// The configuration at the start and the path of its file.
struct Configuration {
    path: PathBuf,
    start: PlatformConfig,
}

impl Configuration {
    fn read(path: PathBuf) -> Result<Configuration, Error> {
        let text = super::read_file(&path)?;
        let start = settings::start::read(&text, &environment_variable)
            .map_err(|source| Error::Settings { path: path.clone(), source })?;
        tracing::debug!(settings = ?start.settings, "settings read");
        tracing::debug!(file = %start.parsed_file, "configuration file read");
        Ok(Configuration { path, start })
    }

    /// Applies the endpoints of the configuration file, which are used until discovery sends a list.
    fn apply_known_endpoints(&self, endpoints: &EndpointsHandle) -> Result<(), Error> {
        if self.start.initial_endpoints.is_null() {
            return Ok(());
        }
        let mut reader = discovery::endpoint_list::EndpointListParser::new(self.start.names.zones.clone());
        let mut known = reader
            .parse_value(&self.start.initial_endpoints)
            .map_err(|e| Error::Settings { path: self.path.clone(), source: e.under_key("known") })?;
        known.complete = true;
        endpoints.notify(known);
        Ok(())
    }

    /// Returns the function that SIGHUP runs: it reloads the file, moves the watch if the address of
    /// discovery has changed, and returns the changed keys that require a restart.
    fn into_reload(self, watch: Watch) -> impl FnMut() -> Result<Vec<String>, Error> + Send + 'static {
        let mut watched: SocketAddr = self.start.discovery_address;
        move || {
            let reload = settings::start::reload(&super::read_file(&self.path)?, &self.start)
                .map_err(|source| Error::Settings { path: self.path.clone(), source })?;
            if reload.discovery_address != watched {
                watch.follow(reload.discovery_address).map_err(Error::DiscoveryWatch)?;
                watched = reload.discovery_address;
                tracing::info!(addr = %watched, "discovery watch moved");
            }
            Ok(reload.keys_needing_restart)
        }
    }
}

/// The running routing core with its `PostgreSQL` front end.
struct Router {
    handle: RouterHandle<Postgres>,
    endpoints: EndpointsHandle,
    front: Arc<Front>,
    clients: Arc<ClientServer<Front>>,
    /// Session commits that the processes of this router share; `None` if requests contain them.
    commits: Option<Arc<SharedCommits>>,
    limits: Arc<Limits>,
}

impl Router {
    /// Starts the routing core. `metrics` is set if there is an admin listener that serves them.
    fn start(start: &PlatformConfig, metrics: Option<Arc<Metrics>>) -> Result<Router, Error> {
        let limits = Arc::new(start.limits.clone());
        let clock = Clock::new();
        // Only a router with an admin address has several processes.
        let has_processes = start.admin_address.is_some();
        let remembers_commits =
            start.settings.session_commit_source == SessionCommitSource::RememberedByRouter;
        let commits =
            (has_processes && remembers_commits).then(|| Arc::new(SharedCommits::new(WallClock::new(clock))));
        let builder = routing::RouterBuilder {
            protocol: Postgres::new(limits.clone(), clock),
            settings: start.settings.clone(),
            seed: start.seed,
            limits: limits.clone(),
            clock,
            responded: None,
            metrics: metrics.clone(),
            commit_sharing: commits.clone().map(|commits| commits as Arc<dyn CommitSharing>),
            placement: None,
        };
        let (handle, endpoints) = builder.start().map_err(Error::Core)?;
        let front = Front::new(handle.clone(), limits.clone(), &start.names.classes, &start.settings);
        let clients = ClientServer::new(front.clone(), limits.clone(), metrics);
        Ok(Router { handle, endpoints, front, clients, commits, limits })
    }

    /// Serves clients until a shutdown command is received.
    fn serve(self, listener: ClientListener, commands: &Receiver<ServerCommand>) -> Result<(), Error> {
        self.clients.serve(listener, commands).map_err(Error::ClientListener)
    }
}

/// Starts the watch of discovery. If discovery responds in time, its endpoint list replaces that of the file
/// before the first client is accepted; otherwise startup continues after a short timeout.
fn start_discovery(start: &PlatformConfig, router: &Router) -> Result<Watch, Error> {
    let limits = &router.limits;
    let watch = Watch::new(start.names.zones.clone(), limits.clone(), router.endpoints.clone());
    watch.follow(start.discovery_address).map_err(Error::DiscoveryWatch)?;
    if !watch.wait_for_first_line(limits.watch_first_event_timeout) {
        tracing::warn!("no response from discovery yet, starting with the configured endpoint list");
    }
    // On an overloaded machine the list may not be applied in time; the router starts nevertheless.
    if !router.endpoints.wait_until_applied(limits.watch_first_event_timeout) {
        tracing::warn!("endpoint list not applied yet, starting without it");
    }
    Ok(watch)
}

/// Returns the listening socket that the platform passed, if any.
fn inherited_listener() -> Result<Option<ClientListener>, Error> {
    let descriptor = environment_variable("BALANCER_PASSED_SOCKET").filter(|text| !text.is_empty());
    Ok(descriptor.map(|descriptor| ClientListener::from_inherited_descriptor(&descriptor)).transpose()?)
}

/// Logs the address of an inherited listening socket, in the same form as for a socket that the router opens.
fn log_inherited_listener(listener: ClientListener, name: &str) -> Result<ClientListener, Error> {
    let address = listener.local_addr().map_err(Error::InheritedSocketAddress)?;
    super::log_client_listener(name, address);
    Ok(listener)
}

/// Returns the function that SIGTERM runs: it announces the shutdown to other processes of the same router,
/// and sends a shutdown command to the client listener.
fn shut_down(
    admin: Option<Arc<AdminService>>,
    commands: Sender<ServerCommand>,
) -> impl Fn() + Send + 'static {
    move || {
        if let Some(admin) = &admin {
            admin.announce_shutdown();
        }
        // Blocks if admin commands fill the queue during startup, since the shutdown command must not be
        // dropped.
        _ = commands.send(ServerCommand::Shutdown);
    }
}
