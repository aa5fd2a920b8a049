//! Links to instances: how they open, whether they stand, and what comes on one that rests.
mod common;
use common::{
    CUTS, Cut, LONG, attempt, cut, error, heard, instance, limits, link, message, open, permit, probe, ready,
    row, startup,
};
use postgres::link::Postgres;
use routing::protocol::{BackendProtocol, Connection, NotSent};
use routing::{Clock, Outcome, ServerSocket};
use settings::Limits;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const EMPTY: &[u8] = b"Q\0\0\0\x05\0";
const ECHO: &[u8] = b"I\0\0\0\x04Z\0\0\0\x05I";

/// A link to an instance that answers each query with the next of `answers` and then says nothing any more; what it
/// gets is passed on.
fn answering(answers: &'static [&'static [u8]]) -> (postgres::link::PostgresLink, Receiver<Vec<u8>>) {
    let (to, hears) = channel();
    let mut limits = limits();
    limits.backend_check_timeout = Duration::from_millis(500);
    let link = link(&limits, move |socket| {
        for answer in answers {
            let Some(got) = heard(socket) else { return };
            _ = to.send(got);
            _ = (&*socket).write_all(answer);
        }
        // Whatever comes now is swallowed without a word, as by a network that has forgotten the connection.
        cut(socket, b"", Cut::Silent);
    });
    (link, hears)
}

#[test]
fn a_link_that_has_rested_for_long_is_asked_across_and_one_at_work_is_not() {
    let (mut l, hears) = answering(&[ECHO, ECHO]);
    assert!(l.is_usable(Duration::ZERO, permit()));
    assert!(l.is_usable(Duration::from_secs(5), permit()), "the instance answers across it");
    assert!(l.is_usable(Duration::from_secs(5), permit()), "and may be asked again");
    assert_eq!(hears.try_iter().collect::<Vec<_>>(), [EMPTY, EMPTY], "the fresh one was taken as it is");
}

#[test]
fn a_link_that_was_forgotten_or_answers_something_else_is_not_used() {
    let (mut l, _hears) = answering(&[]);
    assert!(l.is_usable(Duration::ZERO, permit()), "nothing shows that it was forgotten");
    assert!(!l.is_usable(Duration::from_secs(5), permit()));
    let row_behind = Box::leak([ECHO, &row("x").concat()].concat().into_boxed_slice());
    for odd in [
        &b"Z\0\0\0\x05I"[..],
        b"E\0\0\0\x0cC57P01\0\0",
        b"I\0\0\0\x04Z\0\0\0\x05T",
        b"I\0\0\0\x04Z\0\0\0\x05IZ",
        b"I\0\0\0\x04S\0\0\0\x01",
        b"I\xff\xff\xff\xff",
        row_behind,
    ] {
        let (mut l, _hears) = answering(Box::leak(Box::new([odd])));
        assert!(!l.is_usable(Duration::from_secs(5), permit()), "{odd:?}");
    }
}

#[test]
fn the_answer_across_a_resting_link_counts_only_whole_and_is_not_waited_for_without_end() {
    let whole = [message(b'S', b"mode\0read-only\0"), message(b'N', b"SNOTICE\0\0"), ECHO.to_vec()].concat();
    let mut limits = limits();
    limits.backend_check_timeout = Duration::from_secs(1);
    for how in CUTS {
        std::thread::scope(|s| {
            for at in 0..=whole.len() {
                let (limits, bytes, all) = (&limits, whole[..at].to_vec(), whole.len());
                s.spawn(move || {
                    let mut l = link(limits, move |socket| {
                        heard(socket);
                        cut(socket, &bytes, how);
                    });
                    assert_eq!(l.is_usable(LONG, permit()), at == all, "{how:?} after {at} bytes");
                });
            }
        });
    }
}

#[test]
fn notices_without_end_across_a_resting_link_end_with_its_check() {
    let mut limits = limits();
    limits.backend_check_timeout = Duration::from_millis(100);
    let mut l = link(&limits, |socket| {
        heard(socket);
        while (&*socket).write_all(&message(b'N', &[b'x'; 8 * 1024])).is_ok() {}
    });
    assert!(!l.is_usable(LONG, permit()));
}

