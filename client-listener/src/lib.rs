//! Client connections, whatever wire protocol they speak: the accept loop, the limit on open connections, and closing
//! at shutdown without a lost request.
//!
//! [`ClientServer`] accepts connections from a [`ClientListener`] and runs a [`ConnectionHandler`] on a thread for
//! each. A [`Connection`] counts the commands in flight on it, so that closing it neither loses a response nor
//! carries out a command whose client retries it elsewhere ([`routing::permit::CommandGate`] permits both). [`shutdown`] is the state machine that decides when
//! connections close at shutdown and while operators drain the router; [`ClientServer::serve`] drives it.
mod connection;
mod disconnects;
pub mod in_flight_requests;
mod listener;
mod server;
mod shared_state;
pub mod shutdown;

pub use connection::{CommandReader, Connection, SocketState, is_timeout};
pub use listener::{AcceptWaker, ClientListener, InheritedSocketError};
pub use server::{ClientServer, ConnectionHandler, ServerCommand};
