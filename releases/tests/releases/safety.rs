//! Random faults: the budget holds, no reservation expires before its lease is over, and a release ends. Faults of the
//! wiring are found by the checker.
use crate::sim::{BadVersion, InjectedFault, SECOND, Scenario, Simulation, last_good, target_version};
use proptest::prelude::{ProptestConfig, prop, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;
use releases::{Phase, RouterStep};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12, failure_persistence: None, rng_seed: RngSeed::Fixed(22), ..Default::default()
    })]

    #[test]
    fn budget_holds_and_release_ends_under_random_faults(
        seed: u64,
        bad in prop::option::of((0_usize..12, prop::option::of(0_usize..3), 0.05..0.3)),
        roll_back_at in prop::option::of(0_i64..400),
        update_death in prop::sample::select(vec![0.0, 0.03]),
        max_lost_routers in 0_u32..3,
    ) {
        let bad_version =
            bad.map(|(from_routers, zone, error_rate)| BadVersion { from_routers, zone, error_rate });
        let roll_back_at = roll_back_at.map(|at| at * SECOND);
        let mut scenario =
            Scenario { bad_version, update_death, roll_back_at, ..Scenario::stormy(seed) };
        scenario.settings.max_lost_routers = max_lost_routers;
        scenario.until = 7200 * SECOND;
        let simulation = Simulation::new(scenario).run();
        prop_assert_eq!(&simulation.outcome.violations, &Vec::<String>::new());
        let snapshot = &simulation.snapshot;
        prop_assert!(simulation.outcome.ended_at.is_some(), "no end: {:?}", snapshot);
        let (version, left_aside) = match snapshot.phase {
            Phase::RolledBack => (last_good(), RouterStep::RollbackFailed),
            _ => (target_version(), RouterStep::Lost),
        };
        for (name, node) in simulation.nodes.iter().filter(|(_, node)| !node.is_dead) {
            let step = snapshot.routers[name].step;
            let is_there = node.version == version || step == left_aside;
            prop_assert!(is_there, "{name}: {step:?} at {}", node.version);
        }
    }
}

/// The checker reports a violation with this text.
fn assert_found(injected_fault: InjectedFault, text: &str) {
    let bad_version = Some(BadVersion { from_routers: 3, zone: None, error_rate: 0.1 });
    let mut scenario = Scenario { bad_version, injected_fault, ..Scenario::calm(1) };
    if injected_fault == InjectedFault::LeaseShortened {
        scenario.driver_kill = 0.01;
    }
    let violations = Simulation::new(scenario).run().outcome.violations;
    assert!(violations.iter().any(|violation| violation.contains(text)), "{violations:?}");
}

#[test]
fn reservation_that_ends_early_is_found() {
    assert_found(InjectedFault::ReturnedEarly, "without a reservation");
    assert_found(InjectedFault::LeaseShortened, "lost its reservation after");
}

#[test]
fn wave_without_health_is_found() {
    assert_found(InjectedFault::HealthIgnored, "was seen healthy");
}

#[test]
fn rollback_outside_the_budget_is_found() {
    assert_found(InjectedFault::RollbackOutsideBudget, "without a reservation");
}
