//! Mapping between `MySQL` errors and outcomes of the routing core. The operators' documentation in
//! `README.md` contains the same table.
//!
//! Errors that are received from a server:
//!
//! | error number | outcome | reason |
//! | --- | --- | --- |
//! | 1290, 1836 | not eligible | the server is read-only and not a primary; nothing ran |
//! | 1040, 1203, 1226 | rejected | too many connections; nothing ran |
//! | 1243 | prepared again, once | the server does not know the statement; nothing ran |
//! | 1026, 1030, 1037, 1041, 1053, 1105 | error | server failed or stopped the statement; it may have run |
//! | 1158 to 1161, 1180, 1317, 1927, 3024 | error | server failed or stopped the statement; it may have run |
//! | any other | served | the statement itself failed; the error is forwarded to the client unchanged |
//!
//! An error that says that nothing ran proves it only if it is the whole response, and only for a statement that
//! the server runs as a whole. In the response to `CALL` it may come from a later statement of the procedure, so
//! it counts as an error: the statement may have run.
//!
//! A client whose request ends without a server's response receives one of [`REJECTED`], [`TIMED_OUT`],
//! [`RESET`], [`ERROR`] and [`CANCELLED`].
use routing::{FinalResponse, Outcome};
use std::borrow::Cow;

/// The first byte of an ERR payload.
const ERR: u8 = 0xff;

/// Error number and SQLSTATE of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorCode {
    /// Number of the error in the protocol.
    pub number: u16,
    /// SQLSTATE of five characters.
    pub sql_state: &'static str,
}

const fn error_code(number: u16, sql_state: &'static str) -> ErrorCode {
    ErrorCode { number, sql_state }
}

/// The request was rejected and did not run, so it can be retried.
pub const REJECTED: ErrorCode = error_code(1040, "08004");
/// Message of a rejection for lack of memory.
pub const OUT_OF_MEMORY_TEXT: &str = "refused: nothing ran: too much is under way";
/// The response timed out. The statement may have run.
pub const TIMED_OUT: ErrorCode = error_code(3024, "HY000");
/// The connection to the server was reset. The statement may have run.
pub const RESET: ErrorCode = error_code(1158, "08S01");
/// The client cancelled the request. The statement may have run.
pub const CANCELLED: ErrorCode = error_code(1317, "70100");
/// The server failed. The statement may have run.
pub const ERROR: ErrorCode = error_code(1105, "HY000");

/// The handshake response is malformed.
pub const BAD_HANDSHAKE: ErrorCode = error_code(1043, "08S01");
/// The user name or the password is wrong.
pub const ACCESS_DENIED: ErrorCode = error_code(1045, "28000");
/// The command code is unknown.
pub const UNKNOWN_COMMAND: ErrorCode = error_code(1047, "08S01");
/// The router does not serve this database.
pub const UNKNOWN_DATABASE: ErrorCode = error_code(1049, "42000");
/// The statement is empty.
pub const EMPTY_QUERY: ErrorCode = error_code(1065, "42000");
/// A packet exceeds the configured limit.
pub const TOO_LARGE: ErrorCode = error_code(1153, "08S01");
/// A packet has an unexpected sequence number.
pub const OUT_OF_ORDER: ErrorCode = error_code(1156, "08S01");
/// The parameters of an execution are malformed.
pub const WRONG_ARGUMENTS: ErrorCode = error_code(1210, "HY000");
/// The router does not support the statement or the option.
pub const UNSUPPORTED: ErrorCode = error_code(1235, "42000");
/// No prepared statement has this ID.
pub const UNKNOWN_STATEMENT: ErrorCode = error_code(1243, "HY000");
/// The statement can return several result sets, which the client does not support.
pub const NO_MULTI_RESULTS: ErrorCode = error_code(1312, "0A000");
/// The prepared statement has no open cursor to fetch rows from.
pub const NO_CURSOR: ErrorCode = error_code(1421, "HY000");
/// The client has reached the limit of prepared statements.
pub const TOO_MANY_STATEMENTS: ErrorCode = error_code(1461, "42000");
/// A command's payload is malformed.
pub const MALFORMED: ErrorCode = error_code(1835, "HY000");

/// Error that a client receives instead of the result of its command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text}")]
pub struct CommandError {
    /// Error number and SQLSTATE.
    pub code: ErrorCode,
    /// Message of the error, as sent to the client.
    pub text: Cow<'static, str>,
}

impl CommandError {
    /// Creates an error with this code and message.
    pub fn new(code: ErrorCode, text: impl Into<Cow<'static, str>>) -> CommandError {
        CommandError { code, text: text.into() }
    }

    /// Encodes the error as an ERR payload.
    pub fn encode(&self) -> Vec<u8> {
        encode(self.code, &self.text)
    }
}

/// How the router handles an error that a server returned.
#[derive(Debug, PartialEq, Eq)]
pub enum ServerErrorMeaning {
    /// The attempt ends with this outcome.
    Outcome(Outcome),
    /// The server does not know the prepared statement, which has to be prepared again.
    UnknownStatement,
    /// The statement itself failed. The error is forwarded to the client.
    StatementError,
}

/// Returns how the router handles the server error with this number.
pub fn server_error_meaning(number: u16) -> ServerErrorMeaning {
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

/// Encodes an ERR payload.
pub fn encode(code: ErrorCode, text: &str) -> Vec<u8> {
    let mut payload = vec![ERR];
    payload.extend_from_slice(&code.number.to_le_bytes());
    payload.push(b'#');
    payload.extend_from_slice(code.sql_state.as_bytes());
    payload.extend_from_slice(text.as_bytes());
    payload
}

/// Returns the error number of an ERR payload, and `None` for any other payload.
pub fn error_number(payload: &[u8]) -> Option<u16> {
    match payload {
        [ERR, low, high, ..] => Some(u16::from_le_bytes([*low, *high])),
        _ => None,
    }
}

/// Encodes the ERR payload for a final response that does not come from a server.
///
/// # Errors
/// Returns the server's response unchanged if there is one.
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
