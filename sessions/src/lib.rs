//! Read-your-writes consistency for client sessions: a session's read reflects every write that was
//! acknowledged to that session, whichever instance serves the read and whatever failed in between.
//!
//! [`machine`] is the state machine: it tracks the newest commit of each session ([`commit_cache`]) and which
//! peers' commits are up to date, and it decides when a write may be acknowledged. [`clocks`] bounds the
//! offset between the servers' clocks and this router's clock. None of these does I/O or reads a clock.
//! [`journal`] writes commits to disk, [`frames`] is the wire protocol between instances, and [`node`] drives
//! the state machine with sockets, files, threads and the clock. `docs/design/sessions.md` explains the
//! design.
pub mod clocks;
pub mod commit_cache;
pub mod error;
pub mod frames;
pub mod journal;
mod key;
pub mod machine;
pub mod node;

pub use error::Error;
pub use key::{AFTER_EVERY_COMMIT, SessionKey};
