//! Generates the requests of a plan and their times from the plan's seed.
use crate::plan::{Load, Plan, READ_CLASS, WRITE_CLASS};
use std::time::Duration;

/// A request with its scheduled time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledRequest {
    /// Number of the request, from 1 in order of time.
    pub id: u64,
    /// Scheduled time, relative to the start of the load.
    pub at: Duration,
    /// Index of the router to which the request is sent.
    pub router: usize,
    /// Index of the request's tenant.
    pub tenant: usize,
    /// Whether the request is a write.
    pub write: bool,
    /// SQL text of the request.
    pub sql: String,
}

/// A generated request without its number, which depends on the times of all other requests.
struct UnnumberedRequest {
    at: Duration,
    router: usize,
    tenant: usize,
    write: bool,
    group: usize,
}

/// Generates all requests of a plan, in order of time. The same plan always gives the same requests.
pub fn generate(plan: &Plan) -> Vec<ScheduledRequest> {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let mut generated = Vec::new();
    for load in plan.loads.iter().filter(|load| load.rate > 0.0) {
        generate_load(plan, load, &mut rng, &mut generated);
    }
    generated.sort_by_key(|request| request.at);
    (1..).zip(generated).map(|(id, request)| assign_number(plan, id, &request)).collect()
}

/// Generates the requests of one load as a Poisson process with the load's rate.
fn generate_load(plan: &Plan, load: &Load, rng: &mut fastrand::Rng, generated: &mut Vec<UnnumberedRequest>) {
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
        generated.push(UnnumberedRequest {
            at: Duration::from_secs_f64(seconds),
            router,
            tenant,
            write,
            group,
        });
    }
}

/// Assigns a number to a request and writes it into the SQL text.
fn assign_number(plan: &Plan, id: u64, generated: &UnnumberedRequest) -> ScheduledRequest {
    let &UnnumberedRequest { at, router, tenant, write, group } = generated;
    let class = if write { WRITE_CLASS } else { READ_CLASS };
    let comment = format!("/* c={class},cluster={group},t={} */", plan.tenants[tenant].name);
    let sql = if write {
        format!("INSERT INTO basket VALUES ('{id}') {comment}")
    } else {
        format!("SELECT n FROM basket WHERE k = '{id}' {comment}")
    };
    ScheduledRequest { id, at, router, tenant, write, sql }
}
