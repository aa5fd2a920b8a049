//! The records of a run: requests, attempts, router processes, server state changes and discovery outages.
use crate::class::Class;
use crate::time::Micros;
use std::fmt::{self, Display, Formatter};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The outcome of a request for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served with this value.
    Served(String),
    /// The request failed with this error code.
    Error(String),
    /// The router closed the connection without a response.
    Closed,
    /// The client closed the connection before the response.
    Disconnected,
    /// The request has no response yet.
    Pending,
}

/// Error codes of requests that a router rejects without forwarding them.
const REJECTION_CODES: [&str; 2] = ["53300", "57P03"];

impl Outcome {
    /// Whether the router rejected the request.
    pub fn is_rejection(&self) -> bool {
        matches!(self, Outcome::Error(code) if REJECTION_CODES.contains(&code.as_str()))
    }
}

/// A request, as its client observed it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's id, unique in a run.
    pub id: u64,
    /// The router that the request was sent to.
    pub router: usize,
    /// The number of the client connection, unique in a run for the platform front; always 0 for `serve`.
    pub connection: u64,
    /// When the client connection was opened.
    pub connected_at: Micros,
    /// The number of earlier requests on the connection. For `serve`: 1 if the connection was idle before the
    /// request, else 0.
    pub sequence: usize,
    /// The class of the request.
    pub class: Class,
    /// The request's replication group.
    pub group: usize,
    /// When the request's last byte was written; [`Micros::MAX`] until then.
    pub sent_at: Micros,
    /// The time within which the client expects the response.
    pub timeout: Micros,
    /// The commit time that a session read must see.
    pub required_commit: Option<Micros>,
    /// The outcome of the request at the client.
    pub outcome: Outcome,
    /// When the outcome was recorded.
    pub ended_at: Micros,
    /// When the client cancelled the request.
    pub cancelled_at: Option<Micros>,
}

/// An attempt of a request, as a server and its link observed it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The id of the request that the attempt belongs to.
    pub id: u64,
    /// The router that sent the attempt.
    pub router: usize,
    /// The server that received the attempt.
    pub server: usize,
    /// When the attempt's first byte arrived at the link.
    pub first_byte_at: Micros,
    /// When the attempt's last byte arrived at the link.
    pub last_byte_at: Micros,
    /// When the link had delivered the whole message to the server.
    pub reached_at: Option<Micros>,
    /// The timeout in the statement's comment, in milliseconds.
    pub timeout_ms: i64,
    /// When the server executed the attempt; `None` if it never did.
    pub ran_at: Option<Micros>,
    /// The server's replication position at execution, or at arrival if the attempt was not executed.
    pub position: Micros,
    /// Whether the server was a primary recently enough that a router may still treat it as one.
    pub was_primary: bool,
}

/// Why a router process does not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbsenceReason {
    /// The process crashed or received SIGKILL; the absence ends when its successor is ready.
    Killed,
    /// The process received SIGTERM; the absence ends when its successor is ready.
    ShutDown,
    /// The process is paused by SIGSTOP.
    Paused,
}

/// A period in which a router did not serve.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    /// The index of the router that did not serve.
    pub router: usize,
    /// The reason for the absence.
    pub reason: AbsenceReason,
    /// The start of the absence.
    pub from: Micros,
    /// The end of the absence; [`Micros::MAX`] while it lasts.
    pub to: Micros,
}

impl Absence {
    /// Returns the end of the absence plus a tolerance; [`Micros::MAX`] while the absence lasts.
    pub fn end_with_slack(&self, slack: Micros) -> Micros {
        self.to.saturating_add(slack)
    }
}

/// A server that must receive no new requests because it drains or is in maintenance.
#[derive(Clone, Copy, Debug)]
pub struct Withdrawal {
    /// The index of the withdrawn server.
    pub server: usize,
    /// The router at which an operator withdrew the server; `None` if the endpoint list withdrew it for all
    /// routers.
    pub router: Option<usize>,
    /// When the discovery agents had the change, or when the operator's call was confirmed.
    pub notified_at: Micros,
    /// The end of the withdrawal; [`Micros::MAX`] while it lasts.
    pub until: Micros,
}

/// The start of a server process.
#[derive(Clone, Copy, Debug)]
pub struct ServerStart {
    /// The index of the server that started.
    pub server: usize,
    /// When the server process started.
    pub at: Micros,
}

/// A period in which a router's discovery agent sent no changes, or sent them late.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryOutage {
    /// The index of the router whose discovery agent had the outage.
    pub router: usize,
    /// The start of the outage.
    pub from: Micros,
    /// The end of the outage; [`Micros::MAX`] while it lasts.
    pub to: Micros,
}

