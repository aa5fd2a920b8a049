//! Compares a router's actions in seeded random histories with recordings in fixtures.
//!
//! Each history draws its settings and then its events from one seed: member lists, failovers, drains,
//! restarts, several kinds of outages, requests of all classes, sessions, probes, timers and events out of
//! order. All events and actions are written as text. The fixtures contain the counts and the hash of each
//! history's text: `recorded_runs.txt` for ordinary histories, `recorded_runs_with_resets.txt` and
//! `recorded_runs_with_sessions.txt` for histories with many resets or sessions. `recorded_trace.txt`
//! contains the complete text of a short history.
//!
//! A change that does not affect decisions must not change these files. After one that does, replace them
//! with the files that the failed test wrote, and say so in the commit.
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
/// Events drawn per history, not counting events that result from actions.
const STEPS: usize = 1500;
/// Every eighth history is this many times as long and has a session per request.
const LONG_HISTORY_FACTOR: usize = 5;
const SESSIONS: u64 = 30;
/// So many that hardly any two requests share a session.
const UNBOUNDED_SESSIONS: u64 = 1 << 40;
/// Histories in which connections are often reset.
const RESETS_HISTORIES: u64 = 8;
const RESETS_STEPS: usize = 12_000;
/// Histories with more sessions than a router tracks individually.
const SESSIONS_HISTORIES: u64 = 6;
const SESSIONS_STEPS: usize = 12_000;
const TRACE_STEPS: usize = 150;

/// Summarises each history on one line: its seed, the hash of its text and its counts.
fn summary(histories: impl Iterator<Item = (u64, World)>) -> String {
    let mut actual = String::new();
    let mut totals: BTreeMap<&str, usize> = BTreeMap::new();
    for (seed, world) in histories {
        write!(actual, "history={seed} hash={:016x}", fnv1a(&world.text))
            .expect("writing to a string succeeds");
        for (name, count) in &world.counts {
            write!(actual, " {name}={count}").expect("writing to a string succeeds");
            *totals.entry(name).or_default() += count;
        }
        actual.push('\n');
    }
    for name in ["sends", "rejects", "fails", "probes", "timers", "subscriptions", "removals"] {
        assert!(totals.get(name).is_some_and(|count| *count > 100), "{name}: {totals:?}");
    }
    actual
}

#[test]
fn actions_of_seeded_histories_match_recorded_hashes() {
    let run = |seed| match seed % 8 {
        7 => World::run(seed, LONG_HISTORY_FACTOR * STEPS, UNBOUNDED_SESSIONS, Mix::Ordinary),
        _ => World::run(seed, STEPS, SESSIONS, Mix::Ordinary),
    };
    let actual = summary((0..HISTORIES).map(|seed| (seed, run(seed))));
    FIXTURES.assert_same("recorded_runs.txt", &actual);
}

#[test]
fn actions_under_resets_and_mixed_timeouts_match_recorded_hashes() {
    let run = |seed| World::run(seed, RESETS_STEPS, SESSIONS, Mix::Resets);
    let actual = summary((100..100 + RESETS_HISTORIES).map(|seed| (seed, run(seed))));
    FIXTURES.assert_same("recorded_runs_with_resets.txt", &actual);
}

#[test]
fn actions_with_many_sessions_match_recorded_hashes() {
    let run = |seed| World::run(seed, SESSIONS_STEPS, UNBOUNDED_SESSIONS, Mix::Sessions);
    let actual = summary((200..200 + SESSIONS_HISTORIES).map(|seed| (seed, run(seed))));
    FIXTURES.assert_same("recorded_runs_with_sessions.txt", &actual);
}

#[test]
fn actions_of_short_history_match_recorded_trace() {
    FIXTURES.assert_same("recorded_trace.txt", &World::run(3, TRACE_STEPS, SESSIONS, Mix::Ordinary).text);
}
