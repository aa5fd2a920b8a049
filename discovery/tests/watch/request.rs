//! The request that the watch sends, byte for byte as it was recorded.
use crate::support::{ScriptedAgent, Timing, WatchedList, change};

const REQUEST: &str = include_str!("../fixtures/request.txt");

#[test]
fn watch_asks_with_the_recorded_request_from_the_version_it_holds() {
    let agent = ScriptedAgent::start();
    let expected = |version: u64| {
        REQUEST.replace("{version}", &version.to_string()).replace("{addr}", &agent.addr.to_string())
    };
    let watched = WatchedList::following(&agent, Timing::NEVER_STALE);
    let first = agent.next_with_head();
    assert_eq!(first.request, expected(0));
    first.send_chunk(&change(46, "a", "terminated"));
    assert_eq!(watched.next_update().version, 46);
    drop(first);
    // Opened before the list's actor had taken version 46, a connection may still ask from 0.
    let requests = std::iter::repeat_with(|| agent.next().request);
    let mut from_held = requests.take(16).skip_while(|request| *request == expected(0));
    assert_eq!(from_held.next(), Some(expected(46)));
}
