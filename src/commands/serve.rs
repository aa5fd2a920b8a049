//! The sub-command `serve FILE`: runs a `MySQL` router configured by an operator's file until SIGTERM.
//!
//! `run` starts the components in the order of their dependencies: sessions, the routing core, the store, the
//! fleet and its members, the client listener, the registry. Larger ones have a submodule. Clients are
//! accepted last, when all components that their requests depend on are running.
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

/// Number of servers of the registry's list whose clocks are probed. The clocks of servers in one
/// installation differ little, so a few are enough.
const MAX_CLOCK_SOURCES: usize = 8;

/// Configuration, limits and clock from which all components are built.
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

/// Handles of the running routing core.
struct Core {
    handle: RouterHandle<Mysql>,
    endpoints: EndpointsHandle,
    /// The endpoints that have responded to a request; set if a registry is used, whose client checks updates
    /// against them.
    responded: Option<Arc<RespondedEndpoints>>,
}

/// Runs a `MySQL` router until SIGTERM.
pub(crate) fn run(path: &Path) -> Result<(), Error> {
    let operator = super::read_operator_file(path)?;
    crate::log::start(&operator.log);
    let signals = signals::register()?;
    let environment = Environment::new(operator);
    let random_seed = u64::from(std::process::id()) ^ environment.clock.now().0 as u64;
    let protocol = Mysql::new(environment.mysql.clone(), environment.limits.clone(), environment.clock);
    // The listener for session peers is bound before that for clients, so that a refused peer connection
    // proves that this router serves no clients.
    let sessions = start_sessions(&environment, &protocol)?;
    let clock_protocol = environment.mysql.health_check_returns_clock.then(|| protocol.clone());
    let core = start_core(&environment, protocol, random_seed)?;
    let store = store::start(&environment, &core.endpoints)?;
    let fleet = environment.operator.fleet.as_ref();
    let fleet = fleet.map(|member| fleet::join(member, &environment, &store, &core)).transpose()?;
    store::listen(&environment.operator.store, &store)?;
    // The fleet is joined before the first client is accepted, so that the router does not start with the
    // capacity share of a single router.
    let members = join_membership(&environment.operator, &core.handle)?;
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
    let (shutdown_sender, shutdown_commands) = bounded(1);
    let shut_down = move || _ = shutdown_sender.try_send(ServerCommand::Shutdown);
    let stack_bytes = environment.limits.routing_thread_stack_bytes;
    signals::handle(signals, stack_bytes, move || configuration.reload(), shut_down)?;
    if let Some(protocol) = clock_protocol {
        watch_server_clocks(&environment, protocol, registry.clone())?;
    }
    let commands = match registry {
        None => shutdown_commands,
        Some(client) => shutdown::deregister_on_shutdown(client, shutdown_commands, stack_bytes)?,
    };
    let result = ClientServer::new(front, environment.limits, None)
        .serve(ClientListener::Exclusive(listener), &commands);
    sessions.stop();
    // No more requests are admitted, so the fleet may assign this router's share to other routers.
    if let Some(fleet) = fleet {
        fleet.leave();
    }
    members.iter().for_each(super::members::leave);
    result.map_err(Error::ClientListener)
}

/// Starts the sessions component: shared with other router instances if configured, otherwise local to this
/// process.
fn start_sessions(environment: &Environment, protocol: &Mysql) -> Result<Arc<Sessions>, Error> {
    let clocks = protocol.clocks.clone();
    match environment.operator.sessions.clone() {
        Some(settings) => Ok(Sessions::start(settings, &environment.limits, environment.clock, clocks)?),
        None => Ok(Sessions::local(&environment.limits, environment.clock, clocks)),
    }
}

/// Starts the routing core for the `MySQL` protocol.
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
        commit_sharing: None,
        placement: placement.map(|_| placement::Settings::new(environment.mysql.class_names.clone())),
    };
    let (handle, endpoints) = builder.start().map_err(Error::Core)?;
    Ok(Core { handle, endpoints, responded })
}

/// Joins the membership protocol, if configured, and updates the routing core when the number of routers
/// changes.
fn join_membership(
    operator: &OperatorConfig,
    handle: &RouterHandle<Mysql>,
) -> Result<Option<Membership>, Error> {
    let Some(table) = &operator.members else { return Ok(None) };
    let handle = handle.clone();
    let on_router_count = move |count| handle.set_router_count(count);
    let router_count = operator.settings.router_count;
    super::members::start(table, router_count, on_router_count).map(Some)
}

/// Starts the recording of client traffic, if configured.
fn start_recording(
    operator: &OperatorConfig,
    address: SocketAddr,
) -> Result<Option<Arc<dyn mysql_wire::tap::Tap>>, Error> {
    let Some(record) = &operator.recording else { return Ok(None) };
    let recorder = pcap::record::Recorder::start(record.file.as_ref(), record.max_bytes, address)?;
    Ok(Some(Arc::new(recorder)))
}

/// Starts polling the clocks of the servers that the registry lists or, without a registry, of the configured
/// servers.
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
        .map_err(|source| Error::Thread { purpose: "clocks", source })
}

/// Returns the bound address of the client listener; if port 0 is configured, the system chose the port.
fn local_address(listener: &TcpListener, configured: &str) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|source| Error::Listen { key: "listen", addr: configured.into(), source })
}

/// Binds a listener to the configured address of `key`, and returns it with its bound address.
fn bind(
    key: &'static str,
    address: impl std::net::ToSocketAddrs + ToString,
) -> Result<(TcpListener, SocketAddr), Error> {
    let failed = |source| Error::Listen { key, addr: address.to_string(), source };
    let listener = TcpListener::bind(&address).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
