//! `serve FILE`: one `MySQL` router, built from an operator's file and run until SIGTERM.
//!
//! `run` starts the parts in the order in which they depend on each other: sessions, the routing core, the store, the
//! fleet and its members, the client listener, the registry. Each part has a file of its own below this one. Clients
//! are accepted last, when everything that decides about their requests is there.
mod configuration;
pub mod endpoints;
mod fleet;
mod registry;
mod shutdown;
mod store;

use super::Error;
use crate::signals;
use ::sessions::node::Sessions;
use client_listener::{ClientListener, ClientServer, ServerCommand};
use configuration::LiveConfiguration;
use crossbeam_channel::bounded;
use membership::Membership;
use mysql_wire::backend::Mysql;
use mysql_wire::front::Front;
use routing::{Clock, EndpointsHandle, RespondedEndpoints, RouterHandle};
use settings::Limits;
use settings::operator::OperatorConfig;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;

/// How many servers of a registry's list are probed for their clocks. Servers of one installation are near each other
/// in time, so a few are enough.
const MAX_CLOCK_SOURCES: usize = 8;

/// What every part of the router is built from.
struct Environment {
    operator: OperatorConfig,
    mysql: Arc<settings::operator::MysqlConfig>,
    limits: Arc<Limits>,
    clock: Clock,
}

impl Environment {
    fn new(operator: OperatorConfig) -> Environment {
        let mysql = Arc::new(operator.mysql.clone());
        let limits = Arc::new(operator.limits.clone());
        let clock = Clock::with_offset(limits.clock_offset_us);
        Environment { operator, mysql, limits, clock }
    }
}

/// The routing core, and what other parts need of it.
struct Core {
    handle: RouterHandle<Mysql>,
    endpoints: EndpointsHandle,
    /// Which endpoints have responded to a request: set where a registry is followed, which judges its updates by that.
    responded: Option<Arc<RespondedEndpoints>>,
}

/// Serves `MySQL` until SIGTERM.
pub(crate) fn run(path: &Path) -> Result<(), Error> {
    let operator = super::read_operator_file(path)?;
    crate::log::start(&operator.log);
    let signals = signals::register()?;
    let environment = Environment::new(operator);
    let random_seed = u64::from(std::process::id()) ^ environment.clock.now().0 as u64;
    let protocol = Mysql::new(environment.mysql.clone(), environment.limits.clone(), environment.clock);
    // The peers' listener comes before any client's: a refused connection proves that nothing is served here.
    let sessions = start_sessions(&environment, &protocol)?;
    let clock_probes = environment.mysql.health_check_returns_clock.then(|| protocol.clone());
    let core = start_core(&environment, protocol, random_seed)?;
    let store = store::start(&environment, &core.endpoints)?;
    let fleet = environment.operator.fleet.as_ref();
    let fleet = fleet.map(|member| fleet::join(member, &environment, &store, &core)).transpose()?;
    store::listen(&environment.operator.store, &store)?;
    // The fleet comes before the first client, so that it finds a share and not the capacity of a router that is alone.
    let members = join_members(&environment.operator, &core.handle)?;
    let listener = super::listen("mysql", &environment.mysql.listen)?;
    let address = local_address(&listener, &environment.mysql.listen)?;
    let Core { handle, endpoints, responded } = core;
    let recording = start_recording(&environment.operator, address)?;
    let (mysql, limits) = (environment.mysql.clone(), environment.limits.clone());
    let front = Front::new(handle, mysql, limits, recording, sessions.clone(), fleet.clone());
    let operator = environment.operator.clone();
    let configuration = LiveConfiguration::new(path, operator, front.clone(), sessions.clone(), store);
    let configuration = Arc::new(configuration);
    let registry = registry::start(&environment, address, endpoints, responded, configuration.clone())?;
    let (shutdown_sender, shutdown_orders) = bounded(1);
    let shut_down = move || _ = shutdown_sender.try_send(ServerCommand::Shutdown);
    let stack_bytes = environment.limits.routing_thread_stack_bytes;
    signals::handle(signals, stack_bytes, move || configuration.reload(), shut_down)?;
    if let Some(protocol) = clock_probes {
        watch_server_clocks(&environment, protocol, registry.clone())?;
    }
    let orders = match registry {
        None => shutdown_orders,
        Some(client) => shutdown::deregister_on_shutdown(client, shutdown_orders, stack_bytes)?,
    };
    let served = ClientServer::new(front, environment.limits, None)
        .serve(ClientListener::Exclusive(listener), &orders);
    sessions.stop();
    // No request is admitted any more, so the fleet may give this router's share to the others.
    if let Some(fleet) = fleet {
        fleet.leave();
    }
    members.iter().for_each(super::members::leave);
    served.map_err(Error::ClientListener)
}

