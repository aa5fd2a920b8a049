//! Silence of all kinds, and what the previous connection or address still counts for.
use crate::support::{HEAD, ScriptedAgent, Timing, WatchedList, change, chunk, complete_list};
use std::time::Duration;
use testkit::routing::TIMEOUT;

#[test]
fn each_kind_of_silence_leads_to_a_watch_that_resumes_at_the_held_version() {
    type Silence = fn(&ScriptedAgent);
    let kinds: [(&str, Silence); 5] = [
        ("accepts and says nothing", |agent| agent.next_from("5").hold()),
        ("a head and no line", |agent| agent.next_from("5").send_and_hold(HEAD)),
        ("half a line", |agent| {
            let half = HEAD.to_string() + &chunk(&complete_list(9)[..40]);
            agent.next_from("5").send_and_hold(&half);
        }),
        ("half a head", |agent| agent.next_from("5").send_and_hold(&HEAD[..20])),
        ("closes at once", |agent| drop(agent.next_from("5"))),
    ];
    for (kind, silence) in kinds {
        let agent = ScriptedAgent::start();
        let watched = WatchedList::following(&agent, Timing::from_millis(200, 50));
        let (update, old) = watched.update_resumed_from(&agent, "0", &complete_list(5));
        assert_eq!(update.version, 5);
        // Silent from here on, and so is the first new connection.
        silence(&agent);
        let (update, _new) = watched.update_resumed_from(&agent, "5", &complete_list(6));
        assert_eq!(update.version, 6, "{kind}");
        drop(old);
    }
}

#[test]
fn bytes_that_never_end_a_line_make_the_watch_stale() {
    let agent = ScriptedAgent::start();
    let (watched, old) = WatchedList::holding(&agent, Timing::from_millis(200, 50), 5);
    // A byte each 20 ms, far more often than a read times out.
    old.send_chunk("{\"version\":6,\"x\":\"");
    loop {
        old.send_chunk("a");
        // One that asks from before was opened before the old one spoke.
        match agent.connections.recv_timeout(Duration::from_millis(20)) {
            Ok(connection) if connection.index() == "5" => break,
            _ => {}
        }
    }
    let (update, _new) = watched.update_resumed_from(&agent, "5", &complete_list(7));
    assert_eq!(update.version, 7);
}

#[test]
fn stale_watch_still_counts_while_new_ones_are_silent() {
    let agent = ScriptedAgent::start();
    let (watched, old) = WatchedList::holding(&agent, Timing::from_millis(100, 50), 5);
    let silent: Vec<_> = (0..8).map(|_| agent.next()).collect();
    old.send_chunk(&complete_list(6));
    assert_eq!(watched.next_update().version, 6);
    // The new one that speaks at last ends all others.
    let new = agent.next_with_head();
    new.send_chunk("\n");
    for connection in silent.iter().chain([&old]) {
        connection.assert_closed();
    }
}

#[test]
fn wait_for_first_line_ends_with_an_update() {
    let agent = ScriptedAgent::start();
    let watched = WatchedList::start(Timing::from_millis(300, 50));
    assert!(!watched.watch.wait_for_first_line(Duration::ZERO));
    watched.watch.follow(agent.addr).unwrap();
    // Silent at first.
    let silent = agent.next();
    assert!(!watched.watch.wait_for_first_line(Duration::from_millis(30)));
    let connection = agent.next_with_head();
    connection.send_chunk(&complete_list(5));
    assert!(watched.watch.wait_for_first_line(TIMEOUT));
    assert_eq!(watched.next_update().version, 5);
    drop(silent);
}

#[test]
fn wait_for_first_line_ends_with_an_empty_line() {
    let agent = ScriptedAgent::start();
    let watched = WatchedList::following(&agent, Timing::from_millis(300, 50));
    let connection = agent.next_with_head();
    connection.send_chunk("\n");
    assert!(watched.watch.wait_for_first_line(TIMEOUT));
}

#[test]
fn new_address_that_is_silent_at_first_takes_over() {
    let (old, new) = (ScriptedAgent::start(), ScriptedAgent::start());
    let (watched, before) = WatchedList::holding(&old, Timing::SHORT_FIRST_LINE, 5);
    watched.watch.follow(new.addr).unwrap();
    let silent = new.next();
    before.send_chunk(&complete_list(6));
    assert_eq!(watched.next_update().version, 6);
    drop(before);
    // What is opened from here on may have asked before the list took version 6.
    let connection = new.next_with_head();
    connection.send_chunk(&complete_list(7));
    assert_eq!(watched.next_update().version, 7);
    assert!(old.connections.is_empty(), "the old address is left alone");
    drop(silent);
}

#[test]
fn update_of_a_stale_watch_is_applied_but_does_not_move_the_resume_version() {
    let agent = ScriptedAgent::start();
    let (watched, old) = WatchedList::holding(&agent, Timing::from_millis(100, 50), 5);
    // It is stale. Versions 6 and 7 never come on it, and then it speaks again.
    agent.next_from("5").hold();
    old.send_chunk(&change(8, "a", "terminating"));
    assert_eq!(watched.next_update().version, 8);
    // Those that are opened once the list has that ask for what was missed all the same.
    assert!(watched.list.wait_until_applied(TIMEOUT));
    for _ in 0..8 {
        assert_eq!(agent.next().index(), "5");
    }
    let (update, new) = watched.update_resumed_from(&agent, "5", &change(8, "b", "terminating"));
    assert_eq!((update.version, update.endpoints[0].id.as_str()), (8, "b"));
    drop(new);
    // Nothing is missing any more.
    agent.next_from("8");
}
