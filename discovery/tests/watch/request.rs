//! The request of the watch, compared byte for byte with a fixture.
use crate::support::{ScriptedAgent, Timing, WatchedList, change};

const REQUEST: &str = include_str!("../fixtures/request.txt");

#[test]
fn watch_sends_the_recorded_request_with_the_version_of_its_list() {
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
    // A connection that was opened before the list applied version 46 may still request version 0.
    let requests = std::iter::repeat_with(|| agent.next().request);
    let mut from_held = requests.take(16).skip_while(|request| *request == expected(0));
    assert_eq!(from_held.next(), Some(expected(46)));
}
