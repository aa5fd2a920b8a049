//! Compares runs and plans with recorded fixtures: the results of a plan and seed, and the keys of plan
//! files, must not change.
use simulator::{Fault, FaultKind, InjectedBug, Plan, Results, simulate};
use testkit::fixture::Fixtures;
use testkit::hash::fnv1a;

const FIXTURES: Fixtures = testkit::fixtures!();

/// Each fault kind, with the name and severity used in the recordings.
const KINDS: [(FaultKind, &str, f64); 14] = [
    (FaultKind::CrashPrimary, "CrashPrimary", 1.0),
    (FaultKind::CrashReplica, "CrashReplica", 1.0),
    (FaultKind::CrashZone, "CrashHall", 1.0),
    (FaultKind::Hang, "Hang", 1.0),
    (FaultKind::FastErrors, "FastErrors", 1.0),
    (FaultKind::Slow, "Slow", 5.0),
    (FaultKind::Gray, "Gray", 0.3),
    (FaultKind::SlowDisk, "SlowDisk", 20.0),
    (FaultKind::Partition, "Partition", 1.0),
    (FaultKind::RegistryOutage, "RegistryOutage", 1.0),
    (FaultKind::Drain, "Drain", 1.0),
    (FaultKind::RestartRouters, "RestartRouters", 1.0),
    (FaultKind::ResetConnections, "Reconnect", 1.0),
    (FaultKind::LoadSurge, "Surge", 4.0),
];

fn short_plan(name: &str) -> Plan {
    Plan {
        name: name.into(),
        seed: 7,
        duration_s: 5.0,
        warmup_s: 1.0,
        request_rate: 500.0,
        ..Plan::default()
    }
}

fn summary_line(results: &Results) -> String {
    let json = serde_json::to_string(results).unwrap();
    let total = serde_json::to_string(&results.total()).unwrap();
    format!("{}: hash {:016x}, total {total}\n", results.plan, fnv1a(&json))
}

#[test]
fn run_of_each_fault_kind_matches_recording() {
    let mut lines = summary_line(&simulate(&short_plan("calm")));
    for (kind, name, severity) in KINDS {
        let fault = Fault { kind, start_s: 1.5, duration_s: 1.5, count: 2, severity };
        let plan = Plan { faults: vec![fault], ..short_plan(name) };
        lines += &summary_line(&simulate(&plan));
    }
    FIXTURES.assert_same("runs.txt", &lines);
}

#[test]
fn run_with_all_faults_at_once_matches_recording() {
    let faults = KINDS
        .iter()
        .enumerate()
        .map(|(index, (kind, _, severity))| Fault {
            kind: *kind,
            start_s: 1.0 + 0.2 * index as f64,
            duration_s: 0.7,
            count: 1,
            severity: *severity,
        })
        .collect();
    let plan = Plan { faults, ..short_plan("all") };
    FIXTURES.assert_same("all.json", &(serde_json::to_string_pretty(&simulate(&plan)).unwrap() + "\n"));
}

#[test]
fn run_with_injected_bug_matches_recording() {
    let drain = Fault { kind: FaultKind::Drain, start_s: 2.0, duration_s: 2.0, count: 2, severity: 1.0 };
    for (bug, name) in [
        (InjectedBug::IgnoreSessionCommits, "forget_sessions"),
        (InjectedBug::IgnoreDrains, "ignore_drains"),
        (InjectedBug::ReportResetsAsConnectFailures, "deny_resets"),
    ] {
        let reset = |index| Fault {
            kind: FaultKind::ResetConnections,
            start_s: 1.0 + f64::from(index) * 0.2,
            duration_s: 0.0,
            count: 0,
            severity: 1.0,
        };
        let mut faults = vec![drain.clone()];
        if bug == InjectedBug::ReportResetsAsConnectFailures {
            faults.extend((0..10).map(reset));
        }
        let mut plan = Plan {
            faults,
            injected_bug: Some(bug),
            session_count: 30,
            replication_delay_ms: 200.0,
            ..short_plan(name)
        };
        plan.classes.last_mut().unwrap().load_share = 30.0;
        let results = simulate(&plan);
        assert!(!results.violations.is_empty(), "{name}");
        let text = serde_json::to_string_pretty(&results).unwrap() + "\n";
        FIXTURES.assert_same(&format!("{name}.json"), &text);
        // Parsed floating-point numbers may differ from the written ones in the last digit.
        let parsed: Results = serde_json::from_str(&text).unwrap();
        assert_eq!(Results { spread: results.spread.clone(), ..parsed }, results, "{name}");
    }
}

#[test]
fn default_plan_is_written_with_recorded_keys() {
    FIXTURES.assert_same("default.toml", toml::to_string(&Plan::default()).unwrap());
}

#[test]
fn plan_with_every_fault_kind_and_bug_is_read_and_written_as_recorded() {
    let text = |plan: &Plan| toml::to_string(plan).unwrap();
    let faults = KINDS.iter().map(|(kind, _, severity)| Fault {
        kind: *kind,
        start_s: 1.0,
        duration_s: 2.0,
        count: 3,
        severity: *severity,
    });
    let mut plan = Plan { faults: faults.collect(), ..Plan::default() };
    let mut written = String::new();
    for bug in [
        InjectedBug::IgnoreSessionCommits,
        InjectedBug::IgnoreDrains,
        InjectedBug::ReportResetsAsConnectFailures,
    ] {
        plan.injected_bug = Some(bug);
        written += &text(&plan);
        written += "# next\n";
    }
    FIXTURES.assert_same("plans.toml", &written);
    for document in written.split("# next\n").filter(|document| !document.is_empty()) {
        assert_eq!(text(&Plan::read(document).unwrap()), document);
    }
}

#[test]
fn invalid_plan_is_rejected_with_recorded_message() {
    let class = "[[class]]\nname='a'\n";
    let valid_keys = "work_ms=1\nshare=1\n";
    let mut messages = String::new();
    for text in [
        "ratee = 1".to_string(),
        "rate = 0".into(),
        "warmup_s = 99".into(),
        "class = []".into(),
        "[[trouble]]\nkind = 'fire'\nat_s = 1".into(),
        "[[trouble]]\nkind = 'hang'\nat = 1".into(),
        "plant = 'weed'".into(),
        format!("{class}freshness='x'\naim_ms=1\ndeadline_ms=2\n{valid_keys}"),
        format!("{class}freshness='any'\naim_ms=3\ndeadline_ms=2\n{valid_keys}"),
        format!("{class}freshness='write'\nsafe=true\naim_ms=1\ndeadline_ms=2\n{valid_keys}"),
    ] {
        messages += &format!("{}\n\n", Plan::read(&text).unwrap_err().to_string().trim_end());
    }
    FIXTURES.assert_same("plan_errors.txt", &messages);
}
