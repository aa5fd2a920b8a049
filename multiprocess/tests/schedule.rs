//! The requests of a plan, which its seed decides.
use multiprocess::load::schedule::{ScheduledRequest, draw};
use multiprocess::plan;

const EVERY_KEY: &str = include_str!("fixtures/every_key.toml");
/// The first hundred requests and the last one: number, nanoseconds, router, tenant, write, statement.
const SCHEDULE: &str = include_str!("fixtures/schedule.txt");
const FIRST_REQUESTS: usize = 100;

fn line(request: &ScheduledRequest) -> String {
    let ScheduledRequest { id, at, router, tenant, write, sql } = request;
    format!("{id} {} {router} {tenant} {write} {sql}\n", at.as_nanos())
}

#[test]
fn same_plan_draws_the_recorded_requests() {
    let requests = draw(&plan::read(EVERY_KEY).unwrap());
    assert_eq!(requests.len(), 1105);
    let recorded = requests[..FIRST_REQUESTS].iter().chain(requests.last());
    assert_eq!(recorded.map(line).collect::<String>(), SCHEDULE);
}

#[test]
fn requests_are_numbered_in_order_of_their_times() {
    let requests = draw(&plan::read(EVERY_KEY).unwrap());
    assert!(requests.is_sorted_by_key(|request| request.at));
    assert!((1..).zip(&requests).all(|(id, request)| request.id == id));
}

#[test]
fn another_seed_draws_other_requests() {
    let mut plan = plan::read(EVERY_KEY).unwrap();
    let requests = draw(&plan);
    plan.seed += 1;
    assert_ne!(draw(&plan), requests);
}
