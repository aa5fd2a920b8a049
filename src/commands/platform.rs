//! One of the platform's routers: `PostgreSQL`, configured by the file that `$BALANCER_CONFIG` names.
//!
//! [`run`] binds the operators' address first and accepts clients last. In between it starts the routing core, applies
//! what operators and the file say about endpoints, and gives discovery a short time to bring its list.
mod admin;

use super::Error;
use crate::signals;
use ::admin::AdminService;
use admin::AdminListener;
use client_listener::{ClientListener, ClientServer, ServerCommand};
use crossbeam_channel::{Receiver, Sender, bounded};
use discovery::Watch;
use postgres::backend::Postgres;
use postgres::front::Front;
use routing::{Clock, EndpointsHandle, Metrics, RouterHandle};
use settings::Limits;
use settings::operator::LogConfig;
use settings::start::PlatformConfig;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// How many orders to the client listener may wait; few come at a time.
const MAX_PENDING_ORDERS: usize = 64;

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Serves the platform until SIGTERM.
pub(crate) fn run() -> Result<(), Error> {
    start_log();
    let path = PathBuf::from(environment("BALANCER_CONFIG").ok_or(Error::NoPlatformConfiguration)?);
    let signals = signals::register()?;
    let configuration = Configuration::read(path)?;
    let inherited = inherited_listener()?;
    let admin = AdminListener::bind(&configuration.start)?;

    let router = Router::start(&configuration.start, admin.as_ref().map(|admin| admin.metrics.clone()))?;
    let (order_sender, orders) = bounded(MAX_PENDING_ORDERS);
    // What operators have put in maintenance is known before the first endpoint list.
    let admin = admin.map(|admin| admin.serve(&configuration.start, &router, order_sender.clone()));
    let admin = admin.transpose()?;
    configuration.apply_known_endpoints(&router.endpoints)?;
    let watch = start_discovery(&configuration.start, &router)?;
    let listener = match inherited {
        Some(listener) => announce_inherited(listener, &configuration.start.name)?,
        None => {
            ClientListener::Exclusive(super::listen(&configuration.start.name, &configuration.start.listen)?)
        }
    };
    let stack_bytes = router.limits.routing_thread_stack_bytes;
    let reload = configuration.into_reload(watch);
    signals::handle(signals, stack_bytes, reload, shut_down(admin.clone(), order_sender))?;
    if let Some(admin) = admin {
        admin.start_sync().map_err(|source| Error::Thread { what: "holds", source })?;
    }
    router.serve(listener, &orders)
}

/// Starts the log. Without `$DAMSONVALE_LOG` it has the default level: lines for whoever is on call, none for each
/// request.
fn start_log() {
    let level = environment("DAMSONVALE_LOG").unwrap_or_else(|| LogConfig::default().level);
    crate::log::start(&LogConfig { level, ..LogConfig::default() });
}

/// The configuration as it was at the start, and the file that it is read from.
struct Configuration {
    path: PathBuf,
    start: PlatformConfig,
}

impl Configuration {
    fn read(path: PathBuf) -> Result<Configuration, Error> {
        let text = super::read_file(&path)?;
        let start = settings::start::read(&text, &environment)
            .map_err(|source| Error::Settings { path: path.clone(), source })?;
        tracing::debug!(settings = ?start.settings, "settings read");
        tracing::debug!(file = %start.parsed_file, "configuration file read");
        Ok(Configuration { path, start })
    }

    /// Gives the router the endpoints that the file lists, with which it serves until discovery brings others.
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

    /// What SIGHUP runs: reads the file anew, moves the watch where discovery's address has changed, and returns the
    /// keys that need a restart.
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

/// The running core with its `PostgreSQL` front.
struct Router {
    handle: RouterHandle<Postgres>,
    endpoints: EndpointsHandle,
    front: Arc<Front>,
    clients: Arc<ClientServer<Front>>,
    limits: Arc<Limits>,
}

impl Router {
    /// Starts the core; `metrics` are counted where operators can ask for them.
    fn start(start: &PlatformConfig, metrics: Option<Arc<Metrics>>) -> Result<Router, Error> {
        let limits = Arc::new(start.limits.clone());
        let clock = Clock::new();
        let builder = routing::RouterBuilder {
            protocol: Postgres::new(limits.clone(), clock),
            settings: start.settings.clone(),
            seed: start.seed,
            limits: limits.clone(),
            clock,
            responded: None,
            metrics: metrics.clone(),
            placement: None,
        };
        let (handle, endpoints) = builder.start().map_err(Error::Core)?;
        let front = Front::new(handle.clone(), limits.clone(), &start.names.classes, &start.settings);
        let clients = ClientServer::new(front.clone(), limits.clone(), metrics);
        Ok(Router { handle, endpoints, front, clients, limits })
    }

    /// Serves clients until an order to shut down.
    fn serve(self, listener: ClientListener, orders: &Receiver<ServerCommand>) -> Result<(), Error> {
        self.clients.serve(listener, orders).map_err(Error::ClientListener)
    }
}

/// Starts to watch discovery. A list of the agent's is in force before the first client, whatever the file says; an
/// agent that is silent delays the start only for a short time.
fn start_discovery(start: &PlatformConfig, router: &Router) -> Result<Watch, Error> {
    let limits = &router.limits;
    let watch = Watch::new(start.names.zones.clone(), limits.clone(), router.endpoints.clone());
    watch.follow(start.discovery_address).map_err(Error::DiscoveryWatch)?;
    if !watch.wait_for_first_line(limits.watch_first_event_timeout) {
        tracing::warn!("discovery not heard yet, starting with the known endpoint list");
    }
    // A machine that is too busy to apply the list in time does not keep the router from starting.
    if !router.endpoints.wait_until_applied(limits.watch_first_event_timeout) {
        tracing::warn!("endpoint list not applied yet, starting without it");
    }
    Ok(watch)
}

/// The listening socket that the platform has passed, if it has.
fn inherited_listener() -> Result<Option<ClientListener>, Error> {
    let descriptor = environment("BALANCER_PASSED_SOCKET").filter(|text| !text.is_empty());
    Ok(descriptor.map(|descriptor| ClientListener::from_inherited_descriptor(&descriptor)).transpose()?)
}

/// Logs where an inherited socket listens, as is logged of one that the router opens itself.
fn announce_inherited(listener: ClientListener, name: &str) -> Result<ClientListener, Error> {
    let address = listener.local_addr().map_err(Error::InheritedSocketAddress)?;
    super::log_client_listener(name, address);
    Ok(listener)
}

/// What SIGTERM runs: announces the shutdown to the router's other processes, and orders it.
fn shut_down(admin: Option<Arc<AdminService>>, orders: Sender<ServerCommand>) -> impl Fn() + Send + 'static {
    move || {
        if let Some(admin) = &admin {
            admin.announce_shutdown();
        }
        // Waits where operators' orders fill the queue while the program still starts: the shutdown must not be lost.
        _ = orders.send(ServerCommand::Shutdown);
    }
}
