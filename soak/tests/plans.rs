//! Compares serialized plans and the faults generated from seeds with fixtures.
mod fixture;

use fixture::assert_fixture;
use soak::draw::draw;
use soak::fault::{FaultKind, PlannedFault};
use soak::plan::{Front, Plan};
use soak::reduce::reduce;
use std::fmt::Write;
use std::path::PathBuf;

/// Every plan of the package, as a path relative to `soak/plans`.
const PLANS: [&str; 11] = [
    "hang_then_crash.toml",
    "platform.toml",
    "regressions/interrupted_looks.toml",
    "regressions/no_thread_for_a_client.toml",
    "regressions/slow_start_after_clock_step.toml",
    "regressions/stale_after_clock_step.toml",
    "regressions/store_disk_fails_for_a_while.toml",
    "serve.toml",
    "short_platform.toml",
    "short_serve.toml",
    "silent_watch.toml",
];

/// Every fault kind with its name in plans and on the command line.
const KINDS: [(&str, FaultKind); 32] = [
    ("term", FaultKind::Term),
    ("kill", FaultKind::Kill),
    ("pause_short", FaultKind::PauseShort),
    ("pause_long", FaultKind::PauseLong),
    ("reload", FaultKind::Reload),
    ("discovery_silent", FaultKind::DiscoverySilent),
    ("discovery_down", FaultKind::DiscoveryDown),
    ("discovery_slow", FaultKind::DiscoverySlow),
    ("drain", FaultKind::Drain),
    ("server_restart", FaultKind::ServerRestart),
    ("server_hang", FaultKind::ServerHang),
    ("server_reset", FaultKind::ServerReset),
    ("server_garbage", FaultKind::ServerGarbage),
    ("server_lag", FaultKind::ServerLag),
    ("failover", FaultKind::Failover),
    ("link_cut", FaultKind::LinkCut),
    ("link_deaf", FaultKind::LinkDeaf),
    ("link_delay", FaultKind::LinkDelay),
    ("link_reset", FaultKind::LinkReset),
    ("link_trickle", FaultKind::LinkTrickle),
    ("link_forget", FaultKind::LinkForget),
    ("clients_leave", FaultKind::ClientsLeave),
    ("clients_stall", FaultKind::ClientsStall),
    ("clients_pipeline", FaultKind::ClientsPipeline),
    ("clients_flood", FaultKind::ClientsFlood),
    ("clients_hesitate", FaultKind::ClientsHesitate),
    ("clock_all", FaultKind::ClockAll),
    ("clock_one", FaultKind::ClockOne),
    ("syscalls", FaultKind::Syscalls),
    ("threads", FaultKind::Threads),
    ("disk", FaultKind::Disk),
    ("maintenance", FaultKind::Maintenance),
];

fn read(name: &str) -> Plan {
    Plan::read(&PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("plans").join(name)).unwrap()
}

fn fault(kind: FaultKind, start_ms: u64, duration_ms: u64) -> PlannedFault {
    PlannedFault { kind, start_ms, duration_ms, router: 0, server: 0, clock_step_seconds: 0 }
}

#[test]
fn serialized_plans_match_fixture() {
    let mut written = String::new();
    for name in PLANS {
        let plan = read(name);
        let text = toml::to_string(&plan).unwrap();
        assert_eq!(toml::from_str::<Plan>(&text).unwrap(), plan, "{name}");
        _ = writeln!(written, "## {name}\n{text}");
    }
    assert_fixture("plans.txt", &written);
}

#[test]
fn plans_are_parsed_to_expected_values() {
    let platform = Plan {
        front: Front::Platform,
        routers: 12,
        groups: 3,
        replicas: 2,
        seconds: 20,
        clients: 90,
        think_ms: 120,
        faults_per_ten_seconds: 6,
        faults: Vec::new(),
    };
    assert_eq!(read("platform.toml"), platform);
    let clock_step = Plan {
        front: Front::Platform,
        routers: 8,
        groups: 1,
        replicas: 2,
        seconds: 11,
        clients: 34,
        think_ms: 50,
        faults_per_ten_seconds: 6,
        faults: vec![
            PlannedFault { clock_step_seconds: -3600, ..fault(FaultKind::ClockAll, 1500, 9000) },
            PlannedFault { server: 1, ..fault(FaultKind::ServerRestart, 2500, 800) },
            PlannedFault { server: 2, ..fault(FaultKind::ServerRestart, 5500, 800) },
        ],
    };
    assert_eq!(read("regressions/slow_start_after_clock_step.toml"), clock_step);
    let disk = Plan {
        front: Front::Serve,
        routers: 3,
        groups: 1,
        replicas: 1,
        seconds: 9,
        clients: 4,
        think_ms: 50,
        faults_per_ten_seconds: 6,
        faults: vec![
            fault(FaultKind::Disk, 2000, 2000),
            PlannedFault { router: 1, ..fault(FaultKind::Disk, 2300, 2500) },
        ],
    };
    assert_eq!(read("regressions/store_disk_fails_for_a_while.toml"), disk);
}

