//! The one table of errors, both ways. `README.md` shows it to operators.
//!
//! From a server, an error is one of these:
//!
//! | what the server says | outcome | why |
//! | --- | --- | --- |
//! | 1290, 1836 | not eligible | it is read-only: no primary, nothing ran |
//! | 1040, 1203, 1226 | rejected | too many connections: nothing ran |
//! | 1243 | prepared again, once | it does not know the statement: nothing ran |
//! | 1026, 1030, 1037, 1041, 1053, 1105, 1158 to 1161, 1180, 1317, 1927, 3024 | error | the server failed or stopped it: it may have run |
//! | any other | served | the statement's own error: the client gets it as it is |
//!
//! To a client, an end that is no server's response is one of [`REJECTED`], [`TIMED_OUT`], [`RESET`], [`ERROR`],
//! [`CANCELLED`].
use routing::{FinalResponse, Outcome};
use std::borrow::Cow;

/// The first byte of an ERR payload.
const ERR: u8 = 0xff;

/// An error's number with its SQLSTATE.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorCode {
    /// The number.
    pub number: u16,
    /// The SQLSTATE, five characters.
    pub sql_state: &'static str,
}

const fn code(number: u16, sql_state: &'static str) -> ErrorCode {
    ErrorCode { number, sql_state }
}

/// Rejected: retrying is harmless.
pub const REJECTED: ErrorCode = code(1040, "08004");
/// No response in time; it may have run.
pub const TIMED_OUT: ErrorCode = code(3024, "HY000");
/// The server's connection broke; it may have run.
pub const RESET: ErrorCode = code(1158, "08S01");
/// The client cancelled it; it may have run.
pub const CANCELLED: ErrorCode = code(1317, "70100");
/// The server failed; it may have run.
pub const ERROR: ErrorCode = code(1105, "HY000");

/// The handshake response is malformed.
pub const BAD_HANDSHAKE: ErrorCode = code(1043, "08S01");
/// Wrong user or password.
pub const ACCESS_DENIED: ErrorCode = code(1045, "28000");
/// No such command.
pub const UNKNOWN_COMMAND: ErrorCode = code(1047, "08S01");
/// No such database.
pub const UNKNOWN_DATABASE: ErrorCode = code(1049, "42000");
/// An empty text.
pub const EMPTY_QUERY: ErrorCode = code(1065, "42000");
/// A payload that is too long.
pub const TOO_LARGE: ErrorCode = code(1153, "08S01");
/// A packet out of sequence.
pub const OUT_OF_ORDER: ErrorCode = code(1156, "08S01");
/// An execution whose parameters are malformed.
pub const WRONG_ARGUMENTS: ErrorCode = code(1210, "HY000");
/// What the router does not support.
pub const UNSUPPORTED: ErrorCode = code(1235, "42000");
/// No such prepared statement.
pub const UNKNOWN_STATEMENT: ErrorCode = code(1243, "HY000");
/// Several results for a client that takes one.
pub const NO_MULTI_RESULTS: ErrorCode = code(1312, "0A000");
/// Rows fetched from a statement that has no open cursor.
pub const NO_CURSOR: ErrorCode = code(1421, "HY000");
/// More prepared statements than one client may have.
pub const TOO_MANY_STATEMENTS: ErrorCode = code(1461, "42000");
/// A malformed payload.
pub const MALFORMED: ErrorCode = code(1835, "HY000");

/// Why a command is not carried out, as its client is told.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text}")]
pub struct CommandError {
    /// The code.
    pub code: ErrorCode,
    /// The text.
    pub text: Cow<'static, str>,
}

impl CommandError {
    /// An error with this code and text.
    pub fn new(code: ErrorCode, text: impl Into<Cow<'static, str>>) -> CommandError {
        CommandError { code, text: text.into() }
    }

    /// The ERR payload.
    pub fn encode(&self) -> Vec<u8> {
        encode(self.code, &self.text)
    }
}

/// What a server's error means.
#[derive(Debug, PartialEq, Eq)]
pub enum ServerErrorMeaning {
    /// The attempt ends with this outcome.
    Outcome(Outcome),
    /// The statement has to be prepared again.
    UnknownStatement,
    /// It is the statement's own: the client gets it.
    StatementError,
}

/// What a server's error number means.
pub fn meaning(number: u16) -> ServerErrorMeaning {
    match number {
        1290 | 1836 => ServerErrorMeaning::Outcome(Outcome::NotEligible),
        1040 | 1203 | 1226 => ServerErrorMeaning::Outcome(Outcome::Rejected),
        1243 => ServerErrorMeaning::UnknownStatement,
        1026 | 1030 | 1037 | 1041 | 1053 | 1105 | 1158..=1161 | 1180 | 1317 | 1927 | 3024 => {
            ServerErrorMeaning::Outcome(Outcome::Error)
        }
        _ => ServerErrorMeaning::StatementError,
    }
}

/// An ERR payload.
pub fn encode(code: ErrorCode, text: &str) -> Vec<u8> {
    let mut payload = vec![ERR];
    payload.extend_from_slice(&code.number.to_le_bytes());
    payload.push(b'#');
    payload.extend_from_slice(code.sql_state.as_bytes());
    payload.extend_from_slice(text.as_bytes());
    payload
}

/// The number of an ERR payload; `None` for any other payload.
pub fn error_number(payload: &[u8]) -> Option<u16> {
    match payload {
        [ERR, low, high, ..] => Some(u16::from_le_bytes([*low, *high])),
        _ => None,
    }
}

/// The ERR payload for a final response that no server gave.
///
/// # Errors
/// A server's response, unchanged.
pub fn encode_final_response<R>(response: FinalResponse<R>) -> Result<Vec<u8>, R> {
    Ok(match response {
        FinalResponse::Served(response, _) => return Err(response),
        FinalResponse::Rejected(Some(after)) => {
            let text = format!("refused: trying again is harmless; come back after {} ms", after.as_millis());
            encode(REJECTED, &text)
        }
        FinalResponse::Rejected(None) => encode(REJECTED, "refused: trying again is harmless"),
        FinalResponse::Cancelled => encode(CANCELLED, "cancelled by its client; what had begun may have run"),
        FinalResponse::PlacementDenied(reason) => {
            encode(REJECTED, &format!("refused: nothing ran: {reason}"))
        }
        FinalResponse::Failed(Some(Outcome::TimedOut)) => {
            encode(TIMED_OUT, "no answer in time; it may have run")
        }
        FinalResponse::Failed(Some(Outcome::Reset)) => {
            encode(RESET, "the server's connection broke; it may have run")
        }
        FinalResponse::Failed(Some(Outcome::Error)) => encode(ERROR, "the server failed; it may have run"),
        FinalResponse::Failed(_) => encode(ERROR, "it could not be served"),
    })
}
