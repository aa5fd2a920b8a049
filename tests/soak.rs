//! Runs the short plans of the soak test, and the reduced plans of failures that the soak test has found,
//! against the program. A plan injects faults; the promises that are checked are those of `soak::oracle`.
use soak::draw::draw;
use soak::oracle::{self, Breach, Promise};
use soak::plan::Plan;
use soak::play::run_plan;
use soak::report::Report;
use soak::router::Programs;

use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// A run holds this lock, because several runs at once would get too little processor time each.
static RUN_LOCK: Mutex<()> = Mutex::new(());

fn plan(name: &str) -> Plan {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("soak/plans").join(name);
    Plan::read(&path).unwrap()
}

/// Runs a plan and returns the broken promises.
fn breaches_of(plan: &Plan, seed: u64) -> Vec<Breach> {
    let _guard = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let programs = Programs::for_router(Path::new(env!("CARGO_BIN_EXE_damsonvale")));
    assert!(programs.library.is_some(), "the package faults is built with the tests");
    let faults = draw(plan, seed, &[]);
    let history = run_plan(plan, seed, &faults, &programs).unwrap();
    let breaches = oracle::check(&history);
    println!("{}", Report::new(seed, &faults, &history, breaches.clone()));
    breaches
}

/// Asserts that the run of a plan does not break `promise`.
fn assert_promise_kept(name: &str, seed: u64, promise: Promise) {
    let breaches = breaches_of(&plan(name), seed);
    assert!(!oracle::promises(&breaches).contains(&promise), "{breaches:#?}");
}

/// In an incident, the wall clock was set back an hour before cold servers were started.
#[test]
fn slow_start_holds_after_clock_step_back() {
    assert_promise_kept("regressions/slow_start_after_clock_step.toml", 1, Promise::SlowStart);
}

/// In an incident, the wall clock was set back some seconds while replicas did not apply the log.
#[test]
fn session_reads_fresh_after_clock_step_back() {
    assert_promise_kept("regressions/stale_after_clock_step.toml", 1, Promise::Stale);
}

/// In an incident, clients connected while no thread could be created.
#[test]
fn no_request_lost_when_threads_cannot_be_created() {
    assert_promise_kept("regressions/no_thread_for_a_client.toml", 1, Promise::Lost);
}

/// In an incident, clients that had connected just after SIGTERM sent their first request late, and the router
/// exited before it had answered them.
#[test]
fn no_late_first_request_lost_in_shutdown() {
    assert_promise_kept("regressions/late_first_request_in_shutdown.toml", 1, Promise::Lost);
}

/// A peek at a client's socket that failed with EINTR was taken for a disconnect, so pending requests lost
/// their responses.
#[test]
fn no_request_lost_when_socket_peeks_are_interrupted() {
    assert_promise_kept("regressions/interrupted_looks.toml", 1, Promise::Lost);
}

/// The disks of two of three store nodes fail for some seconds. After that the store has to accept writes
/// again and to have all writes that it has confirmed.
#[test]
fn store_recovers_after_disk_faults() {
    assert_promise_kept("regressions/store_disk_fails_for_a_while.toml", 1, Promise::StoreLost);
}

#[test]
fn short_platform_plan_breaks_no_promise() {
    for seed in [11, 12] {
        assert_eq!(breaches_of(&plan("short_platform.toml"), seed), []);
    }
}

#[test]
fn short_serve_plan_breaks_no_promise() {
    assert_eq!(breaches_of(&plan("short_serve.toml"), 31), []);
}

/// Primaries hang with requests in progress, and crash so much later that a retry would be outside the repeat
/// window.
#[test]
fn keyed_writes_not_repeated_outside_repeat_window() {
    assert_eq!(breaches_of(&plan("hang_then_crash.toml"), 1), []);
}

/// A discovery watch that has stopped delivering lines is replaced within 6 s, so that later drains are
/// applied.
#[test]
fn drains_applied_after_discovery_watch_falls_silent() {
    assert_eq!(breaches_of(&plan("silent_watch.toml"), 1), []);
}
