//! Discovery's agents: one for each router, at two addresses between which a new configuration may move the router. One
//! thread serves all.
use super::clock::WorldClock;
use crate::history::{Micros, SECOND};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use serde_json::{Value, json};
use socket2::SockRef;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// An empty line comes this often where there is no news.
const EMPTY_LINE_INTERVAL: Micros = 2 * SECOND;
const TICK: Duration = Duration::from_millis(3);
/// Addresses of each agent.
pub const ADDRESSES: usize = 2;

/// What is wrong with an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AgentFault {
    /// Nothing.
    #[default]
    None,
    /// Connections that were open before this moment stay open and silent.
    SilentBefore(Micros),
    /// Everything is reset, new connections too.
    Down,
    /// Each line takes this long.
    Slow(Micros),
}

/// One entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The server.
    pub server: usize,
    /// Its id.
    pub id: String,
    /// Its group.
    pub group: usize,
    /// Its state, as discovery words it.
    pub state: &'static str,
    /// Whether the list shows it as primary.
    pub primary: bool,
    /// When it started, as the wall clock showed; 0 for long ago.
    pub started_ms: i64,
}

#[derive(Default)]
struct List {
    version: u64,
    entries: BTreeMap<String, Entry>,
    /// Each change with its version and when discovery had it.
    changes: Vec<(u64, Entry, Micros)>,
    faults: Vec<AgentFault>,
}