#[test]
fn links_rest_far_longer_than_the_time_in_which_a_router_of_many_meets_an_instance_again() {
    let (thirty, limit) = (Duration::from_secs(30), Duration::from_secs(10));
    let limits = Limits::new(384, 48 << 20, Duration::from_millis(250), thirty, thirty);
    assert!(limits.backend_idle_timeout > limit && limits.backend_idle_timeout < thirty);
    // An instance that closes early is left early.
    let short = Limits::new(384, 48 << 20, Duration::from_millis(250), Duration::from_secs(2), thirty);
    assert!(
        short.backend_idle_timeout < Duration::from_secs(2)
            && short.max_unchecked_idle_time <= short.backend_idle_timeout
    );
}

#[test]
fn a_refusal_in_either_code_is_one_that_ran_nothing() {
    for (code, outcome) in
        [("53300", Outcome::Rejected), ("57P03", Outcome::Rejected), ("XX000", Outcome::Error)]
    {
        let answer = [error("ERROR", code), ready()].concat();
        let (mut l, _hears) = answering(Box::leak(Box::new([&*answer.leak()])));
        let reply = probe(&mut l).ok().unwrap();
        assert_eq!(reply.outcome, outcome, "{code}");
    }
}

#[test]
fn what_comes_on_a_link_before_its_work_is_written_is_not_taken_for_the_answer() {
    let whole_row = [&row("nobody's")[..], &[ready()]].concat().concat();
    for (name, stray) in [
        ("a refusal", error("ERROR", "53300")),
        ("a refusal and its end", [error("ERROR", "53300"), ready()].concat()),
        ("the end of the session", error("FATAL", "57P01")),
        ("half a line", b"E\0\0".to_vec()),
        ("a whole answer", whole_row),
    ] {
        let (to, hears) = channel();
        let (strike, struck) = channel::<()>();
        let mut l = link(&limits(), move |socket| {
            struck.recv().unwrap();
            (&*socket).write_all(&stray).unwrap();
            // What it reads it carries out.
            to.send(heard(socket)).unwrap();
        });
        // The look at the resting link comes first, the stray message right behind it.
        assert!(l.is_usable(Duration::ZERO, permit()), "{name}");
        strike.send(()).unwrap();
        arrived(&l.socket());
        let until = Instant::now() + LONG;
        assert_eq!(attempt(&mut l, until).err(), Some(NotSent::ConnectionBroken), "{name}");
        drop(l);
        assert_eq!(hears.recv_timeout(LONG), Ok(None), "{name}: nothing was written");
    }
}

/// Waits until something can be read.
fn arrived(socket: &ServerSocket) {
    let begun = Instant::now();
    while socket.is_idle_and_open() {
        assert!(begun.elapsed() < LONG, "nothing arrived");
        std::thread::yield_now();
    }
}

#[test]
fn a_stray_refusal_that_crosses_the_statement_does_not_prove_that_it_never_ran() {
    // As the statement is being read, an error stands before its answer already; and it is carried out.
    for (name, answer, outcome) in [
        ("a row follows", [error("ERROR", "53300"), row("value").concat(), ready()].concat(), Outcome::Error),
        ("nothing follows", error("ERROR", "53300"), Outcome::Error),
        ("half a row follows", [error("FATAL", "53300"), b"T\0\0".to_vec()].concat(), Outcome::Error),
        ("the session ends with it", error("FATAL", "53300"), Outcome::Rejected),
    ] {
        let (mut l, _hears) = answering(Box::leak(Box::new([&*answer.leak()])));
        let until = Instant::now() + LONG;
        let reply = attempt(&mut l, until).ok().unwrap();
        assert_eq!((reply.outcome, reply.reusable), (outcome, false), "{name}");
        assert!(Instant::now() < until, "{name}");
    }
}

/// What opening gives where this greeting is cut so, and how long it took.
fn greeted(limits: &Limits, bytes: Vec<u8>, how: Cut) -> (Option<Outcome>, Duration) {
    let addr = instance(move |socket| {
        startup(&socket);
        cut(&socket, &bytes, how);
    });
    let begun = Instant::now();
    let opened = open(limits, addr);
    (opened.err(), begun.elapsed())
}

