//! The front: serves the platform's clients.
//!
//! Each connection has a reader thread, which parses commands, submits requests to the routing core, detects
//! that the client has disconnected, and writes the responses. For a client that pipelines, a writer thread
//! is added, which writes the responses in the order of the commands.
//!
//! Each of these modules uses only the modules named before it: `shared` has the state that all connections
//! share, `open_request` releases the resources of a request in flight, `submission` submits a query to the
//! routing core, `response` encodes responses, `command` decides which response a message gets,
//! `response_writer` waits for responses and writes them, `startup` handles the start of a connection and
//! `session` serves it.
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
    fn handle(self: &Arc<Self>, connection: &Arc<Connection>) {
        session::serve(self, connection);
    }

    fn reject(&self, connection: &Connection) {
        // The client may have disconnected already; it needs no response then.
        _ = write_gathered(&connection.socket, &[&response::no_thread()]);
    }

    fn client_disconnected(&self, request: RequestId) {
        self.handle.client_disconnected(request);
    }

    fn shutdown_started(&self) {
        self.handle.shutdown_started();
    }
}
