//! The environment of the platform's routers in a run: servers behind links with faults, discovery agents,
//! and clients.
mod acceptor;
pub mod clients;
pub mod clock;
pub mod discovery;
pub mod link;
pub mod servers;
pub(crate) mod service_thread;
mod socket;
pub mod wire;
