//! The front for the platform's clients.
//!
//! Each connection has a reader thread, which parses commands, submits requests to the routing core, notices a client
//! that disconnects and writes the responses. For a client that pipelines, a writer thread joins it, which writes the
//! responses in the order of the commands.
//!
//! The modules stand on each other in this order: `shared` holds what all connections share, `open_request` releases
//! what a request in flight takes, `submission` hands a query to the routing core, `command` decides how a message is
//! answered, `response` encodes responses, `response_writer` waits for them and writes them, `startup` opens a
//! connection and `session` serves it.
mod command;
mod open_request;
mod response;
mod response_writer;
mod session;
mod shared;
mod startup;
mod submission;

pub use shared::Front;

use crate::encode::write_gathered;
use client_listener::{Connection, ConnectionHandler};
use routing::RequestId;
use std::sync::Arc;

impl ConnectionHandler for Front {
    /// Serves one connection until it ends.
    fn handle(self: &Arc<Self>, connection: &Arc<Connection>) {
        session::serve(self, connection);
    }

    fn reject(&self, connection: &Connection) {
        // A client that has left already needs no response.
        _ = write_gathered(&connection.socket, &[&response::no_thread()]);
    }

    fn client_disconnected(&self, request: RequestId) {
        self.handle.client_disconnected(request);
    }
}
