//! Handling of one client message: which response it gets.
use super::response;
use super::shared::Front;
use super::submission::{PendingRequest, submit};
use crate::buffer::{Frame, MessageBuffer};
use crate::encode::{READY, push_message};
use client_listener::Connection;
use client_listener::memory::ClientMemory;
use std::sync::Arc;

/// The response to a command.
pub(super) enum CommandResponse {
    /// A response of the front itself, for which no request is submitted.
    Immediate(Vec<u8>),
    /// An error that says why the command cannot be executed.
    Error(Vec<u8>),
    /// The response to a request, which the routing core sends later.
    Pending(PendingRequest),
}

/// Whether messages are skipped until the next Sync, as the extended query protocol requires after an error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum SyncState {
    #[default]
    Ready,
    SkippingToSync,
}

/// A client whose messages are handled.
pub(super) struct Client<'a> {
    pub(super) front: &'a Arc<Front>,
    pub(super) connection: &'a Arc<Connection>,
    /// Account of the memory of the client's responses.
    pub(super) memory: ClientMemory,
}

/// Handles a message and returns its response; returns `None` if it gets no response.
pub(super) fn handle_message(
    client: &Client<'_>,
    buffer: &MessageBuffer,
    frame: &Frame,
    sync: &mut SyncState,
) -> Option<CommandResponse> {
    match frame.tag {
        b'Q' => handle_query(client, buffer, frame),
        b'S' => {
            *sync = SyncState::Ready;
            Some(CommandResponse::Immediate(READY.to_vec()))
        }
        _ if *sync == SyncState::SkippingToSync => None,
        // Flush: responses are never delayed, so there is nothing to do.
        b'H' => None,
        tag => Some(unsupported_message_response(tag, sync)),
    }
}

/// Returns the error for a message that is not part of the simple query protocol.
fn unsupported_message_response(tag: u8, sync: &mut SyncState) -> CommandResponse {
    let mut response = response::error("0A000", "only simple queries are spoken here");
    // Parse, Bind, Describe, Execute and Close belong to the extended query protocol.
    if matches!(tag, b'P' | b'B' | b'D' | b'E' | b'C') {
        *sync = SyncState::SkippingToSync;
    } else {
        response.extend_from_slice(READY);
    }
    CommandResponse::Error(response)
}

fn handle_query(client: &Client<'_>, buffer: &MessageBuffer, frame: &Frame) -> Option<CommandResponse> {
    let Client { front, connection, memory } = client;
    let body = buffer.get(frame.body());
    let text = body.strip_suffix(b"\0").unwrap_or(body).trim_ascii();
    if text.is_empty() {
        return Some(CommandResponse::Immediate(empty_query_response(connection)));
    }
    let first_word = text.split(|b| !b.is_ascii_alphabetic()).next().unwrap_or(b"").to_ascii_uppercase();
    if matches!(&first_word[..], b"SET" | b"RESET" | b"DISCARD") {
        return Some(CommandResponse::Immediate(settings_response(&first_word)));
    }
    match submit(front, connection, memory, buffer.get(frame.range.clone())) {
        Ok(pending) => Some(CommandResponse::Pending(pending)),
        Err(error) => {
            let mut response = response::submit_error(&error)?;
            response.extend_from_slice(READY);
            Some(CommandResponse::Error(response))
        }
    }
}

/// Returns the response to an empty query. The platform uses empty queries as its health check, which asks
/// whether clients may connect.
fn empty_query_response(connection: &Connection) -> Vec<u8> {
    let mut response = Vec::new();
    if connection.is_draining() {
        response = response::error("57P03", "the router is drained by its operators");
    } else {
        push_message(&mut response, b'I', &[]);
    }
    response.extend_from_slice(READY);
    response
}

/// Returns the response to a command that changes session settings, which is accepted without effect.
fn settings_response(command: &[u8]) -> Vec<u8> {
    let mut response = Vec::new();
    push_message(&mut response, b'C', &[command, b"\0"]);
    response.extend_from_slice(READY);
    response
}
