//! An agent in virtual time: what its connections bring decides what the state machine opens and closes.
use discovery::liveness::{Action, ConnectionId, Event, Settings, WatchLiveness};
use std::time::Duration;

const STEP: u64 = 10;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn machine() -> WatchLiveness {
    WatchLiveness::new(Settings {
        stale_after: ms(2600),
        first_line_timeout: ms(600),
        min_open_interval: ms(250),
        max_open_interval: ms(1000),
        previous_address_grace: ms(4000),
        max_pending: 6,
        min_pending_time: ms(1100),
        oldest_pending_time: ms(10_000),
    })
}

/// What an agent does on a connection opened at `opened`, at `now`, `None` for nothing.
type Agent = fn(opened: u64, now: u64) -> Option<Said>;

#[derive(Clone, Copy)]
enum Said {
    Head,
    Blank,
    News,
    End,
}

#[derive(Default, Debug)]
struct Seen {
    /// When each connection was opened.
    opened: Vec<u64>,
    /// When lines came on the connections that were listened to: when, opened when.
    heard: Vec<(u64, u64)>,
    most: usize,
}

fn play(agent: Agent, until: u64) -> Seen {
    play_with(&mut machine(), agent, &[0], until)
}

/// Plays it step by step; the watch is told to follow at these moments.
fn play_with(silence: &mut WatchLiveness, agent: Agent, follow: &[u64], until: u64) -> Seen {
    let (mut seen, mut actions, mut open) = (Seen::default(), Vec::new(), Vec::<(ConnectionId, u64)>::new());
    for now in (0..until).step_by(STEP as usize) {
        let mut events = vec![];
        if follow.contains(&now) {
            events.push(Event::Follow);
        }
        for (number, opened) in &open {
            events.extend(agent(*opened, now).map(|said| match said {
                Said::Head => Event::ResponseHead(*number),
                Said::Blank => Event::Line { connection: *number, has_update: false },
                Said::News => Event::Line { connection: *number, has_update: true },
                Said::End => Event::Ended(*number),
            }));
        }
        if silence.next_deadline().is_some_and(|due| due <= ms(now)) {
            events.push(Event::Deadline);
        }
        for event in events {
            if let Event::Line { connection, .. } = event
                && let Some((_, at)) = open.iter().find(|(n, _)| *n == connection)
            {
                seen.heard.push((now, *at));
            }
            if let Event::Ended(number) = event {
                open.retain(|(n, _)| *n != number);
            }
            silence.handle(ms(now), event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Open(number) => {
                        open.push((number, now));
                        seen.opened.push(now);
                    }
                    Action::Close(number) => open.retain(|(n, _)| *n != number),
                    Action::ReportStale(_) | Action::ReportLive { .. } => {}
                }
            }
        }
        seen.most = seen.most.max(open.len());
    }
    seen
}

/// Head and first line at once, an empty line every 2 s: an agent as it should be, on connections from `opened` on.
fn good(opened: u64, now: u64) -> Option<Said> {
    (now > opened && (now - opened - STEP).is_multiple_of(2000)).then_some(Said::Blank)
}

/// Never says anything.
fn mute(_: u64, _: u64) -> Option<Said> {
    None
}

/// A head at once, and the first line only when an empty line is due.
fn late_first_line(opened: u64, now: u64) -> Option<Said> {
    match now.checked_sub(opened) {
        Some(STEP) => Some(Said::Head),
        Some(since) if since > 0 && since.is_multiple_of(2000) => Some(Said::Blank),
        _ => None,
    }
}

/// When a connection that was opened after the last line of the first one was heard.
fn first_heard_after_outage(agent: Agent, until: u64) -> u64 {
    let seen = play(agent, until);
    assert!(seen.most <= 7, "{seen:?}");
    seen.heard.iter().find(|(_, opened)| *opened > 0).map_or(u64::MAX, |(now, _)| *now)
}

