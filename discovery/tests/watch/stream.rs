//! Unusual response bodies: indented, in single bytes, as long as allowed, or endless.
use crate::support::{HEAD, ScriptedAgent, Timing, WatchedList, chunk, complete_list, limits};
use std::io::Write;

#[test]
fn indented_list_divided_at_any_byte_is_applied() {
    let indented = complete_list(7).replace(',', ",\n\n  ").replace('[', "[\r\n\t");
    let agent = ScriptedAgent::start();
    let watched = WatchedList::following(&agent, Timing::from_millis(5000, 5000));
    let connection = agent.next_with_head();
    for at in 1..indented.len() {
        connection.send_chunk(&indented[..at]);
        connection.send_chunk(&indented[at..]);
        let update = watched.next_update();
        assert_eq!((update.version, update.endpoints[0].id.as_str()), (7, "a\"}7"), "divided at byte {at}");
    }
    // An invalid list, and a too deeply nested object, end the connection without being applied in part.
    connection.send_chunk(&complete_list(8).replace("in_service", "odd"));
    let connection = agent.next();
    assert_eq!(connection.resume_version(), "7");
    connection.send_head();
    connection.send_chunk(&format!("{{\"servers\":{}{}}}", "[".repeat(100_000), "]".repeat(100_000)));
    assert_eq!(agent.next().resume_version(), "7");
    assert!(watched.updates.is_empty());
}

#[test]
fn list_sent_one_byte_at_a_time_is_applied() {
    let agent = ScriptedAgent::start();
    let watched = WatchedList::following(&agent, Timing::NEVER_STALE);
    let connection = agent.next();
    let indented = complete_list(5).replace(',', ",\n  ") + "\n";
    let next = complete_list(6) + "\n";
    let response = [HEAD.to_string(), chunk(&indented), chunk("\n"), chunk(&next)].concat();
    for byte in response.as_bytes() {
        connection.send_raw(&[*byte]).unwrap();
    }
    assert_eq!([watched.next_update().version, watched.next_update().version], [5, 6]);
}

/// Creates an indented list with this many servers, padded to `bytes` bytes.
fn long_list(bytes: usize, servers: usize) -> String {
    let entry = |n: usize| {
        format!(
            "\n    {{\"id\": \"i{n}\", \"addr\": \"127.0.0.1:1\", \"zone\": \"a\", \"cell\": 1, \"state\": \"in_service\"}}"
        )
    };
    let servers: Vec<String> = (0..servers).map(entry).collect();
    let text = format!("{{\n  \"version\": 5, \"full\": true, \"servers\": [{}]", servers.join(","));
    format!("{text}{}}}\n", " ".repeat(bytes - text.len() - 1))
}

#[test]
fn longest_list_is_applied_and_an_endless_one_ends_the_connection() {
    let agent = ScriptedAgent::start();
    let watched = WatchedList::following(&agent, Timing::NEVER_STALE);
    let connection = agent.next_with_head();
    // 4 MiB in one chunk.
    let max_list_bytes = limits().max_discovery_line_bytes;
    assert_eq!(max_list_bytes, 4 << 20);
    connection.send_chunk(&long_list(max_list_bytes, 40_000));
    let update = watched.next_update();
    assert_eq!((update.version, update.endpoints.len()), (5, 40_000));
    // The watch closes the connection once an endless object exceeds the limit.
    let mut endless = connection.socket;
    endless.write_all(chunk("{\"version\":6,\"x\":\"").as_bytes()).unwrap();
    let more = chunk(&"a".repeat(1 << 16));
    let accepted = (0..1024).take_while(|_| endless.write_all(more.as_bytes()).is_ok()).count();
    // The socket accepts more data than the limit, since the kernel buffers data on both sides.
    assert!((64..512).contains(&accepted), "{accepted} pieces of 64 KiB were accepted");
    let connection = agent.next_resuming_from("5");
    // The watch also closes a connection with an endless chunk size or an endless response head.
    _ = connection.send_raw(&[HEAD.as_bytes(), &[b'0'; 100]].concat());
    let connection = agent.next();
    _ = connection.send_raw(format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(20_000)).as_bytes());
    let connection = agent.next_with_head();
    connection.send_chunk(&complete_list(7));
    assert_eq!(watched.next_update().version, 7);
}
