//! Instances killed and restarted one after the other while sessions write and read.
use super::TIMEOUT;
use super::instances::{Instances, connect, read, write};
use mysql::Conn;
use std::ops::AddAssign;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};

/// Reads that follow each write of a session.
const READS_PER_WRITE: usize = 10;
/// Statements that the sessions have answered between two kills.
const STATEMENTS_PER_KILL: usize = 30;
const MAX_UNCOUNTED_STATEMENTS: usize = 1024;

/// What a loop of kills counted.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct LoopResults {
    pub(crate) kills: u64,
    pub(crate) writes: u64,
    pub(crate) reads: u64,
    /// Reads that showed less than their session had been acknowledged.
    pub(crate) stale_reads: u64,
    /// Reads that a replica answered.
    pub(crate) replica_reads: u64,
    pub(crate) errors: u64,
}

impl AddAssign for LoopResults {
    fn add_assign(&mut self, other: LoopResults) {
        self.kills += other.kills;
        self.writes += other.writes;
        self.reads += other.reads;
        self.stale_reads += other.stale_reads;
        self.replica_reads += other.replica_reads;
        self.errors += other.errors;
    }
}

/// Where a session sends its statements.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum SessionRoute {
    /// All to one instance.
    Sticky,
    /// Each to another instance than the one before.
    Alternating,
}

/// What the loop tells the sessions.
struct Shared {
    /// The port of each instance; a restarted one has another.
    ports: Vec<AtomicU64>,
    done: AtomicBool,
}

/// A connection, and the port that it was opened to.
struct OpenConnection {
    port: u64,
    connection: Conn,
}

/// One session and its connections to the instances.
struct Session {
    key: String,
    route: SessionRoute,
    shared: Arc<Shared>,
    answered: SyncSender<()>,
    connections: Vec<Option<OpenConnection>>,
    instance: usize,
    /// The number of the latest write, acknowledged or not.
    latest: u64,
    acknowledged: u64,
    results: LoopResults,
}

impl Session {
    fn new(number: usize, route: SessionRoute, shared: Arc<Shared>, answered: SyncSender<()>) -> Session {
        let instances = shared.ports.len();
        Session {
            key: format!("member-{number}"),
            route,
            shared,
            answered,
            connections: (0..instances).map(|_| None).collect(),
            instance: number % instances,
            latest: 0,
            acknowledged: 0,
            results: LoopResults::default(),
        }
    }

    fn run(mut self) -> LoopResults {
        while !self.shared.done.load(Ordering::Relaxed) {
            self.latest += 1;
            (0..=READS_PER_WRITE).for_each(|step| self.step(step));
        }
        self.results
    }

    /// Step 0 writes, the others read.
    fn step(&mut self, step: usize) {
        if self.route == SessionRoute::Alternating {
            let offset = 1 + (self.latest as usize + step) % 2;
            self.instance = (self.instance + offset) % self.connections.len();
        }
        let Some(mut open) = self.take_connection() else {
            self.results.errors += 1;
            // The instance is down: the next one may not be.
            std::thread::yield_now();
            return;
        };
        let ended =
            if step == 0 { self.write(&mut open.connection) } else { self.read(&mut open.connection) };
        match ended {
            Ok(()) => {
                _ = self.answered.try_send(());
                self.connections[self.instance] = Some(open);
            }
            Err(_) => self.results.errors += 1,
        }
    }

    /// The connection to the instance at hand, opened anew where the instance has been restarted.
    fn take_connection(&mut self) -> Option<OpenConnection> {
        let port = self.shared.ports[self.instance].load(Ordering::Relaxed);
        let open = self.connections[self.instance].take().filter(|open| open.port == port);
        open.or_else(|| {
            let connection = connect(([127, 0, 0, 1], port as u16).into()).ok()?;
            Some(OpenConnection { port, connection })
        })
    }

    fn write(&mut self, connection: &mut Conn) -> mysql::Result<()> {
        write(connection, &self.key, self.latest)?;
        self.acknowledged = self.latest;
        self.results.writes += 1;
        Ok(())
    }

    fn read(&mut self, connection: &mut Conn) -> mysql::Result<()> {
        let (value, server) = read(connection, &self.key)?;
        self.results.reads += 1;
        self.results.stale_reads += u64::from(value < self.acknowledged);
        self.results.replica_reads += u64::from(server != "primary");
        Ok(())
    }
}

/// Kills and restarts instances one after the other while sessions write and read.
pub(crate) fn restart_loop(
    instances: &mut Instances,
    kills: u64,
    sessions: usize,
    route: SessionRoute,
) -> LoopResults {
    let count = instances.peer_listeners.len();
    let ports = (0..count).map(|i| AtomicU64::new(u64::from(instances.addr(i).port()))).collect();
    let shared = Arc::new(Shared { ports, done: AtomicBool::new(false) });
    let (answered, statements) = sync_channel(MAX_UNCOUNTED_STATEMENTS);
    let threads: Vec<_> = (0..sessions)
        .map(|number| Session::new(number, route, shared.clone(), answered.clone()))
        .map(|session| std::thread::spawn(move || session.run()))
        .collect();
    let mut total = LoopResults { kills, ..LoopResults::default() };
    for kill in 0..kills {
        let i = kill as usize % count;
        instances.kill(i);
        instances.start(i);
        shared.ports[i].store(u64::from(instances.addr(i).port()), Ordering::Relaxed);
        // The sessions go on in between.
        (0..STATEMENTS_PER_KILL).for_each(|_| statements.recv_timeout(TIMEOUT).unwrap());
    }
    shared.done.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| total += thread.join().unwrap());
    total
}
