//! Answers of instances that are cut at every byte, in every way: what is told of them, and what their link is good for.
mod common;
use common::{CUTS, Cut, LONG, attempt, cut, error, heard, limits, link, message, permit, probe, ready, row};
use routing::protocol::{Connection, ExchangeResult};
use routing::{Outcome, Time};
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// What an instance told in Unix milliseconds and in seconds.
const WAL: Time = Time(1_000_000_000_250_000);
const STATS: Time = Time(1_000_000_000_500_000);

#[derive(Clone)]
struct Case {
    name: String,
    messages: Vec<Vec<u8>>,
    probe: bool,
    /// What the code of its error says, where it is one, and whether that ends the session.
    error: Option<(Outcome, bool)>,
}

fn notes() -> Vec<Vec<u8>> {
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
    let (answer, report) = (row("value"), row("x0=1000000000.5,x1=0,util=0.2"));
    let mut all = vec![
        case("a row", &[&answer, &notes(), end], false, None),
        case("notes first", &[&notes(), &answer, &[message(b'N', b"SNOTICE\0\0")], end], false, None),
        case("a probe", &[&report, end], true, None),
    ];
    for (code, outcome) in [
        ("25006", Outcome::NotEligible),
        ("72000", Outcome::NotEligible),
        ("53300", Outcome::Rejected),
        ("57P03", Outcome::Rejected),
        ("XX000", Outcome::Error),
    ] {
        let told = [error("ERROR", code), message(b'S', b"mode\0read-write\0")];
        all.push(case(code, &[&told, end], false, Some((outcome, false))));
        let fatal = [error("FATAL", code)];
        all.push(case(&format!("fatal {code}"), &[&fatal], false, Some((outcome, true))));
    }
    all
}

/// What has to come of the first `at` bytes of it.
struct Expected {
    outcome: Outcome,
    reusable: bool,
    mode: Option<bool>,
    position: Option<Time>,
    report: Option<Time>,
}

fn expected(case: &Case, at: usize, how: Cut) -> Expected {
    let (mut whole, mut end) = (Vec::new(), 0);
    for m in &case.messages {
        end += m.len();
        if end <= at {
            whole.push(m);
        } else {
            end -= m.len();
            break;
        }
    }
    let has = |tag| whole.iter().any(|m| m[0] == tag);
    let outcome = match (case.error, how) {
        _ if has(b'C') => Outcome::Ok,
        (Some((told, _)), _) if has(b'Z') => told,
        (Some((told, fatal)), Cut::Silent) if has(b'E') => {
            if fatal && at == end {
                told
            } else {
                Outcome::Error
            }
        }
        (Some((told, _)), _) if has(b'E') => told,
        (_, Cut::Silent) => Outcome::TimedOut,
        _ => Outcome::Reset,
    };
    let note = |name: &[u8]| whole.iter().any(|m| m[0] == b'S' && m[5..].starts_with(name));
    let by_probe = case.probe && has(b'D');
    Expected {
        outcome,
        reusable: has(b'Z'),
        mode: note(b"mode").then_some(true),
        position: note(b"wal_time").then_some(WAL),
        report: (note(b"stats") || by_probe).then_some(STATS),
    }
}

/// Plays one cut, and says what came of it and when.
fn play(case: &Case, at: usize, how: Cut, until: Instant) -> (ExchangeResult<Vec<u8>>, bool) {
    let bytes = case.messages.concat()[..at].to_vec();
    let mut link = link(&limits(), move |socket| {
        heard(socket);
        cut(socket, &bytes, how);
    });
    let reply = if case.probe { probe(&mut link) } else { attempt(&mut link, until) }.unwrap();
    let in_time = Instant::now() < until;
    if reply.reusable && how != Cut::Silent {
        // The end that follows is found before the link is used again.
        let begun = Instant::now();
        while link.is_usable(Duration::ZERO, permit()) {
            assert!(begun.elapsed() < LONG);
            std::thread::yield_now();
        }
    }
    (reply, in_time)
}