#[test]
fn unknown_keys_and_fault_kinds_are_rejected() {
    assert_eq!(toml::from_str::<Plan>("").unwrap(), Plan::default());
    let unknown_key = toml::from_str::<Plan>("speed = 3").unwrap_err().to_string();
    assert!(unknown_key.contains("unknown field `speed`"), "{unknown_key}");
    let unknown_kind = toml::from_str::<Plan>("[[trouble]]\nkind = 'rain'\nat_ms = 1\nfor_ms = 1");
    assert!(unknown_kind.is_err());
}

#[test]
fn plans_out_of_bounds_are_rejected() {
    let rejection_text = |plan: Plan| plan.check().unwrap_err().to_string();
    let (plan, thirty_servers) = (Plan::default(), "plan out of bounds: expected 1 to 30 servers");
    assert_eq!(
        rejection_text(Plan { routers: 41, ..plan.clone() }),
        "plan out of bounds: expected 1 to 40 routers"
    );
    assert_eq!(rejection_text(Plan { groups: 0, ..plan.clone() }), thirty_servers);
    assert_eq!(rejection_text(Plan { groups: 11, ..plan.clone() }), thirty_servers);
    let last = "plan out of bounds: expected 1 to 3600 seconds and at most 400 clients";
    assert_eq!(rejection_text(Plan { seconds: 0, ..plan.clone() }), last);
    assert_eq!(rejection_text(Plan { clients: 401, ..plan }), last);
}

#[test]
fn fault_kinds_have_same_name_in_plans_and_arguments() {
    for (name, kind) in KINDS {
        assert_eq!(serde_json::to_value(kind).unwrap(), name);
        assert_eq!(name.parse::<FaultKind>().unwrap(), kind);
    }
    let unknown = "rain".parse::<FaultKind>().unwrap_err().to_string();
    assert!(unknown.starts_with("there is no trouble 'rain'; the names are those of soak/src/"), "{unknown}");
}

#[test]
fn faults_drawn_from_seeds_match_fixture() {
    let mut drawn = String::new();
    for name in PLANS {
        let plan = read(name);
        for seed in [1, 7, 31] {
            _ = writeln!(drawn, "## {name}, seed {seed}");
            for fault in draw(&plan, seed, &[]) {
                _ = writeln!(drawn, "  {fault}");
            }
        }
    }
    let only = [FaultKind::ClockOne, FaultKind::Drain, FaultKind::Disk];
    for name in ["platform.toml", "serve.toml"] {
        _ = writeln!(drawn, "## {name}, seed 5, only {only:?}");
        for fault in draw(&read(name), 5, &only) {
            _ = writeln!(drawn, "  {fault}");
        }
    }
    assert_fixture("draws.txt", &drawn);
}

#[test]
fn reduced_plan_matches_fixture() {
    let plan = read("short_platform.toml");
    let drawn = draw(&plan, 1, &[]);
    let mut trials = 0;
    // The breach needs the third and the last of the drawn faults together.
    let needed = [drawn[2], drawn[drawn.len() - 1]];
    let still_breaks = |remaining: &[PlannedFault], promise| {
        assert_eq!(promise, soak::oracle::Promise::Lost);
        trials += 1;
        needed.iter().all(|fault| remaining.contains(fault))
    };
    let remaining = reduce(&drawn, soak::oracle::Promise::Lost, still_breaks);
    assert_eq!(remaining, needed);
    let text = toml::to_string(&Plan { faults: remaining, ..plan }).unwrap();
    assert_fixture("reduced_plan.toml", &format!("# tried {trials} times\n{text}"));
}
