//! The requests of a plan and their times, drawn from the plan's seed.
use crate::plan::{Load, Plan, READ_CLASS, WRITE_CLASS};
use std::time::Duration;

/// A request that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledRequest {
    /// Its number, from 1 in the order of times.
    pub id: u64,
    /// When it is due, after the load's begin.
    pub at: Duration,
    /// Index of the router that it is sent to.
    pub router: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Whether it is a write.
    pub write: bool,
    /// The statement.
    pub sql: String,
}

/// A request before its number is known, which depends on all others.
struct DrawnRequest {
    at: Duration,
    router: usize,
    tenant: usize,
    write: bool,
    group: usize,
}

/// All requests of a plan, in the order of their times; the same plan gives the same requests.
pub fn draw(plan: &Plan) -> Vec<ScheduledRequest> {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let mut drawn = Vec::new();
    for load in plan.loads.iter().filter(|load| load.rate > 0.0) {
        draw_load(plan, load, &mut rng, &mut drawn);
    }
    drawn.sort_by_key(|request| request.at);
    (1..).zip(drawn).map(|(id, request)| number(plan, id, &request)).collect()
}

/// Draws one load's requests: a Poisson process of its rate.
fn draw_load(plan: &Plan, load: &Load, rng: &mut fastrand::Rng, drawn: &mut Vec<DrawnRequest>) {
    let tenant = plan.tenants.iter().position(|tenant| tenant.name == load.tenant).unwrap_or(0);
    let mut seconds = 0.0;
    loop {
        seconds -= (1.0 - rng.f64()).ln() / load.rate;
        if seconds >= plan.seconds {
            return;
        }
        let router = rng.usize(0..load.router_count(plan.routers));
        let write = rng.f64() < load.write_share;
        let group = rng.usize(0..plan.groups.len());
        drawn.push(DrawnRequest { at: Duration::from_secs_f64(seconds), router, tenant, write, group });
    }
}

/// Gives a request its number, which its statement contains.
fn number(plan: &Plan, id: u64, drawn: &DrawnRequest) -> ScheduledRequest {
    let &DrawnRequest { at, router, tenant, write, group } = drawn;
    let class = if write { WRITE_CLASS } else { READ_CLASS };
    let comment = format!("/* c={class},cluster={group},t={} */", plan.tenants[tenant].name);
    let sql = if write {
        format!("INSERT INTO basket VALUES ('{id}') {comment}")
    } else {
        format!("SELECT n FROM basket WHERE k = '{id}' {comment}")
    };
    ScheduledRequest { id, at, router, tenant, write, sql }
}
