//! Detection of silent agents, and processing of updates from stale connections and the previous address.
use crate::support::{HEAD, ScriptedAgent, Timing, WatchedList, change, chunk, complete_list};
use std::time::Duration;
use testkit::routing::TIMEOUT;

#[test]
fn each_kind_of_silence_leads_to_a_watch_that_resumes_at_the_version_of_the_list() {
    type Silence = fn(&ScriptedAgent);
    let kinds: [(&str, Silence); 5] = [
        ("accepts and sends nothing", |agent| agent.next_resuming_from("5").leave_open()),
        ("response head without a line", |agent| agent.next_resuming_from("5").send_and_leave_open(HEAD)),
        ("incomplete line", |agent| {
            let half = HEAD.to_string() + &chunk(&complete_list(9)[..40]);
            agent.next_resuming_from("5").send_and_leave_open(&half);
        }),
        ("incomplete response head", |agent| agent.next_resuming_from("5").send_and_leave_open(&HEAD[..20])),
        ("connection closed at once", |agent| drop(agent.next_resuming_from("5"))),
    ];
    for (kind, silence) in kinds {
        let agent = ScriptedAgent::start();
        let watched = WatchedList::following(&agent, Timing::from_millis(200, 50));
        let (update, old) = watched.update_resumed_from(&agent, "0", &complete_list(5));
        assert_eq!(update.version, 5);
        // From now on the agent is silent on this connection and on the first new one.
        silence(&agent);
        let (update, _new) = watched.update_resumed_from(&agent, "5", &complete_list(6));
        assert_eq!(update.version, 6, "{kind}");
        drop(old);
    }
}

#[test]
fn endless_line_makes_the_watch_stale() {
    let agent = ScriptedAgent::start();
    let (watched, old) = WatchedList::with_applied_list(&agent, Timing::from_millis(200, 50), 5);
    // The agent sends a byte every 20 ms, so that reads never time out.
    old.send_chunk("{\"version\":6,\"x\":\"");
    loop {
        old.send_chunk("a");
        // A connection that requests an older version was opened before the old connection sent its list.
        match agent.connections.recv_timeout(Duration::from_millis(20)) {
            Ok(connection) if connection.resume_version() == "5" => break,
            _ => {}
        }
    }
    let (update, _new) = watched.update_resumed_from(&agent, "5", &complete_list(7));
    assert_eq!(update.version, 7);
}

#[test]
fn updates_of_stale_watch_are_applied_while_new_ones_are_silent() {
    let agent = ScriptedAgent::start();
    let (watched, old) = WatchedList::with_applied_list(&agent, Timing::from_millis(100, 50), 5);
    let silent: Vec<_> = (0..8).map(|_| agent.next()).collect();
    old.send_chunk(&complete_list(6));
    assert_eq!(watched.next_update().version, 6);
    // The first line on a new connection closes all other connections.
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
    // The first connection is silent.
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
fn new_address_that_is_silent_at_first_replaces_the_old_one() {
    let (old, new) = (ScriptedAgent::start(), ScriptedAgent::start());
    let (watched, old_connection) = WatchedList::with_applied_list(&old, Timing::SHORT_FIRST_LINE, 5);
    watched.watch.follow(new.addr).unwrap();
    let silent = new.next();
    old_connection.send_chunk(&complete_list(6));
    assert_eq!(watched.next_update().version, 6);
    drop(old_connection);
    // The next connection may have sent its request before the list applied version 6.
    let connection = new.next_with_head();
    connection.send_chunk(&complete_list(7));
    assert_eq!(watched.next_update().version, 7);
    assert!(old.connections.is_empty(), "no further connection to the old address");
    drop(silent);
}

#[test]
fn update_of_a_stale_watch_is_applied_but_does_not_advance_the_resume_version() {
    let agent = ScriptedAgent::start();
    let (watched, old) = WatchedList::with_applied_list(&agent, Timing::from_millis(100, 50), 5);
    // The old connection is stale and misses versions 6 and 7, then it delivers version 8.
    agent.next_resuming_from("5").leave_open();
    old.send_chunk(&change(8, "a", "terminating"));
    assert_eq!(watched.next_update().version, 8);
    // Connections opened after version 8 was applied still resume at version 5.
    assert!(watched.list.wait_until_applied(TIMEOUT));
    for _ in 0..8 {
        assert_eq!(agent.next().resume_version(), "5");
    }
    let (update, new) = watched.update_resumed_from(&agent, "5", &change(8, "b", "terminating"));
    assert_eq!((update.version, update.endpoints[0].id.as_str()), (8, "b"));
    drop(new);
    // No change is missing any more, so the next connection resumes at version 8.
    agent.next_resuming_from("8");
}
