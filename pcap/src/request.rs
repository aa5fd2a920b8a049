//! Requests that `MySQL` clients sent in a capture.
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Statement of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// A statement that was sent as text.
    Query(Vec<u8>),
    /// An execution of a prepared statement.
    Execute {
        /// Text of the prepared statement.
        text: Vec<u8>,
        /// Payload of the execution after the statement ID: flags, iteration count, parameter types and
        /// parameters.
        body: Vec<u8>,
        /// Long parameters by parameter index. The client sent them before the execution.
        long_parameters: BTreeMap<u16, Vec<u8>>,
    },
}

impl Statement {
    /// Returns the text of the statement.
    pub fn text(&self) -> &[u8] {
        match self {
            Statement::Query(text) | Statement::Execute { text, .. } => text,
        }
    }
}

/// Outcome of a request in the capture.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server returned a result.
    Succeeded,
    /// The server returned the error with this number.
    Error(u16),
    /// The capture contains no complete response.
    Incomplete,
}

/// Writes the outcome as it appears in the list of requests.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Succeeded => f.write_str("Answered"),
            Outcome::Error(number) => write!(f, "Error({number})"),
            Outcome::Incomplete => f.write_str("Cut"),
        }
    }
}

/// A request in a capture.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Time at which the last byte of the request was captured, since the Unix epoch.
    pub captured_at: Duration,
    /// Address of the client.
    pub client: SocketAddr,
    /// Statement that the client sent.
    pub statement: Statement,
    /// Outcome of the request in the capture.
    pub outcome: Outcome,
}
