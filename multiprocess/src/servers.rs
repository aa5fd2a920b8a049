//! Stand-in MySQL servers that record what they run: a primary and its replicas for each group, a thread for each
//! server and none for a connection, so that some thousand connections of hundreds of routers cost little.
//!
//! `INSERT INTO basket VALUES ('ID')` and `SELECT n FROM basket WHERE k = 'ID'` are run and recorded by the number ID and
//! the comment's `t=TENANT`; a read gives its ID back, and the server's name. The probe is `SELECT probe`.
use crate::history::{Micros, Server, Statement};
use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use test_servers::wire::{OK, error, greeting, packets, row};

/// Whole packets at the front of a buffer are taken out of it.
pub(crate) fn take_packet(buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let head = buffer.first_chunk::<4>()?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize;
    if buffer.len() < 4 + length {
        return None;
    }
    let packet = buffer[4..4 + length].to_vec();
    buffer.drain(..4 + length);
    Some(packet)
}

/// Reads what there is; `false` at the connection's end.
pub(crate) fn read_all(stream: &mut TcpStream, into: &mut Vec<u8>) -> bool {
    let mut bytes = [0; 4096];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return false,
            Ok(n) => into.extend_from_slice(&bytes[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
}

/// Writes what can be written; `false` where the connection is broken.
pub(crate) fn write_some(stream: &mut TcpStream, from: &mut Vec<u8>) -> bool {
    while !from.is_empty() {
        match stream.write(from) {
            Ok(n) => drop(from.drain(..n)),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return true,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
    true
}

/// What all servers share.
struct Shared {
    epoch: Instant,
    service: Duration,
    tenants: HashMap<String, usize>,
    ran: Mutex<Vec<Statement>>,
    stop: AtomicBool,
}

/// The servers; they end with this.
pub struct Servers {
    shared: Arc<Shared>,
    /// Which they are, and where they listen.
    pub listed: Vec<(Server, SocketAddr)>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Servers {
    /// Starts them; statements take `service` each, and times count from `epoch`.
    ///
    /// # Errors
    /// Where no port or no thread can be had.
    pub fn start(
        servers: Vec<Server>,
        tenants: &[String],
        service: Duration,
        epoch: Instant,
    ) -> io::Result<Servers> {
        let shared = Arc::new(Shared {
            epoch,
            service,
            tenants: tenants.iter().cloned().zip(0..).collect(),
            ran: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let mut all = Servers { shared: shared.clone(), listed: Vec::new(), threads: Vec::new() };
        for (index, server) in servers.into_iter().enumerate() {
            let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            all.listed.push((server.clone(), listener.local_addr()?));
            let one = One::new(index, server, listener, shared.clone())?;
            let thread = std::thread::Builder::new().name("server".into()).stack_size(256 << 10);
            all.threads.push(thread.spawn(move || one.serve())?);
        }
        Ok(all)
    }

    /// What has run so far.
    pub fn ran(&self) -> Vec<Statement> {
        self.shared.ran.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| _ = t.join());
    }
}

struct Conn {
    stream: TcpStream,
    read: Vec<u8>,
    write: Vec<u8>,
    let_in: bool,
}

struct One {
    index: usize,
    server: Server,
    listener: TcpListener,
    shared: Arc<Shared>,
    poll: Poll,
    conns: HashMap<Token, Conn>,
    next: usize,
    /// Answers that are due later.
    due: BinaryHeap<Reverse<(Instant, Token, Vec<u8>)>>,
}

const LISTENER: Token = Token(0);
/// Looks this often whether it is to end.
const LOOKS: Duration = Duration::from_millis(100);

impl One {
    fn new(index: usize, server: Server, mut listener: TcpListener, shared: Arc<Shared>) -> io::Result<One> {
        let poll = Poll::new()?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(One {
            index,
            server,
            listener,
            shared,
            poll,
            conns: HashMap::new(),
            next: 1,
            due: BinaryHeap::new(),
        })
    }

    fn serve(mut self) {
        let mut events = Events::with_capacity(256);
        while !self.shared.stop.load(Ordering::Relaxed) {
            let now = Instant::now();
            let wait = self.due.peek().map_or(LOOKS, |Reverse((at, ..))| at.saturating_duration_since(now));
            if let Err(e) = self.poll.poll(&mut events, Some(wait.min(LOOKS)))
                && e.kind() != ErrorKind::Interrupted
            {
                return;
            }
            for event in &events {
                if event.token() == LISTENER { self.accept() } else { self.hear(event) }
            }
            let now = Instant::now();
            while self.due.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
                let Some(Reverse((_, token, bytes))) = self.due.pop() else { break };
                if let Some(conn) = self.conns.get_mut(&token) {
                    conn.write.extend(bytes);
                    if !write_some(&mut conn.stream, &mut conn.write) {
                        self.conns.remove(&token);
                    }
                }
            }
        }
    }

    fn accept(&mut self) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            let token = Token(self.next);
            self.next += 1;
            _ = stream.set_nodelay(true);
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut stream, token, interest).is_ok() {
                let mut conn = Conn { stream, read: Vec::new(), write: greeting(), let_in: false };
                if write_some(&mut conn.stream, &mut conn.write) {
                    self.conns.insert(token, conn);
                }
            }
        }
    }

    fn hear(&mut self, event: &Event) {
        let token = event.token();
        let Some(mut conn) = self.conns.remove(&token) else { return };
        let open = read_all(&mut conn.stream, &mut conn.read);
        while let Some(packet) = take_packet(&mut conn.read) {
            if !std::mem::replace(&mut conn.let_in, true) {
                conn.write.extend(packets(2, &[OK]));
                continue;
            }
            match packet.split_first() {
                Some((3, sql)) => self.asked(&mut conn, token, &String::from_utf8_lossy(sql)),
                Some((1, _)) | None => return,
                _ => conn.write.extend(packets(1, &[OK])),
            }
        }
        if open && write_some(&mut conn.stream, &mut conn.write) {
            self.conns.insert(token, conn);
        }
    }

    fn asked(&mut self, conn: &mut Conn, token: Token, sql: &str) {
        let read_only = !self.server.primary;
        if sql.starts_with("SELECT probe") {
            let beat = (test_servers::fleet::now() / 1000).to_string();
            return conn.write.extend(row(&[if read_only { "1" } else { "0" }, &beat]));
        }
        let (reads, id) = (sql.starts_with("SELECT"), sql.split('\'').nth(1).and_then(|id| id.parse().ok()));
        let Some(id) = id else {
            return conn.write.extend(error(1064, "not known here"));
        };
        if !reads && read_only {
            return conn.write.extend(error(1290, "read-only"));
        }
        let at = self.shared.epoch.elapsed().as_micros() as Micros;
        let tenant = sql.split("t=").nth(1).and_then(|t| t.split([',', ' ', '*']).next()).unwrap_or("");
        let tenant = self.shared.tenants.get(tenant).copied().unwrap_or(usize::MAX);
        let statement = Statement { id, at, server: self.index, tenant, write: !reads };
        self.shared.ran.lock().unwrap_or_else(PoisonError::into_inner).push(statement);
        let answer = if reads { row(&[&id.to_string(), &self.server.name]) } else { packets(1, &[OK]) };
        self.due.push(Reverse((Instant::now() + self.shared.service, token, answer)));
    }
}
