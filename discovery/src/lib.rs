//! Client of the platform's discovery service: watches the endpoint list with one HTTP request, whose chunked
//! response stays open and carries a JSON object per update.
//!
//! - [`liveness`] is the state machine that decides when a watch is stale and when connections are opened and
//!   closed.
//! - [`json_objects`] splits the response body into objects; [`endpoint_list`] parses each one as an update.
//! - [`Watch`] is the public handle. One thread, the driver, performs the actions of the state machine and
//!   serves all connections with non-blocking I/O, even if an outage opens several. Data from a closed
//!   connection is never applied to the endpoint list.
//!
//! A new connection resumes at the version of the endpoint list: it requests the later updates only, or the
//! complete list if discovery has restarted its version numbers.

mod connection;
mod driver;
pub mod endpoint_list;
mod error;
pub mod json_objects;
pub mod liveness;
mod shared;
mod watch;

pub use watch::Watch;