/// The resource usage of a router process at one time.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The index of the sampled router.
    pub router: usize,
    /// When the sample was taken.
    pub at: Micros,
    /// The number of open file descriptors.
    pub descriptors: usize,
    /// The number of threads.
    pub threads: usize,
    /// The resident memory in KiB.
    pub resident_kb: usize,
    /// The CPU time since the process started.
    pub cpu: Micros,
    /// The number of the process among the router's processes, counted from 1.
    pub incarnation: usize,
}

/// A client that stopped sending in the middle of a message.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// The router that the client was connected to.
    pub router: usize,
    /// When the client stalled.
    pub from: Micros,
    /// When the connection was closed.
    pub to: Micros,
    /// Whether the router closed the connection.
    pub closed_by_router: bool,
}

/// A response that does not belong to the client's oldest pending request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnexpectedResponse {
    /// A response arrived on a connection without pending requests.
    Unsolicited {
        /// The number of the client connection.
        connection: u64,
        /// The response; `None` if only the end of a command (`ReadyForQuery`) arrived.
        response: Option<Outcome>,
    },
    /// The response's value belongs to another request.
    Mismatched {
        /// The id of the request that received the response.
        request: u64,
        /// The value in the response.
        value: String,
    },
}

impl Display for UnexpectedResponse {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            UnexpectedResponse::Unsolicited { connection, response } => {
                write!(f, "connection {connection}: {response:?}")
            }
            UnexpectedResponse::Mismatched { request, value } => {
                write!(f, "request {request:x} got the response '{value}'")
            }
        }
    }
}

/// A router process that crashed or did not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterFailure {
    /// The index of the router whose process failed.
    pub router: usize,
    /// Lines of the router's log, or the error of the operating system.
    pub detail: String,
}

impl Display for RouterFailure {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "router {}: {}", self.router, self.detail)
    }
}

/// The router's own counter of one violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolations {
    /// The index of the router that counted the violations.
    pub router: usize,
    /// The invariant's name on `/metrics`.
    pub invariant: String,
    /// The number of violations.
    pub count: u64,
}

/// A read in a session (`serve`).
#[derive(Clone, Debug)]
pub struct SessionRead {
    /// The name of the session that read.
    pub session: String,
    /// The number of the session's last write that was confirmed before the read was sent.
    pub confirmed: u64,
    /// The number of the last write that the read returned.
    pub observed: u64,
    /// When the read was sent.
    pub at: Micros,
}

/// The writes of a session that the servers executed (`serve`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionWrites {
    /// The name of the session that wrote.
    pub session: String,
    /// The numbers of the writes, in commit order.
    pub numbers: Vec<u64>,
}

/// The last confirmed change of the store, and the store's state at the end (`serve`).
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreRecord {
    /// The number of the last confirmed change.
    pub confirmed: u64,
    /// The number read from the store at the end.
    pub found: Option<u64>,
    /// Whether the store accepted changes again at the end.
    pub recovered: bool,
}

/// The records of one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The requests that the clients sent.
    pub requests: Vec<Request>,
    /// The attempts that reached the servers.
    pub attempts: Vec<Attempt>,
    /// Periods in which routers did not serve.
    pub absences: Vec<Absence>,
    /// Periods in which servers must receive no new requests.
    pub withdrawals: Vec<Withdrawal>,
    /// Starts of server processes.
    pub server_starts: Vec<ServerStart>,
    /// Periods in which discovery did not notify routers in time.
    pub discovery_outages: Vec<DiscoveryOutage>,
    /// Resource usage samples of router processes.
    pub samples: Vec<Sample>,
    /// Clients that stalled in the middle of a message.
    pub stalls: Vec<Stall>,
    /// Responses that do not match a pending request.
    pub unexpected_responses: Vec<UnexpectedResponse>,
    /// Router processes that crashed, with the last lines of their logs.
    pub crashes: Vec<RouterFailure>,
    /// Router processes that did not start or were not ready in time.
    pub failed_starts: Vec<RouterFailure>,
    /// The routers' own counters of violated invariants.
    pub invariant_violations: Vec<InvariantViolations>,
    /// Reads in sessions (`serve`).
    pub session_reads: Vec<SessionRead>,
    /// The writes that the servers executed, by session (`serve`).
    pub session_writes: Vec<SessionWrites>,
    /// The last confirmed change and the final state of the store (`serve`).
    pub store: Option<StoreRecord>,
    /// When the load ended.
    pub load_ended_at: Micros,
}

/// A shared handle to the history of a run in progress. Clones write to the same history.
#[derive(Clone, Default)]
pub struct Recorder(Arc<Mutex<History>>);

impl Recorder {
    /// Locks the history of the run for reading or recording.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the history and leaves an empty one.
    pub fn take(&self) -> History {
        std::mem::take(&mut self.lock())
    }
}
