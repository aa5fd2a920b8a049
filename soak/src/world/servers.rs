//! The stand-in servers: a primary and its replicas for each group, one thread for all of them. Each pair of a router and a
//! server has a listener of its own, which is the near end of their link.
use super::clock::WorldClock;
use super::link::{Inbound, LinkFault, message_length, startup_length};
use super::wire::{error, message, pair, parameter, ready, row};
use crate::history::{Arrival, Class, Micros, Recorder, SECOND};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use socket2::SockRef;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long one request takes a core.
pub const SERVICE: Micros = 20_000;
/// Cores of a server.
const CORES: usize = 2;
/// Requests that a server holds; more are turned away.
const PLACES: usize = 60;
/// How far a replica is behind as a rule.
const USUAL_LAG: Micros = 20_000;
/// How long a demoted primary may still be taken for one.
const DEMOTED_EXCUSE: Micros = 5 * SECOND;
/// The loop looks at least this often whether something was changed.
const TICK: Duration = Duration::from_millis(3);

/// Requests a second that a warm server can do.
pub const CAPACITY: f64 = CORES as f64 * SECOND as f64 / SERVICE as f64;

/// A server, as the troubles change it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its group.
    pub group: usize,
    /// It is the primary of its group.
    pub primary: bool,
    /// When it was last a primary.
    pub last_primary_at: Option<Micros>,
    /// Its process runs.
    pub alive: bool,
    /// It takes work and answers nothing.
    pub hung: bool,
    /// It answers nonsense.
    pub garbage: bool,
    /// It resets connections under requests.
    pub resets: bool,
    /// It applies nothing.
    pub lags: bool,
    /// All that was committed up to here is applied.
    position: Micros,
    /// Its connections of before this are reset.
    reset_before: Micros,
    /// Until when each core is busy.
    busy_until: [Micros; CORES],
    holds: usize,
}

/// The servers and their links, shared with whoever makes the troubles.
pub struct Shared {
    /// The servers.
    pub servers: Vec<Server>,
    /// Faults by router, then by server.
    pub links: Vec<Vec<LinkFault>>,
    /// Connections of these links that were opened before these moments are forgotten: the next byte brings a reset.
    pub forgotten_before: Vec<Vec<Micros>>,
}

