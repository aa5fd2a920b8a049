//! A primary and its replicas: one log of commits, and for each server how far it has applied it. A replica shows what
//! was committed a lag ago, as its heartbeat tells; nothing is shown that it has not applied.
//!
//! Statements: `INSERT INTO basket VALUES ('SESSION', N)` adds an item, `SELECT n FROM basket WHERE k = 'SESSION'`
//! gives the newest item that this server shows and the server's name; the probe is `SELECT probe`.
use crate::wire::{OK, error, greet, packets, read, row};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds of Unix time.
pub type Micros = i64;

/// The time by the servers' clock.
pub fn unix_micros() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

struct Server {
    name: String,
    addr: SocketAddr,
    read_only: bool,
    lag: Micros,
    /// What it had applied when its lag was changed.
    applied_before: Micros,
    /// It applies nothing that was committed later.
    stopped_at: Option<Micros>,
    /// It answers nothing but probes,
    hung: bool,
    /// or not even these.
    silent: bool,
    /// Writes run, and their answers are kept back.
    holds_answers: bool,
    open: Vec<TcpStream>,
    /// Statements that wait for an answer while it hangs.
    waiting: usize,
    reads: usize,
    last_read: Option<Instant>,
    writes: usize,
    probes: usize,
}

impl Server {
    /// It has applied what was committed up to here.
    fn applied(&self, at: Micros) -> Micros {
        (at - self.lag).max(self.applied_before).min(self.stopped_at.unwrap_or(at))
    }
}

#[derive(Default)]
struct World {
    /// For each session, its items in the order of their commits.
    log: HashMap<String, Vec<(Micros, u64)>>,
    servers: Vec<Server>,
    /// Writes that ran and whose answers were kept back.
    held: usize,
}

/// The servers.
#[derive(Clone)]
pub struct ReplicationGroup {
    world: Arc<Mutex<World>>,
    changed: Arc<Condvar>,
    /// Heartbeats are written this often.
    heartbeat: Micros,
}

/// What a server has done so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Reads answered.
    pub reads: usize,
    /// Writes run.
    pub writes: usize,
    /// Probes answered.
    pub probes: usize,
}

impl ReplicationGroup {
    /// Starts `primary` and this many replicas, `replica-1` and so on, with a lag each.
    pub fn start(lags: &[Duration], heartbeat: Duration) -> ReplicationGroup {
        let heartbeat = (heartbeat.as_micros() as Micros).max(1);
        let group = ReplicationGroup { world: Arc::default(), changed: Arc::default(), heartbeat };
        group.add("primary".into(), false, Duration::ZERO);
        for (n, lag) in lags.iter().enumerate() {
            group.add(format!("replica-{}", n + 1), true, *lag);
        }
        group
    }

    fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn add(&self, name: String, read_only: bool, lag: Duration) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
        let addr = listener.local_addr().expect("its address");
        let mut world = self.world();
        let index = world.servers.len();
        world.servers.push(Server {
            name,
            addr,
            read_only,
            lag: lag.as_micros() as Micros,
            applied_before: 0,
            stopped_at: None,
            hung: false,
            silent: false,
            holds_answers: false,
            open: Vec::new(),
            waiting: 0,
            reads: 0,
            last_read: None,
            writes: 0,
            probes: 0,
        });
        drop(world);
        let own = self.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let own = own.clone();
                if let Ok(s) = socket.try_clone() {
                    own.world().servers[index].open.push(s);
                }
                std::thread::spawn(move || _ = own.talk(index, &socket));
            }
        });
    }

    /// Name and address of each server.
    pub fn servers(&self) -> Vec<(String, SocketAddr)> {
        self.world().servers.iter().map(|s| (s.name.clone(), s.addr)).collect()
    }

    fn change(&self, server: usize, how: impl FnOnce(&mut Server)) {
        how(&mut self.world().servers[server]);
        self.changed.notify_all();
    }

    /// Sets how far a replica lags.
    pub fn set_lag(&self, server: usize, lag: Duration) {
        self.change(server, |s| {
            // What is applied is never undone, however far behind it is from now on.
            s.applied_before = s.applied(unix_micros());
            s.lag = lag.as_micros() as Micros;
        });
    }

    /// Stops replication at all replicas: they show what was committed by now and nothing else.
    pub fn stop_replication(&self) {
        let at = unix_micros();
        let mut world = self.world();
        world.servers.iter_mut().filter(|s| s.read_only).for_each(|s| s.stopped_at = Some(at - s.lag));
    }

    /// Makes a server answer probes only, or lets it go on.
    pub fn set_hung(&self, server: usize, hung: bool) {
        self.change(server, |s| s.hung = hung);
    }

    /// Statements at a server that hangs: the places that routers hold there.
    pub fn blocked_statements(&self, server: usize) -> usize {
        self.world().servers[server].waiting
    }

    /// Keeps the answers of writes back, which run all the same.
    pub fn withhold_write_answers(&self, server: usize, held: bool) {
        self.change(server, |s| s.holds_answers = held);
    }

    /// Waits until this many writes have run whose answers were kept back.
    pub fn wait_for_withheld_answers(&self, writes: usize, at_most: Duration) -> bool {
        let world = self.world();
        let waited = self.changed.wait_timeout_while(world, at_most, |w| w.held < writes);
        waited.is_ok_and(|(w, _)| w.held >= writes)
    }

    /// The primary is gone for good; a replica that has all its commits takes over.
    pub fn promote(&self, to: usize) {
        let mut world = self.world();
        for s in world.servers.iter_mut().filter(|s| !s.read_only) {
            s.read_only = true;
            s.silent = true;
            s.open.drain(..).for_each(|s| _ = s.shutdown(Shutdown::Both));
        }
        let s = &mut world.servers[to];
        (s.read_only, s.lag, s.stopped_at) = (false, 0, None);
        drop(world);
        self.changed.notify_all();
    }

    /// The writes that have run, by session, in the order of their commits.
    pub fn writes_by_session(&self) -> Vec<(String, Vec<u64>)> {
        let numbers = |items: &Vec<(Micros, u64)>| items.iter().map(|(_, n)| *n).collect();
        self.world().log.iter().map(|(session, items)| (session.clone(), numbers(items))).collect()
    }

    /// What a server has done.
    pub fn counts(&self, server: usize) -> Counts {
        let s = &self.world().servers[server];
        Counts { reads: s.reads, writes: s.writes, probes: s.probes }
    }

    /// When a server was last asked for a read.
    pub fn last_read(&self, server: usize) -> Option<Instant> {
        self.world().servers[server].last_read
    }

    fn talk(&self, index: usize, mut socket: &TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        // One that is gone accepts no one.
        if self.world().servers[index].silent {
            return socket.shutdown(Shutdown::Both);
        }
        greet(socket)?;
        loop {
            let body = read(socket)?;
            let answer = match body.split_first() {
                Some((3, sql)) => match self.run(index, &String::from_utf8_lossy(sql)) {
                    Some(answer) => answer,
                    None => return Ok(()),
                },
                Some((1, _)) | None => return Ok(()),
                _ => packets(1, &[OK]),
            };
            socket.write_all(&answer)?;
        }
    }

    /// Waits until the server answers; `None` when it is gone.
    fn until(&self, index: usize, held: impl Fn(&Server) -> bool) -> Option<MutexGuard<'_, World>> {
        let world = self.world();
        let wait = |w: &mut World| held(&w.servers[index]) && !w.servers[index].silent;
        let world = self.changed.wait_while(world, wait).unwrap_or_else(|p| p.into_inner());
        (!world.servers[index].silent).then_some(world)
    }

    fn run(&self, index: usize, sql: &str) -> Option<Vec<u8>> {
        if sql == "SELECT probe" {
            let mut world = self.until(index, |_| false)?;
            let s = &mut world.servers[index];
            s.probes += 1;
            let at = unix_micros();
            let applied = s.applied(at) / self.heartbeat * self.heartbeat;
            let cells = [(applied / 1000).to_string(), (at / 1000).to_string()];
            return Some(row(&[if s.read_only { "1" } else { "0" }, &cells[0], &cells[1]]));
        }
        if sql.starts_with("SELECT @@") {
            // What clients ask about a server when they connect.
            return Some(row(&vec!["1048576"; sql.matches("@@").count()]));
        }
        self.change(index, |s| s.waiting += 1);
        let answers = self.until(index, |s| s.hung).map(drop);
        self.change(index, |s| s.waiting -= 1);
        answers?;
        let mut world = self.world();
        let quoted: Vec<&str> = sql.split('\'').collect();
        let (Some(key), Some(rest)) = (quoted.get(1), quoted.get(2)) else {
            return Some(error(1064, "not known here"));
        };
        if sql.starts_with("SELECT") {
            let s = &mut world.servers[index];
            s.reads += 1;
            s.last_read = Some(Instant::now());
            let (name, shown) = (s.name.clone(), s.applied(unix_micros()));
            let items = world.log.get(*key).map(Vec::as_slice).unwrap_or_default();
            let newest = items.iter().filter(|(at, _)| *at <= shown).map(|(_, n)| *n).max().unwrap_or(0);
            return Some(row(&[&newest.to_string(), &name]));
        }
        let s = &mut world.servers[index];
        if s.read_only {
            return Some(error(1290, "read-only"));
        }
        s.writes += 1;
        let held = s.holds_answers;
        let n = rest.trim_matches(|c: char| !c.is_ascii_digit());
        let n = n.split(|c: char| !c.is_ascii_digit()).next().and_then(|n| n.parse().ok()).unwrap_or(0);
        world.log.entry(key.to_string()).or_default().push((unix_micros(), n));
        if held {
            world.held += 1;
            drop(world);
            self.changed.notify_all();
            drop(self.until(index, |s| s.holds_answers)?);
        }
        Some(packets(1, &[OK]))
    }
}
