//! Tests how updated routers are evaluated by their statistics.
use crate::sim::{SECOND, plan, settings, target_version};
use decision::Time;
use releases::{Action, Event, GrantId, HaltReason, Phase, Release, RequestStats};

const GRANT: GrantId = GrantId(1);

fn stats(requests: u64, errors: u64, mean_latency: u64) -> RequestStats {
    RequestStats { requests, errors, latency_sum: requests * mean_latency }
}

fn reported(router: usize, stats: RequestStats) -> Event {
    Event::StatsReported { router: format!("r{router}"), stats }
}

/// Creates a release of three routers in one zone with these statistics, and updates the first router.
fn release_with_one_updated(baseline: RequestStats) -> (Release, Vec<Action>) {
    let routers = (0..3).map(|i| (format!("r{i}"), "z".to_string())).collect();
    let mut release = Release::new(plan(&routers), settings()).unwrap();
    let mut actions = Vec::new();
    for i in 0..3 {
        release.handle(Time(0), reported(i, baseline), &mut actions);
    }
    release.handle(Time(0), Event::Tick, &mut actions);
    let acquire = actions.iter().find(|action| matches!(action, Action::Acquire { .. }));
    let Some(Action::Acquire { router, request }) = acquire else { panic!("{actions:?}") };
    assert_eq!(router, "r0");
    let granted = Event::Granted { router: router.clone(), request: *request, grant: GRANT };
    release.handle(Time(1), granted, &mut actions);
    let updated = Event::Updated { router: "r0".into(), version: target_version() };
    release.handle(Time(2), updated, &mut actions);
    assert!(actions.contains(&Action::Return { router: "r0".into(), grant: GRANT }));
    (release, actions)
}

/// The phases of a release to three routers after the first router was updated.
#[derive(Debug, PartialEq)]
struct Evaluation {
    first_phase: Phase,
    wave_after_observation: u32,
    phase_after_health_timeout: Phase,
}

/// Runs the release with the given statistics of the updated router and of the routers not updated.
fn evaluate(updated: RequestStats, others: RequestStats) -> Evaluation {
    let (mut release, mut actions) = release_with_one_updated(stats(1000, 2, 1000));
    release.handle(Time(3), reported(0, updated), &mut actions);
    for i in 1..3 {
        release.handle(Time(3), reported(i, others), &mut actions);
    }
    release.handle(Time(4), Event::Tick, &mut actions);
    let first_phase = release.phase().clone();
    release.handle(Time(4 + 16 * SECOND), Event::Tick, &mut actions);
    let wave_after_observation = release.snapshot().wave;
    release.handle(Time(4 + 91 * SECOND), Event::Tick, &mut actions);
    let phase_after_health_timeout = release.phase().clone();
    Evaluation { first_phase, wave_after_observation, phase_after_health_timeout }
}

#[test]
fn updated_router_is_compared_with_its_baseline_and_with_routers_not_updated() {
    let (healthy, failing, slow) = (stats(4000, 8, 1000), stats(4000, 400, 1000), stats(4000, 8, 2000));
    let halted_immediately = || {
        let halted = Phase::Halted(HaltReason::Regressed(vec!["r0".into()]));
        let first_phase = halted.clone();
        Evaluation { first_phase, wave_after_observation: 1, phase_after_health_timeout: halted }
    };
    assert_eq!(evaluate(failing, healthy), halted_immediately(), "errors");
    assert_eq!(evaluate(slow, healthy), halted_immediately(), "latency");
    assert_eq!(
        evaluate(healthy, healthy).wave_after_observation,
        2,
        "the next wave starts after the observation time"
    );
    let halted_after_timeout = |reason| Evaluation {
        first_phase: Phase::Running,
        wave_after_observation: 1,
        phase_after_health_timeout: Phase::Halted(reason),
    };
    // All routers are worse: the version may not be the cause, but the release must not continue.
    let degraded = HaltReason::FleetDegraded(vec!["r0".into()]);
    assert_eq!(evaluate(failing, failing), halted_after_timeout(degraded));
    // Too few requests to evaluate.
    let lost = HaltReason::RoutersLost(vec!["r0".into()]);
    assert_eq!(evaluate(stats(499, 400, 1000), healthy), halted_after_timeout(lost));
}
