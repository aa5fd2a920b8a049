//! What servers, clients and discovery have recorded, and what was done to the routers.
use crate::class::Class;
use crate::time::Micros;
use std::fmt::{self, Display, Formatter};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With this value.
    Served(String),
    /// With an error of this code.
    Error(String),
    /// The connection ended without an answer.
    Closed,
    /// The client closed its connection.
    Disconnected,
    /// Not at all so far.
    Pending,
}

/// Error codes with which a router rejects a request that it has not forwarded.
const REJECTION_CODES: [&str; 2] = ["53300", "57P03"];

impl Outcome {
    /// Whether the router has rejected the request.
    pub fn is_rejection(&self) -> bool {
        matches!(self, Outcome::Error(code) if REJECTION_CODES.contains(&code.as_str()))
    }
}

/// One request, as its client observed it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, unique in a run.
    pub id: u64,
    /// The router that it was sent to.
    pub router: usize,
    /// Its client's connection, unique in a run.
    pub connection: u64,
    /// When its connection was opened.
    pub connected_at: Micros,
    /// How many requests its connection has carried before it.
    pub sequence: usize,
    /// Its class.
    pub class: Class,
    /// Its group.
    pub group: usize,
    /// When its last byte was written; [`Micros::MAX`] before.
    pub sent_at: Micros,
    /// How long its client waits.
    pub timeout: Micros,
    /// The commit that it must see.
    pub required_commit: Option<Micros>,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub ended_at: Micros,
    /// When its client cancelled it, if it did.
    pub cancelled_at: Option<Micros>,
}

/// An attempt at a request, as a server and its link observed it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's id.
    pub id: u64,
    /// The router that sent it.
    pub router: usize,
    /// The server.
    pub server: usize,
    /// When its first byte arrived at the link.
    pub first_byte_at: Micros,
    /// When its last byte arrived at the link.
    pub last_byte_at: Micros,
    /// When all of it reached the server.
    pub reached_at: Option<Micros>,
    /// The timeout that it carries, in milliseconds.
    pub timeout_ms: i64,
    /// When it ran; `None` where it never did.
    pub ran_at: Option<Micros>,
    /// What the server had applied then.
    pub position: Micros,
    /// The server was a primary not long ago, so that a router may still take it for one.
    pub was_primary: bool,
}

/// Why a router's process does not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbsenceReason {
    /// Killed, until the next one is ready.
    Killed,
    /// Shut down by SIGTERM, until the next one is ready.
    ShutDown,
    /// Stopped by SIGSTOP.
    Paused,
}

/// A span in which a router did not serve.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    /// Which router.
    pub router: usize,
    /// Why.
    pub reason: AbsenceReason,
    /// From then.
    pub from: Micros,
    /// Until then; [`Micros::MAX`] while it lasts.
    pub to: Micros,
}

/// A server that must get nothing new any more.
#[derive(Clone, Copy, Debug)]
pub struct Withdrawal {
    /// Which server.
    pub server: usize,
    /// Which router was notified; `None` for all, by the list.
    pub router: Option<usize>,
    /// When its agent had it, or the operator's call was answered.
    pub notified_at: Micros,
    /// Until when it holds; [`Micros::MAX`] while it does.
    pub until: Micros,
}

/// A server's start.
#[derive(Clone, Copy, Debug)]
pub struct ServerStart {
    /// Which server.
    pub server: usize,
    /// When it started.
    pub at: Micros,
}

/// A span in which discovery's agent sent a router nothing, or late.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryOutage {
    /// Which router.
    pub router: usize,
    /// From then.
    pub from: Micros,
    /// Until then; [`Micros::MAX`] while it lasts.
    pub to: Micros,
}

/// What a router's process used at some moment.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Which router.
    pub router: usize,
    /// When.
    pub at: Micros,
    /// Open descriptors.
    pub descriptors: usize,
    /// Threads.
    pub threads: usize,
    /// Resident memory in KiB.
    pub resident_kb: usize,
    /// Processor time since its start.
    pub cpu: Micros,
    /// Which of the router's processes it is.
    pub incarnation: usize,
}

