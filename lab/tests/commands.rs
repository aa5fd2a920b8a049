//! Tests the commands of `damsonvale-lab`, each run as a process.
use std::path::Path;
use std::process::Command;
use tempfile::TempDir;

fn run_lab(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_damsonvale-lab")).args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

fn path_in(folder: &TempDir, name: &str) -> String {
    folder.path().join(name).display().to_string()
}

const PLAN: &str = "name = 'small'\nseconds = 4\nwarmup_s = 1\nrate = 300\nsessions = 30\nship_ms = 200\n";

#[test]
fn run_and_sweep_write_results_that_compare_reads() {
    let folder = tempfile::tempdir().unwrap();
    let plan = path_in(&folder, "plan.toml");
    std::fs::write(&plan, PLAN).unwrap();
    let (before, after) = (path_in(&folder, "before"), path_in(&folder, "after"));
    let (code, text) = run_lab(&["run", &plan, "--seeds", "2", "--out", &before]);
    assert!(code == Some(0) && text.contains("small, seed 2") && text.contains("kept"), "{text}");
    for name in ["results.json", "seconds.parquet", "seconds.svg"] {
        assert!(Path::new(&before).join(name).exists(), "{name}");
    }
    let svg = std::fs::read_to_string(Path::new(&before).join("seconds.svg")).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("small, seed 1"));
    assert_eq!(run_lab(&["run", &plan, "--seeds", "1", "--threads", "1", "--out", &after]).0, Some(0));
    let chart = path_in(&folder, "spread.svg");
    let (code, text) = run_lab(&["compare", &before, &after, "--spread", &chart]);
    let svg = std::fs::read_to_string(&chart).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("before") && svg.contains("small"));
    assert!(code == Some(0) && text.contains("+0.00") && text.contains("gone"), "{text}");
    let (code, text) = run_lab(&["sweep", &plan, "--key", "replicas", "--values", "1,3"]);
    assert!(code == Some(0) && text.contains("replicas 3, seed 1"), "{text}");
}

#[test]
fn violated_rule_and_invalid_plan_fail_the_command() {
    let folder = tempfile::tempdir().unwrap();
    let plan = path_in(&folder, "plan.toml");
    std::fs::write(&plan, format!("{PLAN}plant = 'forget_sessions'\n")).unwrap();
    let (code, text) = run_lab(&["run", &plan]);
    assert!(code == Some(1) && text.contains("RULES BROKEN") && text.contains("OwnWrites"), "{text}");
    std::fs::write(&plan, "rates = 5\n").unwrap();
    let (code, text) = run_lab(&["run", &plan]);
    assert!(code == Some(1) && text.contains("rates"), "{text}");
    // The default plan that `plan` prints is valid.
    let (code, text) = run_lab(&["plan"]);
    assert_eq!(code, Some(0));
    std::fs::write(&plan, text.replace("seconds = 20", "seconds = 3")).unwrap();
    assert_eq!(run_lab(&["run", &plan]).0, Some(0));
}

#[test]
fn shipped_plans_are_valid() {
    for plan in std::fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("plans")).unwrap() {
        let text = std::fs::read_to_string(plan.unwrap().path()).unwrap();
        // Each plan is either for the simulator or for router processes.
        let read = simulator::Plan::read(&text).is_ok() || multiprocess::plan::read(&text).is_ok();
        assert!(read, "{text}");
    }
}

