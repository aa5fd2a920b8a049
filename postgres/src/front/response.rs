//! Encoding of the responses to clients. Codes and texts are part of the platform's protocol description.
use super::submission::SubmitError;
use crate::buffer::{CancelKey, ProtocolError};
use crate::encode::{READY, Severity, push_error, push_message, push_parameter};
use crate::request::Response;
use client_listener::memory::ResponseMemory;
use routing::{FinalResponse, Outcome};

/// Parameters that each client is sent at startup.
const PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0 (damsonvale)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Encodes the response to a startup message.
pub(super) fn startup_response(key: &CancelKey) -> Vec<u8> {
    let mut startup_response = Vec::with_capacity(256);
    push_message(&mut startup_response, b'R', &[&[0, 0, 0, 0]]);
    for (name, value) in PARAMETERS {
        push_parameter(&mut startup_response, name, value);
    }
    push_message(&mut startup_response, b'K', &[key]);
    startup_response.extend_from_slice(READY);
    startup_response
}

/// Encodes an error after which the session continues, without `ReadyForQuery`.
pub(super) fn error(code: &str, text: &str) -> Vec<u8> {
    let mut response = Vec::new();
    push_error(&mut response, Severity::Error, code, text, None);
    response
}

/// Encodes the error for a client whose connection is closed after it: the client violated the protocol, or there is no
/// memory for its message, which has no effect then.
pub(super) fn protocol_violation(violation: ProtocolError) -> Vec<u8> {
    let mut response = Vec::new();
    match violation {
        ProtocolError::OutOfMemory => {
            let text = "refused: too much is under way; trying again is harmless";
            push_error(&mut response, Severity::Fatal, "53300", text, None);
        }
        _ => push_error(&mut response, Severity::Fatal, "08P01", &violation.to_string(), None),
    }
    response
}

/// Encodes the error for a client that cannot be served because no thread could be started.
pub(super) fn no_thread() -> Vec<u8> {
    let mut response = Vec::new();
    let text = "refused: no thread is to be had; trying again is harmless";
    push_error(&mut response, Severity::Fatal, "53300", text, None);
    response
}

/// Encodes the error for a query that was not submitted, without `ReadyForQuery`; returns `None` if the
/// client has disconnected.
pub(super) fn submit_error(submit_error: &SubmitError) -> Option<Vec<u8>> {
    match submit_error {
        SubmitError::Malformed(malformed) => Some(error("42601", malformed.text())),
        SubmitError::OutOfMemory => Some(error("53300", "refused: too much is under way")),
        SubmitError::DuplicateId => Some(error("42710", "a request of this id is open")),
        SubmitError::Disconnected => None,
    }
}

/// An encoded response without its `ReadyForQuery`, and the memory that it uses.
pub(super) struct EncodedResponse {
    pub(super) messages: Vec<u8>,
    _memory: Option<ResponseMemory>,
}

/// Encodes a final response, without `ReadyForQuery`.
pub(super) fn encode(response: FinalResponse<Response>) -> EncodedResponse {
    let messages = match response {
        FinalResponse::Served(Response { messages, memory }, _) => {
            return EncodedResponse { messages, _memory: memory };
        }
        FinalResponse::Rejected(retry_after) => {
            let retry_after_ms = retry_after.map(|after| after.as_millis().to_string());
            rejected(retry_after_ms.as_deref())
        }
        FinalResponse::Cancelled => error("57014", "canceling statement due to user request"),
        // The PostgreSQL protocol has no field for the reason of the denial.
        FinalResponse::PlacementDenied(_) => rejected(None),
        FinalResponse::Failed(last) => failed(last),
    };
    EncodedResponse { messages, _memory: None }
}

/// Encodes a rejection; `detail` is the number of milliseconds after which the client may retry.
fn rejected(detail: Option<&str>) -> Vec<u8> {
    let mut response = Vec::new();
    push_error(&mut response, Severity::Error, "53300", "refused: trying again is harmless", detail);
    response
}

/// Encodes a failure; `last` is the outcome of the last attempt.
fn failed(last: Option<Outcome>) -> Vec<u8> {
    match last {
        Some(Outcome::TimedOut) => error("57014", "no answer in time; it may have run"),
        Some(Outcome::Reset) => error("08006", "the instance's connection broke; it may have run"),
        Some(Outcome::Error) => error("XX000", "the instance failed; it may have run"),
        _ => error("58000", "it could not be served"),
    }
}
