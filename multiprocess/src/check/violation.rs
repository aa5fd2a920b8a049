//! Violations of the guarantees.
use crate::history::{Micros, Outcome};
use std::fmt;

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// More requests were admitted than the quota allows.
    QuotaExceeded {
        /// Name of the tenant.
        tenant: String,
        /// The window with the largest excess.
        worst: QuotaWindow,
    },
    /// Statements ran at a site that the tenant's placement rule forbids.
    OutsidePlacement {
        /// Name of the tenant.
        tenant: String,
        /// Name of the server that ran the statements.
        server: String,
        /// Number of statements that ran outside the allowed sites.
        statements: usize,
        /// Time between the commit of the rule and the last forbidden statement.
        latest: Micros,
    },
    /// A write ran more than once.
    WriteRepeated {
        /// Number of the write's request.
        id: u64,
        /// How often the write ran.
        times: usize,
    },
    /// A request to a router that was up got no response.
    NoResponse {
        /// Number of the request.
        id: u64,
        /// Index of the request's router.
        router: usize,
        /// Outcome of the request.
        outcome: Outcome,
    },
    /// A router sent responses that belong to no open request, or to a request other than the one in flight.
    UnexpectedResponses {
        /// Index of the router.
        router: usize,
        /// Number of unexpected responses.
        responses: usize,
    },
    /// A write was reported as rejected, but a server ran it.
    RejectedWriteExecuted {
        /// Number of the rejected request.
        id: u64,
    },
    /// A request was reported as served, but no server ran it.
    ServedNotExecuted {
        /// Number of the request reported as served.
        id: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::QuotaExceeded { tenant, worst } => write!(f, "quota of tenant {tenant}: {worst}"),
            Violation::OutsidePlacement { tenant, server, statements, latest } => write!(
                f,
                "placement of tenant {tenant}: {statements} forbidden statements at {server}, \
                 last {:.3} s after the rule",
                seconds(*latest)
            ),
            Violation::WriteRepeated { id, times } => write!(f, "write {id} ran {times} times"),
            Violation::NoResponse { id, router, outcome } => {
                write!(f, "request {id} got no response from router {router}, which was up: {outcome:?}")
            }
            Violation::UnexpectedResponses { router, responses } => {
                write!(f, "router {router} sent {responses} responses that no client expected")
            }
            Violation::RejectedWriteExecuted { id } => write!(f, "write {id} was rejected, but ran"),
            Violation::ServedNotExecuted { id } => {
                write!(f, "request {id} was reported as served, but no server ran it")
            }
        }
    }
}

/// The time window in which a tenant came closest to its quota, or exceeded it most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaWindow {
    /// Start of the window.
    pub from: Micros,
    /// End of the window.
    pub until: Micros,
    /// Number of requests above the limit; negative if the window is below the limit.
    pub excess: f64,
}

impl fmt::Display for QuotaWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, until) = (seconds(self.from), seconds(self.until));
        write!(f, "{:+.1} relative to the limit from {from:.3} to {until:.3} s", self.excess)
    }
}

fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}