fn check(case: &Case, at: usize, how: Cut, (reply, in_time): (ExchangeResult<Vec<u8>>, bool)) {
    let told = format!("{}, {how:?} after {at} bytes", case.name);
    let expected = expected(case, at, how);
    assert_eq!(reply.outcome, expected.outcome, "{told}");
    assert_eq!(reply.reusable, expected.reusable, "{told}");
    assert_eq!(
        (reply.response_report.primary, reply.response_report.position),
        (expected.mode, expected.position),
        "{told}"
    );
    assert_eq!(reply.load_report.position, expected.report, "{told}");
    let served = reply.outcome == Outcome::Ok && !case.probe;
    assert_eq!(reply.response, served.then(|| row("value").concat()), "{told}");
    // A write's session must see it, also where its note is lost.
    assert_eq!(reply.commit.is_some(), served && reply.response_report.position.is_none(), "{told}");
    let late = matches!(reply.outcome, Outcome::TimedOut);
    assert_eq!(in_time, !late, "{told}");
}

#[test]
fn an_answer_that_ends_or_breaks_at_any_byte_is_told_for_what_came_whole() {
    for case in cases() {
        let all = case.messages.concat().len();
        for how in [Cut::Fin, Cut::Reset] {
            for at in 0..=all {
                check(&case, at, how, play(&case, at, how, Instant::now() + LONG));
            }
        }
    }
    assert_eq!(CUTS.len(), 3, "silence has a test of its own");
}

#[test]
fn an_answer_that_falls_silent_at_any_byte_is_told_in_time_for_what_came_whole() {
    let mut cuts = Vec::new();
    for case in cases().into_iter().filter(|c| !c.probe) {
        cuts.extend((0..=case.messages.concat().len()).map(|at| (case.clone(), at)));
    }
    for batch in cuts.chunks(96) {
        std::thread::scope(|s| {
            for (case, at) in batch {
                s.spawn(move || {
                    let until = Instant::now() + Duration::from_secs(1);
                    check(case, *at, Cut::Silent, play(case, *at, Cut::Silent, until));
                });
            }
        });
    }
}

#[test]
fn a_probe_that_falls_silent_is_given_up_after_its_time_and_a_whole_report_counts() {
    let case = cases().into_iter().find(|c| c.probe).unwrap();
    let bytes = case.messages.concat();
    let mut short = limits();
    short.health_check_timeout = Duration::from_millis(500);
    std::thread::scope(|s| {
        for at in 0..=bytes.len() {
            let (case, short, bytes) = (&case, &short, bytes[..at].to_vec());
            s.spawn(move || {
                let mut link = link(short, move |socket| {
                    heard(socket);
                    cut(socket, &bytes, Cut::Silent);
                });
                let (reply, expected) = (probe(&mut link).unwrap(), expected(case, at, Cut::Silent));
                assert_eq!((reply.outcome, reply.reusable), (expected.outcome, expected.reusable), "{at}");
                assert_eq!(reply.load_report.position, expected.report, "{at}");
            });
        }
    });
}

/// An answer whose connection stays open, with nobody to end it.
fn answered(bytes: Vec<u8>) -> ExchangeResult<Vec<u8>> {
    let mut link = link(&limits(), move |socket| {
        heard(socket);
        cut(socket, &bytes, Cut::Silent);
    });
    let until = Instant::now() + LONG;
    let reply = attempt(&mut link, until).unwrap();
    assert!(Instant::now() < until, "what can be seen to be spoilt is not waited for");
    reply
}

