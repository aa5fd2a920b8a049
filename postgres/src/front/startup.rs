//! The start of a connection: encryption is declined, a cancel request is carried out, a startup is greeted.
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
/// The major version of the protocol.
const MAJOR_VERSION: u32 = 3;

/// The cancel key of an open connection; it is invalid once this is dropped.
pub(super) struct CancelKeyGuard<'a> {
    front: &'a Front,
    key: CancelKey,
}

impl CancelKeyGuard<'_> {
    /// Registers a key for the connection, which nobody can guess.
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

/// Reads the startup message and greets the client; `None` where the client wanted something else.
pub(super) fn start_up<'a>(
    front: &'a Front,
    buffer: &mut MessageBuffer,
    connection: &Arc<Connection>,
) -> Result<Option<CancelKeyGuard<'a>>, ReadError> {
    let socket = &connection.socket;
    loop {
        match buffer.read_startup(connection.startup_reader())? {
            Some(Startup { code: SSL_REQUEST | GSS_REQUEST, .. }) => write_gathered(socket, &[b"N"])?,
            Some(Startup { code, .. }) if code >> 16 == MAJOR_VERSION => break,
            // No response tells whether the key was valid.
            Some(Startup { code: CANCEL_REQUEST, key: Some(key) }) => {
                cancel(front, &key);
                return Ok(None);
            }
            _ => return Ok(None),
        }
    }
    let guard = CancelKeyGuard::register(front, connection)?;
    write_gathered(socket, &[&response::greeting(&guard.key)])?;
    Ok(Some(guard))
}

/// Cancels the oldest request in flight on the connection of this key, if there is one.
fn cancel(front: &Front, key: &CancelKey) {
    let connection = front.cancel_keys().get(key).cloned();
    if let Some(id) = connection.and_then(|c| c.in_flight_requests.oldest()) {
        front.handle.cancel(id);
    }
}
