//! The short plans of the soak, and the reduced plans of failures that it has found, each played against the real program.
use soak::draw::draw;
use soak::oracle::{self, Breach, Promise};
use soak::plan::Plan;
use soak::play::run_plan;
use soak::report::Report;
use soak::router::Programs;

use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// One run at a time: several at once would leave too little processor time to each.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn plan(name: &str) -> Plan {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("soak/plans").join(name);
    Plan::read(&path).unwrap()
}

/// Plays a plan and returns the broken promises.
fn breaches_of(plan: &Plan, seed: u64) -> Vec<Breach> {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let programs = Programs::for_router(Path::new(env!("CARGO_BIN_EXE_damsonvale")));
    assert!(programs.library.is_some(), "the package faults is built with the tests");
    let faults = draw(plan, seed, &[]);
    let history = run_plan(plan, seed, &faults, &programs).unwrap();
    let breaches = oracle::check(&history);
    println!("{}", Report::new(seed, &faults, &history, breaches.clone()));
    breaches
}

/// Asserts that a plan does not break a promise.
fn assert_keeps(name: &str, seed: u64, promise: Promise) {
    let breaches = breaches_of(&plan(name), seed);
    assert!(!oracle::promises(&breaches).contains(&promise), "{breaches:#?}");
}

#[test]
fn slow_start_holds_after_clock_step_back() {
    assert_keeps("regressions/slow_start_after_clock_step.toml", 1, Promise::SlowStart);
}

#[test]
fn session_reads_fresh_after_clock_step_back() {
    assert_keeps("regressions/stale_after_clock_step.toml", 1, Promise::Stale);
}

#[test]
fn no_client_lost_without_threads() {
    assert_keeps("regressions/no_thread_for_a_client.toml", 1, Promise::Lost);
}

#[test]
fn no_request_lost_under_interrupts() {
    assert_keeps("regressions/interrupted_looks.toml", 1, Promise::Lost);
}

#[test]
fn store_recovers_after_disk_faults() {
    assert_keeps("regressions/store_disk_fails_for_a_while.toml", 1, Promise::StoreLost);
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

#[test]
fn keyed_writes_not_repeated_outside_window() {
    assert_eq!(breaches_of(&plan("hang_then_crash.toml"), 1), []);
}

#[test]
fn drains_followed_after_silent_watches() {
    assert_eq!(breaches_of(&plan("silent_watch.toml"), 1), []);
}
