//! Tests of the server with real clients: complete, malformed and partial lines, many connections, slow
//! clients and clients that close early.
mod common;

use admin::{AdminLimits, AdminServer};
use common::{
    HANDLER_BARRIER, LONG_TIMEOUT, MAX_RESPONSE_TIME, METRIC_LINE, connect, read_to_close, send_and_read,
    send_with_half_close_and_read, serve,
};
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn each_command_gets_a_response_and_a_clean_close() {
    let address = serve(8, LONG_TIMEOUT, 2);
    for (line, response) in [
        ("STATUS\n", "200 STATUS\n"),
        ("METRICS\n", "requests_total 7\nrequests_total 7\nEOF\n"),
        ("SUSPEND db-1\n", "200 SUSPEND db-1\n"),
        ("restore db-1\r\n", "200 RESTORE db-1\n"),
        ("  PAUSE \n", "200 PAUSE\n"),
        ("RESUME\nSTATUS\n and more", "200 RESUME\n"),
        ("SUSPEND gone\n", "400 no instance\\r\\n200 `gone`\\u{1b}[2J\n"),
    ] {
        assert_eq!(send_and_read(address, line.as_bytes()), response, "{line:?}");
    }
    assert_eq!(send_with_half_close_and_read(address, b"STATUS"), "200 STATUS\n");
    assert_eq!(send_with_half_close_and_read(address, b""), "");
}

#[test]
fn malformed_line_is_rejected_with_the_correct_usage() {
    let address = serve(8, LONG_TIMEOUT, 1);
    let long_id = format!("SUSPEND {}\n", "x".repeat(257));
    for (line, words) in [
        ("\n", "is empty; send STATUS"),
        ("STATSU\n", "unknown command `STATSU`; send STATUS"),
        ("\x1b[2J\0\n", "unknown command `\\x1b[2J\\x00`"),
        ("SUSPEND\n", "send `SUSPEND ID`"),
        ("SUSPEND a b\n", "send `SUSPEND ID` alone"),
        ("PAUSE now\n", "send `PAUSE` alone"),
        ("RESTORE \u{e9}\n", "visible ASCII"),
        (&long_id, "1 to 256 bytes"),
        (&format!("STATUS{}\n", " ".repeat(300)), "longer than 300 bytes"),
    ] {
        let response = send_and_read(address, line.as_bytes());
        assert!(response.starts_with("400 ") && response.contains(words), "{line:?}: {response:?}");
        assert!(response.ends_with('\n') && response.matches(char::is_control).count() == 1, "{response:?}");
    }
}

#[test]
fn line_of_exactly_the_limit_is_accepted_with_either_line_end() {
    let address = serve(8, LONG_TIMEOUT, 1);
    let line = format!("STATUS{}", " ".repeat(294));
    for end in ["\n", "\r\n"] {
        assert_eq!(send_and_read(address, format!("{line}{end}").as_bytes()), "200 STATUS\n");
        let too_long = send_and_read(address, format!("{line} {end}").as_bytes());
        assert!(too_long.starts_with("400 the line is longer"));
    }
}

#[test]
fn line_split_at_any_position_is_one_command() {
    let address = serve(64, LONG_TIMEOUT, 1);
    let line = b"SUSPEND db-1\r\n";
    for split in 1..line.len() {
        let mut socket = connect(address, &line[..split]);
        // Connections are accepted in order: once a later client has its response, the first part of this
        // line has been read.
        assert_eq!(send_and_read(address, b"STATUS\n"), "200 STATUS\n");
        socket.write_all(&line[split..]).unwrap();
        assert_eq!(read_to_close(&socket), "200 SUSPEND db-1\n", "split at {split}");
    }
}

#[test]
fn commands_get_responses_in_time_beside_200_incomplete_lines() {
    for max_connections in [512, 20] {
        let address = serve(max_connections, LONG_TIMEOUT, 1);
        let incomplete: Vec<_> = (0..200).map(|_| connect(address, b"STAT")).collect();
        for _ in 0..50 {
            let start = Instant::now();
            assert_eq!(send_and_read(address, b"PAUSE\n"), "200 PAUSE\n");
            assert!(start.elapsed() < MAX_RESPONSE_TIME, "{:?}", start.elapsed());
        }
        // The last connection was not evicted and can still complete its line.
        let mut last = incomplete.last().unwrap();
        last.write_all(b"US\n").unwrap();
        assert_eq!(read_to_close(last), "200 STATUS\n");
        // The first connection was evicted only where the limit required it.
        let mut first = &incomplete[0];
        if max_connections > 200 {
            first.write_all(b"US\n").unwrap();
            assert_eq!(read_to_close(first), "200 STATUS\n");
        } else {
            assert_eq!(read_to_close(first), "");
        }
    }
}

