//! Guarantees that a run has broken.
use crate::history::{Micros, Outcome};
use std::fmt;

/// A guarantee that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// More was admitted than the quota allows.
    QuotaExceeded {
        /// The tenant's name.
        tenant: String,
        /// The worst window.
        worst: QuotaWindow,
    },
    /// Statements ran outside their tenant's sites.
    OutsidePlacement {
        /// The tenant's name.
        tenant: String,
        /// The server's name.
        server: String,
        /// How many statements.
        statements: usize,
        /// How long after the rule's commit the last one ran.
        latest: Micros,
    },
    /// A write ran more than once.
    WriteRepeated {
        /// The request's number.
        id: u64,
        /// How often it ran.
        times: usize,
    },
    /// A request to a router that was up ended without a final answer.
    NoAnswer {
        /// The request's number.
        id: u64,
        /// Index of its router.
        router: usize,
        /// How it ended.
        outcome: Outcome,
    },
    /// A router sent answers that no request waited for, or another request's.
    UnexpectedAnswers {
        /// Index of the router.
        router: usize,
        /// How many answers.
        answers: usize,
    },
    /// A write was reported as rejected, but ran.
    RejectedWriteRan {
        /// The request's number.
        id: u64,
    },
    /// A request was reported as served, but ran at no server.
    ServedNeverRan {
        /// The request's number.
        id: u64,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::QuotaExceeded { tenant, worst } => write!(f, "quota of tenant {tenant}: {worst}"),
            Violation::OutsidePlacement { tenant, server, statements, latest } => write!(
                f,
                "place of tenant {tenant}: {statements} statements at {server}, the latest {:.3} s after the rule",
                seconds(*latest)
            ),
            Violation::WriteRepeated { id, times } => write!(f, "write {id} ran {times} times"),
            Violation::NoAnswer { id, router, outcome } => {
                write!(f, "request {id} at router {router}, which was up, had no answer: {outcome:?}")
            }
            Violation::UnexpectedAnswers { router, answers } => {
                write!(f, "router {router} sent {answers} answers that nobody waited for")
            }
            Violation::RejectedWriteRan { id } => write!(f, "write {id} was told as refused, but ran"),
            Violation::ServedNeverRan { id } => {
                write!(f, "request {id} was told as served, but no server ran it")
            }
        }
    }
}

/// The window in which a tenant came nearest to its quota's limit, or exceeded it most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaWindow {
    /// Its begin.
    pub from: Micros,
    /// Its end.
    pub until: Micros,
    /// Requests in it beyond the limit; below 0 where more would have been allowed.
    pub excess: f64,
}

impl fmt::Display for QuotaWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, until) = (seconds(self.from), seconds(self.until));
        write!(f, "{:+.1} beside the bound from {from:.3} to {until:.3} s", self.excess)
    }
}

fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}