// The first connection's last line comes at 10 ms in each of these.
#[test]
fn agent_that_answers_new_connections_again_is_heard_250_ms_later() {
    // Old connections stay mute for good, and so do those that were opened before the agent was back.
    fn back<const AT: u64>(opened: u64, now: u64) -> Option<Said> {
        if opened == 0 {
            return (now == STEP).then_some(Said::Blank);
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
    fn back(opened: u64, now: u64) -> Option<Said> {
        match opened {
            0 => (now == STEP).then_some(Said::Blank),
            _ => (now == 5500).then_some(Said::News),
        }
    }
    assert_eq!(first_heard_after_outage(back, 9000), 5500);
}

#[test]
fn heads_without_a_line_do_not_delay_the_next_attempt() {
    fn heads(opened: u64, now: u64) -> Option<Said> {
        match opened {
            0 => (now == STEP).then_some(Said::Blank),
            1..4000 => (now == opened + STEP).then_some(Said::Head),
            _ => good(opened, now),
        }
    }
    assert!(first_heard_after_outage(heads, 9000) <= 4000 + 630);
}

#[test]
fn refused_connections_do_not_delay_the_next_attempt() {
    fn refused(opened: u64, now: u64) -> Option<Said> {
        match opened {
            0 if now == STEP => Some(Said::Blank),
            ..4000 if now > opened + STEP => Some(Said::End),
            ..4000 => None,
            _ => good(opened, now),
        }
    }
    assert!(first_heard_after_outage(refused, 9000) <= 4000 + 280);
}

#[test]
fn connection_closed_after_its_head_is_not_waited_for() {
    fn closed(opened: u64, now: u64) -> Option<Said> {
        match now - opened {
            STEP => Some(Said::Head),
            20 => Some(Said::End),
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
    let seen = play(late_first_line, 20_000);
    assert_eq!(seen.heard.iter().map(|(now, _)| *now).collect::<Vec<_>>()[..3], [2000, 4000, 6000]);
    assert_eq!(seen.opened.len(), 4, "none once it has spoken: {seen:?}");
}

#[test]
fn late_first_line_is_waited_for_beside_an_oldest_connection_that_stays_mute() {
    fn mute_at_first(opened: u64, now: u64) -> Option<Said> {
        if opened == 0 { (now == STEP).then_some(Said::Head) } else { late_first_line(opened, now) }
    }
    assert!(first_heard_after_outage(mute_at_first, 9000) <= 600 + 2010);
}

#[test]
fn mute_new_connections_do_not_end_a_stale_one_that_speaks_again() {
    // The old one speaks again at 4 s, those beside it never.
    fn old(opened: u64, now: u64) -> Option<Said> {
        (opened == 0 && (now == STEP || (now >= 4000 && now.is_multiple_of(2000)))).then_some(Said::News)
    }
    let seen = play(old, 20_010);
    assert_eq!(seen.heard.last(), Some(&(20_000, 0)));
    // What it missed may never come on it, so others are opened all the same.
    assert!(seen.opened.iter().any(|at| *at > 15_000));
}

#[test]
fn previous_address_counts_until_the_new_one_brings_an_update() {
    // Moves at 5000. The new agent answers only what is opened from 7000 on, with an empty line at first; the old
    // one speaks on.
    fn moves(opened: u64, now: u64) -> Option<Said> {
        match opened {
            ..5000 => good(opened, now),
            5000..7000 => None,
            _ => good(opened, now).map(|_| if now < opened + 1000 { Said::Blank } else { Said::News }),
        }
    }
    let seen = play_with(&mut machine(), moves, &[0, 5000], 20_000);
    let new = seen.heard.iter().find(|(_, opened)| *opened >= 7000).unwrap();
    assert!(new.0 <= 7000 + 280, "{seen:?}");
    let old = seen.heard.iter().rfind(|(_, opened)| *opened < 5000).unwrap();
    assert!(old.0 >= 8000 && old.0 <= 9020, "until the update at about 9100 or 4 s after the move: {seen:?}");
}

#[test]
fn previous_address_goes_on_while_the_new_one_never_speaks() {
    fn new_is_mute(opened: u64, now: u64) -> Option<Said> {
        if opened < 5000 { good(opened, now) } else { None }
    }
    let seen = play_with(&mut machine(), new_is_mute, &[0, 5000], 20_000);
    assert!(seen.heard.last().unwrap().0 > 18_000);
}

#[test]
fn move_before_any_line_keeps_the_newest_attempt_without_delaying_the_new_address() {
    fn first(opened: u64, now: u64) -> Option<Said> {
        if opened < 300 { (now == 1000).then_some(Said::News) } else { None }
    }
    let seen = play_with(&mut machine(), first, &[0, 300], 3000);
    assert_eq!(seen.heard, [(1000, 250)]);
    assert!(seen.opened.iter().filter(|at| **at > 1000).count() >= 6);
}

#[test]
fn line_that_ends_a_silence_does_not_hide_it_from_a_late_driver() {
    let (mut silence, mut actions) = (machine(), Vec::new());
    silence.handle(ms(0), Event::Follow, &mut actions);
    silence.handle(ms(10), Event::Line { connection: ConnectionId(1), has_update: true }, &mut actions);
    actions.clear();
    // Due at 2610; the driver comes to it only now, and finds the line first.
    silence.handle(ms(2700), Event::Line { connection: ConnectionId(1), has_update: true }, &mut actions);
    assert_eq!(actions, [Action::ReportStale(ConnectionId(1)), Action::Open(ConnectionId(2))]);
    assert!(silence.was_stale(ConnectionId(1)) && !silence.was_stale(ConnectionId(2)));
    assert!(silence.is_tracked(ConnectionId(1)), "it counts until another one speaks");
}

#[test]
fn oldest_mute_connection_makes_room_for_an_agent_whose_first_line_is_slow() {
    fn slow(opened: u64, now: u64) -> Option<Said> {
        match now.checked_sub(opened) {
            Some(STEP) => Some(Said::Head),
            Some(6000) if opened > 0 => Some(Said::News),
            _ => None,
        }
    }
    assert!(first_heard_after_outage(slow, 30_000) <= 10_000 + 6000);
}

#[test]
fn fast_moves_open_no_more_connections_than_an_outage_does() {
    let moves: Vec<u64> = (0..100).map(|n| n * STEP).collect();
    let seen = play_with(&mut machine(), mute, &moves, 1000);
    assert_eq!(seen.opened, [0, 250, 500, 750]);
    assert!(seen.most <= 2, "{seen:?}");
}
