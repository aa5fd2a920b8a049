//! Writes to one client's connection and passes the traffic of both directions to the recorder.
use super::shared::Front;
use crate::errors::{self, ErrorCode};
use crate::packet::{Packet, ReadError, push_packets, write_packets};
use client_listener::Connection;
use std::io;
use std::net::SocketAddr;

/// Length of a response from which on it is written in parts, in bytes.
const MAX_WRITE_BYTES: usize = 32 * 1024;

/// The connection was closed or has to be closed.
#[derive(Debug)]
pub(super) struct ConnectionEnded;

/// A client's connection together with the front that serves it.
pub(super) struct ClientLink<'a> {
    pub(super) front: &'a Front,
    pub(super) connection: &'a Connection,
    pub(super) addr: SocketAddr,
}

impl<'a> ClientLink<'a> {
    /// Creates the link. Fails if the client has already disconnected.
    pub(super) fn new(front: &'a Front, connection: &'a Connection) -> io::Result<ClientLink<'a>> {
        Ok(ClientLink { front, connection, addr: connection.socket.peer_addr()? })
    }

    /// Writes payloads in response to the packet with this sequence number.
    pub(super) fn write_payloads(
        &self,
        sequence: u8,
        payloads: &[impl AsRef<[u8]>],
    ) -> Result<(), ConnectionEnded> {
        let mut packets = Vec::new();
        let mut next = sequence.wrapping_add(1);
        for payload in payloads {
            // A long response is written in parts, so that there is no second copy of it.
            if packets.len() + payload.as_ref().len() > MAX_WRITE_BYTES && !packets.is_empty() {
                self.write_packets(&packets)?;
                packets.clear();
            }
            next = push_packets(&mut packets, next, payload.as_ref());
        }
        self.write_packets(&packets)
    }

    pub(super) fn write_packets(&self, packets: &[u8]) -> Result<(), ConnectionEnded> {
        // The bytes are recorded before the write, so the recording contains each response that a client has
        // received.
        self.record_bytes(false, packets);
        write_packets(&self.connection.socket, packets).map_err(|_| ConnectionEnded)
    }

    /// Writes an error and ends the connection.
    pub(super) fn close_with_error<T>(
        &self,
        sequence: u8,
        code: ErrorCode,
        text: &str,
    ) -> Result<T, ConnectionEnded> {
        self.write_payloads(sequence, &[errors::encode(code, text)])?;
        Err(ConnectionEnded)
    }

    /// Ends the connection after a read error. A client that violated the protocol receives an error first.
    pub(super) fn close_after_read_error<T>(&self, error: &ReadError) -> Result<T, ConnectionEnded> {
        match error {
            ReadError::TooLong => {
                let text = format!("a packet is longer than {} bytes", self.front.limits.max_message_bytes);
                self.close_with_error(0, errors::TOO_LARGE, &text)
            }
            ReadError::OutOfOrder => {
                self.close_with_error(0, errors::OUT_OF_ORDER, "packets came out of order")
            }
            ReadError::OutOfMemory => self.close_with_error(0, errors::REJECTED, errors::OUT_OF_MEMORY_TEXT),
            ReadError::Closed | ReadError::IdleTimeout | ReadError::Io(_) => Err(ConnectionEnded),
        }
    }

    /// Passes a packet that was received from the client to the recorder.
    pub(super) fn record_packet(&self, packet: &Packet) {
        if self.front.tap.is_some() {
            let mut bytes = Vec::new();
            push_packets(&mut bytes, packet.first_sequence, &packet.payload);
            self.record_bytes(true, &bytes);
        }
    }

    fn record_bytes(&self, from_client: bool, bytes: &[u8]) {
        if let Some(tap) = &self.front.tap {
            tap.on_bytes(self.connection.id, self.addr, from_client, bytes);
        }
    }
}
