//! Runs of the liveness state machine in virtual time against simulated discovery agents.
mod common;

use common::{ms, production_settings};
use discovery::liveness::{Action, ConnectionId, Event, WatchLiveness};

const STEP: u64 = 10;

/// A simulated agent: returns what it does at `now` on a connection opened at `opened`.
type Agent = fn(opened: u64, now: u64) -> Option<AgentEvent>;

#[derive(Clone, Copy)]
enum AgentEvent {
    ResponseHead,
    EmptyLine,
    Update,
    Ended,
}

impl AgentEvent {
    fn on(self, connection: ConnectionId) -> Event {
        match self {
            AgentEvent::ResponseHead => Event::ResponseHead(connection),
            AgentEvent::EmptyLine => Event::Line { connection, has_update: false },
            AgentEvent::Update => Event::Line { connection, has_update: true },
            AgentEvent::Ended => Event::Ended(connection),
        }
    }
}

/// The record of a run; times are milliseconds of virtual time.
#[derive(Default, Debug)]
struct Record {
    /// The opening time of each connection.
    opened: Vec<u64>,
    /// For each line received on an open connection: the time, and the opening time of the connection.
    received: Vec<(u64, u64)>,
    /// The maximum number of open connections.
    max_open: usize,
}

/// A run of the state machine.
struct Run {
    liveness: WatchLiveness,
    /// The open connections and their opening times.
    open: Vec<(ConnectionId, u64)>,
    record: Record,
}

impl Run {
    /// Returns the events of one step, in the order in which they are to be handled.
    fn events(&self, now: u64, agent: Agent, changes_address: bool) -> Vec<Event> {
        let mut events = Vec::new();
        if changes_address {
            events.push(Event::Follow);
        }
        for (id, opened) in &self.open {
            events.extend(agent(*opened, now).map(|event| event.on(*id)));
        }
        if self.liveness.next_deadline().is_some_and(|deadline| deadline <= ms(now)) {
            events.push(Event::Deadline);
        }
        events
    }

    fn handle(&mut self, now: u64, event: Event) {
        if let Event::Line { connection, .. } = event
            && let Some((_, opened)) = self.open.iter().find(|(id, _)| *id == connection)
        {
            self.record.received.push((now, *opened));
        }
        if let Event::Ended(ended) = event {
            self.open.retain(|(id, _)| *id != ended);
        }
        let mut actions = Vec::new();
        self.liveness.handle(ms(now), event, &mut actions);
        for action in actions {
            match action {
                Action::Open(id) => {
                    self.open.push((id, now));
                    self.record.opened.push(now);
                }
                Action::Close(closed) => self.open.retain(|(id, _)| *id != closed),
                Action::ReportStale(_) | Action::ReportLive { .. } => {}
            }
        }
    }
}

/// Simulates an agent until the given time; the watch follows its address from time 0 on.
fn simulate(agent: Agent, until: u64) -> Record {
    simulate_with_address_changes(agent, &[0], until)
}

/// Simulates an agent until the given time; the watch switches to another address at each of the given times.
fn simulate_with_address_changes(agent: Agent, follow_at: &[u64], until: u64) -> Record {
    let mut run = Run {
        liveness: WatchLiveness::new(production_settings()),
        open: Vec::new(),
        record: Record::default(),
    };
    for now in (0..until).step_by(STEP as usize) {
        for event in run.events(now, agent, follow_at.contains(&now)) {
            run.handle(now, event);
        }
        run.record.max_open = run.record.max_open.max(run.open.len());
    }
    run.record
}

/// A healthy agent: sends head and first line at once, and an empty line every 2 s.
fn healthy(opened: u64, now: u64) -> Option<AgentEvent> {
    (now > opened && (now - opened - STEP).is_multiple_of(2000)).then_some(AgentEvent::EmptyLine)
}

/// An agent that never sends a byte.
fn silent(_: u64, _: u64) -> Option<AgentEvent> {
    None
}

/// An agent that sends the head at once, but the first line only after the interval between empty lines.
fn late_first_line(opened: u64, now: u64) -> Option<AgentEvent> {
    match now.checked_sub(opened) {
        Some(STEP) => Some(AgentEvent::ResponseHead),
        Some(since) if since > 0 && since.is_multiple_of(2000) => Some(AgentEvent::EmptyLine),
        _ => None,
    }
}