/// A client that stalled in the middle of a command.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// The router.
    pub router: usize,
    /// When it stalled.
    pub from: Micros,
    /// When the connection was closed.
    pub to: Micros,
    /// Whether it was the router that closed it.
    pub closed_by_router: bool,
}

/// Answers that arrived out of order, twice or for nobody.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnexpectedAnswer {
    /// No request of the connection waited for an answer.
    Unsolicited {
        /// The connection.
        connection: u64,
        /// What arrived; `None` for the end of a command without any.
        answer: Option<Outcome>,
    },
    /// The value belongs to another request.
    Foreign {
        /// The request's id.
        request: u64,
        /// The value that it got.
        value: String,
    },
}

impl Display for UnexpectedAnswer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            UnexpectedAnswer::Unsolicited { connection, answer } => {
                write!(f, "connection {connection}: {answer:?}")
            }
            UnexpectedAnswer::Foreign { request, value } => {
                write!(f, "request {request:x} got the answer '{value}'")
            }
        }
    }
}

/// A router's process that ended by itself or did not start, with what is known of the cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterFailure {
    /// Which router.
    pub router: usize,
    /// Lines of its log, or the system's error.
    pub detail: String,
}

impl Display for RouterFailure {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "router {}: {}", self.router, self.detail)
    }
}

/// The program's own count of one violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolations {
    /// Which router.
    pub router: usize,
    /// The invariant's name on `/metrics`.
    pub invariant: String,
    /// How often it was violated.
    pub count: u64,
}

/// A read of a session (`serve`).
#[derive(Clone, Debug)]
pub struct SessionRead {
    /// The session.
    pub session: String,
    /// The newest write of the session that was confirmed before the read was sent.
    pub confirmed: u64,
    /// The newest write that the read showed.
    pub observed: u64,
    /// When it was sent.
    pub at: Micros,
}

/// The writes of a session that the servers have run (`serve`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionWrites {
    /// The session.
    pub session: String,
    /// Their numbers, in the order of their commits.
    pub numbers: Vec<u64>,
}

/// What was confirmed of the store, and what it had at the end (`serve`).
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreRecord {
    /// The last number that was confirmed.
    pub confirmed: u64,
    /// The key's number at the end.
    pub found: Option<u64>,
    /// Whether the store accepted changes again at the end.
    pub recovered: bool,
}

/// What was recorded in one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests.
    pub requests: Vec<Request>,
    /// Attempts.
    pub attempts: Vec<Attempt>,
    /// Spans in which routers did not serve.
    pub absences: Vec<Absence>,
    /// Servers that were withdrawn.
    pub withdrawals: Vec<Withdrawal>,
    /// Starts of servers.
    pub server_starts: Vec<ServerStart>,
    /// Spans in which discovery did not notify routers in time.
    pub discovery_outages: Vec<DiscoveryOutage>,
    /// Samples of processes.
    pub samples: Vec<Sample>,
    /// Stalled clients.
    pub stalls: Vec<Stall>,
    /// Answers that arrived out of order, twice or for nobody.
    pub unexpected_answers: Vec<UnexpectedAnswer>,
    /// Processes that ended by themselves, and the last lines of their logs.
    pub crashes: Vec<RouterFailure>,
    /// Processes that were not ready in time.
    pub failed_starts: Vec<RouterFailure>,
    /// The program's own counts of violated invariants.
    pub invariant_violations: Vec<InvariantViolations>,
    /// Reads of sessions (`serve`).
    pub session_reads: Vec<SessionRead>,
    /// The writes that the servers have run, by session (`serve`).
    pub session_writes: Vec<SessionWrites>,
    /// The store (`serve`).
    pub store: Option<StoreRecord>,
    /// When the load ended.
    pub load_ended_at: Micros,
}

/// The history while it is written. Copies write the same one.
#[derive(Clone, Default)]
pub struct Recorder(Arc<Mutex<History>>);

impl Recorder {
    /// The history, for as long as the guard lives.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what was recorded, and leaves nothing.
    pub fn take(&self) -> History {
        std::mem::take(&mut self.lock())
    }
}
