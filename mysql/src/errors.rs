//! The one table of errors, both ways. `README.md` shows it to operators.
//!
//! From a server, an error is one of these:
//!
//! | what the server says | outcome | why |
//! | --- | --- | --- |
//! | 1290, 1836 | miss | it is read-only: no primary, nothing ran |
//! | 1040, 1203, 1226 | turned away | too many connections: nothing ran |
//! | 1243 | prepared anew, once | it does not know the statement: nothing ran |
//! | 1026, 1030, 1037, 1041, 1053, 1105, 1158 to 1161, 1180, 1317, 1927, 3024 | error | the server failed or stopped it: it may have run |
//! | any other | served | the statement's own error: the client gets it as it is |
//!
//! To a client, an end that is no server's answer is one of [`REFUSED`], [`TIMED_OUT`], [`RESET`], [`ERROR`],
//! [`CANCELLED`].
use routing::{FinalResponse, Outcome};

/// An error code with its SQLSTATE.
pub type Code = (u16, &'static str);

/// Refused: trying again is harmless.
pub const REFUSED: Code = (1040, "08004");
/// No answer in time; it may have run.
pub const TIMED_OUT: Code = (3024, "HY000");
/// The server's connection broke; it may have run.
pub const RESET: Code = (1158, "08S01");
/// The client cancelled it; it may have run.
pub const CANCELLED: Code = (1317, "70100");
/// The server failed; it may have run.
pub const ERROR: Code = (1105, "HY000");

/// The greeting's answer can't be read.
pub const BAD_HANDSHAKE: Code = (1043, "08S01");
/// Wrong user or password.
pub const ACCESS_DENIED: Code = (1045, "28000");
/// No such command.
pub const UNKNOWN_COMMAND: Code = (1047, "08S01");
/// No such database.
pub const UNKNOWN_DATABASE: Code = (1049, "42000");
/// An empty text.
pub const EMPTY_QUERY: Code = (1065, "42000");
/// A payload that is too long.
pub const TOO_LARGE: Code = (1153, "08S01");
/// A packet out of sequence.
pub const OUT_OF_ORDER: Code = (1156, "08S01");
/// An execution whose parameters can't be read.
pub const WRONG_ARGUMENTS: Code = (1210, "HY000");
/// What the router does not carry.
pub const NOT_CARRIED: Code = (1235, "42000");
/// No such prepared statement.
pub const UNKNOWN_STATEMENT: Code = (1243, "HY000");
/// Several results for a client that takes one.
pub const NO_MULTI_RESULTS: Code = (1312, "0A000");
/// Rows fetched from a statement that has none open.
pub const NO_CURSOR: Code = (1421, "HY000");
/// More prepared statements than one client may hold.
pub const TOO_MANY_STATEMENTS: Code = (1461, "42000");
/// A payload that can't be read.
pub const MALFORMED: Code = (1835, "HY000");

/// What a server's error means.
#[derive(Debug, PartialEq, Eq)]
pub enum Meaning {
    /// It is this outcome.
    Outcome(Outcome),
    /// The statement has to be prepared anew.
    PrepareAnew,
    /// It is the statement's own: the client gets it.
    Own,
}

/// What a server's error code means.
pub fn meaning(code: u16) -> Meaning {
    match code {
        1290 | 1836 => Meaning::Outcome(Outcome::NotEligible),
        1040 | 1203 | 1226 => Meaning::Outcome(Outcome::Rejected),
        1243 => Meaning::PrepareAnew,
        1026 | 1030 | 1037 | 1041 | 1053 | 1105 | 1158..=1161 | 1180 | 1317 | 1927 | 3024 => {
            Meaning::Outcome(Outcome::Error)
        }
        _ => Meaning::Own,
    }
}

/// An ERR payload.
pub fn payload((code, state): Code, text: &str) -> Vec<u8> {
    let mut b = vec![0xff];
    b.extend_from_slice(&code.to_le_bytes());
    b.push(b'#');
    b.extend_from_slice(state.as_bytes());
    b.extend_from_slice(text.as_bytes());
    b
}

/// The code of an ERR payload.
pub fn code(payload: &[u8]) -> Option<u16> {
    match payload {
        [0xff, a, b, ..] => Some(u16::from_le_bytes([*a, *b])),
        _ => None,
    }
}

/// The ERR payload for a final answer that no server gave; `Err` with what a server did answer.
pub fn worded<A>(answer: FinalResponse<A>) -> Result<Vec<u8>, A> {
    Ok(match answer {
        FinalResponse::Served(a, _) => return Err(a),
        FinalResponse::Rejected(Some(after)) => {
            let text = format!("refused: trying again is harmless; come back after {} ms", after.as_millis());
            payload(REFUSED, &text)
        }
        FinalResponse::Rejected(None) => payload(REFUSED, "refused: trying again is harmless"),
        FinalResponse::Cancelled => {
            payload(CANCELLED, "cancelled by its client; what had begun may have run")
        }
        FinalResponse::PlacementDenied(why) => payload(REFUSED, &format!("refused: nothing ran: {why}")),
        FinalResponse::Failed(Some(Outcome::TimedOut)) => {
            payload(TIMED_OUT, "no answer in time; it may have run")
        }
        FinalResponse::Failed(Some(Outcome::Reset)) => {
            payload(RESET, "the server's connection broke; it may have run")
        }
        FinalResponse::Failed(Some(Outcome::Error)) => payload(ERROR, "the server failed; it may have run"),
        FinalResponse::Failed(_) => payload(ERROR, "it could not be served"),
    })
}
