//! The operators' address of a router: each connection carries one line, a [`Command`], and receives one [`Response`].
//!
//! Responses are due within 1 s under any load, also beside connections that never send a complete line.
//! [`AdminServer`] owns the address; a type that carries commands out implements [`AdminHandler`]. A router's handler is
//! [`AdminService`].
//!
//! One thread serves all connections, on non-blocking sockets, so that hundreds of them cost no threads. `mio` tells it
//! which sockets are ready. The alternatives were `polling`, whose registrations are `unsafe` and must be undone by hand
//! before a socket is dropped (this workspace has no `unsafe`); `poll(2)` by hand, which repeats what a library does; and
//! a thread for each connection, as [`client_listener`](../client_listener/index.html) has, where a thousand idle connections cost a
//! thousand stacks and their scheduling.
mod command;
mod connection;
mod event_loop;
mod handler;
mod limits;
mod line;
mod response;
mod server;
mod service;

pub use command::{Command, MAX_ID_BYTES, ParseError};
pub use handler::AdminHandler;
pub use limits::AdminLimits;
pub use response::Response;
pub use server::{AdminServer, AdminServerError};
pub use service::{AdminService, ServiceDependencies};
