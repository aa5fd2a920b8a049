//! Discrete-event simulation of a fleet: nodes, routers and clients around the real `decision`, `sessions` and
//! `registry` state machines, with one clock and one order of events for each run.
//!
//! [`plan`] describes a run and [`fault`] what fails in it; [`world`] plays it with servers from [`node`];
//! [`checker`] verifies the guarantees that hold in every run; [`load_spread`] and [`spread_meter`] measure how evenly
//! replicas are loaded, against the [`random_baseline`]; [`results`] is the outcome. The same plan and seed give the
//! same results, to the last count.
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
pub use world::play;
