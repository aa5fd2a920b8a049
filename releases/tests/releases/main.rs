//! Tests of the budget ledger and of releases, alone and in a simulated fleet.
mod health;
mod ledger;
mod recorded_run;
mod reservations;
mod rollout;
mod safety;
#[path = "../../examples/fleet/sim/mod.rs"]
mod sim;
mod snapshots;
mod stored_forms;
