//! Tests the requests of a plan, which are generated from its seed.
use multiprocess::load::schedule::{ScheduledRequest, generate};
use multiprocess::plan;

const EVERY_KEY: &str = include_str!("fixtures/every_key.toml");
/// The first hundred requests and the last one; each line has the number, the time in nanoseconds, the
/// router, the tenant, the write flag and the statement.
const SCHEDULE: &str = include_str!("fixtures/schedule.txt");
const FIRST_REQUESTS: usize = 100;

fn line(request: &ScheduledRequest) -> String {
    let ScheduledRequest { id, at, router, tenant, write, sql } = request;
    format!("{id} {} {router} {tenant} {write} {sql}\n", at.as_nanos())
}

#[test]
fn same_plan_generates_the_recorded_requests() {
    let requests = generate(&plan::read(EVERY_KEY).unwrap());
    assert_eq!(requests.len(), 1105);
    let recorded = requests[..FIRST_REQUESTS].iter().chain(requests.last());
    assert_eq!(recorded.map(line).collect::<String>(), SCHEDULE);
}

#[test]
fn requests_are_numbered_in_order_of_time() {
    let requests = generate(&plan::read(EVERY_KEY).unwrap());
    assert!(requests.is_sorted_by_key(|request| request.at));
    assert!((1..).zip(&requests).all(|(id, request)| request.id == id));
}

#[test]
fn another_seed_generates_other_requests() {
    let mut plan = plan::read(EVERY_KEY).unwrap();
    let requests = generate(&plan);
    plan.seed += 1;
    assert_ne!(generate(&plan), requests);
}
