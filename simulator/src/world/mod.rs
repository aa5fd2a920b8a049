//! The simulation: an event queue in simulated time that connects the routers' real state machines with
//! simulated nodes and clients.
//!
//! `state` holds the state of the simulation and `events` defines its events; `setup` builds the initial
//! state, `run` processes the events, and each of the other modules handles the events of one component.
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

pub use run::simulate;
