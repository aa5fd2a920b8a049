//! Server side of the protocol, which accepts `MySQL` clients.
//!
//! Each connection has a reader thread, which detects that the client has disconnected, and a worker thread,
//! which executes the commands one at a time.
//!
//! Each module uses only modules that precede it in this list: `shared` holds the state that all connections
//! share, `client_link` writes to one client, `login` authenticates the client, `command_reader` reads the
//! client's commands, `submission` submits a request to the routing core, and `session` executes the
//! commands.
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
        // The reader thread starts before the login, because the router must be able to respond to commands
        // once the login has succeeded.
        let Some(command_reader) = CommandReader::start(self, connection) else {
            connection.set_close_reason(CloseReason::NoThread);
            return self.reject(connection);
        };
        let mut reader = PacketReader::pooled(self.limits.max_message_bytes, &self.memory);
        if let Ok(login) = login::log_in(&client, &mut reader) {
            // An authenticated client counts as active, because it is expected to send requests.
            connection.record_request();
            Session::new(client, login).serve(reader, command_reader);
        }
        if let Some(tap) = &self.tap {
            tap.on_closed(connection.id);
        }
    }

    fn reject(&self, connection: &Connection) {
        let mut packets = Vec::new();
        let error = errors::encode(errors::REJECTED, "refused: no thread is to be had");
        push_packets(&mut packets, 0, &error);
        // A write error means that the client has disconnected and needs no response.
        _ = write_packets(&connection.socket, &packets);
    }

    fn client_disconnected(&self, request: RequestId) {
        self.router.client_disconnected(request);
    }

    fn shutdown_started(&self) {
        self.router.shutdown_started();
    }
}
