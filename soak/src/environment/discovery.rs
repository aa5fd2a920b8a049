//! Discovery's agents: one for each router, at two addresses between which a new configuration may move the router. One
//! thread serves all.
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

/// An empty line is sent this often where there is no change.
const EMPTY_LINE_INTERVAL: Micros = 2 * SECOND;
/// The longest time between two checks for changes.
const TICK: Duration = Duration::from_millis(3);
/// Events that are handled at once.
const MAX_EVENTS: usize = 256;
/// What an agent answers before its lines.
const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Addresses of each agent.
pub const ADDRESSES: usize = 2;

/// The fault of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AgentFault {
    /// None.
    #[default]
    None,
    /// Connections that were open before this moment stay open and silent.
    SilentBefore(Micros),
    /// Everything is reset, new connections too.
    Down,
    /// Each line takes this long.
    Slow(Micros),
}

/// The state of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It serves.
    InService,
    /// It drains.
    Terminating,
    /// It is gone.
    Terminated,
}

impl EndpointState {
    /// Its name in discovery's lines.
    pub fn name(self) -> &'static str {
        match self {
            EndpointState::InService => "in_service",
            EndpointState::Terminating => "terminating",
            EndpointState::Terminated => "terminated",
        }
    }
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server.
    pub server: usize,
    /// Its id.
    pub id: String,
    /// Its group.
    pub group: usize,
    /// Its state.
    pub state: EndpointState,
    /// Whether the list shows it as primary.
    pub primary: bool,
    /// When it started, in milliseconds of the wall clock; 0 for long ago.
    pub started_ms: i64,
}

impl Endpoint {
    /// The entry as a router reads it that reaches the servers at these addresses.
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
struct Change {
    version: u64,
    endpoint: Endpoint,
}

impl Change {
    fn to_json(&self, addresses: &[SocketAddr]) -> Value {
        json!({"version": self.version, "full": false, "servers": [self.endpoint.to_json(addresses)]})
    }
}

/// The endpoint list, its changes, and the agents' faults.
#[derive(Default)]
struct State {
    version: u64,
    endpoints: BTreeMap<String, Endpoint>,
    changes: Vec<Change>,
    /// By router.
    faults: Vec<AgentFault>,
}

impl State {
    fn change(&mut self, endpoint: Endpoint) {
        self.version += 1;
        if endpoint.state == EndpointState::Terminated {
            self.endpoints.remove(&endpoint.id);
        } else {
            self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
        }
        self.changes.push(Change { version: self.version, endpoint });
    }

    /// The whole list.
    fn to_json(&self, addresses: &[SocketAddr]) -> Value {
        let endpoints: Vec<Value> = self.endpoints.values().map(|e| e.to_json(addresses)).collect();
        json!({"version": self.version, "full": true, "servers": endpoints})
    }
}

/// A handle of the agents; they end when it is dropped.
pub struct DiscoveryAgents {
    state: Arc<Mutex<State>>,
    /// Addresses by router.
    pub addresses: Vec<[SocketAddr; ADDRESSES]>,
    clock: RunClock,
    _thread: ServiceThread,
}

impl DiscoveryAgents {
    /// Starts an agent for each router; `servers` are each server's addresses by router.
    ///
    /// # Errors
    /// Where no port or no thread can be had.
    pub fn start(servers: Vec<Vec<SocketAddr>>, clock: &RunClock) -> io::Result<DiscoveryAgents> {
        let routers = servers.len();
        let faults = vec![AgentFault::None; routers];
        let state = Arc::new(Mutex::new(State { faults, ..State::default() }));
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

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Discovery has this change from now on; returns the moment.
    pub fn change(&self, endpoint: Endpoint) -> Micros {
        let mut state = self.lock();
        let now = self.clock.now();
        state.change(endpoint);
        now
    }

    /// Sets the fault of a router's agent from now on.
    pub fn set_fault(&self, router: usize, fault: AgentFault) {
        self.lock().faults[router] = fault;
    }

    /// The entry of a server that is listed.
    pub fn endpoint_of(&self, server: usize) -> Option<Endpoint> {
        self.lock().endpoints.values().find(|endpoint| endpoint.server == server).cloned()
    }

    /// The whole list, as the configuration of a router has it that reaches the servers at these addresses.
    pub fn list_json(&self, addresses: &[SocketAddr]) -> Value {
        self.lock().to_json(addresses)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A router's connection to its agent.
struct Watch {
    router: usize,
    stream: TcpStream,
    opened_at: Micros,
    request: Vec<u8>,
    /// The version that the router has; `None` before its request is read.
    version: Option<u64>,
    next_line_at: Micros,
    outbound: Vec<u8>,
}

/// The agents' thread.
struct EventLoop {
    state: Arc<Mutex<State>>,
    servers: Vec<Vec<SocketAddr>>,
    /// Listeners by router.
    acceptor: Acceptor<usize>,
    watches: HashMap<usize, Watch>,
    clock: RunClock,
}

impl EventLoop {
    fn run(&mut self, stop: &StopSignal) {
        let mut events = Events::with_capacity(MAX_EVENTS);
        while !stop.is_set() {
            if self.acceptor.wait(&mut events, TICK).is_err() {
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

    fn accept(&mut self, listener: usize, state: &State) {
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

    fn write_all(&mut self, state: &State) {
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

    /// Reads what there is; `false` where the connection is over.
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

    /// Writes what is due; `false` where the connection is over.
    fn write(&mut self, state: &State, servers: &[SocketAddr], now: Micros) -> bool {
        match state.faults[self.router] {
            AgentFault::Down => {
                reset(&self.stream);
                return false;
            }
            AgentFault::SilentBefore(moment) if self.opened_at < moment => return true,
            AgentFault::Slow(delay) if self.next_line_at + delay > now => return true,
            _ => {}
        }
        self.add_lines(state, servers, now);
        write_pending(&mut self.stream, &mut self.outbound)
    }

    /// Adds the changes since the router's version, or an empty line where one is due.
    fn add_lines(&mut self, state: &State, servers: &[SocketAddr], now: Micros) {
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

    /// Adds a line as a chunk of its own.
    fn add_line(&mut self, text: &str, now: Micros) {
        self.outbound.extend(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).into_bytes());
        self.next_line_at = now + EMPTY_LINE_INTERVAL;
    }
}
