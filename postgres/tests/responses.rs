//! Responses of instances that are cut off after every byte, in every way: the outcome, and whether the
//! connection is reused.
mod common;
use common::{
    ENDINGS, Ending, TIMEOUT, attempt, connect, error, limits, message, permit, probe, read_message, ready,
    row, write_and_end,
};
use routing::protocol::{Connection, ExchangeResult};
use routing::{Outcome, Time};
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// Replication position that the test instance reports in `wal_time`.
const WAL_POSITION: Time = Time(1_000_000_000_250_000);
/// Replication position that the test instance reports in `stats` and in the response to a probe.
const STATS_POSITION: Time = Time(1_000_000_000_500_000);

/// A response that is an error.
#[derive(Clone, Copy)]
struct ErrorCase {
    /// The outcome for the error's code.
    outcome: Outcome,
    /// Whether the error ends the session.
    fatal: bool,
}

#[derive(Clone)]
struct Case {
    name: String,
    messages: Vec<Vec<u8>>,
    probe: bool,
    /// The error, if the response is one; `None` if it is a row.
    error: Option<ErrorCase>,
}

/// Parameters with which the instance reports its state.
fn parameters() -> Vec<Vec<u8>> {
    vec![
        message(b'S', b"mode\0read-write\0"),
        message(b'S', b"wal_time\x001000000000250\0"),
        message(b'S', b"stats\0x0=1000000000.5,x1=0\0"),
    ]
}

fn cases() -> Vec<Case> {
    let case = |name: &str, messages: &[&[Vec<u8>]], probe, error| {
        let name = name.to_string();
        Case { name, messages: messages.concat(), probe, error }
    };
    let end = &[ready()][..];
    let (value, report) = (row("value"), row("x0=1000000000.5,x1=0,util=0.2"));
    let mut all = vec![
        case("a row", &[&value, &parameters(), end], false, None),
        case(
            "parameters first",
            &[&parameters(), &value, &[message(b'N', b"SNOTICE\0\0")], end],
            false,
            None,
        ),
        case("a probe", &[&report, end], true, None),
    ];
    for (code, outcome) in [
        ("25006", Outcome::NotEligible),
        ("72000", Outcome::NotEligible),
        ("53300", Outcome::Rejected),
        ("57P03", Outcome::Rejected),
        ("XX000", Outcome::Error),
    ] {
        let error_and_mode = [error("ERROR", code), message(b'S', b"mode\0read-write\0")];
        let error_case = ErrorCase { outcome, fatal: false };
        all.push(case(code, &[&error_and_mode, end], false, Some(error_case)));
        let fatal = [error("FATAL", code)];
        let error_case = ErrorCase { outcome, fatal: true };
        all.push(case(&format!("fatal {code}"), &[&fatal], false, Some(error_case)));
    }
    all
}

/// Expected result of the first `sent` bytes of a response.
struct Expected {
    outcome: Outcome,
    reusable: bool,
    primary: Option<bool>,
    position: Option<Time>,
    load_report_position: Option<Time>,
}

fn expected(case: &Case, sent: usize, ending: Ending) -> Expected {
    let (mut complete, mut end) = (Vec::new(), 0);
    for m in &case.messages {
        end += m.len();
        if end <= sent {
            complete.push(m);
        } else {
            end -= m.len();
            break;
        }
    }
    let has = |tag| complete.iter().any(|m| m[0] == tag);
    let outcome = match (case.error, ending) {
        _ if has(b'C') => Outcome::Ok,
        (Some(error), _) if has(b'Z') => error.outcome,
        (Some(error), Ending::Stall) if has(b'E') => {
            if error.fatal && sent == end {
                error.outcome
            } else {
                Outcome::Error
            }
        }
        (Some(error), _) if has(b'E') => error.outcome,
        (_, Ending::Stall) => Outcome::TimedOut,
        _ => Outcome::Reset,
    };
    let has_parameter = |name: &[u8]| complete.iter().any(|m| m[0] == b'S' && m[5..].starts_with(name));
    let has_probe_report = case.probe && has(b'D');
    Expected {
        outcome,
        reusable: has(b'Z'),
        primary: has_parameter(b"mode").then_some(true),
        position: has_parameter(b"wal_time").then_some(WAL_POSITION),
        load_report_position: (has_parameter(b"stats") || has_probe_report).then_some(STATS_POSITION),
    }
}

