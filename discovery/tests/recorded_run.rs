//! Recorded runs of the state machine: seeded random events must result in the actions stored in a fixture.
//! The fixture predates the renaming of types and files, which must not have changed the behaviour.
mod common;

use common::{ms, production_settings};
use discovery::liveness::{Action, ConnectionId, Event, Settings, WatchLiveness};
use std::fmt::Write;
use std::time::Duration;
use testkit::fixture::Fixtures;
use testkit::hash::fnv1a;
use testkit::random::{Random, SplitMix64};

const FIXTURES: Fixtures = testkit::fixtures!();

/// The number of steps of the runs that the fixture holds as text.
const READABLE_STEPS: usize = 200;
/// The number of steps of the runs that the fixture holds as a hash.
const HASHED_STEPS: usize = 4000;
/// The number of runs that the fixture holds as a hash, for each of the settings.
const HASHED_SEEDS: u64 = 24;

/// Production settings, and tight ones whose minimum and maximum open intervals are swapped.
fn all_settings() -> [(&'static str, Settings); 2] {
    let usual = production_settings();
    let tight = Settings {
        stale_after: ms(300),
        min_open_interval: ms(100),
        max_open_interval: ms(50),
        previous_address_grace: ms(200),
        max_pending: 1,
        ..usual
    };
    [("usual", usual), ("tight", tight)]
}

/// Returns a random event and its text. Half of the connection events are for the newest connection, some are
/// for connections that are closed or were never opened.
fn next_event(random: &mut SplitMix64, newest: u64) -> (Event, String) {
    let number = if random.below(2) == 0 { newest } else { (newest + 1).saturating_sub(random.below(9)) };
    let id = ConnectionId(number);
    match random.below(100) {
        0..3 => (Event::Follow, "follow".into()),
        3..23 => (Event::ResponseHead(id), format!("head {number}")),
        23..35 => (Event::Line { connection: id, has_update: false }, format!("empty line {number}")),
        35..45 => (Event::Line { connection: id, has_update: true }, format!("news {number}")),
        45..60 => (Event::Ended(id), format!("end {number}")),
        _ => (Event::Deadline, "due".into()),
    }
}

fn action_text(action: Action) -> String {
    match action {
        Action::Open(ConnectionId(number)) => format!("open {number}"),
        Action::Close(ConnectionId(number)) => format!("close {number}"),
        Action::ReportStale(ConnectionId(number)) => format!("silent {number}"),
        Action::ReportLive { outage } => format!("back after {} ms", outage.as_millis()),
    }
}

fn run(settings: Settings, seed: u64, steps: usize) -> String {
    let (mut machine, mut random, mut text) =
        (WatchLiveness::new(settings), SplitMix64::new(seed), String::new());
    let (mut now, mut newest, mut actions) = (Duration::ZERO, 0, Vec::new());
    for step in 0..steps {
        let (event, event_text) = match step {
            0 => (Event::Deadline, "due".to_string()),
            1 => (Event::Follow, "follow".to_string()),
            _ => next_event(&mut random, newest),
        };
        machine.handle(now, event, &mut actions);
        let mut action_texts = Vec::new();
        for action in actions.drain(..) {
            if let Action::Open(ConnectionId(number)) = action {
                newest = number;
            }
            action_texts.push(action_text(action));
        }
        let known = newest.saturating_sub(12)..=newest;
        let tracked: Vec<u64> = known.clone().filter(|n| machine.is_tracked(ConnectionId(*n))).collect();
        let stale: Vec<u64> = known.filter(|n| machine.was_stale(ConnectionId(*n))).collect();
        let deadline =
            machine.next_deadline().map_or("never".to_string(), |deadline| deadline.as_millis().to_string());
        let action_texts = action_texts.join(", ");
        let at = now.as_millis();
        writeln!(
            text,
            "{at} {event_text}: [{action_texts}] due {deadline} listened {tracked:?} silent {stale:?}"
        )
        .unwrap();
        now += ms([0, 0, 10, 30, 100, 250, 700, 2700][random.below(8) as usize]);
        // Like the driver, mostly call the state machine no later than its deadline.
        if random.below(4) > 0 {
            now = machine.next_deadline().map_or(now, |deadline| now.min(deadline.max(ms(at as u64))));
        }
    }
    text
}

fn record() -> String {
    let mut text = String::new();
    for (name, settings) in all_settings() {
        writeln!(text, "# settings {name}, seed 1, {READABLE_STEPS} steps").unwrap();
        text += &run(settings, 1, READABLE_STEPS);
    }
    for (name, settings) in all_settings() {
        writeln!(text, "# settings {name}, {HASHED_STEPS} steps, seed and hash").unwrap();
        for seed in 1..=HASHED_SEEDS {
            writeln!(text, "{seed} {:016x}", fnv1a(run(settings, seed, HASHED_STEPS))).unwrap();
        }
    }
    text
}

#[test]
fn recorded_events_result_in_the_recorded_actions() {
    FIXTURES.assert_same("recorded_runs.txt", record());
}