/// Runs an agent; returns when the first line was received on any connection but the first.
fn first_line_after_outage(agent: Agent, until: u64) -> u64 {
    let record = simulate(agent, until);
    assert!(record.max_open <= 7, "{record:?}");
    record.received.iter().find(|(_, opened)| *opened > 0).map_or(u64::MAX, |(now, _)| *now)
}

// In the following tests the last line of the first connection is sent at 10 ms.
#[test]
fn recovered_agent_is_followed_again_after_250_ms() {
    // Connections opened before the agent recovered stay silent forever.
    fn recovered<const AT: u64>(opened: u64, now: u64) -> Option<AgentEvent> {
        if opened == 0 {
            return (now == STEP).then_some(AgentEvent::EmptyLine);
        }
        if opened >= AT { healthy(opened, now) } else { None }
    }
    assert!(first_line_after_outage(recovered::<0>, 9000) <= 2700);
    assert!(first_line_after_outage(recovered::<2700>, 9000) <= 2700 + 280);
    assert!(first_line_after_outage(recovered::<4000>, 9000) <= 4000 + 280);
    assert!(first_line_after_outage(recovered::<5700>, 9000) <= 5700 + 280);
    // After an outage of 60 s, connections are opened at the maximum interval.
    assert!(first_line_after_outage(recovered::<60000>, 70000) <= 60000 + 1030);
}

#[test]
fn recovered_agent_that_responds_on_pending_connections_is_followed_at_once() {
    fn recovered(opened: u64, now: u64) -> Option<AgentEvent> {
        match opened {
            0 => (now == STEP).then_some(AgentEvent::EmptyLine),
            _ => (now == 5500).then_some(AgentEvent::Update),
        }
    }
    assert_eq!(first_line_after_outage(recovered, 9000), 5500);
}

#[test]
fn heads_without_a_line_do_not_delay_the_next_attempt() {
    fn heads(opened: u64, now: u64) -> Option<AgentEvent> {
        match opened {
            0 => (now == STEP).then_some(AgentEvent::EmptyLine),
            1..4000 => (now == opened + STEP).then_some(AgentEvent::ResponseHead),
            _ => healthy(opened, now),
        }
    }
    assert!(first_line_after_outage(heads, 9000) <= 4000 + 630);
}

#[test]
fn refused_connections_do_not_delay_the_next_attempt() {
    fn refused(opened: u64, now: u64) -> Option<AgentEvent> {
        match opened {
            0 if now == STEP => Some(AgentEvent::EmptyLine),
            ..4000 if now > opened + STEP => Some(AgentEvent::Ended),
            ..4000 => None,
            _ => healthy(opened, now),
        }
    }
    assert!(first_line_after_outage(refused, 9000) <= 4000 + 280);
}

#[test]
fn connection_closed_after_its_head_does_not_delay_the_next_attempt() {
    fn closed(opened: u64, now: u64) -> Option<AgentEvent> {
        match now - opened {
            STEP => Some(AgentEvent::ResponseHead),
            20 => Some(AgentEvent::Ended),
            _ => None,
        }
    }
    assert_eq!(simulate(closed, 1000).opened, [0, 250, 500, 750]);
}

#[test]
fn silent_agent_gets_four_connections_per_second_at_first_and_one_per_second_later() {
    let opened = simulate(silent, 60_000).opened;
    assert!(opened.windows(5).all(|w| w[4] - w[0] >= 1000), "{opened:?}");
    assert!(opened.iter().filter(|at| **at >= 50_000).count() <= 10);
}

#[test]
fn connection_whose_first_line_takes_two_seconds_stays_open() {
    let record = simulate(late_first_line, 20_000);
    assert_eq!(record.received.iter().map(|(now, _)| *now).collect::<Vec<_>>()[..3], [2000, 4000, 6000]);
    assert_eq!(record.opened.len(), 4, "no more connections after the first line: {record:?}");
}

#[test]
fn late_first_line_is_received_even_if_the_oldest_connection_stays_silent() {
    fn oldest_is_silent(opened: u64, now: u64) -> Option<AgentEvent> {
        if opened == 0 {
            (now == STEP).then_some(AgentEvent::ResponseHead)
        } else {
            late_first_line(opened, now)
        }
    }
    assert!(first_line_after_outage(oldest_is_silent, 9000) <= 600 + 2010);
}

