//! Watches the platform's endpoint list: one HTTP request whose chunked answer stays open and carries a JSON object
//! for each change.
//!
//! - [`liveness`] is the state machine that decides when a watch is stale and when connections are opened and closed.
//! - [`json_objects`] splits the body of the answer into objects; [`endpoint_list`] reads each as an update.
//! - [`Watch`] is the handle that the program holds. Behind it, one thread, the driver, carries out what the state
//!   machine decides and serves all connections without blocking, however many an outage opens. Nothing from a
//!   connection that was closed reaches the list.
//!
//! A new connection asks for what comes after the version that the list holds (it resumes there), or for the complete
//! list where that version no longer counts.

mod connection;
mod driver;
pub mod endpoint_list;
mod error;
pub mod json_objects;
pub mod liveness;
mod shared;
mod watch;

pub use watch::Watch;