#[test]
fn a_greeting_that_is_cut_at_any_byte_opens_no_link_and_a_refusal_counts_whole() {
    let mut limits = limits();
    limits.backend_connect_timeout = Duration::from_millis(800);
    let good = [
        message(b'R', &[0; 4]),
        message(b'S', b"server_version\x0016\0"),
        message(b'K', &[7; 8]),
        message(b'N', b"SNOTICE\0\0"),
    ]
    .concat();
    let whole = [good.clone(), ready()].concat();
    for (name, bytes, told) in [
        ("whole", whole.clone(), None),
        ("too many", error("FATAL", "53300"), Some(Outcome::Rejected)),
        ("starting", error("FATAL", "57P03"), Some(Outcome::Rejected)),
        ("too many, late", [good, error("FATAL", "53300")].concat(), Some(Outcome::Rejected)),
        ("going", error("FATAL", "57P01"), Some(Outcome::ConnectFailed)),
    ] {
        for how in CUTS {
            std::thread::scope(|s| {
                for at in 0..=bytes.len() {
                    let (limits, cut_off) = (&limits, bytes[..at].to_vec());
                    let expected = if at == bytes.len() { told } else { Some(Outcome::ConnectFailed) };
                    s.spawn(move || {
                        let (outcome, _) = greeted(limits, cut_off, how);
                        assert_eq!(outcome, expected, "{name}, {how:?} after {at} bytes");
                    });
                }
            });
        }
    }
    let more = greeted(&limits, [whole.clone(), b"E".to_vec()].concat(), Cut::Silent);
    assert_eq!(more.0, Some(Outcome::ConnectFailed), "what stands behind it would be the first answer");
}

#[test]
fn a_greeting_without_end_or_byte_by_byte_is_given_up_in_the_time_of_a_connection() {
    let mut limits = limits();
    let endless = instance(|socket| {
        startup(&socket);
        while (&socket).write_all(&message(b'S', &[b'x'; 4096])).is_ok() {}
    });
    assert_eq!(open(&limits, endless).err(), Some(Outcome::ConnectFailed), "bounded by its bytes");
    limits.backend_connect_timeout = Duration::from_millis(300);
    let slow = instance(|mut socket| {
        startup(&socket);
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        _ = socket.write_all(b"N\0\0\x30\0");
        // The pace of the flood; it ends with the connection.
        while socket.read(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
            && socket.write_all(b"x").is_ok()
        {}
    });
    let begun = Instant::now();
    assert_eq!(open(&limits, slow).err(), Some(Outcome::ConnectFailed));
    assert!(begun.elapsed() < LONG);
}

/// Whether a connection to this address waits for its first answer.
fn waits_for(addr: SocketAddr) -> bool {
    const SYN_SENT: &str = "02";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{:04X}", addr.port());
    table.lines().any(|l| {
        let mut fields = l.split_ascii_whitespace().skip(2);
        fields.next().is_some_and(|to| to.ends_with(&port)) && fields.next() == Some(SYN_SENT)
    })
}

#[test]
fn a_connection_that_comes_up_late_has_less_time_for_its_greeting() {
    // The system answers no further connection while this one waits to be accepted; the router's comes up with its
    // second try, after a second.
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let addr = listener.local_addr().unwrap().as_socket().unwrap();
    let first = TcpStream::connect(addr).unwrap();
    let mut limits = limits();
    limits.backend_connect_timeout = Duration::from_millis(1600);
    let opening = std::thread::spawn(move || {
        let begun = Instant::now();
        (Postgres::new(Arc::new(limits), Clock::new()).connect(addr, permit()).err(), begun.elapsed())
    });
    let begun = Instant::now();
    while !waits_for(addr) {
        assert!(begun.elapsed() < LONG);
        std::thread::yield_now();
    }
    drop(listener.accept().unwrap());
    drop(first);
    let silent = listener.accept().unwrap().0;
    let (outcome, took) = opening.join().unwrap();
    assert_eq!(outcome, Some(Outcome::ConnectFailed));
    assert!(took >= Duration::from_secs(1), "{took:?}: it came up at once");
    assert!(took < Duration::from_millis(2300), "{took:?} of 1.6 s for both");
    drop(silent);
}

#[test]
fn a_greeting_is_followed_by_work() {
    let (mut l, hears) = answering(Box::leak(Box::new([&*[row("value").concat(), ready()].concat().leak()])));
    let until = Instant::now() + LONG;
    let reply = attempt(&mut l, until).ok().unwrap();
    assert_eq!((reply.outcome, reply.reusable), (Outcome::Ok, true));
    let sent = String::from_utf8(hears.recv_timeout(LONG).unwrap()[5..].to_vec()).unwrap();
    assert!(sent.starts_with("SELECT body") && sent.contains("id=a1,c=read,d="), "{sent}");
}