#[test]
fn what_is_spoilt_is_neither_an_answer_nor_a_proof_that_nothing_ran() {
    let [columns, value, end] = row("value");
    let long = message(b'N', &[b'x'; 12 * 1024]);
    for (name, messages) in [
        ("an error amid a row", vec![columns.clone(), error("ERROR", "53300"), ready()]),
        ("an error behind the value", vec![columns.clone(), value.clone(), error("ERROR", "25006"), ready()]),
        ("an error, then a row", [vec![error("ERROR", "53300")], row("value").to_vec()].concat()),
        ("a fatal error, then a row", [vec![error("FATAL", "57P03")], row("value").to_vec()].concat()),
        (
            "a refusal and its end, then a row",
            vec![[error("ERROR", "53300"), ready(), columns.clone()].concat()],
        ),
        ("two errors", vec![error("ERROR", "53300"), error("ERROR", "53300"), ready()]),
        ("a refusal in a transaction", vec![error("ERROR", "53300"), message(b'Z', b"T")]),
        ("a refusal and a note that is none", vec![error("ERROR", "72000"), message(b'S', b"mode")]),
        ("a refusal and an impossible length", vec![error("ERROR", "72000"), b"S\xff\xff\xff\xff".to_vec()]),
        ("an error without a code", vec![message(b'E', b"SERROR\0Mno\0\0"), ready()]),
        ("an error that is not whole", vec![message(b'E', b"SERROR\0C53300\0"), ready()]),
        ("nothing", vec![ready()]),
        ("an empty query", vec![message(b'I', b""), ready()]),
        ("no row", vec![columns.clone(), end.clone(), ready()]),
        ("two values", vec![columns.clone(), value.clone(), value.clone(), end.clone(), ready()]),
        ("no columns", vec![value.clone(), end.clone(), ready()]),
        ("no end", vec![columns.clone(), value.clone(), ready()]),
        ("an end without a name", vec![columns.clone(), value.clone(), message(b'C', b"\0"), ready()]),
        ("a length of 0", vec![b"T\0\0\0\0".to_vec()]),
        ("a length of 2 GiB", vec![columns.clone(), b"D\x7f\xff\xff\xff".to_vec()]),
        ("a value beyond the limit", vec![columns.clone(), message(b'D', &[1; 65 * 1024])]),
        ("notices without end", [vec![columns.clone()], vec![long.clone(); 8]].concat()),
        ("notes without end", vec![message(b'S', b"application_name\0x\0"); 6000]),
    ] {
        let notes = [&notes()[..], &messages].concat();
        let reply = answered(notes.concat());
        assert_eq!(reply.outcome, Outcome::Error, "{name}");
        assert!(reply.response.is_none() && !reply.reusable, "{name}");
        // Nor are the notes that came before.
        assert_eq!((reply.response_report.primary, reply.response_report.position), (None, None), "{name}");
        assert_eq!(reply.load_report.position, None, "{name}");
    }
}

#[test]
fn a_whole_row_is_served_whatever_comes_behind_it_but_its_notes_and_its_link_are_not_used() {
    let whole = [&row("value")[..], &notes()].concat().concat();
    for (name, behind) in [
        ("another answer", [ready(), row("other").concat(), ready()].concat()),
        ("half a line", [ready(), b"E\0\0".to_vec()].concat()),
        ("a row", row("other").concat()),
        ("an error", error("ERROR", "53300")),
        ("a note that is none", message(b'S', b"mode\0read-only")),
        ("an impossible length", b"S\xff\xff\xff\xff".to_vec()),
        ("a transaction", message(b'Z', b"T")),
        ("notices without end", vec![message(b'N', &[b'x'; 12 * 1024]); 8].concat()),
    ] {
        let reply = answered([whole.clone(), behind].concat());
        assert_eq!(reply.outcome, Outcome::Ok, "{name}");
        assert_eq!(reply.response, Some(row("value").concat()), "{name}");
        assert!(!reply.reusable, "{name}");
        assert_eq!((reply.response_report.primary, reply.response_report.position), (None, None), "{name}");
        assert!(reply.commit.is_some(), "{name}: a session must see its write all the same");
    }
}

#[test]
fn an_answer_that_is_not_ended_beside_its_flood_ends_at_the_time_of_its_request() {
    // A byte now and then, of a message that never ends.
    let mut link = link(&limits(), move |socket| {
        heard(socket);
        let mut to = socket;
        _ = to.write_all(&[b"N\0\0\x20\0".to_vec(), vec![b'x'; 64]].concat());
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        // The pace of the flood; it ends with the connection.
        while to.read(&mut [0]).is_err_and(|e| matches!(e.kind(), std::io::ErrorKind::WouldBlock))
            && to.write_all(b"x").is_ok()
        {}
    });
    let until = Instant::now() + Duration::from_millis(300);
    let reply = attempt(&mut link, until).unwrap();
    assert_eq!(reply.outcome, Outcome::TimedOut);
    assert!(Instant::now() >= until && !reply.reusable);
}
