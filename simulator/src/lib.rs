//! Discrete-event simulation of a fleet: nodes, routers and clients around the real `decision`, `sessions`
//! and `registry` state machines, with one clock and one event queue for each run.
//!
//! [`plan`] describes a run and [`fault`] its faults; [`world`] executes the run on the simulated servers of
//! [`node`]; [`checker`] verifies the guarantees that every run must meet; [`load_spread`] and
//! [`spread_meter`] measure how evenly the replicas are loaded, compared with the [`random_baseline`];
//! [`results`] holds the outcome. The same plan and seed give exactly the same results.
pub mod checker;
pub mod fault;
pub mod load_spread;
pub mod node;
pub mod plan;
pub mod plan_validation;
pub mod random_baseline;
pub mod results;
mod router_settings;
pub mod spread_meter;
mod times;
pub mod world;

pub use fault::{Fault, FaultKind, InjectedBug};
pub use plan::{ClassPlan, Plan};
pub use plan_validation::PlanError;
pub use results::Results;
pub use world::simulate;
