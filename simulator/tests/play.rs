//! Tests of whole runs: a run is reproducible from its seed, and has no violations under any kind of fault.
use simulator::checker::Rule;
use simulator::{Fault, FaultKind, InjectedBug, Plan, Results, simulate};

fn plan(kind: Option<(FaultKind, f64)>) -> Plan {
    let fault =
        kind.map(|(kind, severity)| Fault { kind, start_s: 2.0, duration_s: 2.0, count: 2, severity });
    Plan {
        duration_s: 6.0,
        warmup_s: 1.0,
        request_rate: 600.0,
        faults: fault.into_iter().collect(),
        ..Plan::default()
    }
}

fn assert_no_violations(results: &Results) {
    assert!(results.violations.is_empty(), "{:?} {:#?}", results.violations, results.first_violations);
    let total = results.total();
    assert!(results.checked_attempts > 1000 && total.offered > 1000, "{total:?}");
    // Every request has exactly one outcome.
    assert_eq!(total.offered, total.in_time + total.late + total.rejected + total.failed, "{total:?}");
}

#[test]
fn same_seed_gives_same_results_on_any_thread() {
    let mut crash_plan = plan(Some((FaultKind::CrashPrimary, 1.0)));
    crash_plan.faults.push(Fault {
        kind: FaultKind::RestartRouters,
        start_s: 3.0,
        duration_s: 0.5,
        count: 2,
        severity: 1.0,
    });
    let first = simulate(&crash_plan);
    let again: Vec<Results> = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..3).map(|_| scope.spawn(|| simulate(&crash_plan))).collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    });
    assert!(again.iter().all(|results| *results == first));
    assert_ne!(simulate(&Plan { seed: 2, ..crash_plan }).total(), first.total());
}

#[test]
fn without_faults_requests_are_served_in_time_mostly_by_replicas() {
    let results = simulate(&plan(None));
    assert_no_violations(&results);
    let total = results.total();
    assert!(total.goodput() > 0.98, "{total:?}");
    assert!(total.primary_attempts * 2 < total.attempts, "{total:?}");
}

#[test]
fn no_rule_is_violated_under_any_fault() {
    let faults = [
        (FaultKind::CrashPrimary, 1.0),
        (FaultKind::CrashReplica, 1.0),
        (FaultKind::Hang, 1.0),
        (FaultKind::FastErrors, 1.0),
        (FaultKind::Slow, 5.0),
        (FaultKind::Gray, 0.3),
        (FaultKind::SlowDisk, 20.0),
        (FaultKind::Partition, 1.0),
        (FaultKind::RegistryOutage, 1.0),
        (FaultKind::Drain, 1.0),
        (FaultKind::RestartRouters, 1.0),
        (FaultKind::ResetConnections, 1.0),
        (FaultKind::LoadSurge, 4.0),
    ];
    for (kind, severity) in faults {
        let results = simulate(&plan(Some((kind, severity))));
        assert!(
            results.violations.is_empty(),
            "{kind:?}: {:?} {:#?}",
            results.violations,
            results.first_violations
        );
        assert_no_violations(&results);
    }
}

#[test]
fn invalid_plan_is_rejected_with_the_key() {
    assert!(Plan::read("").is_ok());
    for (text, expected) in [
        ("ratee = 1", "ratee"),
        ("rate = 0", "'rate'"),
        ("warmup_s = 99", "warmup_s"),
        ("[[trouble]]\nkind = 'fire'\nat_s = 1", "fire"),
        ("[[class]]\nname='a'\nfreshness='x'\naim_ms=1\ndeadline_ms=2\nwork_ms=1\nshare=1", "class a"),
    ] {
        let error = Plan::read(text).unwrap_err().to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
}

#[test]
fn checker_finds_each_injected_bug() {
    let with_replication_lag = |plan: Plan| Plan { session_count: 30, replication_delay_ms: 200.0, ..plan };
    let mut write_plan = plan(Some((FaultKind::ResetConnections, 1.0)));
    write_plan.faults = (0..20)
        .map(|index| Fault {
            kind: FaultKind::ResetConnections,
            start_s: 1.0 + f64::from(index) * 0.2,
            duration_s: 0.0,
            count: 0,
            severity: 1.0,
        })
        .collect();
    write_plan.classes.last_mut().unwrap().load_share = 30.0;
    for (plan_without_bug, bug, rule) in [
        (with_replication_lag(plan(None)), InjectedBug::IgnoreSessionCommits, Rule::ReadYourWrites),
        (plan(Some((FaultKind::Drain, 1.0))), InjectedBug::IgnoreDrains, Rule::DrainRespected),
        (write_plan, InjectedBug::ReportResetsAsConnectFailures, Rule::NoUnsafeRetry),
    ] {
        let without_bug = simulate(&plan_without_bug);
        assert!(
            without_bug.violations.is_empty(),
            "{bug:?}: {:?} {:#?}",
            without_bug.violations,
            without_bug.first_violations
        );
        let with_bug = simulate(&Plan { injected_bug: Some(bug), ..plan_without_bug });
        assert!(with_bug.violations.contains_key(&rule), "{bug:?}: {:?}", with_bug.violations);
    }
}
