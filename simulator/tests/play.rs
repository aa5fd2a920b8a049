//! Whole runs: reproducible from their seed, and without violations through each fault.
use simulator::checker::Rule;
use simulator::{Fault, FaultKind, InjectedBug, Plan, Results, play};

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

fn assert_no_violations(r: &Results) {
    assert!(r.violations.is_empty(), "{:?} {:#?}", r.violations, r.first_violations);
    let t = r.total();
    assert!(r.checked_attempts > 1000 && t.offered > 1000, "{t:?}");
    // Every request came to one end.
    assert_eq!(t.offered, t.in_time + t.late + t.rejected + t.failed, "{t:?}");
}

#[test]
fn same_seed_gives_same_results_on_any_thread() {
    let mut p = plan(Some((FaultKind::CrashPrimary, 1.0)));
    p.faults.push(Fault {
        kind: FaultKind::RestartRouters,
        start_s: 3.0,
        duration_s: 0.5,
        count: 2,
        severity: 1.0,
    });
    let first = play(&p);
    let again: Vec<Results> = std::thread::scope(|s| {
        let runs: Vec<_> = (0..3).map(|_| s.spawn(|| play(&p))).collect();
        runs.into_iter().map(|r| r.join().unwrap()).collect()
    });
    assert!(again.iter().all(|r| *r == first));
    assert_ne!(play(&Plan { seed: 2, ..p }).total(), first.total());
}

#[test]
fn run_without_faults_is_served_in_time_mostly_by_replicas() {
    let r = play(&plan(None));
    assert_no_violations(&r);
    let t = r.total();
    assert!(t.goodput() > 0.98, "{t:?}");
    assert!(t.primary_attempts * 2 < t.attempts, "{t:?}");
}

#[test]
fn no_rule_is_violated_through_any_fault() {
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
        let r = play(&plan(Some((kind, severity))));
        assert!(r.violations.is_empty(), "{kind:?}: {:?} {:#?}", r.violations, r.first_violations);
        assert_no_violations(&r);
    }
}

#[test]
fn faulty_plan_is_refused_with_its_key() {
    assert!(Plan::read("").is_ok());
    for (text, expected) in [
        ("ratee = 1", "ratee"),
        ("rate = 0", "'rate'"),
        ("warmup_s = 99", "warmup_s"),
        ("[[trouble]]\nkind = 'fire'\nat_s = 1", "fire"),
        ("[[class]]\nname='a'\nfreshness='x'\naim_ms=1\ndeadline_ms=2\nwork_ms=1\nshare=1", "class a"),
    ] {
        let e = Plan::read(text).unwrap_err().to_string();
        assert!(e.contains(expected), "{text}: {e}");
    }
}

#[test]
fn injected_bugs_are_found() {
    let close = |p: Plan| Plan { session_count: 30, replication_delay_ms: 200.0, ..p };
    let mut writes = plan(Some((FaultKind::ResetConnections, 1.0)));
    writes.faults = (0..20)
        .map(|n| Fault {
            kind: FaultKind::ResetConnections,
            start_s: 1.0 + f64::from(n) * 0.2,
            duration_s: 0.0,
            count: 0,
            severity: 1.0,
        })
        .collect();
    writes.classes.last_mut().unwrap().load_share = 30.0;
    for (p, bug, rule) in [
        (close(plan(None)), InjectedBug::IgnoreSessionCommits, Rule::ReadYourWrites),
        (plan(Some((FaultKind::Drain, 1.0))), InjectedBug::IgnoreDrains, Rule::DrainRespected),
        (writes, InjectedBug::ReportResetsAsConnectFailures, Rule::NoUnsafeRetry),
    ] {
        let sound = play(&p);
        assert!(sound.violations.is_empty(), "{bug:?}: {:?} {:#?}", sound.violations, sound.first_violations);
        let faulty = play(&Plan { injected_bug: Some(bug), ..p });
        assert!(faulty.violations.contains_key(&rule), "{bug:?}: {:?}", faulty.violations);
    }
}
