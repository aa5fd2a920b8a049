//! Tests whole releases in a simulated fleet, each with one fault or operator action.
use crate::sim::{BadVersion, SECOND, Scenario, Simulation, limits, target, target_version};
use releases::{DisruptionBudget, Event, HaltReason, LedgerEvent, Limit, Phase, RouterStep, TargetKind};

/// Runs until the release has ended, and checks that there were no violations.
fn run_to_end(simulation: Simulation) -> Simulation {
    let simulation = simulation.run();
    assert_eq!(simulation.outcome.violations, Vec::<String>::new());
    assert!(
        simulation.outcome.ended_at.is_some(),
        "the release has not ended: {:?}",
        simulation.snapshot.phase
    );
    simulation
}

/// The first router that is out of service.
fn router_out(simulation: &Simulation) -> String {
    simulation.routers_out().next().unwrap().clone()
}

#[test]
fn good_version_is_rolled_out_to_all_routers() {
    let simulation = run_to_end(Simulation::new(Scenario::without_faults(1)));
    assert_eq!((simulation.snapshot.phase, simulation.outcome.at_target), (Phase::Completed, 15));
    // Each of three zones of five routers has waves of 1, 2 and 2.
    assert_eq!((simulation.snapshot.wave, simulation.outcome.halts.len()), (9, 0));
}

#[test]
fn driver_killed_during_wave_continues_after_restore() {
    let mut simulation = Simulation::new(Scenario::without_faults(2));
    simulation.run_until_out(2);
    simulation.kill_driver();
    let simulation = run_to_end(simulation);
    let snapshot = &simulation.snapshot;
    assert_eq!((&snapshot.phase, simulation.outcome.at_target, snapshot.wave), (&Phase::Completed, 15, 9));
    assert_eq!(snapshot.incarnation, 1);
}

#[test]
fn leader_loss_during_wave_does_not_expire_reservations() {
    let mut simulation = Simulation::new(Scenario::without_faults(3));
    simulation.run_until_out(2);
    simulation.lose_leader();
    let simulation = run_to_end(simulation);
    let expired = simulation.outcome.expired_reservations;
    assert_eq!((simulation.snapshot.phase, expired), (Phase::Completed, 0));
}

#[test]
fn disconnection_of_updating_router_halts_release_after_timeout() {
    let mut simulation = Simulation::new(Scenario { operator_reacts: false, ..Scenario::without_faults(4) });
    simulation.run_until_out(2);
    let name = router_out(&simulation);
    let until = simulation.now + 300 * SECOND;
    simulation.nodes.get_mut(&name).unwrap().disconnected_until = until;
    let simulation = run_to_end(simulation);
    let halted = Phase::Halted(HaltReason::RoutersLost(vec![name]));
    assert_eq!((simulation.snapshot.phase, simulation.outcome.expired_reservations), (halted, 1));
}

#[test]
fn rollback_completes_without_router_that_does_not_return() {
    let mut simulation = Simulation::new(Scenario { operator_reacts: false, ..Scenario::without_faults(5) });
    simulation.run_until_out(3);
    let name = router_out(&simulation);
    simulation.nodes.get_mut(&name).unwrap().has_failed = true;
    simulation.run_for(60 * SECOND);
    let halted = Phase::Halted(HaltReason::RoutersLost(vec![name.clone()]));
    assert_eq!(simulation.snapshot.phase, halted);
    simulation.handle_driver_event(Event::RollBack);
    let simulation = run_to_end(simulation);
    assert_eq!((&simulation.snapshot.phase, simulation.outcome.at_target), (&Phase::RolledBack, 0));
    assert_eq!(simulation.snapshot.routers[&name].step, RouterStep::RollbackFailed);
}

