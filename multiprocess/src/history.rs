//! The recorded history of a run: every request of the clients and every statement that a server ran. Clients
//! and servers run in one process and use one monotonic clock, so that their timestamps can be compared.
use std::collections::BTreeSet;

/// Microseconds since the start of the run.
pub type Micros = u64;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The server's response was received.
    Served,
    /// The router rejected the request: it did not run, or a retry is safe.
    Rejected,
    /// The router returned an error, and the statement may have run.
    Failed,
    /// The connection was closed while the request was in flight.
    Lost,
    /// The client timed out before a response was received.
    Unanswered,
    /// The request was never sent, because its router accepted no connection in time.
    Unsent,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of the request, unique within the run.
    pub id: u64,
    /// Scheduled time of the request.
    pub due: Micros,
    /// Time at which the request was written to the router; `None` if it was never sent.
    pub sent: Option<Micros>,
    /// Time at which the client recorded the outcome.
    pub ended: Micros,
    /// Index of the router to which the request is sent.
    pub router: usize,
    /// Index of the request's tenant.
    pub tenant: usize,
    /// Whether the request is a write, which must not run twice.
    pub write: bool,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Error code of the response; 0 for no error.
    pub code: u16,
}

/// A statement that a server ran.
#[derive(Clone, Copy, Debug)]
pub struct Statement {
    /// Number of the request that the statement belongs to.
    pub id: u64,
    /// Time at which the server had read the whole statement.
    pub at: Micros,
    /// Index of the server that ran the statement.
    pub server: usize,
    /// Index of the tenant named in the statement's comment.
    pub tenant: usize,
    /// Whether the statement is a write.
    pub write: bool,
}

/// A fake database server of the run.
#[derive(Clone, Debug)]
pub struct Server {
    /// Name of the server.
    pub name: String,
    /// Site of the server.
    pub site: String,
    /// Number of the server's replication group.
    pub group: u32,
    /// Whether the server is the primary of its group.
    pub primary: bool,
}

/// One version of a tenant's setting. A version is in force from the time at which it was requested until the
/// next version has been committed and the settle time has passed.
#[derive(Clone, Debug)]
pub struct ConfigVersion<T> {
    /// Time at which the change was sent to the store.
    pub requested: Micros,
    /// Time at which the store had confirmed the change.
    pub committed: Micros,
    /// Value of the setting in this version.
    pub value: T,
}

/// The limit that a quota sets: in any time window at most `rate` requests for each second, plus `burst`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Admitted requests per second.
    pub rate: f64,
    /// Requests that may exceed the rate within a window.
    pub burst: f64,
}

/// The sites at which a tenant's statements may run; `None` allows any site.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedSites {
    /// Sites that reads may use.
    pub reads: Option<BTreeSet<String>>,
    /// Sites that writes may use.
    pub writes: Option<BTreeSet<String>>,
}

/// A tenant of the run, with its configuration over time.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Quotas in commit order; the value is `None` while the tenant has no limit.
    pub quotas: Vec<ConfigVersion<Option<QuotaLimit>>>,
    /// Strict placement rules in commit order.
    pub placements: Vec<ConfigVersion<AllowedSites>>,
}

/// A period in which a router was deliberately killed, stopped or restarted and could not respond.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Index of the router that was down.
    pub router: usize,
    /// Start of the outage.
    pub from: Micros,
    /// End of the outage; [`Micros::MAX`] while it lasts.
    pub until: Micros,
}

/// A response that belongs to no open request, or to a request other than the one in flight.
#[derive(Clone, Copy, Debug)]
pub struct UnexpectedResponse {
    /// Index of the router that sent the response.
    pub router: usize,
    /// Time at which the response was received.
    pub at: Micros,
}

/// Everything that is recorded during a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Start of the load.
    pub load_started: Micros,
    /// All requests of the clients, each listed once.
    pub requests: Vec<Request>,
    /// All statements that the servers ran, in the order in which they were recorded.
    pub statements: Vec<Statement>,
    /// All servers, by index.
    pub servers: Vec<Server>,
    /// All tenants, by index.
    pub tenants: Vec<Tenant>,
    /// Deliberate outages of routers.
    pub outages: Vec<Outage>,
    /// Responses that should not have been sent.
    pub unexpected_responses: Vec<UnexpectedResponse>,
}
