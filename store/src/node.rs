//! A node of the store: an actor that owns the raft state, and handles to it.
//!
//! The actor's thread receives messages of peers and requests of handles from one bounded queue, ticks the
//! raft library, persists state before sending the messages that depend on it, and applies committed commands
//! to the state machine. Handles share the state machine with the actor under a lock.
mod actor;
mod commands;
mod handle;
pub mod reads;
mod ready;
mod recovery;
mod responses;
mod settings;
mod shared;
mod start;
mod storage;

pub use handle::Store;
pub use responses::{CommittedWrite, ConfirmedRead, KnownLeader, NodeStatus, ReadResult};
pub use settings::Settings;
pub use start::start;
