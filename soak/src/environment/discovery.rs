//! Discovery agents, one for each router, all served by one thread. Each agent has two addresses, between
//! which a new configuration can switch the router.
use super::acceptor::Acceptor;
use super::clock::RunClock;
use super::service_thread::{ServiceThread, StopSignal};
use super::socket::{ReadEnd, read_available, reset, write_pending};
use crate::time::{Micros, SECOND};
use mio::Events;
use mio::net::TcpStream;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The interval of empty lines when there are no changes.
const EMPTY_LINE_INTERVAL: Micros = 2 * SECOND;
/// The maximum time between two checks for changes.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(3);
/// The maximum number of events per poll.
const MAX_EVENTS: usize = 256;
/// The response head that an agent sends before its lines.
const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The number of addresses of each agent.
pub const ADDRESSES_PER_AGENT: usize = 2;

/// A fault of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AgentFault {
    /// The agent works without a fault.
    #[default]
    None,
    /// Connections opened before this time stay open, but receive nothing.
    SilentBefore(Micros),
    /// All open and new connections are reset.
    Down,
    /// Each line is delayed by this time.
    Slow(Micros),
}

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The server serves requests.
    InService,
    /// The server is draining before it terminates.
    Terminating,
    /// The server has terminated.
    Terminated,
}

impl EndpointState {
    /// The state's name in discovery's messages.
    pub fn name(self) -> &'static str {
        match self {
            EndpointState::InService => "in_service",
            EndpointState::Terminating => "terminating",
            EndpointState::Terminated => "terminated",
        }
    }
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The index of the listed server in the run.
    pub server: usize,
    /// The server's id in the endpoint list.
    pub id: String,
    /// The server's replication group.
    pub group: usize,
    /// The state that the list shows for the server.
    pub state: EndpointState,
    /// Whether the list shows the server as a primary.
    pub primary: bool,
    /// When the server started, in milliseconds of the wall clock; 0 for a server that started long ago.
    pub started_ms: i64,
}

impl Endpoint {
    /// Returns the entry as JSON, with the addresses at which a router reaches the servers.
    fn to_json(&self, addresses: &[SocketAddr]) -> Value {
        json!({
            "id": self.id,
            "addr": addresses[self.server].to_string(),
            "zone": "a",
            "kind": "k",
            "cell": self.group,
            "state": self.state.name(),
            "weight": 1.0,
            "started_ms": self.started_ms,
            "mode": if self.primary { "read-write" } else { "read-only" },
        })
    }
}

/// A change of the endpoint list.
struct EndpointChange {
    version: u64,
    endpoint: Endpoint,
}

impl EndpointChange {
    fn to_json(&self, addresses: &[SocketAddr]) -> Value {
        json!({"version": self.version, "full": false, "servers": [self.endpoint.to_json(addresses)]})
    }
}

/// The endpoint list, its changes, and the agents' faults.
#[derive(Default)]
struct DiscoveryState {
    version: u64,
    endpoints: BTreeMap<String, Endpoint>,
    changes: Vec<EndpointChange>,
    /// The agents' faults, by router.
    faults: Vec<AgentFault>,
}

impl DiscoveryState {
    fn change(&mut self, endpoint: Endpoint) {
        self.version += 1;
        if endpoint.state == EndpointState::Terminated {
            self.endpoints.remove(&endpoint.id);
        } else {
            self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
        }
        self.changes.push(EndpointChange { version: self.version, endpoint });
    }

    /// Returns the complete list as JSON.
    fn to_json(&self, addresses: &[SocketAddr]) -> Value {
        let endpoints: Vec<Value> = self.endpoints.values().map(|e| e.to_json(addresses)).collect();
        json!({"version": self.version, "full": true, "servers": endpoints})
    }
}

/// A handle of the agents, which stop when it is dropped.
pub struct DiscoveryAgents {
    state: Arc<Mutex<DiscoveryState>>,
    /// The agents' addresses, by router.
    pub addresses: Vec<[SocketAddr; ADDRESSES_PER_AGENT]>,
    clock: RunClock,
    _thread: ServiceThread,
}

impl DiscoveryAgents {
    /// Starts an agent for each router. `servers` holds, for each router, the addresses at which it reaches
    /// the servers.
    ///
    /// # Errors
    /// A port, the poller or the thread is not available.
    pub fn start(servers: Vec<Vec<SocketAddr>>, clock: &RunClock) -> io::Result<DiscoveryAgents> {
        let routers = servers.len();
        let faults = vec![AgentFault::None; routers];
        let state = Arc::new(Mutex::new(DiscoveryState { faults, ..DiscoveryState::default() }));
        let mut acceptor = Acceptor::new()?;
        let mut addresses = Vec::new();
        for router in 0..routers {
            addresses.push([acceptor.bind(router)?, acceptor.bind(router)?]);
        }
        let mut event_loop = EventLoop {
            state: state.clone(),
            servers,
            acceptor,
            watches: HashMap::new(),
            clock: clock.clone(),
        };
        let thread = ServiceThread::spawn("agents", move |stop| event_loop.run(stop))?;
        Ok(DiscoveryAgents { state, addresses, clock: clock.clone(), _thread: thread })
    }