/// Starts sessions: shared with other instances where the file says so, else known to this process alone.
fn start_sessions(environment: &Environment, protocol: &Mysql) -> Result<Arc<Sessions>, Error> {
    let clocks = protocol.clocks.clone();
    match environment.operator.sessions.clone() {
        Some(settings) => Ok(Sessions::start(settings, &environment.limits, environment.clock, clocks)?),
        None => Ok(Sessions::local(&environment.limits, environment.clock, clocks)),
    }
}

/// Starts the routing core.
fn start_core(environment: &Environment, protocol: Mysql, seed: u64) -> Result<Core, Error> {
    let operator = &environment.operator;
    let responded = operator.registry.as_ref().map(|_| Arc::new(RespondedEndpoints::default()));
    let placement = operator.fleet.as_ref();
    let builder = routing::RouterBuilder {
        protocol,
        settings: operator.settings.clone(),
        seed,
        limits: environment.limits.clone(),
        clock: environment.clock,
        responded: responded.clone(),
        metrics: None,
        placement: placement.map(|_| placement::Settings::new(environment.mysql.class_names.clone())),
    };
    let (handle, endpoints) = builder.start().map_err(Error::Core)?;
    Ok(Core { handle, endpoints, responded })
}

/// Joins the fleet whose members share the capacity, where the file names one, and follows their number.
fn join_members(
    operator: &OperatorConfig,
    handle: &RouterHandle<Mysql>,
) -> Result<Option<Membership>, Error> {
    let Some(table) = &operator.members else { return Ok(None) };
    let handle = handle.clone();
    let on_router_count = move |count| handle.set_router_count(count);
    let router_count = operator.settings.router_count;
    super::members::start(table, router_count, on_router_count).map(Some)
}

/// Starts to record requests, where the file asks for it.
fn start_recording(
    operator: &OperatorConfig,
    address: SocketAddr,
) -> Result<Option<Arc<dyn mysql_wire::tap::Tap>>, Error> {
    let Some(record) = &operator.recording else { return Ok(None) };
    let recorder = pcap::record::Recorder::start(record.file.as_ref(), record.max_bytes, address)?;
    Ok(Some(Arc::new(recorder)))
}

/// Follows the servers' clocks: those that the registry lists, else those of the file.
fn watch_server_clocks(
    environment: &Environment,
    protocol: Mysql,
    registry: Option<Arc<::registry::client::Client>>,
) -> Result<(), Error> {
    let configured: Vec<SocketAddr> = environment.mysql.servers.iter().map(|s| s.addr).collect();
    let servers = move || match &registry {
        None => configured.clone(),
        Some(client) => client.in_service_addresses(MAX_CLOCK_SOURCES),
    };
    mysql_wire::clock_sampler::start(protocol, servers, &environment.limits)
        .map_err(|source| Error::Thread { what: "clocks", source })
}

/// The address that the client listener has, which the system chose where the file gives port 0.
fn local_address(listener: &TcpListener, configured: &str) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|source| Error::Listen { key: "listen", addr: configured.into(), source })
}

/// Listens at an address that a key of the file names, and returns the listener with the address that it has.
fn bind(
    key: &'static str,
    address: impl std::net::ToSocketAddrs + ToString,
) -> Result<(TcpListener, SocketAddr), Error> {
    let failed = |source| Error::Listen { key, addr: address.to_string(), source };
    let listener = TcpListener::bind(&address).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
