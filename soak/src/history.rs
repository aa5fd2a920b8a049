//! What servers, clients and discovery have recorded, and what was done to the routers. Times are microseconds of the
//! monotonic clock since the start of the run.
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Microseconds since the start of the run.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// A class of requests, as the plan's settings have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// A read of data of any age; safe to repeat.
    Any,
    /// A read of data of [`BOUND`] at most; safe to repeat.
    Bounded,
    /// A read that sees its session's writes; safe to repeat.
    Session,
    /// A write that must not run twice.
    Write,
    /// A write whose repeats are dropped in its group for [`REPEAT_WINDOW`].
    Keyed,
}

/// The oldest data that a read of [`Class::Bounded`] may see.
pub const BOUND: Micros = SECOND;
/// How long repeats of [`Class::Keyed`] are dropped.
pub const REPEAT_WINDOW: Micros = 600_000;

impl Class {
    /// All of them, in the order of the settings.
    pub const ALL: [Class; 5] = [Class::Any, Class::Bounded, Class::Session, Class::Write, Class::Keyed];

    /// Its name in the settings and in statements.
    pub fn name(self) -> &'static str {
        match self {
            Class::Any => "any",
            Class::Bounded => "bounded",
            Class::Session => "session",
            Class::Write => "write",
            Class::Keyed => "keyed",
        }
    }

    /// Whether it changes data.
    pub fn is_write(self) -> bool {
        matches!(self, Class::Write | Class::Keyed)
    }

    /// Its longest deadline.
    pub fn deadline(self) -> Micros {
        if self.is_write() { 2 * SECOND } else { 1_200_000 }
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With this value.
    Served(String),
    /// With an error of this code.
    Error(String),
    /// The connection ended without an answer.
    Closed,
    /// The client closed its connection.
    Left,
    /// Nothing yet.
    Open,
}

/// One request, as its client has it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, unique in a run.
    pub id: u64,
    /// The router that it was sent to.
    pub router: usize,
    /// Its client's connection, unique in a run.
    pub connection: u64,
    /// When its connection was opened.
    pub opened_at: Micros,
    /// Its place among the requests of its connection.
    pub place: usize,
    /// Its class.
    pub class: Class,
    /// Its group.
    pub group: usize,
    /// When its last byte was written.
    pub sent_at: Micros,
    /// How long its client waits.
    pub wait: Micros,
    /// The commit that it must see.
    pub after: Option<Micros>,
    /// How it ended.
    pub ending: Ending,
    /// When.
    pub ended_at: Micros,
    /// Whether its client cancelled it, and when.
    pub cancelled_at: Option<Micros>,
}

/// An attempt, as a server's link and the server have it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id.
    pub id: u64,
    /// The router that sent it.
    pub router: usize,
    /// The server.
    pub server: usize,
    /// When its first byte came to the link.
    pub first_byte_at: Micros,
    /// When its last byte came to the link.
    pub last_byte_at: Micros,
    /// When it reached the server whole; `None` where it was lost on the way.
    pub reached_at: Option<Micros>,
    /// The time to wait that it tells, in milliseconds.
    pub told_ms: i64,
    /// When it ran; `None` where it never did.
    pub ran_at: Option<Micros>,
    /// What the server had applied then.
    pub position: Micros,
    /// The server was a primary not long ago, so that a router may still take it for one.
    pub was_primary: bool,
}

/// A router's process that is not there, or does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// Killed, until the next one is ready.
    Killed,
    /// Told to end, until the next one is ready.
    Ended,
    /// Stopped.
    Paused,
}

/// When a router was absent.
#[derive(Clone, Copy, Debug)]
pub struct Absent {
    /// Which router.
    pub router: usize,
    /// Why.
    pub why: Absence,
    /// From then.
    pub from: Micros,
    /// Until then.
    pub to: Micros,
}

/// A server that must get nothing new any more.
#[derive(Clone, Copy, Debug)]
pub struct Withdrawn {
    /// Which server.
    pub server: usize,
    /// Which router was told; `None` for all, by the list.
    pub router: Option<usize>,
    /// When its agent had it, or the operator's call was answered.
    pub told_at: Micros,
    /// Until when it holds.
    pub until: Micros,
}

/// A server's start.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Which server.
    pub server: usize,
    /// When it started.
    pub at: Micros,
}

/// Times in which discovery's agent told a router nothing, or late.
#[derive(Clone, Copy, Debug)]
pub struct Untold {
    /// Which router.
    pub router: usize,
    /// From then.
    pub from: Micros,
    /// Until then.
    pub to: Micros,
}

/// A sample of a child process.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Which router.
    pub router: usize,
    /// When.
    pub at: Micros,
    /// Descriptors.
    pub descriptors: usize,
    /// Threads.
    pub threads: usize,
    /// Resident memory in KiB.
    pub resident_kb: usize,
    /// Processor time so far.
    pub cpu: Micros,
    /// Which of the router's processes it is, counted from 0.
    pub incarnation: usize,
}

/// A client that stalled in the middle of a command.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// The router.
    pub router: usize,
    /// When it stalled.
    pub from: Micros,
    /// When the router ended it, or the run did.
    pub to: Micros,
    /// Whether the router ended it.
    pub ended: bool,
}

/// A read of a session (`serve`).
#[derive(Clone, Debug)]
pub struct SessionRead {
    /// The session.
    pub session: String,
    /// The newest write of the session that its client had been told of before.
    pub told: u64,
    /// What the read showed.
    pub seen: u64,
    /// When it was sent.
    pub at: Micros,
}

/// What was confirmed of the store, and what it held at the end (`serve`).
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreRecord {
    /// The last number that was confirmed.
    pub confirmed: u64,
    /// What the key held at the end.
    pub found: Option<u64>,
    /// Whether the store took changes again at the end.
    pub came_back: bool,
}

/// What was recorded in one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests.
    pub requests: Vec<Request>,
    /// Attempts.
    pub arrivals: Vec<Arrival>,
    /// Routers that were absent.
    pub absent: Vec<Absent>,
    /// Servers that were withdrawn.
    pub withdrawn: Vec<Withdrawn>,
    /// Starts of servers.
    pub starts: Vec<Start>,
    /// Discovery's troubles.
    pub untold: Vec<Untold>,
    /// Samples of processes.
    pub samples: Vec<Sample>,
    /// Stalled clients.
    pub stalls: Vec<Stall>,
    /// Answers that came out of order, twice or for nobody: a description of each.
    pub unexpected_answers: Vec<String>,
    /// Processes that ended by themselves, and what they wrote last.
    pub crashes: Vec<String>,
    /// Processes that were not ready in time.
    pub failed_starts: Vec<String>,
    /// The program's own count of violated invariants, by router and name.
    pub invariant_violations: Vec<(usize, String, u64)>,
    /// Reads of sessions (`serve`).
    pub session_reads: Vec<SessionRead>,
    /// The writes that the servers have run, by session, in the order of their commits (`serve`).
    pub writes_run: Vec<(String, Vec<u64>)>,
    /// The store (`serve`).
    pub store: Option<StoreRecord>,
    /// When the load ended.
    pub load_ended_at: Micros,
}

/// The history while it is written.
#[derive(Clone, Default)]
pub struct Recorder(Arc<Mutex<History>>);

impl Recorder {
    /// The history, for as long as the guard lives.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What was recorded.
    pub fn take(&self) -> History {
        std::mem::take(&mut self.lock())
    }
}
