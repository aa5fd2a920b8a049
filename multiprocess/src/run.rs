//! Plays a plan: starts servers, store nodes and routers, sends the load, injects the faults, and checks the record.
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

/// Time between the routers' start and the first request, in which they probe their servers.
const WARM_UP: Duration = Duration::from_secs(1);
/// The same with a fleet, in which routers are granted their quotas besides.
const FLEET_WARM_UP: Duration = Duration::from_secs(3);

/// Plays a plan with this program.
///
/// # Errors
/// A [`RunError`] where the plan could not be played. Broken guarantees are no error: they are in the report.
pub fn run(program: &Path, plan: &Plan, settings: &CheckSettings) -> Result<Report, RunError> {
    let epoch = Instant::now();
    let mut deployment = Deployment::start(program, plan, epoch)?;
    let startup_time = epoch.elapsed();
    let begin = Instant::now() + if plan.follows_fleet { FLEET_WARM_UP } else { WARM_UP };
    let ports = deployment.routers.ports();
    let load = load::start(plan, ports, epoch, begin).map_err(RunError::system("a thread"))?;
    let resources = playback::play(&mut deployment, begin)?;
    let load = load.join().map_err(RunError::system("the load"))?;
    let unexpected_exits = deployment.routers.unexpected_exits();
    let history = History {
        load_started: begin.saturating_duration_since(epoch).as_micros() as Micros,
        requests: load.requests,
        statements: deployment.servers.statements(),
        servers: deployment.servers.listening.iter().map(|l| l.server.clone()).collect(),
        tenants: deployment.tenants.clone(),
        outages: deployment.routers.outages().to_vec(),
        unexpected_answers: load.unexpected_answers,
    };
    let verdict = check(&history, settings);
    let total_time = epoch.elapsed();
    let routers = plan.routers;
    Ok(Report { routers, startup_time, total_time, resources, unexpected_exits, history, verdict })
}
