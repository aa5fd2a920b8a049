//! Tests fleets on a simulated network in virtual time. The time limits are those that
//! `docs/design/membership.md` states.
use membership::simulation::Simulation;
use membership::{Action, Settings};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// A fleet of this size whose routers all list each other, after joining through the first routers.
fn fleet(size: usize, seeds: usize, random_seed: u64) -> Simulation {
    let mut simulation = Simulation::new(Settings::default(), random_seed);
    let seeds: Vec<usize> = (0..seeds).collect();
    for router in 0..size {
        simulation.add(1_000 + router as u64, &seeds).expect("the router can be started");
    }
    simulation
        .run_until(15 * SECOND, Simulation::all_agree)
        .expect("all routers list each other within 15 s");
    simulation
}

/// Blocks the links from these routers to one receiver.
fn block_links_to(simulation: &mut Simulation, senders: impl Iterator<Item = usize>, receiver: usize) {
    simulation.blocked.extend(senders.map(|sender| (sender, receiver)));
}

/// How often this router was reported down by any router since `since`.
fn down_reports(simulation: &Simulation, router: usize, since: Duration) -> usize {
    let name = simulation.routers[router].machine.local().name();
    let reports = simulation.reports.iter().filter(|report| report.at >= since);
    reports.filter(|report| matches!(&report.action, Action::Down(member) if member.name() == name)).count()
}

#[test]
fn fleet_of_300_joins_through_three_seeds_within_15_s() {
    let mut simulation = fleet(300, 3, 1);
    // A router that joins later reads the whole list from another member.
    simulation.add(1, &[0, 1, 2]).expect("the router can be started");
    simulation
        .run_until(5 * SECOND, Simulation::all_agree)
        .expect("the late router and the others list each other within 5 s");
}

#[test]
fn survivors_of_mass_failure_agree_within_20_s_without_false_downs() {
    let mut simulation = fleet(100, 3, 2);
    let start = simulation.now;
    (0..100).filter(|router| router % 10 < 7).for_each(|router| simulation.kill(router));
    simulation.run_until(20 * SECOND, Simulation::all_agree).expect("the survivors agree within 20 s");
    let survivors = (0..100).filter(|router| router % 10 >= 7);
    let lost: usize = survivors.map(|router| down_reports(&simulation, router, start)).sum();
    assert_eq!(lost, 0, "no survivor may be reported down");
}

#[test]
fn links_blocked_one_way_take_no_router_down() {
    let mut simulation = fleet(30, 1, 3);
    block_links_to(&mut simulation, [4, 7].into_iter(), 5);
    let start = simulation.now;
    simulation.run(120 * SECOND);
    assert!(simulation.all_agree());
    let none_down = (0..30).all(|router| down_reports(&simulation, router, start) == 0);
    assert!(none_down, "no router may be reported down, since others probe indirectly");
}

#[test]
fn unreachable_router_is_down_everywhere_within_10_s() {
    for random_seed in 10..18 {
        let mut simulation = fleet(40, 3, random_seed);
        simulation.loss = 0.02;
        let isolated = (random_seed as usize * 7) % 40;
        block_links_to(&mut simulation, (0..40).filter(|router| *router != isolated), isolated);
        simulation
            .run_until(10 * SECOND, |simulation| simulation.count_listing(isolated) == 0)
            .expect("the router is down at all others within 10 s");
    }
}

#[test]
fn refuted_suspicion_leaves_no_down_and_no_rejoin() {
    for random_seed in 20..26 {
        let mut simulation = fleet(30, 1, random_seed);
        let start = simulation.now;
        block_links_to(&mut simulation, 0..29, 29);
        simulation.run(SECOND * 9 / 5);
        simulation.blocked.clear();
        simulation.run(10 * SECOND);
        assert!(simulation.all_agree());
        let rejoins = simulation.routers[29].machine.counters().rejoins;
        assert_eq!((down_reports(&simulation, 29, start), rejoins), (0, 0));
    }
}

