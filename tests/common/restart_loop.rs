//! Kills and restarts instances in turn while sessions write and read.
use super::TIMEOUT;
use super::instances::{Instances, connect, read, write};
use mysql::Conn;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};

/// Number of reads after each write of a session.
const READS_PER_WRITE: usize = 10;
/// Number of statements, of all sessions together, that have to succeed between two kills.
const STATEMENTS_BETWEEN_KILLS: usize = 30;

/// How a session chooses the instance for a statement.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum SessionPath {
    /// Sends each statement to a different instance than the one before.
    Wandering,
    /// Sends all statements to the same instance.
    Staying,
}

/// Counts of kills and of the sessions' statements.
#[derive(Default, Debug)]
pub(crate) struct LoopOutcome {
    pub(crate) kills: u64,
    pub(crate) writes: u64,
    pub(crate) reads: u64,
    /// Reads that returned an older item than the newest acknowledged write of their session.
    pub(crate) missed_writes: u64,
    /// Reads that a replica served.
    pub(crate) replica_reads: u64,
    pub(crate) errors: u64,
}

impl LoopOutcome {
    fn add(&mut self, other: &LoopOutcome) {
        self.kills += other.kills;
        self.writes += other.writes;
        self.reads += other.reads;
        self.missed_writes += other.missed_writes;
        self.replica_reads += other.replica_reads;
        self.errors += other.errors;
    }
}

/// A connection, and the port at which its instance listened when the connection was opened.
struct OpenConnection {
    port: u16,
    client: Conn,
}

/// One session's client.
struct SessionClient {
    key: String,
    path: SessionPath,
    /// Current client port of each instance.
    ports: Arc<Vec<AtomicU16>>,
    connections: Vec<Option<OpenConnection>>,
    /// Index of the instance that the current or last statement goes to.
    instance: usize,
    /// The newest item whose write was acknowledged.
    acknowledged: u64,
    outcome: LoopOutcome,
}

impl SessionClient {
    fn new(number: usize, path: SessionPath, ports: Arc<Vec<AtomicU16>>) -> SessionClient {
        let count = ports.len();
        SessionClient {
            key: format!("member-{number}"),
            path,
            ports,
            connections: (0..count).map(|_| None).collect(),
            instance: number % count,
            acknowledged: 0,
            outcome: LoopOutcome::default(),
        }
    }

    /// Writes and reads until `done` is set; reports each statement that succeeds to `succeeded`.
    fn run(mut self, done: &AtomicBool, succeeded: &SyncSender<()>) -> LoopOutcome {
        let mut item = 0;
        while !done.load(Ordering::Relaxed) {
            item += 1;
            for step in 0..=READS_PER_WRITE {
                self.choose_instance(item, step);
                if self.connected() && self.send_statement(item, step) {
                    _ = succeeded.try_send(());
                }
            }
        }
        self.outcome
    }

    fn choose_instance(&mut self, item: u64, step: usize) {
        if self.path == SessionPath::Wandering {
            self.instance = (self.instance + 1 + (item as usize + step) % 2) % self.connections.len();
        }
    }

    /// Connects to the chosen instance unless there is a connection to its current process; returns whether
    /// the connection is open.
    fn connected(&mut self) -> bool {
        let port = self.ports[self.instance].load(Ordering::Relaxed);
        let connection = &mut self.connections[self.instance];
        if connection.as_ref().is_none_or(|open| open.port != port) {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            *connection = connect(address).ok().map(|client| OpenConnection { port, client });
        }
        let is_open = connection.is_some();
        if !is_open {
            self.outcome.errors += 1;
            // The instance is down; the session tries again, possibly at another instance.
            std::thread::yield_now();
        }
        is_open
    }

    /// Writes the item in step 0, and reads it in each later step; returns whether the statement succeeded.
    fn send_statement(&mut self, item: u64, step: usize) -> bool {
        let result = if step == 0 { self.write(item) } else { self.read() };
        if result.is_err() {
            self.outcome.errors += 1;
            self.connections[self.instance] = None;
        }
        result.is_ok()
    }

    fn client(&mut self) -> &mut Conn {
        &mut self.connections[self.instance].as_mut().expect("not connected to the instance").client
    }

    fn write(&mut self, item: u64) -> mysql::Result<()> {
        let key = self.key.clone();
        write(self.client(), &key, item)?;
        self.acknowledged = item;
        self.outcome.writes += 1;
        Ok(())
    }

    fn read(&mut self) -> mysql::Result<()> {
        let key = self.key.clone();
        let result = read(self.client(), &key)?;
        self.outcome.reads += 1;
        self.outcome.missed_writes += u64::from(result.item < self.acknowledged);
        self.outcome.replica_reads += u64::from(result.server != "primary");
        Ok(())
    }
}

/// Kills and restarts instances in turn while sessions write and read.
pub(crate) fn restart_loop(
    instances: &mut Instances,
    kills: u64,
    sessions: usize,
    path: SessionPath,
) -> LoopOutcome {
    let count = instances.peer_addresses.len();
    let port_of = |instances: &Instances, i: usize| instances.address(i).port();
    let ports: Arc<Vec<AtomicU16>> =
        Arc::new((0..count).map(|i| AtomicU16::new(port_of(instances, i))).collect());
    let done = Arc::new(AtomicBool::new(false));
    let (succeeded, successes) = sync_channel(1024);
    let session = |number: usize| {
        let client = SessionClient::new(number, path, ports.clone());
        let (done, succeeded) = (done.clone(), succeeded.clone());
        std::thread::spawn(move || client.run(&done, &succeeded))
    };
    let threads: Vec<_> = (0..sessions).map(session).collect();
    let mut total = LoopOutcome::default();
    for kill in 0..kills {
        let i = kill as usize % count;
        instances.kill(i);
        instances.start(i);
        ports[i].store(port_of(instances, i), Ordering::Relaxed);
        total.kills += 1;
        // Wait until the sessions have made progress.
        (0..STATEMENTS_BETWEEN_KILLS).for_each(|_| successes.recv_timeout(TIMEOUT).unwrap());
    }
    done.store(true, Ordering::Relaxed);
    for thread in threads {
        total.add(&thread.join().unwrap());
    }
    total
}
