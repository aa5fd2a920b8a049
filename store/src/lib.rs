//! A small store of versioned keys, replicated to a majority of the configured nodes by the `raft` library.
//!
//! The [`node`] is an actor that owns the raft state; [`peers`] carry its messages over loopback; the [`disk`]
//! keeps what it must not forget; [`state`] is what the committed commands add up to; [`control`] lets commands
//! read and change it. A request's path never passes through here.
pub mod control;
pub mod disk;
pub mod node;
pub mod peers;
pub mod state;

pub use node::{Settings, Store, start};
pub use state::{Change, State, Value};