#[test]
fn isolated_router_takes_no_router_down_and_rejoins() {
    let mut simulation = fleet(40, 3, 9);
    let start = simulation.now;
    block_links_to(&mut simulation, 0..39, 39);
    simulation.run(60 * SECOND);
    let by_others = simulation.reports.iter().filter(|report| report.at >= start && report.router != 39);
    let downs = by_others.filter(|report| matches!(report.action, Action::Down(_))).count();
    assert_eq!(downs, 39, "each other router must report only the isolated one as down");
    simulation.blocked.clear();
    simulation
        .run_until(20 * SECOND, Simulation::all_agree)
        .expect("all routers list each other within 20 s");
}

#[test]
fn halves_of_split_list_own_routers_and_merge_within_30_s() {
    let mut simulation = fleet(100, 3, 4);
    let parts = simulation.partition.iter_mut().enumerate();
    parts.for_each(|(router, part)| *part = u8::from(router % 2 == 1));
    simulation.run(60 * SECOND);
    let lists_half = |router: usize| simulation.routers[router].machine.members().count() == 49;
    assert!((0..100).all(lists_half), "each half must list exactly its own routers");
    simulation.partition.fill(0);
    simulation
        .run_until(30 * SECOND, Simulation::all_agree)
        .expect("all routers list each other within 30 s after the split");
}

#[test]
fn stopped_router_rejoins_with_higher_incarnation() {
    let mut simulation = fleet(50, 3, 5);
    let before = simulation.routers[9].machine.local().incarnation();
    simulation.stop(9);
    simulation.run(30 * SECOND);
    assert_eq!(simulation.count_listing(9), 0);
    let start = simulation.now;
    simulation.resume(9);
    simulation
        .run_until(10 * SECOND, Simulation::all_agree)
        .expect("all routers list each other within 10 s");
    assert!(simulation.routers[9].machine.local().incarnation() > before);
    assert!(simulation.routers[9].machine.counters().stalls > 0);
    let lost: usize =
        (0..50).filter(|router| *router != 9).map(|router| down_reports(&simulation, router, start)).sum();
    assert_eq!(lost, 0, "the stopped router must not report others as down");
}

#[test]
fn restart_supersedes_earlier_start_even_with_clock_set_back() {
    let mut simulation = fleet(50, 3, 6);
    for generation in [5_000, 7] {
        let start = simulation.now;
        simulation.restart(20, generation, &[0, 1, 2]).expect("the router can be started");
        simulation
            .run_until(5 * SECOND, Simulation::all_agree)
            .expect("all routers list the new start within 5 s");
        let sooner_than_failure = simulation.now - start < 3 * SECOND;
        assert!(
            sooner_than_failure || generation == 7,
            "the new start must be listed sooner than a failure is detected"
        );
    }
}

#[test]
fn leave_is_detected_sooner_than_failure() {
    let mut simulation = fleet(100, 3, 7);
    simulation.leave(50);
    let left = simulation
        .run_until(10 * SECOND, |simulation| simulation.count_listing(50) == 0)
        .expect("the leave is detected");
    simulation.kill(51);
    let failed = simulation.run_until(10 * SECOND, Simulation::all_agree).expect("the failure is detected");
    assert!(left < 2 * SECOND && left < failed, "left after {left:?}, failed after {failed:?}");
}

#[test]
fn bytes_sent_per_router_do_not_grow_with_fleet() {
    let mut per_router = Vec::new();
    for size in [60, 120] {
        let mut simulation = fleet(size, 3, 8);
        simulation.run(20 * SECOND);
        let before = simulation.sent_bytes();
        simulation.run(20 * SECOND);
        per_router.push((simulation.sent_bytes() - before) / 20 / size as u64);
    }
    assert!(
        per_router[1] < 700 && per_router[1] < per_router[0] * 5 / 4,
        "bytes per second and router: {per_router:?}"
    );
}
