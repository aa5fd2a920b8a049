//! The world around the platform's routers: servers behind faulty links, discovery's agents, and clients.
pub mod agents;
pub mod clients;
pub mod clock;
pub mod link;
pub mod servers;
pub mod wire;
