//! What a run leaves: everything that clients asked and servers ran, by one monotonic clock. All of it is recorded in
//! the process that plays clients and servers, so that times of both sides can be compared.
use std::collections::BTreeSet;

/// Microseconds since the run began.
pub type Micros = u64;

/// What came of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The server's answer came.
    Served,
    /// Refused: nothing ran, or a repeat is harmless.
    Refused,
    /// Failed: it may have run.
    Failed,
    /// The connection ended while it was under way.
    Lost,
    /// No answer came for as long as the client waited.
    Unanswered,
    /// It never went out: its router took no connection in time.
    Unsent,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number, of this run alone.
    pub id: u64,
    /// When it was to be sent.
    pub due: Micros,
    /// When it was written to the router, where it was.
    pub sent: Option<Micros>,
    /// When it ended for the client.
    pub ended: Micros,
    /// The router that was asked.
    pub router: usize,
    /// Its tenant.
    pub tenant: usize,
    /// It must not run twice.
    pub write: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// The code of the answer, where it was an error.
    pub code: u16,
}

/// One statement that a server ran.
#[derive(Clone, Copy, Debug)]
pub struct Statement {
    /// The request's number.
    pub id: u64,
    /// When the server had read it whole.
    pub at: Micros,
    /// The server.
    pub server: usize,
    /// The tenant that its comment names.
    pub tenant: usize,
    /// It was a write.
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
    /// Its group's primary.
    pub primary: bool,
}

/// A state of a tenant's configuration, in force from the beginning of its own change until the next one has settled.
#[derive(Clone, Debug)]
pub struct Step<T> {
    /// The change was asked for.
    pub begun: Micros,
    /// The store had confirmed it.
    pub committed: Micros,
    /// What holds.
    pub is: T,
}

/// What a quota allows over every window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Requests a second.
    pub rate: f64,
    /// Requests beyond.
    pub burst: f64,
}

/// Where statements may run; `None`: anywhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sites {
    /// Reads.
    pub reads: Option<BTreeSet<String>>,
    /// Writes.
    pub writes: Option<BTreeSet<String>>,
}

/// A tenant of the run.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its quotas in time; `None`: unbounded.
    pub quotas: Vec<Step<Option<Bound>>>,
    /// Its strict rules in time.
    pub places: Vec<Step<Sites>>,
}

/// A router that was killed, stopped or ended on purpose.
#[derive(Clone, Copy, Debug)]
pub struct Down {
    /// The router.
    pub router: usize,
    /// From here on
    pub from: Micros,
    /// to here it could not answer.
    pub to: Micros,
}

/// All of it.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// When the load began.
    pub begun: Micros,
    /// Requests, each once.
    pub requests: Vec<Request>,
    /// Statements.
    pub statements: Vec<Statement>,
    /// Servers.
    pub servers: Vec<Server>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Routers that were down.
    pub downs: Vec<Down>,
    /// Routers that sent more than the one answer, or another request's.
    pub strays: Vec<(usize, Micros)>,
}
