//! The start of a connection: declines encryption, handles cancel requests, and responds to the startup
//! message.
use super::response;
use super::shared::Front;
use crate::buffer::{CancelKey, MessageBuffer, ReadError, Startup};
use crate::encode::write_gathered;
use client_listener::Connection;
use std::collections::hash_map::Entry;
use std::io;
use std::sync::Arc;

/// Request code of a `CancelRequest`.
const CANCEL_REQUEST: u32 = 80_877_102;
/// Request code of an `SSLRequest`.
const SSL_REQUEST: u32 = 80_877_103;
/// Request code of a `GSSENCRequest`.
const GSS_REQUEST: u32 = 80_877_104;
/// The supported major version of the protocol.
const MAJOR_VERSION: u32 = 3;

/// The registered cancel key of an open connection; it becomes invalid when this is dropped.
pub(super) struct CancelKeyGuard<'a> {
    front: &'a Front,
    key: CancelKey,
}

impl CancelKeyGuard<'_> {
    /// Registers a random key for the connection, which other clients cannot guess.
    fn register<'a>(front: &'a Front, connection: &Arc<Connection>) -> io::Result<CancelKeyGuard<'a>> {
        loop {
            let mut key = CancelKey::default();
            getrandom::fill(&mut key)?;
            if let Entry::Vacant(entry) = front.cancel_keys().entry(key) {
                entry.insert(connection.clone());
                return Ok(CancelKeyGuard { front, key });
            }
        }
    }
}

impl Drop for CancelKeyGuard<'_> {
    fn drop(&mut self) {
        self.front.cancel_keys().remove(&self.key);
    }
}

/// Reads the startup message and responds to it; returns `None` if the client sent a cancel request or an
/// unsupported startup code, after which the connection is closed.
pub(super) fn perform_startup<'a>(
    front: &'a Front,
    buffer: &mut MessageBuffer,
    connection: &Arc<Connection>,
) -> Result<Option<CancelKeyGuard<'a>>, ReadError> {
    let socket = &connection.socket;
    loop {
        match buffer.read_startup(connection.startup_reader())? {
            Some(Startup { code: SSL_REQUEST | GSS_REQUEST, .. }) => write_gathered(socket, &[b"N"])?,
            Some(Startup { code, .. }) if code >> 16 == MAJOR_VERSION => break,
            // A cancel request gets no response, so it does not reveal whether the key was valid.
            Some(Startup { code: CANCEL_REQUEST, key: Some(key) }) => {
                cancel(front, &key);
                return Ok(None);
            }
            _ => return Ok(None),
        }
    }
    let guard = CancelKeyGuard::register(front, connection)?;
    write_gathered(socket, &[&response::startup_response(&guard.key)])?;
    Ok(Some(guard))
}

/// Cancels the oldest request in flight on the connection with this key, if there is one.
fn cancel(front: &Front, key: &CancelKey) {
    let connection = front.cancel_keys().get(key).cloned();
    if let Some(id) = connection.and_then(|c| c.in_flight_requests.oldest()) {
        front.handle.cancel(id);
    }
}
