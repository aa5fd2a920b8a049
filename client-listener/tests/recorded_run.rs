//! A recorded run of the shutdown state machine: seeded random events in, actions out. The file under
//! `fixtures/` was written before the types were renamed; the present code has to produce the same actions at
//! the same times.
use client_listener::shutdown::{Action, ClosePolicy, Event, GracefulShutdown, ShutdownTimes};
use std::fmt::Write;
use std::time::Duration;
use testkit::fixture::Fixtures;
use testkit::random::{LinearCongruential, Random};

const FIXTURES: Fixtures = testkit::fixtures!();

/// Number of independent servers in the run, each with its own events.
const SERVERS: u64 = 24;

/// Maximum number of events per server.
const EVENTS_PER_SERVER: u64 = 60;

/// Number of events that each server receives after its shutdown is complete.
const EVENTS_AFTER_COMPLETION: u64 = 3;

/// Returns drains and ticks often and a shutdown rarely, so that most of a run happens before the shutdown.
fn random_event(random: &mut LinearCongruential) -> Event {
    match random.below(40) {
        0..5 => Event::SetDraining(random.coin()),
        5 => Event::Shutdown { successor: random.coin() },
        6..8 => Event::SetSuccessor(random.coin()),
        _ => Event::Tick { open_connections: random.below(20) as usize, commands_in_flight: 0 },
    }
}

fn times() -> ShutdownTimes {
    ShutdownTimes {
        grace: Duration::from_millis(600),
        stop_reading: Duration::from_millis(850),
        deadline: Duration::from_millis(3600),
        forced_deadline: Duration::from_millis(8600),
        drain_close_when_idle: Duration::from_millis(500),
        drain_stop_reading: Duration::from_millis(1500),
    }
}

fn event_text(event: Event) -> String {
    match event {
        Event::SetDraining(draining) => format!("drain {draining}"),
        Event::Shutdown { successor } => format!("shutdown successor={successor}"),
        Event::SetSuccessor(successor) => format!("successor {successor}"),
        Event::Tick { open_connections, .. } => format!("tick open={open_connections}"),
    }
}

fn action_text(action: Action) -> String {
    match action {
        Action::ReportDraining(draining) => format!("report draining {draining}"),
        Action::SetClosePolicy(ClosePolicy::KeepOpen) => "connections stay open".to_string(),
        Action::SetClosePolicy(ClosePolicy::CloseWhenIdle) => "connections close when idle".to_string(),
        Action::SetClosePolicy(ClosePolicy::StopReading) => "connections stop reading".to_string(),
        Action::StopAccepting => "stop accepting".to_string(),
        Action::Complete => "shutdown complete".to_string(),
    }
}

/// Runs all servers and returns one line per event: time in milliseconds, event, whether ticks are needed,
/// actions.
fn run() -> String {
    let mut random = LinearCongruential::new(20);
    let mut text = String::new();
    for server in 0..SERVERS {
        writeln!(text, "front {server}").unwrap();
        let mut machine = GracefulShutdown::new(times());
        let mut now = 0;
        let mut events_after_completion = 0;
        for _ in 0..EVENTS_PER_SERVER {
            now += random.below(260);
            let event = random_event(&mut random);
            let mut actions = Vec::new();
            machine.handle(Duration::from_millis(now), event, &mut actions);
            let complete = events_after_completion > 0 || actions.contains(&Action::Complete);
            let actions: Vec<String> = actions.into_iter().map(action_text).collect();
            let ticks = if machine.needs_ticks() { "ticks" } else { "waits" };
            writeln!(text, "{now} {} | {ticks} | {}", event_text(event), actions.join(", ")).unwrap();
            if complete && events_after_completion == EVENTS_AFTER_COMPLETION {
                break;
            }
            events_after_completion += u64::from(complete);
        }
    }
    text
}

#[test]
fn shutdown_state_machine_repeats_recorded_run() {
    FIXTURES.assert_same("shutdown_run.txt", run());
}
