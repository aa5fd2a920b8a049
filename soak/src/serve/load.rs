//! The clients of `serve`. Each client is one session that picks a random router for each request, writes to
//! its basket and reads it back.
use super::settings::{CLIENT_PASSWORD, CLIENT_USER, DATABASE, READ_CLASS, WRITE_CLASS};
use crate::class::Class;
use crate::environment::clock::RunClock;
use crate::environment::service_thread::StopSignal;
use crate::history::{Outcome, Recorder, Request, SessionRead};
use crate::plan::Plan;
use crate::time::{MILLISECOND, Micros, SECOND};
use fastrand::Rng;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

/// The number of reads after each write.
const READS_PER_WRITE: usize = 4;
/// The read timeout of a client connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// The timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time within which a router has to respond to a request.
const REQUEST_TIMEOUT: Micros = 3 * SECOND;
/// A router may close a connection that was idle for this long just as the client sends a request.
const IDLE_TIMEOUT: Micros = 1_500_000;
/// The factor between a run's seed and its sessions' seeds, so that runs with different seeds share none.
const SESSIONS_PER_SEED: u64 = 1000;
/// The request ids of a session start at the session's index, shifted left by this many bits.
const SESSION_ID_SHIFT: u32 = 32;

/// The client threads. They end with [`Load::end`] or when this value is dropped.
pub(super) struct Load {
    stop: StopSignal,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts a thread for each client of the plan.
    pub(super) fn start(
        plan: &Plan,
        seed: u64,
        routers: &[SocketAddr],
        clock: &RunClock,
        recorder: &Recorder,
    ) -> io::Result<Load> {
        let stop = StopSignal::default();
        let mut threads = Vec::new();
        for client in 0..plan.clients as u64 {
            let mut session = Session {
                name: format!("member-{client}"),
                rng: Rng::with_seed(seed * SESSIONS_PER_SEED + client),
                routers: routers.to_vec(),
                connections: routers.iter().map(|_| None).collect(),
                clock: clock.clone(),
                recorder: recorder.clone(),
                think_time: plan.think_ms as Micros * MILLISECOND,
                last_request: client << SESSION_ID_SHIFT,
            };
            let stop = stop.clone();
            let thread = std::thread::Builder::new().name("session".into());
            threads.push(thread.spawn(move || session.run(&stop))?);
        }
        Ok(Load { stop, threads })
    }

    /// Stops the load and waits for the client threads.
    pub(super) fn end(&mut self) {
        self.stop.set();
        self.threads.drain(..).for_each(|thread| _ = thread.join());
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.end();
    }
}

struct Connection {
    client: Conn,
    opened_at: Micros,
    last_used_at: Micros,
}

/// The result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestResult {
    /// The request was not served.
    NotServed,
    /// The request was served, and the response contained no number.
    Served,
    /// The request was served with this number.
    Number(u64),
}

struct Session {
    name: String,
    rng: Rng,
    routers: Vec<SocketAddr>,
    /// The open connections, by router.
    connections: Vec<Option<Connection>>,
    clock: RunClock,
    recorder: Recorder,
    think_time: Micros,
    /// The id of the session's last request.
    last_request: u64,
}

impl Session {
    fn run(&mut self, stop: &StopSignal) {
        let mut confirmed = 0;
        let mut last_write = 0;
        while !stop.is_set() {
            last_write += 1;
            if self.write(last_write) == RequestResult::Served {
                confirmed = last_write;
            }
            for _ in 0..READS_PER_WRITE {
                self.read(confirmed);
            }
            let pause = self.rng.i64(0..2 * self.think_time.max(1));
            std::thread::sleep(Duration::from_micros(pause as u64));
        }
    }

    fn write(&mut self, number: u64) -> RequestResult {
        let name = &self.name;
        let statement =
            format!("INSERT INTO basket VALUES ('{name}', {number}) /* c={WRITE_CLASS},s={name} */");
        self.request(Class::Write, &statement)
    }

    /// Reads the basket and records the result. `confirmed` is the session's last write that was confirmed
    /// before the read.
    fn read(&mut self, confirmed: u64) {
        let name = &self.name;
        let statement = format!("SELECT n FROM basket WHERE k = '{name}' /* c={READ_CLASS},s={name} */");
        let at = self.clock.now();
        if let RequestResult::Number(observed) = self.request(Class::Session, &statement) {
            let read = SessionRead { session: self.name.clone(), confirmed, observed, at };
            self.recorder.lock().session_reads.push(read);
        }
    }

    /// Sends a request to a random router and records it, unless no connection can be opened.
    fn request(&mut self, class: Class, statement: &str) -> RequestResult {
        let router = self.rng.usize(..self.routers.len());
        let now = self.clock.now();
        if self.connections[router].is_none() {
            let client = connect(self.routers[router]).ok();
            self.connections[router] =
                client.map(|client| Connection { client, opened_at: now, last_used_at: now });
        }
        let Some(connection) = &mut self.connections[router] else { return RequestResult::NotServed };
        let connected_at = connection.opened_at;
        let was_idle = now - std::mem::replace(&mut connection.last_used_at, now) > IDLE_TIMEOUT;
        let sent_at = self.clock.now();
        let response = connection.client.query_first::<(String, String), _>(statement);
        let ended_at = self.clock.now();
        let outcome = outcome_of(&response);
        if outcome == Outcome::Closed {
            self.connections[router] = None;
        }
        self.last_request += 1;
        self.recorder.lock().requests.push(Request {
            id: self.last_request,
            router,
            connection: 0,
            connected_at,
            // The router may close an idle connection while the request is on its way. The oracle allows that
            // for requests with a sequence above 0; on the platform front, these are all but the first of a
            // connection.
            sequence: usize::from(was_idle),
            class,
            group: 0,
            sent_at,
            timeout: REQUEST_TIMEOUT,
            required_commit: None,
            outcome: outcome.clone(),
            ended_at,
            cancelled_at: None,
        });
        match outcome {
            Outcome::Served(value) => value.parse().map_or(RequestResult::Served, RequestResult::Number),
            _ => RequestResult::NotServed,
        }
    }
}

/// Returns the outcome of a request; the value of a served request is that of the first column.
fn outcome_of(response: &mysql::Result<Option<(String, String)>>) -> Outcome {
    match response {
        Ok(row) => Outcome::Served(row.as_ref().map(|(value, _)| value.clone()).unwrap_or_default()),
        Err(mysql::Error::MySqlError(error)) => Outcome::Error(error.code.to_string()),
        Err(_) => Outcome::Closed,
    }
}

fn connect(address: SocketAddr) -> mysql::Result<Conn> {
    let options = OptsBuilder::new()
        .ip_or_hostname(Some(address.ip().to_string()))
        .tcp_port(address.port())
        .prefer_socket(false)
        .user(Some(CLIENT_USER))
        .pass(Some(CLIENT_PASSWORD))
        .db_name(Some(DATABASE))
        .tcp_connect_timeout(Some(CONNECT_TIMEOUT))
        .read_timeout(Some(RESPONSE_TIMEOUT));
    Conn::new(options)
}