#[test]
fn silent_new_connections_do_not_close_a_stale_one_that_receives_lines_again() {
    // The old connection receives lines again from 4 s on; all later connections never receive a line.
    fn old(opened: u64, now: u64) -> Option<AgentEvent> {
        (opened == 0 && (now == STEP || (now >= 4000 && now.is_multiple_of(2000))))
            .then_some(AgentEvent::Update)
    }
    let record = simulate(old, 20_010);
    assert_eq!(record.received.last(), Some(&(20_000, 0)));
    // The stale connection may have missed changes, so further connections are still opened.
    assert!(record.opened.iter().any(|at| *at > 15_000));
}

#[test]
fn previous_address_is_followed_until_the_new_one_sends_an_update() {
    // The address changes at 5000. The new agent responds only to connections opened from 7000 on, at first
    // with an empty line; the old agent continues to send lines.
    fn agents(opened: u64, now: u64) -> Option<AgentEvent> {
        match opened {
            ..5000 => healthy(opened, now),
            5000..7000 => None,
            _ => healthy(opened, now)
                .map(|_| if now < opened + 1000 { AgentEvent::EmptyLine } else { AgentEvent::Update }),
        }
    }
    let record = simulate_with_address_changes(agents, &[0, 5000], 20_000);
    let new = record.received.iter().find(|(_, opened)| *opened >= 7000).unwrap();
    assert!(new.0 <= 7000 + 280, "{record:?}");
    let old = record.received.iter().rfind(|(_, opened)| *opened < 5000).unwrap();
    assert!(
        old.0 >= 8000 && old.0 <= 9020,
        "until the update at about 9100 or 4 s after the change: {record:?}"
    );
}

#[test]
fn previous_address_is_followed_while_the_new_one_stays_silent() {
    fn new_is_silent(opened: u64, now: u64) -> Option<AgentEvent> {
        if opened < 5000 { healthy(opened, now) } else { None }
    }
    let record = simulate_with_address_changes(new_is_silent, &[0, 5000], 20_000);
    assert!(record.received.last().unwrap().0 > 18_000);
}

#[test]
fn change_of_address_before_any_line_keeps_the_newest_connection_and_does_not_delay_the_new_address() {
    fn first(opened: u64, now: u64) -> Option<AgentEvent> {
        if opened < 300 { (now == 1000).then_some(AgentEvent::Update) } else { None }
    }
    let record = simulate_with_address_changes(first, &[0, 300], 3000);
    assert_eq!(record.received, [(1000, 250)]);
    assert!(record.opened.iter().filter(|at| **at > 1000).count() >= 6);
}

#[test]
fn silence_is_detected_even_if_a_late_driver_passes_the_next_line_first() {
    let (mut liveness, mut actions) = (WatchLiveness::new(production_settings()), Vec::new());
    liveness.handle(ms(0), Event::Follow, &mut actions);
    liveness.handle(ms(10), Event::Line { connection: ConnectionId(1), has_update: true }, &mut actions);
    actions.clear();
    // The deadline was 2610; the driver is late and passes the line first.
    liveness.handle(ms(2700), Event::Line { connection: ConnectionId(1), has_update: true }, &mut actions);
    assert_eq!(actions, [Action::ReportStale(ConnectionId(1)), Action::Open(ConnectionId(2))]);
    assert!(liveness.was_stale(ConnectionId(1)) && !liveness.was_stale(ConnectionId(2)));
    assert!(liveness.is_tracked(ConnectionId(1)), "still tracked until another one receives a line");
}

#[test]
fn oldest_silent_connection_is_closed_in_favour_of_one_with_a_slow_first_line() {
    fn slow(opened: u64, now: u64) -> Option<AgentEvent> {
        match now.checked_sub(opened) {
            Some(STEP) => Some(AgentEvent::ResponseHead),
            Some(6000) if opened > 0 => Some(AgentEvent::Update),
            _ => None,
        }
    }
    assert!(first_line_after_outage(slow, 30_000) <= 10_000 + 6000);
}

#[test]
fn rapid_changes_of_address_open_no_more_connections_than_an_outage() {
    let change_times: Vec<u64> = (0..100).map(|n| n * STEP).collect();
    let record = simulate_with_address_changes(silent, &change_times, 1000);
    assert_eq!(record.opened, [0, 250, 500, 750]);
    assert!(record.max_open <= 2, "{record:?}");
}
