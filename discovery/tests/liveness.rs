//! An agent in virtual time: what its connections bring decides what the state machine opens and closes.
mod common;

use common::{ms, production_settings};
use discovery::liveness::{Action, ConnectionId, Event, WatchLiveness};

const STEP: u64 = 10;

/// What an agent does at `now` on a connection opened at `opened`, `None` for nothing.
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

/// What has happened in a run, in milliseconds of virtual time.
#[derive(Default, Debug)]
struct Record {
    /// When each connection was opened.
    opened: Vec<u64>,
    /// When a line came on a connection that was open, and when that one was opened.
    heard: Vec<(u64, u64)>,
    /// The most connections that were open at a time.
    max_open: usize,
}

/// A run of the state machine.
struct Run {
    liveness: WatchLiveness,
    /// The open connections and when they were opened.
    open: Vec<(ConnectionId, u64)>,
    record: Record,
}

impl Run {
    /// The events of one step, in the order in which they are handled.
    fn events(&self, now: u64, agent: Agent, is_followed_now: bool) -> Vec<Event> {
        let mut events = Vec::new();
        if is_followed_now {
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
            self.record.heard.push((now, *opened));
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

/// Plays an agent step by step; the watch follows an address from 0 on.
fn play(agent: Agent, until: u64) -> Record {
    play_with_moves(agent, &[0], until)
}

/// Plays an agent step by step; the watch follows an address, or another one, from each of these moments on.
fn play_with_moves(agent: Agent, follow_at: &[u64], until: u64) -> Record {
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

/// Head and first line at once, an empty line every 2 s: an agent as it should be, on connections from `opened` on.
fn good(opened: u64, now: u64) -> Option<AgentEvent> {
    (now > opened && (now - opened - STEP).is_multiple_of(2000)).then_some(AgentEvent::EmptyLine)
}

/// Never says anything.
fn mute(_: u64, _: u64) -> Option<AgentEvent> {
    None
}

/// A head at once, and the first line only when an empty line is due.
fn late_first_line(opened: u64, now: u64) -> Option<AgentEvent> {
    match now.checked_sub(opened) {
        Some(STEP) => Some(AgentEvent::ResponseHead),
        Some(since) if since > 0 && since.is_multiple_of(2000) => Some(AgentEvent::EmptyLine),
        _ => None,
    }
}

/// When a connection that was opened after the last line of the first one was heard.
fn first_heard_after_outage(agent: Agent, until: u64) -> u64 {
    let record = play(agent, until);
    assert!(record.max_open <= 7, "{record:?}");
    record.heard.iter().find(|(_, opened)| *opened > 0).map_or(u64::MAX, |(now, _)| *now)
}

// The first connection's last line comes at 10 ms in each of these.
#[test]
fn agent_that_answers_new_connections_again_is_heard_250_ms_later() {
    // Old connections stay mute for good, and so do those that were opened before the agent was back.
    fn back<const AT: u64>(opened: u64, now: u64) -> Option<AgentEvent> {
        if opened == 0 {
            return (now == STEP).then_some(AgentEvent::EmptyLine);
        }
        if opened >= AT { good(opened, now) } else { None }
    }
    assert!(first_heard_after_outage(back::<0>, 9000) <= 2700);
    assert!(first_heard_after_outage(back::<2700>, 9000) <= 2700 + 280);
    assert!(first_heard_after_outage(back::<4000>, 9000) <= 4000 + 280);
    assert!(first_heard_after_outage(back::<5700>, 9000) <= 5700 + 280);
    // Long after, within the longest pause.
    assert!(first_heard_after_outage(back::<60000>, 70000) <= 60000 + 1030);
}

#[test]
fn agent_that_answers_waiting_connections_once_it_is_back_is_heard_at_once() {
    fn back(opened: u64, now: u64) -> Option<AgentEvent> {
        match opened {
            0 => (now == STEP).then_some(AgentEvent::EmptyLine),
            _ => (now == 5500).then_some(AgentEvent::Update),
        }
    }
    assert_eq!(first_heard_after_outage(back, 9000), 5500);
}

#[test]
fn heads_without_a_line_do_not_delay_the_next_attempt() {
    fn heads(opened: u64, now: u64) -> Option<AgentEvent> {
        match opened {
            0 => (now == STEP).then_some(AgentEvent::EmptyLine),
            1..4000 => (now == opened + STEP).then_some(AgentEvent::ResponseHead),
            _ => good(opened, now),
        }
    }
    assert!(first_heard_after_outage(heads, 9000) <= 4000 + 630);
}

#[test]
fn refused_connections_do_not_delay_the_next_attempt() {
    fn refused(opened: u64, now: u64) -> Option<AgentEvent> {
        match opened {
            0 if now == STEP => Some(AgentEvent::EmptyLine),
            ..4000 if now > opened + STEP => Some(AgentEvent::Ended),
            ..4000 => None,
            _ => good(opened, now),
        }
    }
    assert!(first_heard_after_outage(refused, 9000) <= 4000 + 280);
}

#[test]
fn connection_closed_after_its_head_is_not_waited_for() {
    fn closed(opened: u64, now: u64) -> Option<AgentEvent> {
        match now - opened {
            STEP => Some(AgentEvent::ResponseHead),
            20 => Some(AgentEvent::Ended),
            _ => None,
        }
    }
    assert_eq!(play(closed, 1000).opened, [0, 250, 500, 750]);
}

#[test]
fn mute_agent_is_asked_four_times_a_second_at_first_and_once_a_second_in_the_end() {
    let opened = play(mute, 60_000).opened;
    assert!(opened.windows(5).all(|w| w[4] - w[0] >= 1000), "{opened:?}");
    assert!(opened.iter().filter(|at| **at >= 50_000).count() <= 10);
}

#[test]
fn first_line_that_comes_after_two_seconds_is_waited_for() {
    let record = play(late_first_line, 20_000);
    assert_eq!(record.heard.iter().map(|(now, _)| *now).collect::<Vec<_>>()[..3], [2000, 4000, 6000]);
    assert_eq!(record.opened.len(), 4, "none once it has spoken: {record:?}");
}

#[test]
fn late_first_line_is_waited_for_beside_an_oldest_connection_that_stays_mute() {
    fn mute_at_first(opened: u64, now: u64) -> Option<AgentEvent> {
        if opened == 0 {
            (now == STEP).then_some(AgentEvent::ResponseHead)
        } else {
            late_first_line(opened, now)
        }
    }
    assert!(first_heard_after_outage(mute_at_first, 9000) <= 600 + 2010);
}

#[test]
fn mute_new_connections_do_not_end_a_stale_one_that_speaks_again() {
    // The old one speaks again at 4 s, those beside it never.
    fn old(opened: u64, now: u64) -> Option<AgentEvent> {
        (opened == 0 && (now == STEP || (now >= 4000 && now.is_multiple_of(2000))))
            .then_some(AgentEvent::Update)
    }
    let record = play(old, 20_010);
    assert_eq!(record.heard.last(), Some(&(20_000, 0)));
    // What it missed may never come on it, so others are opened all the same.
    assert!(record.opened.iter().any(|at| *at > 15_000));
}

#[test]
fn previous_address_counts_until_the_new_one_brings_an_update() {
    // Moves at 5000. The new agent answers only what is opened from 7000 on, with an empty line at first; the old
    // one speaks on.
    fn moves(opened: u64, now: u64) -> Option<AgentEvent> {
        match opened {
            ..5000 => good(opened, now),
            5000..7000 => None,
            _ => good(opened, now)
                .map(|_| if now < opened + 1000 { AgentEvent::EmptyLine } else { AgentEvent::Update }),
        }
    }
    let record = play_with_moves(moves, &[0, 5000], 20_000);
    let new = record.heard.iter().find(|(_, opened)| *opened >= 7000).unwrap();
    assert!(new.0 <= 7000 + 280, "{record:?}");
    let old = record.heard.iter().rfind(|(_, opened)| *opened < 5000).unwrap();
    assert!(
        old.0 >= 8000 && old.0 <= 9020,
        "until the update at about 9100 or 4 s after the move: {record:?}"
    );
}

#[test]
fn previous_address_goes_on_while_the_new_one_never_speaks() {
    fn new_is_mute(opened: u64, now: u64) -> Option<AgentEvent> {
        if opened < 5000 { good(opened, now) } else { None }
    }
    let record = play_with_moves(new_is_mute, &[0, 5000], 20_000);
    assert!(record.heard.last().unwrap().0 > 18_000);
}

#[test]
fn move_before_any_line_keeps_the_newest_attempt_without_delaying_the_new_address() {
    fn first(opened: u64, now: u64) -> Option<AgentEvent> {
        if opened < 300 { (now == 1000).then_some(AgentEvent::Update) } else { None }
    }
    let record = play_with_moves(first, &[0, 300], 3000);
    assert_eq!(record.heard, [(1000, 250)]);
    assert!(record.opened.iter().filter(|at| **at > 1000).count() >= 6);
}

#[test]
fn line_that_ends_a_silence_does_not_hide_it_from_a_late_driver() {
    let (mut liveness, mut actions) = (WatchLiveness::new(production_settings()), Vec::new());
    liveness.handle(ms(0), Event::Follow, &mut actions);
    liveness.handle(ms(10), Event::Line { connection: ConnectionId(1), has_update: true }, &mut actions);
    actions.clear();
    // Due at 2610; the driver comes to it only now, and finds the line first.
    liveness.handle(ms(2700), Event::Line { connection: ConnectionId(1), has_update: true }, &mut actions);
    assert_eq!(actions, [Action::ReportStale(ConnectionId(1)), Action::Open(ConnectionId(2))]);
    assert!(liveness.was_stale(ConnectionId(1)) && !liveness.was_stale(ConnectionId(2)));
    assert!(liveness.is_tracked(ConnectionId(1)), "it counts until another one speaks");
}

#[test]
fn oldest_mute_connection_makes_room_for_an_agent_whose_first_line_is_slow() {
    fn slow(opened: u64, now: u64) -> Option<AgentEvent> {
        match now.checked_sub(opened) {
            Some(STEP) => Some(AgentEvent::ResponseHead),
            Some(6000) if opened > 0 => Some(AgentEvent::Update),
            _ => None,
        }
    }
    assert!(first_heard_after_outage(slow, 30_000) <= 10_000 + 6000);
}

#[test]
fn fast_moves_open_no_more_connections_than_an_outage_does() {
    let moves: Vec<u64> = (0..100).map(|n| n * STEP).collect();
    let record = play_with_moves(mute, &moves, 1000);
    assert_eq!(record.opened, [0, 250, 500, 750]);
    assert!(record.max_open <= 2, "{record:?}");
}
