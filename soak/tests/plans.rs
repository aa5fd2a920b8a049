//! The written form of plans and what a seed draws from them, against fixtures.
mod fixture;

use fixture::assert_fixture;
use soak::plan::{Front, Plan};
use soak::reduce::reduce;
use soak::trouble::{Kind, Trouble, draw};
use std::fmt::Write;
use std::path::PathBuf;

/// Every plan of the package, by its path in `soak/plans`.
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

/// Every kind, with the name that plans and the command line give it.
const KINDS: [(&str, Kind); 31] = [
    ("term", Kind::Term),
    ("kill", Kind::Kill),
    ("pause_short", Kind::PauseShort),
    ("pause_long", Kind::PauseLong),
    ("reload", Kind::Reload),
    ("discovery_silent", Kind::DiscoverySilent),
    ("discovery_down", Kind::DiscoveryDown),
    ("discovery_slow", Kind::DiscoverySlow),
    ("drain", Kind::Drain),
    ("server_restart", Kind::ServerRestart),
    ("server_hang", Kind::ServerHang),
    ("server_reset", Kind::ServerReset),
    ("server_garbage", Kind::ServerGarbage),
    ("server_lag", Kind::ServerLag),
    ("failover", Kind::Failover),
    ("link_cut", Kind::LinkCut),
    ("link_deaf", Kind::LinkDeaf),
    ("link_delay", Kind::LinkDelay),
    ("link_reset", Kind::LinkReset),
    ("link_trickle", Kind::LinkTrickle),
    ("link_forget", Kind::LinkForget),
    ("clients_leave", Kind::ClientsLeave),
    ("clients_stall", Kind::ClientsStall),
    ("clients_pipeline", Kind::ClientsPipeline),
    ("clients_flood", Kind::ClientsFlood),
    ("clock_all", Kind::ClockAll),
    ("clock_one", Kind::ClockOne),
    ("syscalls", Kind::Syscalls),
    ("threads", Kind::Threads),
    ("disk", Kind::Disk),
    ("maintenance", Kind::Maintenance),
];

fn read(name: &str) -> Plan {
    Plan::read(&PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("plans").join(name)).unwrap()
}

fn fault(kind: Kind, at_ms: u64, for_ms: u64) -> Trouble {
    Trouble { kind, at_ms, for_ms, router: 0, server: 0, amount: 0 }
}

#[test]
fn every_plan_is_written_as_before_and_read_back_equal() {
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
fn plans_are_read_to_their_values() {
    let platform = Plan {
        front: Front::Platform,
        routers: 12,
        groups: 3,
        replicas: 2,
        seconds: 20,
        clients: 90,
        think_ms: 120,
        troubles_per_ten_seconds: 6,
        trouble: Vec::new(),
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
        troubles_per_ten_seconds: 6,
        trouble: vec![
            Trouble { amount: -3600, ..fault(Kind::ClockAll, 1500, 9000) },
            Trouble { server: 1, ..fault(Kind::ServerRestart, 2500, 800) },
            Trouble { server: 2, ..fault(Kind::ServerRestart, 5500, 800) },
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
        troubles_per_ten_seconds: 6,
        trouble: vec![fault(Kind::Disk, 2000, 2000), Trouble { router: 1, ..fault(Kind::Disk, 2300, 2500) }],
    };
    assert_eq!(read("regressions/store_disk_fails_for_a_while.toml"), disk);
}

#[test]
fn empty_plan_is_the_default_and_unknown_keys_are_refused() {
    assert_eq!(toml::from_str::<Plan>("").unwrap(), Plan::default());
    let unknown_key = toml::from_str::<Plan>("speed = 3").unwrap_err().to_string();
    assert!(unknown_key.contains("unknown field `speed`"), "{unknown_key}");
    let unknown_kind = toml::from_str::<Plan>("[[trouble]]\nkind = 'rain'\nat_ms = 1\nfor_ms = 1");
    assert!(unknown_kind.is_err());
}

#[test]
fn plans_out_of_bounds_are_refused_with_the_bound() {
    let refused = |plan: Plan| plan.check().unwrap_err().to_string();
    let (plan, thirty_servers) = (Plan::default(), "expected 1 to 30 servers");
    assert_eq!(refused(Plan { routers: 41, ..plan.clone() }), "expected 1 to 40 routers");
    assert_eq!(refused(Plan { groups: 0, ..plan.clone() }), thirty_servers);
    assert_eq!(refused(Plan { groups: 11, ..plan.clone() }), thirty_servers);
    let last = "expected 1 to 3600 seconds and at most 400 clients";
    assert_eq!(refused(Plan { seconds: 0, ..plan.clone() }), last);
    assert_eq!(refused(Plan { clients: 401, ..plan }), last);
}

#[test]
fn kinds_have_the_same_name_in_plans_and_on_the_command_line() {
    for (name, kind) in KINDS {
        assert_eq!(serde_json::to_value(kind).unwrap(), name);
        assert_eq!(name.parse::<Kind>().unwrap(), kind);
    }
    let unknown = "rain".parse::<Kind>().unwrap_err().to_string();
    assert!(unknown.starts_with("there is no trouble 'rain'; the names are those of soak/src/"), "{unknown}");
}

#[test]
fn seeds_draw_the_same_faults_as_before() {
    let mut drawn = String::new();
    for name in PLANS {
        let plan = read(name);
        for seed in [1, 7, 31] {
            _ = writeln!(drawn, "## {name}, seed {seed}");
            for trouble in draw(&plan, seed, &[]) {
                _ = writeln!(drawn, "  {trouble:?}");
            }
        }
    }
    let only = [Kind::ClockOne, Kind::Drain, Kind::Disk];
    for name in ["platform.toml", "serve.toml"] {
        _ = writeln!(drawn, "## {name}, seed 5, only {only:?}");
        for trouble in draw(&read(name), 5, &only) {
            _ = writeln!(drawn, "  {trouble:?}");
        }
    }
    assert_fixture("draws.txt", &drawn);
}

#[test]
fn reduced_plan_is_written_as_before() {
    let plan = read("short_platform.toml");
    let drawn = draw(&plan, 1, &[]);
    let mut tried = 0;
    // The breach needs the third and the last fault.
    let needed = [drawn[2], drawn[drawn.len() - 1]];
    let still_breaks = |left: &[Trouble], promise| {
        assert_eq!(promise, soak::oracle::Promise::Lost);
        tried += 1;
        needed.iter().all(|fault| left.contains(fault))
    };
    let left = reduce(&drawn, soak::oracle::Promise::Lost, still_breaks);
    assert_eq!(left, needed);
    let text = toml::to_string(&Plan { trouble: left, ..plan }).unwrap();
    assert_fixture("reduced_plan.toml", &format!("# tried {tried} times\n{text}"));
}
