//! A small store of versioned keys, replicated to a majority of the configured nodes by the `raft` library.
//!
//! No I/O, no clock, no threads:
//!
//! - [`command`] has the commands of the replicated log and their responses, [`rejection`] why one was rejected,
//!   [`limits`] the bounds that decide responses.
//! - [`machine`] is the state machine that the committed commands are applied to; [`state`] has the keys as readers
//!   see them.
//! - [`lease_timers`] is the leader's count of leases, in ticks.
//! - [`change_log`] retains the last changes for watches.
//!
//! Sockets, files and threads:
//!
//! - [`node`] is the actor that owns the raft state and applies committed entries to the state machine.
//! - [`log_file`] keeps on disk what a node must not lose; [`peers`] carries raft messages between nodes.
//! - [`wire`] has the frames between nodes and clients, [`server`] answers clients, [`client`] is such a client.
//! - [`control`] answers an operator's commands.
//!
//! Requests of databases' clients never pass through this package.
pub mod acceptor;
pub mod change_log;
pub mod client;
pub mod command;
pub mod control;
pub mod error;
pub mod lease_timers;
pub mod limits;
pub mod log_file;
mod loopback;
pub mod machine;
pub mod node;
pub mod peers;
pub mod rejection;
pub mod server;
pub mod state;
mod threads;
pub mod wire;

pub use error::Error;
pub use node::{Settings, Store, start};
pub use rejection::Rejection;
pub use state::{State, Update, Value};
