//! Tests with random faults that the budget is never exceeded, no reservation expires before the end of its
//! lease, and every release ends. Also tests that the checker detects injected faults.
use crate::sim::{BadVersion, InjectedFault, SECOND, Scenario, Simulation, last_good, target_version};
use proptest::prelude::{ProptestConfig, prop, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;
use releases::{Phase, RouterStep};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12, failure_persistence: None, rng_seed: RngSeed::Fixed(22), ..Default::default()
    })]

    #[test]
    fn budget_is_kept_and_release_ends_with_random_faults(
        seed: u64,
        bad in prop::option::of((0_usize..12, prop::option::of(0_usize..3), 0.05..0.3)),
        roll_back_at in prop::option::of(0_i64..400),
        update_failure in prop::sample::select(vec![0.0, 0.03]),
        max_lost_routers in 0_u32..3,
    ) {
        let bad_version =
            bad.map(|(from_routers, zone, error_rate)| BadVersion { from_routers, zone, error_rate });
        let roll_back_at = roll_back_at.map(|at| at * SECOND);
        let mut scenario =
            Scenario { bad_version, update_failure, roll_back_at, ..Scenario::with_faults(seed) };
        scenario.settings.max_lost_routers = max_lost_routers;
        scenario.until = 7200 * SECOND;
        let simulation = Simulation::new(scenario).run();
        prop_assert_eq!(&simulation.outcome.violations, &Vec::<String>::new());
        let snapshot = &simulation.snapshot;
        prop_assert!(simulation.outcome.ended_at.is_some(), "the release has not ended: {:?}", snapshot);
        let (version, not_updated_step) = match snapshot.phase {
            Phase::RolledBack => (last_good(), RouterStep::RollbackFailed),
            _ => (target_version(), RouterStep::Lost),
        };
        for (name, node) in simulation.nodes.iter().filter(|(_, node)| !node.has_failed) {
            let step = snapshot.routers[name].step;
            let is_as_expected = node.version == version || step == not_updated_step;
            prop_assert!(is_as_expected, "{name}: {step:?} at {}", node.version);
        }
    }
}

/// Checks that the checker reports a violation with this text.
fn assert_detected(injected_fault: InjectedFault, text: &str) {
    let bad_version = Some(BadVersion { from_routers: 3, zone: None, error_rate: 0.1 });
    let mut scenario = Scenario { bad_version, injected_fault, ..Scenario::without_faults(1) };
    if injected_fault == InjectedFault::LeaseShortened {
        scenario.driver_kill = 0.01;
    }
    let violations = Simulation::new(scenario).run().outcome.violations;
    assert!(violations.iter().any(|violation| violation.contains(text)), "{violations:?}");
}

#[test]
fn early_end_of_reservation_is_detected() {
    assert_detected(InjectedFault::ReturnedEarly, "without a reservation");
    assert_detected(InjectedFault::LeaseShortened, "expired after only");
}

#[test]
fn wave_started_without_health_is_detected() {
    assert_detected(InjectedFault::HealthIgnored, "was found healthy");
}

#[test]
fn rollback_outside_budget_is_detected() {
    assert_detected(InjectedFault::RollbackOutsideBudget, "without a reservation");
}
