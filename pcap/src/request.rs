//! Requests of `MySQL` clients in a capture.
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// What a client sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// A statement as text.
    Query(Vec<u8>),
    /// The execution of a prepared statement.
    Execute {
        /// The statement's text.
        text: Vec<u8>,
        /// Flags, count and parameters, with their types.
        body: Vec<u8>,
        /// Long parameters sent before, by their index.
        long_parameters: BTreeMap<u16, Vec<u8>>,
    },
}

impl Statement {
    /// The statement's text.
    pub fn text(&self) -> &[u8] {
        match self {
            Statement::Query(text) | Statement::Execute { text, .. } => text,
        }
    }
}

/// How a request ended in the capture.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// It was answered with the error of this number.
    Error(u16),
    /// The capture holds no complete response.
    Incomplete,
}

/// Writes the word of the list of requests.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Answered => f.write_str("Answered"),
            Outcome::Error(number) => write!(f, "Error({number})"),
            Outcome::Incomplete => f.write_str("Cut"),
        }
    }
}

/// A request in a capture.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// When its last byte was captured, as Unix time.
    pub captured_at: Duration,
    /// The client that sent it.
    pub client: SocketAddr,
    /// What it sent.
    pub statement: Statement,
    /// How it ended.
    pub outcome: Outcome,
}
