//! Permits: tokens that authorise sending, retrying, closing and responding.
//!
//! A permit is required for the first byte to a server, each retry, probe and connection attempt, each close
//! of a client connection, and each final response. This holds for every cause: a client front end, the
//! endpoint list of discovery or of the registry, an operator at the admin address, a configuration reload,
//! or shutdown. A request for a permit returns a [`Verdict`]: a token if it is granted, or a [`Denial`] with
//! the reason.
//!
//! The following types enforce this:
//!
//! - [`ServerSocket`] requires a [`WritePermit`] or a [`ConnectionPermit`] for each write. Both are issued
//!   only by an [`AttemptGuard`], neither can be copied, and the last write of a request consumes its permit;
//! - [`RepeatState`] permits or denies a retry, depending on whether earlier attempts may have run;
//! - [`CommandGate`] determines whether a client's command is accepted and whether the connection may be
//!   closed;
//! - [`ReleasedConnection`](crate::released_connection::ReleasedConnection) is the only form in which a server connection waits for its next request: its
//!   session has been reset or is known to be clean;
//! - [`ResponseSlot`] sends one final response, after which it is closed.
//!
//! [`crate::observer`] checks the same invariants independently, from the recorded transitions of requests.
mod attempt;
mod command;
mod denial;
mod endpoint_state;
mod handshake;
mod permitted_writes;
mod repeat;
mod response;
mod server_socket;

pub use attempt::{AttemptGuard, AttemptTimes, ConnectionPermit, WritePermit};
pub use command::CommandGate;
pub use denial::{Denial, Verdict};
pub use endpoint_state::EndpointState;
pub use handshake::Handshake;
pub use repeat::{RepeatRule, RepeatState};
pub use response::ResponseSlot;
pub use server_socket::ServerSocket;
