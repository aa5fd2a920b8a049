//! Plays fleets of nodes, routers and clients in simulated time around the real `decision`, `sessions` and `registry`
//! state machines: a discrete-event model with one clock and one order of events for each run.
//!
//! [`plan`] says what is played, [`world`] plays it, [`node`] is a server, [`check`] holds every run to the rules,
//! [`spread`] measures how evenly replicas are given work, and [`result`] is what comes out. The same plan and seed give the same result, to the last count.
pub mod check;
pub mod node;
pub mod plan;
pub mod result;
pub mod spread;
pub mod world;

pub use plan::{Plan, PlanError};
pub use result::Results;
pub use world::play;
