//! Regression test: seeded random events are applied to two state machines that share one stored state, as
//! two processes of one router do, and the output is compared with recorded output.
mod common;

use common::{FIXTURES, SECOND, SETTINGS};
use decision::Time;
use maintenance::{Action, EndpointChange, Event, Machine, MaintenanceMask, State};
use std::collections::BTreeMap;
use std::fmt::Write;
use testkit::random::{Random, SplitMix64};

const EVENTS: usize = 260;

fn random_id(random: &mut SplitMix64) -> String {
    format!("db-{}", random.below(6))
}

fn random_event(random: &mut SplitMix64) -> Event {
    match random.below(14) {
        0..=4 => Event::Suspend(random_id(random)),
        5..=8 => Event::Restore(random_id(random)),
        9 => Event::Pause,
        10 => Event::Resume,
        _ => {
            let complete = random.below(3) == 0;
            let count = random.below(5);
            let mut change = || EndpointChange { id: random_id(random), listed: random.below(4) > 0 };
            let changes = (0..count).map(|_| change()).collect();
            Event::EndpointsUpdated { complete, changes }
        }
    }
}

/// Returns the next time: usually up to 12 s later, occasionally far back or ahead, as if the clock was set.
fn next_time(random: &mut SplitMix64, now: i64) -> i64 {
    match random.below(40) {
        0 => now - 40 * SECOND,
        1 => now + 90 * SECOND,
        _ => now + random.time_below(12 * SECOND),
    }
}

fn times_text(times: &BTreeMap<String, Time>) -> String {
    times.iter().map(|(id, at)| format!("{id}@{}", at.0)).collect::<Vec<_>>().join(",")
}

fn state_text(state: &State) -> String {
    let entries = state.in_maintenance.iter().map(|(id, entry)| (id.clone(), entry.since)).collect();
    let drain = state.draining_since.map_or("-".to_string(), |at| at.0.to_string());
    let (entries, restored) = (times_text(&entries), times_text(&state.restored));
    format!("revision={} maintenance=[{entries}] restored=[{restored}] drain={drain}", state.revision)
}

fn mask_text(mask: &MaintenanceMask) -> String {
    let ids = mask.in_maintenance.iter().cloned().collect::<Vec<_>>().join(",");
    format!("maintenance=[{ids}] restored=[{}]", times_text(&mask.restored_at))
}

fn event_text(event: &Event) -> String {
    match event {
        Event::EndpointsUpdated { complete, changes } => {
            let sign = |c: &EndpointChange| format!("{}{}", if c.listed { '+' } else { '-' }, c.id);
            let changes = changes.iter().map(sign).collect::<Vec<_>>().join(",");
            format!("{} [{changes}]", if *complete { "list" } else { "changes" })
        }
        Event::StateRead(state) => format!("read {}", state_text(state)),
        Event::Suspend(id) => format!("suspend {id}"),
        Event::Restore(id) => format!("restore {id}"),
        Event::Pause => "pause".to_string(),
        Event::Resume => "resume".to_string(),
    }
}

fn action_text(action: &Action) -> String {
    match action {
        Action::Persist(state) => format!("persist {}", state_text(state)),
        Action::SetMask(mask) => format!("mask {}", mask_text(mask)),
        Action::SetDraining(draining) => format!("drain {draining}"),
        Action::Respond(Ok(())) => "answer ok".to_string(),
        Action::Respond(Err(error)) => format!("answer {error}"),
    }
}

/// Two machines, their shared state, and a record of their events and actions.
struct Run {
    machines: [Machine; 2],
    stored: State,
    record: String,
}

impl Run {
    fn handle(&mut self, process: usize, now: i64, event: Event) {
        writeln!(self.record, "{process} {now} {}", event_text(&event)).unwrap();
        let mut actions = Vec::new();
        self.machines[process].handle(Time(now), event, &mut actions);
        for action in actions {
            writeln!(self.record, "    {}", action_text(&action)).unwrap();
            if let Action::Persist(state) = action {
                self.stored = state;
            }
        }
    }

    fn restart(&mut self, process: usize) {
        let machine = Machine::new(SETTINGS, self.stored.clone());
        let (mask, draining) = (mask_text(&machine.mask()), machine.draining());
        writeln!(self.record, "{process} restart {mask} drain={draining}").unwrap();
        self.machines[process] = machine;
    }
}

#[test]
fn run_of_two_machines_matches_recorded_output() {
    let mut random = SplitMix64::new(2026);
    let machine = || Machine::new(SETTINGS, State::default());
    let mut run = Run { machines: [machine(), machine()], stored: State::default(), record: String::new() };
    let mut now = 0;
    for _ in 0..EVENTS {
        now = next_time(&mut random, now);
        let process = random.below(2) as usize;
        if random.below(30) == 0 {
            run.restart(process);
        }
        let event = random_event(&mut random);
        // A process must read the stored state before each command; the machine's behaviour without it is
        // recorded too.
        if random.below(12) > 0 {
            run.handle(process, now, Event::StateRead(run.stored.clone()));
        }
        run.handle(process, now, event);
    }
    for process in [0, 1] {
        let line = state_text(run.machines[process].state());
        writeln!(run.record, "{process} end {line}").unwrap();
    }
    FIXTURES.assert_same("recorded_run.txt", run.record);
}
