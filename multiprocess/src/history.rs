//! The record of a run: every request of the clients and every statement of the servers, by one monotonic clock. All of
//! it is recorded in the process that plays clients and servers, so that times of both sides can be compared.
use std::collections::BTreeSet;

/// Microseconds since the run began.
pub type Micros = u64;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The server's answer arrived.
    Served,
    /// Rejected: nothing ran, or a retry is harmless.
    Rejected,
    /// Failed: it may have run.
    Failed,
    /// The connection ended while the request was in flight.
    Lost,
    /// No answer arrived before the client's timeout.
    Unanswered,
    /// It was never sent: its router accepted no connection in time.
    Unsent,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number, unique in the run.
    pub id: u64,
    /// When it was to be sent.
    pub due: Micros,
    /// When it was written to the router; `None` where it never was.
    pub sent: Option<Micros>,
    /// When it ended for the client.
    pub ended: Micros,
    /// Index of the router that it was for.
    pub router: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Whether it is a write, which must not run twice.
    pub write: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// The answer's error code; 0 for none.
    pub code: u16,
}

/// One statement that a server ran.
#[derive(Clone, Copy, Debug)]
pub struct Statement {
    /// The request's number.
    pub id: u64,
    /// When the server had read all of it.
    pub at: Micros,
    /// Index of the server.
    pub server: usize,
    /// Index of the tenant that its comment names.
    pub tenant: usize,
    /// Whether it was a write.
    pub write: bool,
}

/// A server of the run.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its site.
    pub site: String,
    /// Its group.
    pub group: u32,
    /// Whether it is its group's primary.
    pub primary: bool,
}

/// One value of a tenant's configuration. It is in force from the moment when it was requested until the next value has
/// been committed and the time for it to settle has passed.
#[derive(Clone, Debug)]
pub struct ConfigVersion<T> {
    /// When the change was requested.
    pub requested: Micros,
    /// When the store had confirmed it.
    pub committed: Micros,
    /// The value.
    pub value: T,
}

/// The number of requests that a quota admits: `rate` for each second of any window, and `burst` beyond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond the rate.
    pub burst: f64,
}

/// The sites at which statements may run; `None` for any site.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedSites {
    /// Sites for reads.
    pub reads: Option<BTreeSet<String>>,
    /// Sites for writes.
    pub writes: Option<BTreeSet<String>>,
}

/// A tenant of the run.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its quotas, in the order of their commits; `None` for a tenant without a limit.
    pub quotas: Vec<ConfigVersion<Option<QuotaLimit>>>,
    /// Its strict placement rules, in the order of their commits.
    pub placements: Vec<ConfigVersion<AllowedSites>>,
}

/// A time in which a router was killed, stopped or restarted on purpose and could not answer.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Index of the router.
    pub router: usize,
    /// Its begin.
    pub from: Micros,
    /// Its end; [`Micros::MAX`] while it lasts.
    pub until: Micros,
}

/// An answer that no request waited for, or another request's answer.
#[derive(Clone, Copy, Debug)]
pub struct UnexpectedAnswer {
    /// Index of the router that sent it.
    pub router: usize,
    /// When it arrived.
    pub at: Micros,
}

/// Everything that was recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// When the load began.
    pub load_started: Micros,
    /// Requests, each once.
    pub requests: Vec<Request>,
    /// Statements.
    pub statements: Vec<Statement>,
    /// Servers.
    pub servers: Vec<Server>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Outages of routers.
    pub outages: Vec<Outage>,
    /// Answers that should not have been sent.
    pub unexpected_answers: Vec<UnexpectedAnswer>,
}
