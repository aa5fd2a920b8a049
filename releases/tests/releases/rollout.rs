//! Whole releases in a simulated fleet, each with one difficulty.
use crate::sim::{BadVersion, SECOND, Scenario, Simulation, limits, target, target_version};
use releases::{DisruptionBudget, Event, HaltReason, LedgerEvent, Limit, Phase, RouterStep, TargetKind};

/// Runs to the end, which must come without a violation.
fn run_to_end(simulation: Simulation) -> Simulation {
    let simulation = simulation.run();
    assert_eq!(simulation.outcome.violations, Vec::<String>::new());
    assert!(simulation.outcome.ended_at.is_some(), "no end: {:?}", simulation.snapshot.phase);
    simulation
}

/// The first router that is out of service.
fn router_out(simulation: &Simulation) -> String {
    simulation.routers_out().next().unwrap().clone()
}

#[test]
fn good_version_reaches_all_routers() {
    let simulation = run_to_end(Simulation::new(Scenario::calm(1)));
    assert_eq!((simulation.snapshot.phase, simulation.outcome.at_target), (Phase::Completed, 15));
    // 1, 2, 2 in each of three zones of five.
    assert_eq!((simulation.snapshot.wave, simulation.outcome.halts.len()), (9, 0));
}

#[test]
fn driver_killed_mid_wave_is_restored_where_it_was() {
    let mut simulation = Simulation::new(Scenario::calm(2));
    simulation.run_until_out(2);
    simulation.kill_driver();
    let simulation = run_to_end(simulation);
    let snapshot = &simulation.snapshot;
    assert_eq!((&snapshot.phase, simulation.outcome.at_target, snapshot.wave), (&Phase::Completed, 15, 9));
    assert_eq!(snapshot.incarnation, 1);
}

#[test]
fn leader_lost_mid_wave_expires_no_reservation() {
    let mut simulation = Simulation::new(Scenario::calm(3));
    simulation.run_until_out(2);
    simulation.lose_leader();
    let simulation = run_to_end(simulation);
    let expired = simulation.outcome.expired_reservations;
    assert_eq!((simulation.snapshot.phase, expired), (Phase::Completed, 0));
}

#[test]
fn router_disconnected_while_out_keeps_its_lease_and_halts_the_wave() {
    let mut simulation = Simulation::new(Scenario { operator_reacts: false, ..Scenario::calm(4) });
    simulation.run_until_out(2);
    let name = router_out(&simulation);
    let until = simulation.now + 300 * SECOND;
    simulation.nodes.get_mut(&name).unwrap().disconnected_until = until;
    let simulation = run_to_end(simulation);
    let halted = Phase::Halted(HaltReason::RoutersLost(vec![name]));
    assert_eq!((simulation.snapshot.phase, simulation.outcome.expired_reservations), (halted, 1));
}

#[test]
fn router_that_never_comes_back_is_left_aside_by_the_rollback() {
    let mut simulation = Simulation::new(Scenario { operator_reacts: false, ..Scenario::calm(5) });
    simulation.run_until_out(3);
    let name = router_out(&simulation);
    simulation.nodes.get_mut(&name).unwrap().is_dead = true;
    simulation.run_for(60 * SECOND);
    let halted = Phase::Halted(HaltReason::RoutersLost(vec![name.clone()]));
    assert_eq!(simulation.snapshot.phase, halted);
    simulation.handle_driver_event(Event::RollBack);
    let simulation = run_to_end(simulation);
    assert_eq!((&simulation.snapshot.phase, simulation.outcome.at_target), (&Phase::RolledBack, 0));
    assert_eq!(simulation.snapshot.routers[&name].step, RouterStep::RollbackFailed);
}

#[test]
fn version_bad_in_one_zone_halts_there_and_is_rolled_back_everywhere() {
    let bad_version = Some(BadVersion { from_routers: 0, zone: Some(1), error_rate: 0.1 });
    let simulation = run_to_end(Simulation::new(Scenario { bad_version, ..Scenario::calm(6) }));
    let halt = &simulation.outcome.halts[0];
    // Three waves of the first zone, then one router of the second.
    assert_eq!((halt.wave, &halt.reason), (4, &HaltReason::Regressed(vec!["r001".into()])));
    assert_eq!((simulation.snapshot.phase, simulation.outcome.at_target), (Phase::RolledBack, 0));
}

#[test]
fn rollback_mid_wave_turns_updating_routers_round() {
    let mut simulation = Simulation::new(Scenario::calm(7));
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
fn budget_lowered_mid_release_holds_from_then_on() {
    let mut simulation = Simulation::new(Scenario::calm(8));
    simulation.run_until_out(3);
    let limits = limits(Limit::Count(1), Limit::Count(1));
    simulation.set_budget(DisruptionBudget { routers: limits, instances: limits });
    simulation.run_for(20 * SECOND);
    simulation.outcome.max_routers_out = 0;
    let simulation = run_to_end(simulation);
    assert_eq!((simulation.snapshot.phase, simulation.outcome.max_routers_out), (Phase::Completed, 1));
}

#[test]
fn operators_halt_stops_new_updates_and_resume_continues() {
    let mut simulation = Simulation::new(Scenario::calm(9));
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
fn router_that_left_the_fleet_is_not_waited_for() {
    for rolls_back in [false, true] {
        let mut scenario = Scenario::calm(11);
        scenario.settings.max_lost_routers = 1;
        let mut simulation = Simulation::new(scenario);
        simulation.run_until_out(3);
        if rolls_back {
            simulation.handle_driver_event(Event::RollBack);
        }
        // One that is neither out nor has a reservation: of the last wave, or of the first.
        let name = if rolls_back { "r000" } else { "r014" };
        simulation.members.remove(&target(TargetKind::Router, name));
        simulation.nodes.get_mut(name).unwrap().is_dead = true;
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
fn wave_lost_as_a_whole_is_followed_by_one_no_larger() {
    let mut scenario = Scenario::calm(12);
    scenario.settings.max_lost_routers = 1;
    let mut simulation = Simulation::new(scenario);
    simulation.nodes.get_mut("r000").unwrap().is_dead = true;
    let simulation = run_to_end(simulation);
    let size = |wave| simulation.snapshot.routers.values().filter(|state| state.wave == wave).count();
    assert_eq!((size(1), size(2), size(3)), (1, 1, 2));
}