/// A handle of the agents; they end when it is dropped.
pub struct Agents {
    list: Arc<Mutex<List>>,
    /// Addresses by router.
    pub addresses: Vec<[SocketAddr; ADDRESSES]>,
    clock: WorldClock,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Agents {
    /// Starts an agent for each router; `servers` are each server's addresses by router.
    ///
    /// # Errors
    /// Where no port or no thread can be had.
    pub fn start(servers: Vec<Vec<SocketAddr>>, clock: &WorldClock) -> io::Result<Agents> {
        let routers = servers.len();
        let list = Arc::new(Mutex::new(List { faults: vec![AgentFault::None; routers], ..List::default() }));
        let poll = Poll::new()?;
        let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
        for router in 0..routers {
            let mut own = Vec::new();
            for _ in 0..ADDRESSES {
                let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
                own.push(listener.local_addr()?);
                poll.registry().register(&mut listener, Token(listeners.len()), Interest::READABLE)?;
                listeners.push((router, listener));
            }
            addresses.push([own[0], own[1]]);
        }
        let stop = Arc::new(AtomicBool::new(false));
        let mut serving = Loop {
            list: list.clone(),
            servers,
            next_token: listeners.len(),
            listeners,
            connections: HashMap::new(),
            poll,
            clock: clock.clone(),
            stop: stop.clone(),
        };
        let thread = std::thread::Builder::new().name("agents".into()).spawn(move || serving.run())?;
        Ok(Agents { list, addresses, clock: clock.clone(), stop, thread: Some(thread) })
    }

    fn lock(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Discovery has this change from now on; returns the moment.
    pub fn change(&self, entry: Entry) -> Micros {
        let mut list = self.lock();
        let now = self.clock.now();
        list.version += 1;
        let version = list.version;
        if entry.state == "terminated" {
            list.entries.remove(&entry.id);
        } else {
            list.entries.insert(entry.id.clone(), entry.clone());
        }
        list.changes.push((version, entry, now));
        now
    }

    /// What is wrong with a router's agent from now on.
    pub fn set_fault(&self, router: usize, fault: AgentFault) {
        self.lock().faults[router] = fault;
    }

    /// The entry of a server that is listed.
    pub fn listed(&self, server: usize) -> Option<Entry> {
        self.lock().entries.values().find(|entry| entry.server == server).cloned()
    }

    /// The whole list as a router's configuration has it.
    pub fn known(&self, addresses: &[SocketAddr]) -> Value {
        let list = self.lock();
        let entries: Vec<Value> = list.entries.values().map(|e| entry_json(e, addresses)).collect();
        json!({"version": list.version, "full": true, "servers": entries})
    }
}

impl Drop for Agents {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().into_iter().for_each(|thread| _ = thread.join());
    }
}

fn entry_json(entry: &Entry, addresses: &[SocketAddr]) -> Value {
    json!({
        "id": entry.id,
        "addr": addresses[entry.server].to_string(),
        "zone": "a",
        "kind": "k",
        "cell": entry.group,
        "state": entry.state,
        "weight": 1.0,
        "started_ms": entry.started_ms,
        "mode": if entry.primary { "read-write" } else { "read-only" },
    })
}

struct Watch {
    router: usize,
    stream: TcpStream,
    opened_at: Micros,
    request: Vec<u8>,
    /// The version that it has; `None` before its request is read.
    version: Option<u64>,
    next_line_at: Micros,
    outbound: Vec<u8>,
}

struct Loop {
    list: Arc<Mutex<List>>,
    servers: Vec<Vec<SocketAddr>>,
    listeners: Vec<(usize, TcpListener)>,
    next_token: usize,
    connections: HashMap<usize, Watch>,
    poll: Poll,
    clock: WorldClock,
    stop: Arc<AtomicBool>,
}

fn reset(stream: &TcpStream) {
    _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

impl Loop {
    fn run(&mut self) {
        let mut events = Events::with_capacity(256);
        while !self.stop.load(Ordering::Relaxed) {
            if self.poll.poll(&mut events, Some(TICK)).is_err() {
                continue;
            }
            let list = self.list.clone();
            let list = list.lock().unwrap_or_else(PoisonError::into_inner);
            for event in &events {
                let token = event.token().0;
                if token < self.listeners.len() {
                    self.accept(token, &list);
                } else {
                    self.read(token);
                }
            }
            self.write_all(&list);
        }
    }

    fn accept(&mut self, listener: usize, list: &List) {
        let (router, ref socket) = self.listeners[listener];
        while let Ok((mut stream, _)) = socket.accept() {
            if list.faults[router] == AgentFault::Down {
                reset(&stream);
                continue;
            }
            let token = self.next_token;
            self.next_token += 1;
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut stream, Token(token), interest).is_ok() {
                let opened_at = self.clock.now();
                let watch = Watch {
                    router,
                    stream,
                    opened_at,
                    request: Vec::new(),
                    version: None,
                    next_line_at: opened_at,
                    outbound: Vec::new(),
                };
                self.connections.insert(token, watch);
            }
        }
    }

    fn read(&mut self, token: usize) {
        let Some(watch) = self.connections.get_mut(&token) else { return };
        let mut bytes = [0; 1024];
        loop {
            match watch.stream.read(&mut bytes) {
                Ok(0) => break,
                Ok(count) => watch.request.extend_from_slice(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return watch.take_request(),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        self.connections.remove(&token);
    }

    fn write_all(&mut self, list: &List) {
        let now = self.clock.now();
        let servers = &self.servers;
        self.connections.retain(|_, watch| watch.write(list, &servers[watch.router], now));
    }
}

impl Watch {
    fn take_request(&mut self) {
        if self.version.is_some() || !self.request.ends_with(b"\r\n\r\n") {
            return;
        }
        let text = String::from_utf8_lossy(&self.request);
        let index = text.split("index=").nth(1).and_then(|rest| rest.split([' ', '&']).next());
        self.version = Some(index.and_then(|index| index.parse().ok()).unwrap_or(0));
        self.outbound.extend(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /// Writes what is due; `false` where the connection is over.
    fn write(&mut self, list: &List, servers: &[SocketAddr], now: Micros) -> bool {
        match list.faults[self.router] {
            AgentFault::Down => {
                reset(&self.stream);
                return false;
            }
            AgentFault::SilentBefore(moment) if self.opened_at < moment => return true,
            AgentFault::Slow(delay) if self.next_line_at + delay > now => return true,
            _ => {}
        }
        self.add_lines(list, servers, now);
        while !self.outbound.is_empty() {
            match self.stream.write(&self.outbound) {
                Ok(written) => drop(self.outbound.drain(..written)),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => break,
                Err(e) if e.kind() == ErrorKind::NotConnected => break,
                Err(_) => return false,
            }
        }
        true
    }

    fn add_lines(&mut self, list: &List, servers: &[SocketAddr], now: Micros) {
        let Some(version) = self.version else { return };
        if version == 0 && list.version > 0 {
            let entries: Vec<Value> = list.entries.values().map(|e| entry_json(e, servers)).collect();
            self.line(&json!({"version": list.version, "full": true, "servers": entries}).to_string(), now);
        } else {
            for (version, entry, _) in list.changes.iter().filter(|(v, ..)| *v > version) {
                let text =
                    json!({"version": version, "full": false, "servers": [entry_json(entry, servers)]});
                self.line(&text.to_string(), now);
            }
        }
        self.version = Some(list.version.max(version));
        if now >= self.next_line_at {
            self.line("", now);
        }
    }

    fn line(&mut self, text: &str, now: Micros) {
        self.outbound.extend(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).into_bytes());
        self.next_line_at = now + EMPTY_LINE_INTERVAL;
    }
}