/// A handle of the servers; they end when it is dropped.
pub struct Servers {
    shared: Arc<Mutex<Shared>>,
    /// Addresses by router, then by server.
    pub addresses: Vec<Vec<SocketAddr>>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Servers {
    /// Starts `groups` groups of a primary and `replicas` replicas, reached by `routers` routers.
    ///
    /// # Errors
    /// Where no port or no thread can be had.
    pub fn start(
        routers: usize,
        groups: usize,
        replicas: usize,
        clock: &WorldClock,
        recorder: &Recorder,
    ) -> io::Result<Servers> {
        let count = groups * (replicas + 1);
        let server = |index: usize| Server {
            group: index / (replicas + 1),
            primary: index.is_multiple_of(replicas + 1),
            last_primary_at: None,
            alive: true,
            hung: false,
            garbage: false,
            resets: false,
            lags: false,
            position: 0,
            reset_before: 0,
            busy_until: [0; CORES],
            holds: 0,
        };
        let shared = Arc::new(Mutex::new(Shared {
            servers: (0..count).map(server).collect(),
            links: vec![vec![LinkFault::default(); count]; routers],
            forgotten_before: vec![vec![0; count]; routers],
        }));
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        let mut addresses = vec![Vec::new(); routers];
        for (router, own) in addresses.iter_mut().enumerate() {
            for server in 0..count {
                let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
                own.push(listener.local_addr()?);
                poll.registry().register(&mut listener, Token(listeners.len()), Interest::READABLE)?;
                listeners.push((router, server, listener));
            }
        }
        let stop = Arc::new(AtomicBool::new(false));
        let mut serving = Loop {
            shared: shared.clone(),
            poll,
            next_token: listeners.len(),
            listeners,
            connections: HashMap::new(),
            due: BinaryHeap::new(),
            clock: clock.clone(),
            recorder: recorder.clone(),
            stop: stop.clone(),
        };
        let thread = std::thread::Builder::new().name("servers".into()).spawn(move || serving.run())?;
        Ok(Servers { shared, addresses, stop, thread: Some(thread) })
    }

    /// The servers' state, for as long as the guard lives.
    pub fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A server's process dies: its connections are reset, and new ones are refused.
    pub fn crash(&self, server: usize, now: Micros) {
        let mut shared = self.lock();
        let server = &mut shared.servers[server];
        (server.alive, server.reset_before, server.holds) = (false, now, 0);
        server.busy_until = [0; CORES];
    }

    /// A server's process starts, as a replica unless nobody else is primary.
    pub fn revive(&self, server: usize) {
        self.lock().servers[server].alive = true;
    }

    /// Another member of the group becomes primary, with all that was committed.
    pub fn fail_over(&self, server: usize, now: Micros) {
        let mut shared = self.lock();
        let group = shared.servers[server].group;
        let of_group = |s: &Server| s.group == group;
        let heir = (0..shared.servers.len())
            .filter(|i| {
                of_group(&shared.servers[*i]) && shared.servers[*i].alive && !shared.servers[*i].primary
            })
            .max_by_key(|i| shared.servers[*i].position);
        let Some(heir) = heir else { return };
        for (index, other) in shared.servers.iter_mut().enumerate().filter(|(_, s)| s.group == group) {
            if other.primary {
                other.last_primary_at = Some(now);
            }
            other.primary = index == heir;
        }
        let heir = &mut shared.servers[heir];
        (heir.position, heir.last_primary_at) = (now, Some(now));
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().into_iter().for_each(|thread| _ = thread.join());
    }
}

struct Connection {
    router: usize,
    server: usize,
    opened_at: Micros,
    stream: TcpStream,
    inbound: Inbound,
    outbound: Vec<u8>,
    started: bool,
    /// When trickled bytes are written next.
    trickle_at: Micros,
}

/// What is due at a time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A request on this connection is through; its place in the record of arrivals.
    Answer(usize, usize),
    /// A connection is looked at again.
    Look(usize),
}

