//! What each client session must see, so that no session read misses a write that was acknowledged to its session,
//! whichever instance serves it and whatever has failed in between.
//!
//! [`machine`] decides: it holds the newest commit of each session ([`commit_cache`]), which peers may be relied on,
//! and when a write may be acknowledged. [`clocks`] bounds how far the servers' clocks are from this router's. None
//! of these does I/O or reads a clock. [`journal`] writes commits to disk, [`frames`] is the wire between instances,
//! and [`node`] drives all of it: sockets, files, threads and the clock. `docs/design/sessions.md` gives the reasons.
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
