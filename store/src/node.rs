//! A node of the store: an actor that owns the raft state, and the handle to it.
//!
//! The actor's thread takes messages of peers and requests of handles from one bounded queue, ticks the raft library,
//! stores what must not be lost before it sends what relies on it, and applies committed commands to the state
//! machine. Readers share the state machine with it under a lock.
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
