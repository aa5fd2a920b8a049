//! The admin address of a router, for its operators: each connection sends one line, a [`Command`], and
//! receives one [`Response`].
//!
//! Responses must be sent within 1 s under any load, even beside connections that never send a complete line.
//! [`AdminServer`] listens on the address; commands are handled by an implementation of [`AdminHandler`], in
//! a router by [`AdminService`].
//!
//! One thread serves all connections on non-blocking sockets, so that hundreds of connections need no threads
//! of their own. `mio` reports which sockets are ready. The rejected alternatives: `polling`, whose
//! registrations are `unsafe` and must be undone before a socket is dropped (this workspace has no `unsafe`);
//! direct use of `poll(2)`, which repeats what a library does; and a thread per connection, as in
//! [`client_listener`](../client_listener/index.html), where a thousand idle connections need a thousand
//! stacks and their scheduling.
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
pub use service::{AdminService, ServiceDependencies, SharedCommits};
