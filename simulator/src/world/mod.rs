//! The simulated world: one queue of events in simulated time, in which the routers' state machines meet nodes and
//! clients.
//!
//! `state` holds the world and `events` what happens in it; `setup` builds it, `run` plays it, and each of the other
//! modules handles the events of one part.
mod clients;
mod discovery;
mod events;
mod faults;
mod network;
mod nodes;
mod routers;
mod run;
mod sessions;
mod setup;
mod state;

pub use run::play;
