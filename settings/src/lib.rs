//! The one place where configuration is read, checked and given its defaults.
//!
//! - [`start`] reads the JSON that the platform starts a router with, and [`platform`] the settings in it, for the router
//!   and for the simulator's adapter alike, so that both run on the same ones.
//! - [`operator`] reads an operator's own TOML file, with the tables of [`members`] and [`fleet`].
//! - [`fleet`] reads the document that all routers of a fleet follow.
//! - [`Limits`] has every bound of the program.
//! - [`fields`] and [`error`] are what they share: each [`Error`] names the key at fault, what may stand there and what
//!   does, but never the value of a secret.
pub mod error;
pub mod fields;
pub mod fleet;
mod key_diff;
pub mod limits;
pub mod members;
pub mod operator;
pub mod platform;
pub mod start;

pub use error::Error;
pub use limits::Limits;
