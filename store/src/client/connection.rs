//! A connection to one of the nodes, and the backoff between attempts.
use super::settings::Settings;
use crate::loopback::is_connected_to_itself;
use crate::rejection::Rejection;
use crate::wire::{self, Request, Response, STORE_PROTOCOL, WireError};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The first backoff, which doubles with each attempt. The actual pause is drawn at random between half of
/// the backoff and all of it.
pub(super) const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Why an attempt failed.
pub(super) enum AttemptError {
    /// The request was not sent, because no node could be reached.
    NotSent(String),
    /// No valid response was received. A write may have been applied.
    NoResponse(String),
    /// The node rejected the request.
    Rejected(Rejection),
}

impl AttemptError {
    pub(super) fn no_response(error: &WireError) -> AttemptError {
        AttemptError::NoResponse(error.to_string())
    }
}

pub(super) struct Connection {
    settings: Settings,
    socket: Option<TcpStream>,
    /// The index of the node to connect to next.
    next_node: usize,
    backoff: Duration,
    random: fastrand::Rng,
}

impl Connection {
    pub(super) fn new(settings: Settings) -> Connection {
        let random = fastrand::Rng::with_seed(settings.backoff_seed);
        Connection { settings, socket: None, next_node: 0, backoff: MIN_BACKOFF, random }
    }

    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(super) fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// Sends a request. Connects first if no connection is open.
    pub(super) fn send(&mut self, request: &Request) -> Result<(), AttemptError> {
        let socket = match self.socket.take() {
            Some(socket) => socket,
            None => self.connect()?,
        };
        let sent = wire::send(&socket, request);
        self.socket = Some(socket);
        sent.map_err(|error| AttemptError::no_response(&error))
    }

    fn connect(&self) -> Result<TcpStream, AttemptError> {
        let addr = self.settings.nodes[self.next_node % self.settings.nodes.len()];
        let not_sent = |why: String| Err(AttemptError::NotSent(format!("{addr}: {why}")));
        match handshake(addr, self.settings.attempt_timeout) {
            Ok((socket, Response::Welcome { .. })) => Ok(socket),
            Ok((_, Response::Busy { max_connections })) => {
                not_sent(format!("the node has its maximum of {max_connections} connections"))
            }
            Ok(_) => not_sent("the node did not accept the connection".into()),
            Err(error) => not_sent(error.to_string()),
        }
    }

    /// Receives the next message from the node. The timeout is longer than the time after which a node
    /// without a majority gives up a write, so that its rejection is still received.
    pub(super) fn receive(&self) -> Result<Response, AttemptError> {
        let Some(socket) = &self.socket else {
            return Err(AttemptError::NoResponse("the connection is closed".into()));
        };
        let timeout = self.settings.attempt_timeout;
        wire::receive(socket, timeout, timeout).map_err(|error| AttemptError::no_response(&error))
    }

    pub(super) fn close(&mut self) {
        self.socket = None;
    }

    /// Closes the connection and selects the next node.
    pub(super) fn switch_node(&mut self) {
        self.close();
        self.next_node = (self.next_node + 1) % self.settings.nodes.len().max(1);
    }

    pub(super) fn reset_backoff(&mut self) {
        self.backoff = MIN_BACKOFF;
    }

    /// Sleeps before the next attempt and doubles the backoff.
    pub(super) fn back_off(&mut self) {
        let max_us = self.backoff.as_micros() as u64;
        std::thread::sleep(Duration::from_micros(self.random.u64(max_us / 2..=max_us)));
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

/// Connects to a node and exchanges hellos. Returns the node's first response.
fn handshake(addr: SocketAddr, timeout: Duration) -> Result<(TcpStream, Response), WireError> {
    let socket = TcpStream::connect_timeout(&addr, timeout)?;
    if is_connected_to_itself(&socket)? {
        return Err(WireError::WrongProtocol);
    }
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(timeout))?;
    wire::send_hello(&socket, STORE_PROTOCOL)?;
    wire::receive_hello(&socket, STORE_PROTOCOL, timeout)?;
    let response = wire::receive(&socket, timeout, timeout)?;
    Ok((socket, response))
}