#[test]
fn version_failing_in_one_zone_halts_there_and_is_rolled_back_everywhere() {
    let bad_version = Some(BadVersion { from_routers: 0, zone: Some(1), error_rate: 0.1 });
    let simulation = run_to_end(Simulation::new(Scenario { bad_version, ..Scenario::without_faults(6) }));
    let halt = &simulation.outcome.halts[0];
    // Three waves in the first zone, then one router in the second.
    assert_eq!((halt.wave, &halt.reason), (4, &HaltReason::Regressed(vec!["r001".into()])));
    assert_eq!((simulation.snapshot.phase, simulation.outcome.at_target), (Phase::RolledBack, 0));
}

#[test]
fn rollback_during_wave_starts_with_updating_routers() {
    let mut simulation = Simulation::new(Scenario::without_faults(7));
    simulation.run_until_out(3);
    let out: Vec<String> = simulation.routers_out().cloned().collect();
    simulation.handle_driver_event(Event::RollBack);
    assert!(out.iter().all(|name| simulation.snapshot.wave_routers.contains(name)));
    let simulation = run_to_end(simulation);
    let outcome = &simulation.outcome;
    assert_eq!(
        (&simulation.snapshot.phase, outcome.at_target, outcome.expired_reservations),
        (&Phase::RolledBack, 0, 0)
    );
}

#[test]
fn budget_lowered_during_release_applies_to_later_updates() {
    let mut simulation = Simulation::new(Scenario::without_faults(8));
    simulation.run_until_out(3);
    let limits = limits(Limit::Count(1), Limit::Count(1));
    simulation.set_budget(DisruptionBudget { routers: limits, instances: limits });
    simulation.run_for(20 * SECOND);
    simulation.outcome.max_routers_out = 0;
    let simulation = run_to_end(simulation);
    assert_eq!((simulation.snapshot.phase, simulation.outcome.max_routers_out), (Phase::Completed, 1));
}

#[test]
fn operator_halt_stops_new_updates_and_resume_continues() {
    let mut simulation = Simulation::new(Scenario::without_faults(9));
    simulation.scenario.operator_reacts = false;
    simulation.run_until_out(3);
    simulation.handle_driver_event(Event::Halt);
    simulation.run_for(120 * SECOND);
    let updated = simulation.nodes.values().filter(|node| node.version == target_version()).count();
    assert!(updated < 15 && simulation.ledger_snapshot.reservations.is_empty());
    simulation.handle_driver_event(Event::Resume);
    let simulation = run_to_end(simulation);
    assert_eq!((simulation.snapshot.phase, simulation.outcome.at_target), (Phase::Completed, 15));
}

#[test]
fn release_does_not_wait_for_router_that_left_the_fleet() {
    for rolls_back in [false, true] {
        let mut scenario = Scenario::without_faults(11);
        scenario.settings.max_lost_routers = 1;
        let mut simulation = Simulation::new(scenario);
        simulation.run_until_out(3);
        if rolls_back {
            simulation.handle_driver_event(Event::RollBack);
        }
        // A router that is in service and has no reservation: one of the last wave, or of the first.
        let name = if rolls_back { "r000" } else { "r014" };
        simulation.members.remove(&target(TargetKind::Router, name));
        simulation.nodes.get_mut(name).unwrap().has_failed = true;
        let members = simulation.members.clone();
        simulation.handle_ledger_event(LedgerEvent::MembersChanged(members));
        let simulation = run_to_end(simulation);
        let expected = if rolls_back {
            (Phase::RolledBack, RouterStep::RollbackFailed)
        } else {
            (Phase::Completed, RouterStep::Lost)
        };
        assert_eq!((simulation.snapshot.phase, simulation.snapshot.routers[name].step), expected);
    }
}

#[test]
fn next_wave_does_not_grow_after_whole_wave_is_lost() {
    let mut scenario = Scenario::without_faults(12);
    scenario.settings.max_lost_routers = 1;
    let mut simulation = Simulation::new(scenario);
    simulation.nodes.get_mut("r000").unwrap().has_failed = true;
    let simulation = run_to_end(simulation);
    let wave_size = |wave| simulation.snapshot.routers.values().filter(|state| state.wave == wave).count();
    assert_eq!((wave_size(1), wave_size(2), wave_size(3)), (1, 1, 2));
}
