//! A connection between a router and a server through their link.
use super::state::ServersState;
use crate::environment::link::{ArrivedMessage, InboundBuffer, LinkFault, LinkId};
use crate::environment::socket::{ReadEnd, read_available, reset};
use crate::environment::wire::{message_length, startup_length, startup_response};
use crate::time::{MILLISECOND, Micros};
use mio::net::TcpStream;
use std::io::{ErrorKind, Write};
use std::net::Shutdown;

/// The delay between two bytes on a link that delivers responses one byte at a time.
const TRICKLE_INTERVAL: Micros = MILLISECOND;

/// A connection between a router and a server.
pub(super) struct Connection {
    pub(super) link: LinkId,
    pub(super) opened_at: Micros,
    stream: TcpStream,
    inbound: InboundBuffer,
    outbound: Vec<u8>,
    /// Whether the startup message has been processed.
    started: bool,
    /// When the next byte may be written if the link delivers one byte at a time.
    next_trickle_at: Micros,
}

impl Connection {
    pub(super) fn new(link: LinkId, stream: TcpStream, now: Micros) -> Connection {
        Connection {
            link,
            opened_at: now,
            stream,
            inbound: InboundBuffer::default(),
            outbound: Vec::new(),
            started: false,
            next_trickle_at: 0,
        }
    }

    /// Reads the available bytes. Returns `false` if the connection is closed.
    pub(super) fn read(&mut self, state: &ServersState, now: Micros) -> bool {
        let delay = state.link_fault(self.link).request_delay;
        let forgotten = state.is_forgotten(self.link, self.opened_at);
        let inbound = &mut self.inbound;
        let receive = |bytes: &[u8]| {
            if !forgotten {
                inbound.push(bytes, now, delay);
            }
            !forgotten
        };
        let end = read_available(&mut self.stream, receive);
        if end == ReadEnd::Rejected {
            self.reset();
        }
        end == ReadEnd::Drained
    }

    /// Processes the startup message and responds to it. Returns `false` if it has not arrived yet.
    pub(super) fn start(&mut self, now: Micros) -> bool {
        if !self.started && self.inbound.take(now, startup_length).is_some() {
            self.started = true;
            self.send(&startup_response());
        }
        self.started
    }

    /// Removes and returns the next message that has reached the server.
    pub(super) fn take_message(&mut self, now: Micros) -> Option<ArrivedMessage> {
        self.inbound.take(now, message_length)
    }

    /// Returns when the next bytes on their way reach the server.
    pub(super) fn next_available_at(&self, now: Micros) -> Option<Micros> {
        self.inbound.next_available_at(now)
    }

    /// Adds bytes to the output buffer, from which they are written to the router as the link allows.
    pub(super) fn send(&mut self, bytes: &[u8]) {
        self.outbound.extend_from_slice(bytes);
    }

    /// Makes the connection close with a TCP reset when it is dropped.
    pub(super) fn reset(&self) {
        reset(&self.stream);
    }

    /// Resets the connection in the middle of a response: writes at most its first half, then resets.
    pub(super) fn reset_mid_response(&mut self, response: &[u8]) {
        self.send(&response[..response.len() / 2]);
        _ = self.stream.write(&self.outbound);
        self.reset();
    }

    /// Writes as much as the link allows. Returns `false` if the connection is closed.
    pub(super) fn write(&mut self, fault: &LinkFault, now: Micros) -> bool {
        if self.outbound.is_empty() || fault.blocks_responses {
            return true;
        }
        if let Some(length) = fault.reset_after.filter(|length| self.outbound.len() > *length) {
            _ = self.stream.write(&self.outbound[..length]);
            self.reset();
            return false;
        }
        if fault.trickles && now < self.next_trickle_at {
            return true;
        }
        self.next_trickle_at = now + TRICKLE_INTERVAL;
        let length = if fault.trickles { 1 } else { self.outbound.len() };
        self.write_first(length)
    }

    fn write_first(&mut self, length: usize) -> bool {
        match self.stream.write(&self.outbound[..length]) {
            Ok(written) => {
                self.outbound.drain(..written);
                true
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => true,
            Err(_) => {
                _ = self.stream.shutdown(Shutdown::Both);
                false
            }
        }
    }
}
