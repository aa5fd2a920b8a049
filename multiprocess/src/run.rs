//! Runs a plan: starts servers, store nodes and routers, sends the load, injects the faults, and checks the
//! recorded history.
mod deployment;
mod error;
mod faults;
pub mod fleet_document;
mod links;
pub mod operator_file;
mod playback;
mod routers;
mod startup;
mod store_cluster;

pub use error::RunError;

use crate::check::{CheckSettings, check};
use crate::history::{History, Micros};
use crate::load;
use crate::plan::Plan;
use crate::report::Report;
use deployment::Deployment;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time between the start of the routers and the first request, in which the routers run their first health
/// checks.
const WARM_UP: Duration = Duration::from_secs(1);
/// The warm-up time with a fleet document; it includes the time until the routers receive their first quota
/// grants.
const FLEET_WARM_UP: Duration = Duration::from_secs(3);

/// Runs a plan with the given router program.
///
/// # Errors
/// Returns a [`RunError`] if the run could not be completed. Violations of guarantees are not errors; they
/// are part of the report.
pub fn run(program: &Path, plan: &Plan, settings: &CheckSettings) -> Result<Report, RunError> {
    let run_start = Instant::now();
    let mut deployment = Deployment::start(program, plan, run_start)?;
    let startup_time = run_start.elapsed();
    let load_start = Instant::now() + if plan.follows_fleet { FLEET_WARM_UP } else { WARM_UP };
    let ports = deployment.routers.ports();
    let load = load::start(plan, ports, run_start, load_start)
        .map_err(RunError::system("cannot start a load thread"))?;
    let resources = playback::inject_faults(&mut deployment, load_start)?;
    let load = load.join().map_err(RunError::system("cannot send the load"))?;
    let unexpected_exits = deployment.routers.unexpected_exits();
    let history = History {
        load_started: load_start.saturating_duration_since(run_start).as_micros() as Micros,
        requests: load.requests,
        statements: deployment.servers.statements(),
        servers: deployment.servers.listening.iter().map(|l| l.server.clone()).collect(),
        tenants: deployment.tenants.clone(),
        outages: deployment.routers.outages().to_vec(),
        unexpected_responses: load.unexpected_responses,
    };
    let verdict = check(&history, settings);
    let total_time = run_start.elapsed();
    let routers = plan.routers;
    Ok(Report { routers, startup_time, total_time, resources, unexpected_exits, history, verdict })
}