struct Loop {
    shared: Arc<Mutex<Shared>>,
    poll: Poll,
    listeners: Vec<(usize, usize, TcpListener)>,
    next_token: usize,
    connections: HashMap<usize, Connection>,
    due: BinaryHeap<Reverse<(Micros, Due)>>,
    clock: WorldClock,
    recorder: Recorder,
    stop: Arc<AtomicBool>,
}

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) {
    _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

impl Loop {
    fn run(&mut self) {
        let mut events = Events::with_capacity(512);
        while !self.stop.load(Ordering::Relaxed) {
            let now = self.clock.now();
            let wait = self.due.peek().map_or(Micros::MAX, |Reverse((at, _))| (*at - now).max(0));
            let wait = Duration::from_micros(wait as u64).min(TICK);
            if self.poll.poll(&mut events, Some(wait)).is_err() {
                continue;
            }
            let shared = self.shared.clone();
            let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
            self.advance_replication(&mut shared);
            self.reset_connections(&shared);
            for event in &events {
                let token = event.token().0;
                if token < self.listeners.len() {
                    self.accept(token, &shared);
                } else {
                    self.read(token, &mut shared);
                }
            }
            self.carry_out_due(&mut shared);
            self.write_all(&shared);
        }
    }

    fn advance_replication(&self, shared: &mut Shared) {
        let now = self.clock.now();
        for server in shared.servers.iter_mut().filter(|s| s.alive) {
            if server.primary {
                (server.position, server.last_primary_at) = (now, Some(now));
            } else if !server.lags {
                server.position = server.position.max(now - USUAL_LAG);
            }
        }
    }

    /// Resets what a crash or a forgetful link has ended.
    fn reset_connections(&mut self, shared: &Shared) {
        self.connections.retain(|_, c| {
            let ends = c.opened_at < shared.servers[c.server].reset_before;
            if ends {
                reset(&c.stream);
            }
            !ends
        });
    }

    fn accept(&mut self, listener: usize, shared: &Shared) {
        let (router, server, ref socket) = self.listeners[listener];
        while let Ok((mut stream, _)) = socket.accept() {
            if !shared.servers[server].alive {
                reset(&stream);
                continue;
            }
            _ = stream.set_nodelay(true);
            let token = self.next_token;
            self.next_token += 1;
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut stream, Token(token), interest).is_err() {
                continue;
            }
            let opened_at = self.clock.now();
            let connection = Connection {
                router,
                server,
                opened_at,
                stream,
                inbound: Inbound::default(),
                outbound: Vec::new(),
                started: false,
                trickle_at: 0,
            };
            self.connections.insert(token, connection);
        }
    }

    fn read(&mut self, token: usize, shared: &mut Shared) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        if self.read_connection(token, &mut connection, shared) {
            self.connections.insert(token, connection);
        }
    }

    /// Reads what there is; `false` where the connection is over.
    fn read_connection(&mut self, token: usize, connection: &mut Connection, shared: &mut Shared) -> bool {
        let (router, server) = (connection.router, connection.server);
        let fault = shared.links[router][server];
        let now = self.clock.now();
        let mut bytes = [0; 4096];
        loop {
            match connection.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(count) => {
                    if connection.opened_at < shared.forgotten_before[router][server] {
                        reset(&connection.stream);
                        return false;
                    }
                    connection.inbound.push(&bytes[..count], now, fault.delay);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        self.take_messages(token, connection, shared)
    }

    /// Hands the server what has come through; `false` where the connection is over.
    fn take_messages(&mut self, token: usize, connection: &mut Connection, shared: &mut Shared) -> bool {
        let now = self.clock.now();
        if shared.links[connection.router][connection.server].deaf_there {
            self.due.push(Reverse((now + 50_000, Due::Look(token))));
            return true;
        }
        if !connection.started {
            if connection.inbound.take(now, startup_length).is_none() {
                return true;
            }
            connection.started = true;
            connection.outbound.extend([message(b'R', &[0; 4]), ready()].concat());
        }
        while let Some((bytes, first_byte_at, last_byte_at)) = connection.inbound.take(now, message_length) {
            let statement = String::from_utf8_lossy(&bytes[5..]).trim_end_matches('\0').to_string();
            let arrived = Came { token, first_byte_at, last_byte_at };
            if bytes[0] != b'Q' || !self.statement(&arrived, connection, &statement, shared) {
                return false;
            }
        }
        if let Some(at) = connection.inbound.next_due(now) {
            self.due.push(Reverse((at, Due::Look(token))));
        }
        true
    }

    /// Takes a statement; `false` where the connection ends over it.
    fn statement(
        &mut self,
        came: &Came,
        connection: &mut Connection,
        statement: &str,
        shared: &mut Shared,
    ) -> bool {
        let now = self.clock.now();
        let server = &mut shared.servers[connection.server];
        if statement.is_empty() {
            connection.outbound.extend([message(b'I', &[]), ready()].concat());
            return true;
        }
        if statement == "SHOW stats" {
            if !server.hung {
                let position = self.clock.wall(server.position) as f64 / SECOND as f64;
                let stats = format!("x0={position:.6},x1={},util=0.1,queue=0", u8::from(server.primary));
                connection.outbound.extend([row(&stats), ready()].concat());
            }
            return true;
        }
        let number = |name| pair(statement, name).and_then(|text| i64::from_str_radix(text, 16).ok());
        let Some(id) = number("id") else {
            connection.outbound.extend([error("08P01"), ready()].concat());
            return true;
        };
        let told_ms = pair(statement, "d").and_then(|text| text.parse().ok()).unwrap_or(0);
        let class = Class::ALL.into_iter().find(|class| Some(class.name()) == pair(statement, "c"));
        let demoted = |at: Micros| now - at < DEMOTED_EXCUSE;
        let place = {
            let mut history = self.recorder.lock();
            history.arrivals.push(Arrival {
                id: id as u64,
                router: connection.router,
                server: connection.server,
                first_byte_at: came.first_byte_at,
                last_byte_at: came.last_byte_at,
                reached_at: Some(now),
                told_ms,
                ran_at: None,
                position: server.position,
                was_primary: server.last_primary_at.is_some_and(demoted),
            });
            history.arrivals.len() - 1
        };
        // One that hangs takes work all the same, and runs it: only its answers do not come.
        if class.is_some_and(Class::is_write) && !server.primary {
            if !server.hung {
                let refusal = [error("25006"), parameter("mode", "read-only"), ready()].concat();
                connection.outbound.extend(refusal);
            }
            return true;
        }
        if server.holds >= PLACES {
            if !server.hung {
                connection.outbound.extend([error("53300"), ready()].concat());
            }
            return true;
        }
        server.holds += 1;
        let core = (0..CORES).min_by_key(|core| server.busy_until[*core]).unwrap_or(0);
        let done_at = server.busy_until[core].max(now) + SERVICE;
        server.busy_until[core] = done_at;
        self.due.push(Reverse((done_at, Due::Answer(came.token, place))));
        true
    }

    fn carry_out_due(&mut self, shared: &mut Shared) {
        while self.due.peek().is_some_and(|Reverse((at, _))| *at <= self.clock.now()) {
            let Some(Reverse((_, due))) = self.due.pop() else { return };
            match due {
                Due::Look(token) => {
                    let Some(mut connection) = self.connections.remove(&token) else { continue };
                    if self.take_messages(token, &mut connection, shared) {
                        self.connections.insert(token, connection);
                    }
                }
                Due::Answer(token, place) => self.answer(token, place, shared),
            }
        }
    }

    /// A request is through its work: it has run, whether or not anybody hears of it.
    fn answer(&mut self, token: usize, place: usize, shared: &mut Shared) {
        let now = self.clock.now();
        let mut history = self.recorder.lock();
        let arrival = &mut history.arrivals[place];
        let server = &mut shared.servers[arrival.server];
        server.holds = server.holds.saturating_sub(1);
        // A process that died meanwhile has run nothing; one whose caller gave up stops the work.
        if !server.alive || arrival.reached_at.is_some_and(|at| at < server.reset_before) {
            return;
        }
        let Some(connection) = self.connections.get_mut(&token) else { return };
        arrival.ran_at = Some(now);
        arrival.position = server.position;
        if server.hung {
            return;
        }
        let value = format!("{:x}.{}.{place}", arrival.id, arrival.server);
        drop(history);
        let mode = if server.primary { "read-write" } else { "read-only" };
        // Positions are rounded down, commits up.
        let position_ms = self.clock.wall(server.position).div_euclid(1000) + i64::from(server.primary);
        let notes = [parameter("mode", mode), parameter("wal_time", &position_ms.to_string())].concat();
        let answer = [row(&value), notes, ready()].concat();
        if server.garbage {
            connection.outbound.extend([&row("nobody's")[..40], b"\x15\x07 noise"].concat());
            return;
        }
        if server.resets {
            connection.outbound.extend(&answer[..answer.len() / 2]);
            _ = connection.stream.write(&connection.outbound);
            reset(&connection.stream);
            self.connections.remove(&token);
            return;
        }
        connection.outbound.extend(answer);
    }

    fn write_all(&mut self, shared: &Shared) {
        let now = self.clock.now();
        self.connections.retain(|_, c| {
            let fault = shared.links[c.router][c.server];
            if c.outbound.is_empty() || fault.deaf_back {
                return true;
            }
            write(c, &fault, now)
        });
    }
}

/// What is known of a statement's way: its connection, and when its first and last byte came to the link.
struct Came {
    token: usize,
    first_byte_at: Micros,
    last_byte_at: Micros,
}

/// Writes what the link lets through; `false` where the connection is over.
fn write(connection: &mut Connection, fault: &LinkFault, now: Micros) -> bool {
    if let Some(after) = fault.reset_after.filter(|after| connection.outbound.len() > *after) {
        _ = connection.stream.write(&connection.outbound[..after]);
        reset(&connection.stream);
        return false;
    }
    let most = if fault.trickle { 1 } else { usize::MAX };
    if fault.trickle && now < connection.trickle_at {
        return true;
    }
    connection.trickle_at = now + 1000;
    let length = connection.outbound.len().min(most);
    match connection.stream.write(&connection.outbound[..length]) {
        Ok(written) => {
            connection.outbound.drain(..written);
            true
        }
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => true,
        Err(_) => {
            _ = connection.stream.shutdown(Shutdown::Both);
            false
        }
    }
}
