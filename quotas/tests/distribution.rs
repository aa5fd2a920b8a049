//! Tests how well the distribution of the quota follows demand, in simulated fleets.
mod simulation;
use decision::Micros;
use quotas::Settings;
use settings::fleet::OnLoss;
use simulation::{Fault, Simulation, fleet, quota};

const SECOND: Micros = 1_000_000;

fn simulate(seed: u64, routers: u32, tenants: &[&str], rate: f64, burst: u32) -> Simulation {
    let quota = quota(rate, burst, OnLoss::Closed);
    let quotas: Vec<_> = tenants.iter().map(|name| ((*name).to_string(), quota.clone())).collect();
    Simulation::new(seed, routers as usize, fleet(routers, &quotas), Settings::default(), false)
}

/// Schedules the demand of each router, in requests per second.
fn set_demand(
    simulation: &mut Simulation,
    at: Micros,
    tenant: usize,
    routers: usize,
    rate: impl Fn(usize) -> f64,
) {
    for router in 0..routers {
        simulation.schedule(at, Fault::SetDemand { router, tenant, rate: rate(router) });
    }
}

#[test]
fn tokens_rotate_if_more_routers_have_demand_than_tokens_exist() {
    let mut simulation = simulate(3, 6, &["a"], 20.0, 2);
    set_demand(&mut simulation, 1, 0, 6, |_| 50.0);
    simulation.run_until(20 * SECOND);
    simulation.check_bound().unwrap();
    for router in 0..6 {
        let is_late = |at| at > 3 * SECOND;
        let requests = simulation.history[0].iter();
        let admitted = requests.filter(|request| request.router == router && is_late(request.at)).count();
        assert!(admitted > 10, "router {router} admitted only {admitted} requests");
    }
}

#[test]
fn moved_demand_gets_quota_within_two_seconds_without_affecting_other_tenants() {
    let mut simulation = simulate(1, 20, &["a", "b"], 200.0, 100);
    set_demand(&mut simulation, 1, 1, 20, |_| 0.5);
    simulation.run_until(6 * SECOND);
    let one_router = |router| if router == 3 { 800.0 } else { 0.0 };
    let all_routers = |_| 50.0;
    let demands: [&dyn Fn(usize) -> f64; 3] = [&one_router, &all_routers, &one_router];
    for demand in demands {
        let begin = simulation.now;
        set_demand(&mut simulation, begin, 0, 20, demand);
        simulation.run_until(begin + 6 * SECOND);
        let admitted = simulation.admitted(0, begin + 2 * SECOND, simulation.now);
        assert!(admitted >= 760, "{admitted} of 800");
    }
    simulation.check_bound().unwrap();
    let requested = 20.0 * 0.5 * 18.0;
    let admitted = simulation.admitted(1, 6 * SECOND, simulation.now) as f64;
    assert!(admitted > requested * 0.75, "{admitted} of {requested}");
}

#[test]
fn sparse_demand_gets_quota_and_its_move_is_detected() {
    let mut simulation = simulate(1, 30, &["a"], 20.0, 150);
    set_demand(&mut simulation, 1, 0, 30, |_| 1.0);
    simulation.run_until(40 * SECOND);
    let admitted = simulation.admitted(0, 10 * SECOND, simulation.now);
    assert!(admitted >= 540, "{admitted} of 600");
    // No single router can detect within this time that its demand has ended.
    let now = simulation.now;
    set_demand(&mut simulation, now, 0, 30, |router| if router == 3 { 100.0 } else { 0.0 });
    simulation.run_until(46 * SECOND);
    let admitted = simulation.admitted(0, 42 * SECOND, simulation.now);
    assert!(admitted >= 76, "{admitted} of 80");
    // A few routers whose demand together equals the quota.
    let now = simulation.now;
    set_demand(&mut simulation, now, 0, 30, |router| if router < 10 { 2.0 } else { 0.0 });
    simulation.run_until(86 * SECOND);
    let admitted = simulation.admitted(0, 50 * SECOND, simulation.now);
    assert!(admitted >= 630, "{admitted} of 720");
    simulation.check_bound().unwrap();
}