/// Reads a response of which only `sent` bytes arrive; also returns whether it ended before the deadline.
fn receive(case: &Case, sent: usize, ending: Ending, deadline: Instant) -> (ExchangeResult<Vec<u8>>, bool) {
    let bytes = case.messages.concat()[..sent].to_vec();
    let mut connection = connect(&limits(), move |socket| {
        read_message(socket);
        write_and_end(socket, &bytes, ending);
    });
    let result =
        if case.probe { probe(&mut connection) } else { attempt(&mut connection, deadline) }.unwrap();
    let in_time = Instant::now() < deadline;
    if result.reusable && ending != Ending::Stall {
        // The close of the connection has to be detected before the connection is reused.
        let started = Instant::now();
        while connection.is_usable(Duration::ZERO, permit()) {
            assert!(started.elapsed() < TIMEOUT);
            std::thread::yield_now();
        }
    }
    (result, in_time)
}

fn check(case: &Case, sent: usize, ending: Ending, (result, in_time): (ExchangeResult<Vec<u8>>, bool)) {
    let name = format!("{}, {ending:?} after {sent} bytes", case.name);
    let expected = expected(case, sent, ending);
    assert_eq!(result.outcome, expected.outcome, "{name}");
    assert_eq!(result.reusable, expected.reusable, "{name}");
    assert_eq!(
        (result.response_report.primary, result.response_report.position),
        (expected.primary, expected.position),
        "{name}"
    );
    assert_eq!(result.load_report.position, expected.load_report_position, "{name}");
    let served = result.outcome == Outcome::Ok && !case.probe;
    assert_eq!(result.response, served.then(|| row("value").concat()), "{name}");
    // Later reads of the session must observe its write, even if the report of its position is lost.
    assert_eq!(result.commit.is_some(), served && result.response_report.position.is_none(), "{name}");
    let late = matches!(result.outcome, Outcome::TimedOut);
    assert_eq!(in_time, !late, "{name}");
}

#[test]
fn truncated_response_outcome_follows_from_its_complete_messages() {
    for case in cases() {
        let all = case.messages.concat().len();
        for ending in [Ending::Fin, Ending::Reset] {
            for sent in 0..=all {
                check(&case, sent, ending, receive(&case, sent, ending, Instant::now() + TIMEOUT));
            }
        }
    }
    assert_eq!(ENDINGS.len(), 3, "stalled responses are tested separately");
}

#[test]
fn stalled_response_outcome_follows_from_complete_messages_before_the_deadline() {
    let mut truncated_cases = Vec::new();
    for case in cases().into_iter().filter(|c| !c.probe) {
        truncated_cases.extend((0..=case.messages.concat().len()).map(|sent| (case.clone(), sent)));
    }
    for batch in truncated_cases.chunks(96) {
        std::thread::scope(|s| {
            for (case, sent) in batch {
                s.spawn(move || {
                    let deadline = Instant::now() + Duration::from_secs(1);
                    check(case, *sent, Ending::Stall, receive(case, *sent, Ending::Stall, deadline));
                });
            }
        });
    }
}

#[test]
fn stalled_probe_times_out_but_its_complete_report_is_used() {
    let case = cases().into_iter().find(|c| c.probe).unwrap();
    let bytes = case.messages.concat();
    let mut limits = limits();
    limits.health_check_timeout = Duration::from_millis(500);
    std::thread::scope(|s| {
        for sent in 0..=bytes.len() {
            let (case, limits, bytes) = (&case, &limits, bytes[..sent].to_vec());
            s.spawn(move || {
                let mut connection = connect(limits, move |socket| {
                    read_message(socket);
                    write_and_end(socket, &bytes, Ending::Stall);
                });
                let result = probe(&mut connection).unwrap();
                let expected = expected(case, sent, Ending::Stall);
                assert_eq!(
                    (result.outcome, result.reusable),
                    (expected.outcome, expected.reusable),
                    "{sent} bytes"
                );
                assert_eq!(result.load_report.position, expected.load_report_position, "{sent} bytes");
            });
        }
    });
}

/// Reads a response on a connection that the instance leaves open.
fn read_response(bytes: Vec<u8>) -> ExchangeResult<Vec<u8>> {
    let mut connection = connect(&limits(), move |socket| {
        read_message(socket);
        write_and_end(socket, &bytes, Ending::Stall);
    });
    let deadline = Instant::now() + TIMEOUT;
    let result = attempt(&mut connection, deadline).unwrap();
    assert!(Instant::now() < deadline, "reading did not stop at a malformed message");
    result
}

