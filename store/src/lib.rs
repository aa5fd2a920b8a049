//! A replicated key-value store with versioned keys. The `raft` library replicates its log to the configured
//! nodes; a write is committed once a majority has stored it.
//!
//! Modules without I/O, clock or threads:
//!
//! - [`command`] defines the commands of the replicated log and their responses, [`rejection`] the reasons
//!   for rejecting one, and [`limits`] the limits that the state machine enforces.
//! - [`machine`] is the state machine that applies committed commands; [`state`] is the view of the keys that
//!   readers get.
//! - [`lease_timers`] counts down leases on the leader, in ticks.
//! - [`change_log`] retains the most recent changes for watches.
//!
//! Modules with sockets, files or threads:
//!
//! - [`node`] is the actor that owns the raft state and applies committed entries to the state machine.
//! - [`log_file`] persists the raft log, hard state and snapshot of a node; [`peers`] transports raft
//!   messages between nodes.
//! - [`wire`] defines the frames between nodes and clients, [`server`] serves clients, and [`client`] is the
//!   client library.
//! - [`control`] executes operator commands.
//!
//! Database traffic of the router never passes through this package.
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
