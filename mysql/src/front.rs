//! The front for `MySQL` clients.
//!
//! Each connection has a reader thread, which notices a client that disconnects, and a worker thread, which carries the
//! commands out one after the other.
//!
//! The modules stand on each other in this order: `shared` holds what all connections share, `client_link` writes to one
//! client, `login` lets it in, `command_reader` reads its commands, `submission` hands a request to the routing core, and
//! `session` carries the commands out.
mod client_link;
mod command_reader;
mod login;
mod session;
mod shared;
mod submission;

pub use shared::Front;

use crate::errors;
use crate::packet::{PacketReader, push_packets, write_packets};
use client_link::ClientLink;
use client_listener::{Connection, ConnectionHandler};
use command_reader::CommandReader;
use routing::RequestId;
use routing::reasons::CloseReason;
use session::Session;
use std::sync::Arc;

impl ConnectionHandler for Front {
    fn handle(self: &Arc<Self>, connection: &Arc<Connection>) {
        let Ok(client) = ClientLink::new(self, connection) else { return };
        // The thread that reads commands exists before the client is let in: what it sends after that must be answered.
        let Some(command_reader) = CommandReader::start(self, connection) else {
            connection.set_close_reason(CloseReason::NoThread);
            return self.reject(connection);
        };
        let mut reader = PacketReader::new(self.limits.max_message_bytes);
        if let Ok(login) = login::log_in(&client, &mut reader) {
            // A client that has proved a password is expected to make requests.
            connection.record_request();
            Session::new(client, login).serve(reader, command_reader);
        }
        if let Some(tap) = &self.tap {
            tap.ended(connection.id);
        }
    }

    fn reject(&self, connection: &Connection) {
        let mut packets = Vec::new();
        let error = errors::encode(errors::REJECTED, "refused: no thread is to be had");
        push_packets(&mut packets, 0, &error);
        // A client that has left already needs no response.
        _ = write_packets(&connection.socket, &packets);
    }

    fn client_disconnected(&self, request: RequestId) {
        self.handle.client_disconnected(request);
    }
}
