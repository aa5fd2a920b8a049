//! The soak's short form, and the reduced plans of failures that it has found, each played against the real program.
use soak::draw::draw;
use soak::oracle::{self, Breach, Promise};
use soak::plan::{Front, Plan};
use soak::report::Report;
use soak::router::Programs;

use soak::{platform, serve};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// One run at a time: several at once would leave too little processor time to each.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn plan(name: &str) -> Plan {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("soak/plans").join(name);
    Plan::read(&path).unwrap()
}

/// Plays a plan and returns the broken promises.
fn play(plan: &Plan, seed: u64) -> Vec<Breach> {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let programs = Programs::beside(Path::new(env!("CARGO_BIN_EXE_damsonvale")));
    assert!(programs.library.is_some(), "the package faults is built with the tests");
    let faults = draw(plan, seed, &[]);
    let history = match plan.front {
        Front::Platform => platform::play(plan, seed, &faults, &programs),
        Front::Serve => serve::play(plan, seed, &faults, &programs),
    };
    let history = history.unwrap();
    let breaches = oracle::check(&history);
    println!("{}", Report::new(seed, &faults, &history, breaches.clone()));
    breaches
}

fn assert_keeps(name: &str, seed: u64, promise: Promise) {
    let breaches = play(&plan(name), seed);
    assert!(!oracle::promises(&breaches).contains(&promise), "{breaches:#?}");
}

#[test]
fn slow_start_holds_after_the_wall_clock_was_set_back() {
    assert_keeps("regressions/slow_start_after_clock_step.toml", 1, Promise::SlowStart);
}

#[test]
fn session_reads_are_fresh_after_the_wall_clock_was_set_back() {
    assert_keeps("regressions/stale_after_clock_step.toml", 1, Promise::Stale);
}

#[test]
fn clients_that_come_while_no_thread_can_be_had_are_not_lost() {
    assert_keeps("regressions/no_thread_for_a_client.toml", 1, Promise::Lost);
}

#[test]
fn requests_whose_clients_are_looked_at_under_interrupts_are_not_lost() {
    assert_keeps("regressions/interrupted_looks.toml", 1, Promise::Lost);
}

#[test]
fn store_goes_on_after_the_disks_of_two_nodes_failed_for_a_while() {
    assert_keeps("regressions/store_disk_fails_for_a_while.toml", 1, Promise::StoreLost);
}

#[test]
fn short_form_of_the_platform_keeps_every_promise() {
    for seed in [11, 12] {
        assert_eq!(play(&plan("short_platform.toml"), seed), []);
    }
}

#[test]
fn short_form_of_serve_keeps_every_promise() {
    assert_eq!(play(&plan("short_serve.toml"), 31), []);
}

#[test]
fn keyed_writes_are_not_repeated_outside_their_window_when_hung_primaries_crash() {
    assert_eq!(play(&plan("hang_then_crash.toml"), 1), []);
}

#[test]
fn drains_are_followed_after_every_watch_fell_silent() {
    assert_eq!(play(&plan("silent_watch.toml"), 1), []);
}