#[test]
fn load_latency_includes_waiting_time_during_stall() {
    use std::time::Duration;
    let group = test_servers::replication_group::ReplicationGroup::start(&[], Duration::from_millis(5));
    let address = group.servers()[0].1.to_string();
    let load = |connections: &str| {
        run_lab(&[
            "load",
            &address,
            "--user",
            "u",
            "--database",
            "d",
            "--rate",
            "200",
            "--seconds",
            "1.5",
            "--connections",
            connections,
            "--statement",
            "4:SELECT n FROM basket WHERE k = '{s}'",
            "--statement",
            "1:INSERT INTO basket VALUES ('{s}', {n})",
        ])
    };
    let (code, text) = load("8");
    assert!(code == Some(0) && !text.contains("error"), "{text}");
    let reads = group.counts(0);
    assert!(reads.reads > reads.writes && reads.writes > 0, "{reads:?}");
    // The server stalls while a single connection is in use: every request that was scheduled during the
    // stall has to wait.
    let stalled_group = group.clone();
    let before = group.counts(0).reads;
    let stall = std::thread::spawn(move || {
        while stalled_group.counts(0).reads < before + 40 {
            std::thread::yield_now();
        }
        stalled_group.set_hung(0, true);
        std::thread::sleep(Duration::from_millis(400));
        stalled_group.set_hung(0, false);
    });
    let (code, text) = load("1");
    stall.join().unwrap();
    assert_eq!(code, Some(0), "{text}");
    let p90 = |name: &str| -> f64 {
        let line = text.lines().find(|l| l.starts_with(name)).unwrap();
        line.split_whitespace().nth(6).unwrap().parse().unwrap()
    };
    assert!(p90("from when it was due") > 100.0, "{text}");
    assert!(p90("from when it was sent") < 100.0, "{text}");
    assert!(
        run_lab(&["load", &address, "--user", "u", "--database", "d", "--statement", "x"])
            .1
            .contains("SHARE:STATEMENT")
    );
}

#[test]
fn mass_scenarios_with_reduced_load_violate_no_rule() {
    // Runs the plans with all 300 routers and 120 nodes, but a seventh of the load to shorten the test in CI.
    let folder = tempfile::tempdir().unwrap();
    let plans = Path::new(env!("CARGO_MANIFEST_DIR")).join("plans");
    for scenario in ["herd", "roll", "zone"] {
        let text = std::fs::read_to_string(plans.join(format!("mass-{scenario}.toml"))).unwrap();
        assert!(text.contains("routers = 300\n") && text.contains("rate = 4200\n"), "{scenario}");
        let plan = path_in(&folder, &format!("{scenario}.toml"));
        std::fs::write(&plan, text.replace("rate = 4200\n", "rate = 600\n")).unwrap();
        let (code, text) = run_lab(&["run", &plan, "--out", &path_in(&folder, scenario)]);
        assert!(
            code == Some(0) && text.contains(&format!("mass-{scenario}, seed 1")) && text.contains("kept"),
            "{text}"
        );
    }
}

#[test]
fn life_prints_lines_of_request_and_end_of_connection() {
    let folder = tempfile::tempdir().unwrap();
    let log = path_in(&folder, "router.log");
    let expected = [
        "T DEBUG request accepted request=12 connection=3 class=0 deadline=9",
        "T DEBUG request submitted request=12 connection=3 id=9b1f",
        "T DEBUG attempt dispatched request=12 attempt=0 connection=3 endpoint=\"a\" deadline=9",
        "T DEBUG request ended request=12 connection=3 ending=\"served\" reason=\"none\"",
        "T DEBUG client connection closed connection=3 reason=\"idle_timeout\"",
    ];
    let others =
        ["T DEBUG request accepted request=1 connection=2", "T DEBUG client connection closed connection=2"];
    std::fs::write(
        &log,
        [others[0], expected[0], expected[1], expected[2], others[1], expected[3], expected[4]].join("\n"),
    )
    .unwrap();
    for selector in [["--request", "12"], ["--id", "9b1f"]] {
        let (code, text) = run_lab(&["life", &log, selector[0], selector[1]]);
        assert_eq!((code, text.lines().collect::<Vec<_>>()), (Some(0), expected.to_vec()));
    }
    let (code, text) = run_lab(&["life", &log, "--request", "2"]);
    assert!(code == Some(1) && text.contains("no such request"), "{text}");
}

#[test]
fn soak_error_names_invalid_key_of_plan() {
    let folder = tempfile::tempdir().unwrap();
    let plan = path_in(&folder, "plan.toml");
    std::fs::write(&plan, "routers = 41\n").unwrap();
    let (code, text) = run_lab(&["soak", &plan]);
    assert!(code == Some(1) && text.contains("expected 1 to 40 routers"), "{text}");
    let (code, text) = run_lab(&["soak", &plan, "--only", "earthquake"]);
    assert!(code == Some(2) && text.contains("there is no trouble 'earthquake'"), "{text}");
}
