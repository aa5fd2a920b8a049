//! Statements that servers are sent.
use crate::class::Class;
use crate::environment::wire::pair;

/// The statement that queries a server's load.
const STATS_STATEMENT: &str = "SHOW stats";

/// A statement, as far as a server reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Statement {
    /// The empty query of a health check.
    Empty,
    /// The question for the server's load.
    Stats,
    /// A client's request.
    Request(RequestStatement),
    /// A request without an id.
    WithoutId,
}

/// What a request's comment says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestStatement {
    pub(super) id: u64,
    /// Its timeout in milliseconds; 0 where it carries none.
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
    let id = i64::from_str_radix(pair(text, "id")?, 16).ok()? as u64;
    let timeout_ms = pair(text, "d").and_then(|value| value.parse().ok()).unwrap_or(0);
    let class = Class::ALL.into_iter().find(|class| Some(class.name()) == pair(text, "c"));
    Some(RequestStatement { id, timeout_ms, class })
}
