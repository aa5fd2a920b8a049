//! Server side of client connections, independent of the wire protocol: the accept loop, the limit on open
//! connections, and graceful shutdown without lost requests.
//!
//! [`ClientServer`] accepts connections from a [`ClientListener`] and runs a [`ConnectionHandler`] on one
//! thread per connection. A [`Connection`] counts the commands in flight on it
//! ([`routing::permit::CommandGate`]), so that closing it neither loses a response nor executes a command
//! that the client retries on another connection. [`shutdown`] is the state machine that decides when
//! connections close at shutdown and during a drain; [`ClientServer::serve`] drives it.
mod connection;
mod disconnects;
pub mod in_flight_requests;
mod listener;
pub mod memory;
mod server;
mod shared_state;
pub mod shutdown;

pub use connection::{CommandReader, Connection, SocketState, is_timeout};
pub use listener::{AcceptWaker, ClientListener, InheritedSocketError};
pub use server::{ClientServer, ConnectionHandler, ServerCommand};