#[test]
fn command_gets_a_response_with_a_limit_of_one_connection() {
    let address = serve(1, LONG_TIMEOUT, 1);
    let incomplete = connect(address, b"STAT");
    assert_eq!(send_and_read(address, b"PAUSE\n"), "200 PAUSE\n");
    let _another = connect(address, b"STAT");
    assert_eq!(read_to_close(&incomplete), "", "the older of two incomplete connections is evicted");
}

#[test]
fn received_command_gets_a_response_without_evicting_others() {
    let address = serve(2, LONG_TIMEOUT, 1);
    let mut incomplete = connect(address, b"STAT");
    let blocking = connect(address, b"SUSPEND hold\n");
    HANDLER_BARRIER.wait();
    // The server's thread is blocked, so both lines are received before it accepts either connection.
    let new_connections = [connect(address, b"PAUSE\n"), connect(address, b"PAUSE\n")];
    HANDLER_BARRIER.wait();
    assert_eq!(read_to_close(&blocking), "200 released\n");
    for new_connection in &new_connections {
        assert_eq!(read_to_close(new_connection), "200 PAUSE\n");
    }
    incomplete.write_all(b"US\n").unwrap();
    assert_eq!(read_to_close(&incomplete), "200 STATUS\n");

    // New connections that exceed the limit do not evict the older connection either, after the rest of its
    // command was received but not read.
    let mut incomplete = connect(address, b"STAT");
    let blocking = connect(address, b"SUSPEND hold\n");
    HANDLER_BARRIER.wait();
    incomplete.write_all(b"US\n").unwrap();
    let _new_connections = [connect(address, b"STAT"), connect(address, b"STAT")];
    HANDLER_BARRIER.wait();
    assert_eq!(read_to_close(&incomplete), "200 STATUS\n");
    assert_eq!(read_to_close(&blocking), "200 released\n");
}

#[test]
fn slow_reader_does_not_delay_others_and_receives_its_whole_response() {
    let lines = 1 << 19;
    let address = serve(8, LONG_TIMEOUT, lines);
    let slow = connect(address, b"METRICS\n");
    for _ in 0..50 {
        let start = Instant::now();
        assert_eq!(send_and_read(address, b"STATUS\n"), "200 STATUS\n");
        assert!(start.elapsed() < MAX_RESPONSE_TIME, "{:?}", start.elapsed());
    }
    let metrics = read_to_close(&slow);
    assert_eq!(metrics.len(), lines * METRIC_LINE.len() + "EOF\n".len());
    assert!(metrics.ends_with("7\nEOF\n"));
}

#[test]
fn server_survives_closed_connections_and_a_panicking_handler() {
    let address = serve(8, LONG_TIMEOUT, 1 << 19);
    drop(connect(address, b"STAT"));
    drop(connect(address, b"METRICS\n"));
    assert!(send_and_read(address, b"SUSPEND broken\n").starts_with("400 the router failed"));
    assert_eq!(send_and_read(address, b"STATUS\n"), "200 STATUS\n");
}

#[test]
fn incomplete_line_is_closed_after_the_timeout() {
    let timeout = Duration::from_millis(50);
    let address = serve(8, timeout, 1);
    let start = Instant::now();
    assert_eq!(send_and_read(address, b"STATUS"), "");
    assert!(start.elapsed() >= timeout);
}

#[test]
fn error_of_bind_to_address_in_use_has_the_address_and_a_remedy() {
    let address = serve(8, LONG_TIMEOUT, 1);
    let limits = AdminLimits {
        max_connections: 1,
        max_line_bytes: 1,
        io_timeout: LONG_TIMEOUT,
        thread_stack_bytes: 1 << 17,
    };
    let error = AdminServer::bind(address, limits).err().unwrap().to_string();
    assert!(error.contains(&address.to_string()) && error.contains("set `admin_addr`"), "{error}");
}
