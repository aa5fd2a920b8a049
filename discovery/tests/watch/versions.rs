//! Decreasing versions: an agent that restarts its version numbers, and a new address whose agent has a lower
//! version.
use crate::support::{ScriptedAgent, Timing, WatchedList, change, complete_list};
use testkit::routing::TIMEOUT;

#[test]
fn restarted_versions_are_applied_and_the_complete_list_is_requested() {
    let agent = ScriptedAgent::start();
    let (watched, old) = WatchedList::with_applied_list(&agent, Timing::NEVER_STALE, 45);
    drop(old);
    // After its restart the agent sends changes only, no complete list.
    let new = agent.next();
    assert_eq!(new.resume_version(), "45");
    new.send_head();
    new.send_chunk(&change(2, "a", "terminating"));
    assert_eq!(watched.next_update().version, 2);
    // Other changes since the restart are unknown, so the watch requests the complete list.
    // The agent sends only changes even then.
    let (update, new) = watched.update_resumed_from(&agent, "0", &change(2, "b", "terminating"));
    assert_eq!(update.endpoints[0].id, "b");
    new.send_chunk(&change(3, "c", "terminating"));
    assert_eq!(watched.next_update().version, 3);
    assert!(watched.list.wait_until_applied(TIMEOUT));
    drop(new);
    agent.next_resuming_from("3");
}

#[test]
fn complete_list_of_the_same_or_a_lower_version_is_applied_after_a_change_of_address() {
    for version in [45, 7] {
        let (old, new) = (ScriptedAgent::start(), ScriptedAgent::start());
        let (watched, old_connection) = WatchedList::with_applied_list(&old, Timing::NEVER_STALE, 45);
        watched.watch.follow(new.addr).unwrap();
        let connection = new.next_with_head();
        connection.send_chunk(&complete_list(version));
        assert_eq!(watched.next_update().version, version);
        // The update with the complete list closes the old connection, so that later data on it is ignored.
        old_connection.assert_closed();
        connection.send_chunk(&change(version + 1, "b", "terminating"));
        assert_eq!(watched.next_update().version, version + 1);
    }
}

#[test]
fn changes_of_a_lagging_new_address_below_the_version_of_the_list_are_ignored() {
    let (old, new) = (ScriptedAgent::start(), ScriptedAgent::start());
    let (watched, _old_connection) = WatchedList::with_applied_list(&old, Timing::NEVER_STALE, 45);
    watched.watch.follow(new.addr).unwrap();
    let connection = new.next();
    assert_eq!(connection.resume_version(), "45");
    connection.send_head();
    // The agent forwards all changes it receives, including those below the requested version.
    connection.send_chunk(&change(44, "b", "in_service"));
    connection.send_chunk(&change(46, "c", "terminating"));
    assert_eq!(watched.next_update().version, 46);
    drop(connection);
    new.next_resuming_from("46");
}
