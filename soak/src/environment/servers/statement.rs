//! Parses the statements that routers send to the servers.
use crate::class::Class;
use crate::environment::wire::comment_value;

/// The statement of a router's load query.
const STATS_STATEMENT: &str = "SHOW stats";

/// A statement, as a simulated server interprets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Statement {
    /// The empty query of a health check.
    Empty,
    /// The query for the server's load report.
    Stats,
    /// A request that a client of the run sent, with its id.
    Request(RequestStatement),
    /// A request without an id.
    WithoutId,
}

/// The values in the comment of a request's statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestStatement {
    pub(super) id: u64,
    /// The request's timeout in milliseconds; 0 if the comment has none.
    pub(super) timeout_ms: i64,
    pub(super) class: Option<Class>,
}

impl RequestStatement {
    pub(super) fn is_write(&self) -> bool {
        self.class.is_some_and(Class::is_write)
    }
}

impl Statement {
    pub(super) fn parse(text: &str) -> Statement {
        match text {
            "" => Statement::Empty,
            STATS_STATEMENT => Statement::Stats,
            _ => parse_request(text).map_or(Statement::WithoutId, Statement::Request),
        }
    }
}

fn parse_request(text: &str) -> Option<RequestStatement> {
    let id = i64::from_str_radix(comment_value(text, "id")?, 16).ok()? as u64;
    let timeout_ms = comment_value(text, "d").and_then(|value| value.parse().ok()).unwrap_or(0);
    let class = Class::ALL.into_iter().find(|class| Some(class.name()) == comment_value(text, "c"));
    Some(RequestStatement { id, timeout_ms, class })
}
