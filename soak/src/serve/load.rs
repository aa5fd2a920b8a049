//! The clients of `serve`: each stands for a session that wanders between the routers, adds to its basket and reads it.
use crate::history::{Class, Ending, Micros, Recorder, Request, SECOND, SessionRead};
use crate::plan::Plan;
use crate::world::clock::WorldClock;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use test_servers::replication_group::ReplicationGroup;

/// Reads that follow each write.
const READS: usize = 4;
/// A client waits this long for an answer.
const TIMEOUT: Duration = Duration::from_secs(8);
/// A connection that was not used for this long may be ended by the router as a request is on its way.
const IDLE: Micros = 1_500_000;

/// The clients' threads; they end with [`Load::end`].
pub(super) struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

struct Open {
    conn: Conn,
    opened_at: Micros,
    used_at: Micros,
}

struct Session {
    name: String,
    rng: fastrand::Rng,
    routers: Vec<SocketAddr>,
    /// A connection to each router.
    open: Vec<Option<Open>>,
    clock: WorldClock,
    recorder: Recorder,
    think: Micros,
    next_id: u64,
}

impl Load {
    pub(super) fn start(
        plan: &Plan,
        seed: u64,
        routers: &[SocketAddr],
        clock: &WorldClock,
        recorder: &Recorder,
        _fleet: &ReplicationGroup,
    ) -> io::Result<Load> {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for client in 0..plan.clients {
            let mut session = Session {
                name: format!("member-{client}"),
                rng: fastrand::Rng::with_seed(seed * 1000 + client as u64),
                routers: routers.to_vec(),
                open: routers.iter().map(|_| None).collect(),
                clock: clock.clone(),
                recorder: recorder.clone(),
                think: plan.think_ms as Micros * 1000,
                next_id: (client as u64) << 32,
            };
            let stop = stop.clone();
            let thread = std::thread::Builder::new().name("session".into());
            threads.push(thread.spawn(move || session.run(&stop))?);
        }
        Ok(Load { stop, threads })
    }

    /// Ends the load and waits for the clients.
    pub(super) fn end(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.end();
    }
}

impl Session {
    fn run(&mut self, stop: &AtomicBool) {
        let (mut told, mut next) = (0, 0);
        while !stop.load(Ordering::Relaxed) {
            next += 1;
            let name = self.name.clone();
            let statement =
                format!("INSERT INTO basket VALUES ('{name}', {next}) /* c=basket-add,s={name} */");
            if self.request(Class::Write, &statement) == Some(None) {
                told = next;
            }
            for _ in 0..READS {
                let statement =
                    format!("SELECT n FROM basket WHERE k = '{name}' /* c=basket-read,s={name} */");
                let at = self.clock.now();
                if let Some(Some(seen)) = self.request(Class::Session, &statement) {
                    let read = SessionRead { session: name.clone(), told, seen, at };
                    self.recorder.lock().session_reads.push(read);
                }
            }
            let pause = self.rng.i64(0..2 * self.think.max(1));
            std::thread::sleep(Duration::from_micros(pause as u64));
        }
    }

    /// Makes a request at some router: `None` where it was not served, else the number that a read gave.
    fn request(&mut self, class: Class, statement: &str) -> Option<Option<u64>> {
        let router = self.rng.usize(..self.routers.len());
        let now = self.clock.now();
        let fresh = self.open[router].is_none();
        if fresh {
            let address = self.routers[router];
            self.open[router] = connect(address).ok().map(|conn| Open { conn, opened_at: now, used_at: now });
        }
        let Open { conn, opened_at, used_at } = self.open[router].as_mut()?;
        let opened_at = *opened_at;
        let rested = now - std::mem::replace(used_at, now) > IDLE;
        let sent_at = self.clock.now();
        let answer = conn.query_first::<(String, String), _>(statement);
        let ended_at = self.clock.now();
        let ending = match &answer {
            Ok(row) => Ending::Served(row.as_ref().map(|(n, _)| n.clone()).unwrap_or_default()),
            Err(mysql::Error::MySqlError(error)) => Ending::Error(error.code.to_string()),
            Err(_) => Ending::Closed,
        };
        self.next_id += 1;
        if ending == Ending::Closed {
            self.open[router] = None;
        }
        let served = matches!(ending, Ending::Served(_));
        self.recorder.lock().requests.push(Request {
            id: self.next_id,
            router,
            connection: 0,
            opened_at,
            // A connection that rested may be ended as a request is on its way.
            place: usize::from(rested),
            class,
            group: 0,
            sent_at,
            wait: 3 * SECOND,
            after: None,
            ending,
            ended_at,
            cancelled_at: None,
        });
        let seen = answer.ok().flatten().and_then(|(n, _)| n.parse().ok());
        served.then_some(seen)
    }
}

fn connect(address: SocketAddr) -> mysql::Result<Conn> {
    let options = OptsBuilder::new()
        .ip_or_hostname(Some(address.ip().to_string()))
        .tcp_port(address.port())
        .prefer_socket(false)
        .user(Some("till"))
        .pass(Some("secret"))
        .db_name(Some("shop"))
        .tcp_connect_timeout(Some(Duration::from_millis(500)))
        .read_timeout(Some(TIMEOUT));
    Conn::new(options)
}
