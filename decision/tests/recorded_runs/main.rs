//! Recorded runs: what a router did in seeded random histories, as the fixtures keep it.
//!
//! Each history draws its settings and then its events from one seed: member lists, failovers, drains, restarts,
//! outages of several kinds, requests of all classes, sessions, probes, timers and events out of order. Every event and
//! every action is written as text. The fixtures hold the counts and the hash of each history's text:
//! `recorded_runs.txt` of ordinary histories, `recorded_runs_with_resets.txt` and `recorded_runs_with_sessions.txt` of
//! histories with much of one thing. `recorded_trace.txt` has the whole text of a short one.
//!
//! A change that is to leave the decisions alone leaves these files alone. After one that changes decisions, the files
//! that the failed test wrote replace them, and the commit says so.
#[path = "../common/mod.rs"]
mod common;
mod text;
mod world;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use testkit::fixture::Fixtures;
use testkit::hash::fnv1a;
use world::{Mix, World};

const FIXTURES: Fixtures = testkit::fixtures!();
const HISTORIES: u64 = 48;
/// Events drawn for each history, without those that follow from actions.
const STEPS: usize = 1500;
/// Every eighth history is this many times as long, with a session for each request.
const LONG: usize = 5;
const SESSIONS: u64 = 30;
/// So many that hardly any two requests share one.
const UNBOUNDED_SESSIONS: u64 = 1 << 40;
/// Histories in which connections break often.
const RESETS_HISTORIES: u64 = 8;
const RESETS_STEPS: usize = 12_000;
/// Histories with more sessions than a router remembers one by one.
const SESSIONS_HISTORIES: u64 = 6;
const SESSIONS_STEPS: usize = 12_000;
const TRACE_STEPS: usize = 150;

/// A line for each history: its seed, the hash of its text and its counts.
fn summary(histories: impl Iterator<Item = (u64, World)>) -> String {
    let mut found = String::new();
    let mut totals: BTreeMap<&str, usize> = BTreeMap::new();
    for (seed, world) in histories {
        write!(found, "history={seed} hash={:016x}", fnv1a(&world.text)).expect("a string takes it");
        for (what, count) in &world.counts {
            write!(found, " {what}={count}").expect("a string takes it");
            *totals.entry(what).or_default() += count;
        }
        found.push('\n');
    }
    for what in ["sends", "rejects", "fails", "probes", "timers", "subscriptions", "removals"] {
        assert!(totals.get(what).is_some_and(|count| *count > 100), "{what}: {totals:?}");
    }
    found
}

#[test]
fn actions_of_seeded_histories_match_recorded_hashes() {
    let play = |seed| match seed % 8 {
        7 => World::play(seed, LONG * STEPS, UNBOUNDED_SESSIONS, Mix::Ordinary),
        _ => World::play(seed, STEPS, SESSIONS, Mix::Ordinary),
    };
    let found = summary((0..HISTORIES).map(|seed| (seed, play(seed))));
    FIXTURES.assert_same("recorded_runs.txt", &found);
}

#[test]
fn actions_under_resets_and_mixed_timeouts_match_recorded_hashes() {
    let play = |seed| World::play(seed, RESETS_STEPS, SESSIONS, Mix::Resets);
    let found = summary((100..100 + RESETS_HISTORIES).map(|seed| (seed, play(seed))));
    FIXTURES.assert_same("recorded_runs_with_resets.txt", &found);
}

#[test]
fn actions_with_many_sessions_match_recorded_hashes() {
    let play = |seed| World::play(seed, SESSIONS_STEPS, UNBOUNDED_SESSIONS, Mix::Sessions);
    let found = summary((200..200 + SESSIONS_HISTORIES).map(|seed| (seed, play(seed))));
    FIXTURES.assert_same("recorded_runs_with_sessions.txt", &found);
}

#[test]
fn actions_of_short_history_match_recorded_trace() {
    FIXTURES.assert_same("recorded_trace.txt", &World::play(3, TRACE_STEPS, SESSIONS, Mix::Ordinary).text);
}
