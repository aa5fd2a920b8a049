//! Reads and validates configuration files and applies defaults.
//!
//! - [`start`] reads the JSON configuration with which the platform starts a router. [`platform`] reads the
//!   settings object in it; the simulator's adapter uses the same code, so that both interpret settings
//!   alike.
//! - [`operator`] reads an operator's TOML file, including the tables defined in [`members`] and [`fleet`].
//! - [`fleet`] reads the configuration document that all routers of a fleet share.
//! - [`Limits`] holds the size limits, count limits and timeouts of the program.
//! - [`fields`] and [`error`] are shared by all readers: each [`Error`] names the faulty key, the accepted
//!   values and the value found, but never the value of a secret.
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