#[test]
fn malformed_response_is_an_error_of_a_possibly_executed_statement() {
    let [columns, value, end] = row("value");
    let long = message(b'N', &[b'x'; 12 * 1024]);
    for (name, messages) in [
        ("an error after a row description", vec![columns.clone(), error("ERROR", "53300"), ready()]),
        ("an error after the value", vec![columns.clone(), value.clone(), error("ERROR", "25006"), ready()]),
        ("an error, then a row", [vec![error("ERROR", "53300")], row("value").to_vec()].concat()),
        ("a fatal error, then a row", [vec![error("FATAL", "57P03")], row("value").to_vec()].concat()),
        (
            "a rejection and `ReadyForQuery`, then a row",
            vec![[error("ERROR", "53300"), ready(), columns.clone()].concat()],
        ),
        ("two errors", vec![error("ERROR", "53300"), error("ERROR", "53300"), ready()]),
        ("a rejection in a transaction", vec![error("ERROR", "53300"), message(b'Z', b"T")]),
        ("a rejection and a malformed parameter", vec![error("ERROR", "72000"), message(b'S', b"mode")]),
        (
            "a rejection and a length out of range",
            vec![error("ERROR", "72000"), b"S\xff\xff\xff\xff".to_vec()],
        ),
        ("an error without a code", vec![message(b'E', b"SERROR\0Mno\0\0"), ready()]),
        ("an incomplete error", vec![message(b'E', b"SERROR\0C53300\0"), ready()]),
        ("nothing", vec![ready()]),
        ("the response to an empty query", vec![message(b'I', b""), ready()]),
        ("a row description without a row", vec![columns.clone(), end.clone(), ready()]),
        ("two values", vec![columns.clone(), value.clone(), value.clone(), end.clone(), ready()]),
        ("no row description", vec![value.clone(), end.clone(), ready()]),
        ("no `CommandComplete`", vec![columns.clone(), value.clone(), ready()]),
        (
            "a `CommandComplete` without a tag",
            vec![columns.clone(), value.clone(), message(b'C', b"\0"), ready()],
        ),
        ("a length of 0", vec![b"T\0\0\0\0".to_vec()]),
        ("a length of 2 GiB", vec![columns.clone(), b"D\x7f\xff\xff\xff".to_vec()]),
        ("a value above the limit", vec![columns.clone(), message(b'D', &[1; 65 * 1024])]),
        ("endless notices", [vec![columns.clone()], vec![long.clone(); 8]].concat()),
        ("endless parameters", vec![message(b'S', b"application_name\0x\0"); 6000]),
    ] {
        let all = [&parameters()[..], &messages].concat();
        let result = read_response(all.concat());
        assert_eq!(result.outcome, Outcome::Error, "{name}");
        assert!(result.response.is_none() && !result.reusable, "{name}");
        // Parameters before the malformed message are not used either.
        assert_eq!((result.response_report.primary, result.response_report.position), (None, None), "{name}");
        assert_eq!(result.load_report.position, None, "{name}");
    }
}

#[test]
fn complete_row_is_served_but_malformed_rest_discards_parameters_and_connection() {
    let complete = [&row("value")[..], &parameters()].concat().concat();
    for (name, following) in [
        ("another response", [ready(), row("other").concat(), ready()].concat()),
        ("an incomplete message", [ready(), b"E\0\0".to_vec()].concat()),
        ("a row", row("other").concat()),
        ("an error", error("ERROR", "53300")),
        ("a malformed parameter", message(b'S', b"mode\0read-only")),
        ("a length out of range", b"S\xff\xff\xff\xff".to_vec()),
        ("a `ReadyForQuery` within a transaction", message(b'Z', b"T")),
        ("endless notices", vec![message(b'N', &[b'x'; 12 * 1024]); 8].concat()),
    ] {
        let result = read_response([complete.clone(), following].concat());
        assert_eq!(result.outcome, Outcome::Ok, "{name}");
        assert_eq!(result.response, Some(row("value").concat()), "{name}");
        assert!(!result.reusable, "{name}");
        assert_eq!((result.response_report.primary, result.response_report.position), (None, None), "{name}");
        assert!(result.commit.is_some(), "{name}: the session must observe its write");
    }
}

#[test]
fn endless_notice_times_out_at_the_deadline() {
    // The instance sends a byte every few milliseconds, of a message that never ends.
    let mut connection = connect(&limits(), move |socket| {
        read_message(socket);
        let mut to = socket;
        _ = to.write_all(&[b"N\0\0\x20\0".to_vec(), vec![b'x'; 64]].concat());
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        // The read timeout sets the interval between the bytes. The loop ends when the router closes the
        // connection.
        while to.read(&mut [0]).is_err_and(|e| matches!(e.kind(), std::io::ErrorKind::WouldBlock))
            && to.write_all(b"x").is_ok()
        {}
    });
    let deadline = Instant::now() + Duration::from_millis(300);
    let result = attempt(&mut connection, deadline).unwrap();
    assert_eq!(result.outcome, Outcome::TimedOut);
    assert!(Instant::now() >= deadline && !result.reusable);
}
