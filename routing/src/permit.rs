//! The permits: whether something may be sent, repeated, closed, answered or started now.
//!
//! Every first byte to a server, every retry, probe and connection attempt, every close of a client's connection and every
//! final response needs a permit, whatever causes it: a front, the endpoint list of discovery or the registry, operators at
//! the admin address, a reload of the configuration, or shutdown. The answer is a [`Verdict`]: permitted, with a token, or
//! denied, with a [`Denial`] that names the reason.
//!
//! The tokens enforce this:
//!
//! - [`ServerSocket`] writes to a server only for a [`WritePermit`] or a [`ConnectionPermit`]. Both come from an
//!   [`AttemptGuard`] alone, neither can be copied, and the last write of a request consumes its permit;
//! - [`RepeatState`] decides on retries from what earlier attempts may have done;
//! - [`CommandGate`] decides whether a client's command is accepted, and whether its connection may close;
//! - [`ResponseSlot`] sends one final response and is closed then.
//!
//! [`crate::observer`] checks the same promises again, from the transitions that were made.
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