    fn lock(&self) -> MutexGuard<'_, DiscoveryState> {
        lock(&self.state)
    }

    /// Publishes a change of the endpoint list and returns the time of the change.
    pub fn change(&self, endpoint: Endpoint) -> Micros {
        let mut state = self.lock();
        let now = self.clock.now();
        state.change(endpoint);
        now
    }

    /// Sets the fault of a router's agent.
    pub fn set_fault(&self, router: usize, fault: AgentFault) {
        self.lock().faults[router] = fault;
    }

    /// Returns the list's entry of a server.
    pub fn endpoint_of(&self, server: usize) -> Option<Endpoint> {
        self.lock().endpoints.values().find(|endpoint| endpoint.server == server).cloned()
    }

    /// Returns the complete list for a router's configuration, with the addresses at which that router
    /// reaches the servers.
    pub fn list_json(&self, addresses: &[SocketAddr]) -> Value {
        self.lock().to_json(addresses)
    }
}

fn lock(state: &Mutex<DiscoveryState>) -> MutexGuard<'_, DiscoveryState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A router's connection to its agent.
struct Watch {
    router: usize,
    stream: TcpStream,
    opened_at: Micros,
    request: Vec<u8>,
    /// The list version that the router has; `None` until its request has been read.
    version: Option<u64>,
    next_line_at: Micros,
    outbound: Vec<u8>,
}

/// The event loop of the agents' thread.
struct EventLoop {
    state: Arc<Mutex<DiscoveryState>>,
    servers: Vec<Vec<SocketAddr>>,
    /// The agents' listeners; their keys are the routers.
    acceptor: Acceptor<usize>,
    watches: HashMap<usize, Watch>,
    clock: RunClock,
}

impl EventLoop {
    fn run(&mut self, stop: &StopSignal) {
        let mut events = Events::with_capacity(MAX_EVENTS);
        while !stop.is_set() {
            if self.acceptor.wait(&mut events, MAX_POLL_INTERVAL).is_err() {
                continue;
            }
            let state = self.state.clone();
            let state = lock(&state);
            for event in &events {
                let token = event.token().0;
                if self.acceptor.is_listener(token) {
                    self.accept(token, &state);
                } else {
                    self.read(token);
                }
            }
            self.write_all(&state);
        }
    }

    fn accept(&mut self, listener: usize, state: &DiscoveryState) {
        while let Some((router, mut stream)) = self.acceptor.accept(listener) {
            if state.faults[router] == AgentFault::Down {
                reset(&stream);
                continue;
            }
            if let Ok(token) = self.acceptor.add_stream(&mut stream) {
                self.watches.insert(token, Watch::new(router, stream, self.clock.now()));
            }
        }
    }

    fn read(&mut self, token: usize) {
        let Some(watch) = self.watches.get_mut(&token) else { return };
        if !watch.read() {
            self.watches.remove(&token);
        }
    }

    fn write_all(&mut self, state: &DiscoveryState) {
        let now = self.clock.now();
        let servers = &self.servers;
        self.watches.retain(|_, watch| watch.write(state, &servers[watch.router], now));
    }
}

impl Watch {
    fn new(router: usize, stream: TcpStream, now: Micros) -> Watch {
        Watch {
            router,
            stream,
            opened_at: now,
            request: Vec::new(),
            version: None,
            next_line_at: now,
            outbound: Vec::new(),
        }
    }

    /// Reads the available bytes. Returns `false` if the connection is closed.
    fn read(&mut self) -> bool {
        let request = &mut self.request;
        let receive = |bytes: &[u8]| {
            request.extend_from_slice(bytes);
            true
        };
        if read_available(&mut self.stream, receive) != ReadEnd::Drained {
            return false;
        }
        self.take_request();
        true
    }

    fn take_request(&mut self) {
        if self.version.is_some() || !self.request.ends_with(b"\r\n\r\n") {
            return;
        }
        let text = String::from_utf8_lossy(&self.request);
        let index = text.split("index=").nth(1).and_then(|rest| rest.split([' ', '&']).next());
        self.version = Some(index.and_then(|index| index.parse().ok()).unwrap_or(0));
        self.outbound.extend(RESPONSE_HEAD);
    }

    /// Writes the lines that are due. Returns `false` if the connection is closed.
    fn write(&mut self, state: &DiscoveryState, servers: &[SocketAddr], now: Micros) -> bool {
        match state.faults[self.router] {
            AgentFault::Down => {
                reset(&self.stream);
                return false;
            }
            AgentFault::SilentBefore(since) if self.opened_at < since => return true,
            AgentFault::Slow(delay) if self.next_line_at + delay > now => return true,
            _ => {}
        }
        self.add_lines(state, servers, now);
        write_pending(&mut self.stream, &mut self.outbound)
    }

    /// Adds the changes since the router's version, and an empty line if one is due.
    fn add_lines(&mut self, state: &DiscoveryState, servers: &[SocketAddr], now: Micros) {
        let Some(version) = self.version else { return };
        if version == 0 && state.version > 0 {
            self.add_line(&state.to_json(servers).to_string(), now);
        } else {
            for change in state.changes.iter().filter(|change| change.version > version) {
                self.add_line(&change.to_json(servers).to_string(), now);
            }
        }
        self.version = Some(state.version.max(version));
        if now >= self.next_line_at {
            self.add_line("", now);
        }
    }

    /// Adds a line as a separate HTTP chunk.
    fn add_line(&mut self, text: &str, now: Micros) {
        self.outbound.extend(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).into_bytes());
        self.next_line_at = now + EMPTY_LINE_INTERVAL;
    }
}
