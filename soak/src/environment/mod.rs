//! What surrounds the platform's routers in a run: servers behind faulty links, discovery's agents, and clients.
mod acceptor;
pub mod clients;
pub mod clock;
pub mod discovery;
pub mod link;
pub mod servers;
pub(crate) mod service_thread;
mod socket;
pub mod wire;
