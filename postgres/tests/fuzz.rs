//! Random bytes, and random changes of good ones, into all that reads them: nothing panics, nothing is taken for more
//! than it is, and what is held stays bounded.
use postgres::answer::{BESIDE, End, Parser};
use postgres::message::{Buffer, Pool, error, parameter};
use postgres::statement::Statement;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::RngSeed;
use routing::protocol::ExchangeResult;
use routing::{Outcome, Time};
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicIsize, Ordering};

const VALUE: usize = 2048;
const NOW: Time = Time(1_800_000_000_000_000);

/// Bytes that come in pieces, and then an end.
struct Pieces<'a> {
    bytes: &'a [u8],
    pieces: &'a [usize],
    next: usize,
    end: End,
}

impl Read for &mut Pieces<'_> {
    fn read(&mut self, to: &mut [u8]) -> std::io::Result<usize> {
        let piece = self.pieces.get(self.next % self.pieces.len().max(1)).copied().unwrap_or(usize::MAX);
        self.next += 1;
        let n = piece.max(1).min(to.len()).min(self.bytes.len());
        if n == 0 {
            return match self.end {
                End::Silent => Err(std::io::ErrorKind::WouldBlock.into()),
                _ => Ok(0),
            };
        }
        to[..n].copy_from_slice(&self.bytes[..n]);
        self.bytes = &self.bytes[n..];
        Ok(n)
    }
}

/// Reads an answer as a link does, and says how many bytes it held at most and how many had come by its end.
fn read(bytes: &[u8], pieces: &[usize], end: End) -> (ExchangeResult<Vec<u8>>, usize, usize) {
    let (mut buffer, mut parser) = (Buffer::new(VALUE + BESIDE), Parser::new(false, VALUE));
    let mut from = Pieces { bytes, pieces, next: 0, end };
    let mut held = 0;
    let end = loop {
        let frame = match buffer.next(&mut from) {
            Ok(Some(f)) => f,
            Ok(None) => break End::Closed,
            Err(e) => match e.kind() {
                std::io::ErrorKind::WouldBlock => break End::Silent,
                std::io::ErrorKind::InvalidData => break End::Spoilt,
                _ => break End::Closed,
            },
        };
        held = held.max(buffer.held());
        if let Some(end) = parser.take(buffer.get(frame.whole), NOW) {
            break end;
        }
    };
    (parser.end(end, buffer.ahead(), NOW), held.max(buffer.held()), bytes.len() - from.bytes.len())
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// A message as one might come, in or out of its place.
fn any_message() -> impl Strategy<Value = Vec<u8>> {
    let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
    let value = |v: Vec<u8>| {
        let cell = [&[0, 1][..], &(v.len() as u32).to_be_bytes(), &v].concat();
        message(b'D', &cell)
    };
    const CODES: [&str; 6] = ["53300", "57P03", "25006", "72000", "XX000", "57P01"];
    let failed = (select(&["ERROR", "FATAL"][..]), select(&CODES[..]))
        .prop_map(|(severity, code)| message(b'E', format!("S{severity}\0C{code}\0Mno\0\0").as_bytes()));
    prop_oneof![
        4 => Just(message(b'T', &column)),
        4 => vec(any::<u8>(), 0..40).prop_map(value),
        4 => Just(message(b'C', b"SELECT 1\0")),
        4 => Just(message(b'Z', b"I")),
        3 => failed,
        1 => Just(message(b'S', b"mode\0read-write\0")),
        1 => Just(message(b'S', b"wal_time\x001000000000250\0")),
        1 => Just(message(b'S', b"stats\0x0=1000000000.5,x1=0\0")),
        1 => Just(message(b'N', b"SNOTICE\0\0")),
        1 => Just(message(b'I', b"")),
        1 => vec(any::<u8>(), 0..20).prop_map(|b| message(b'S', &b)),
        1 => vec(any::<u8>(), 0..20),
    ]
}

/// A good answer: a row or an error among notes, and its end.
fn good() -> impl Strategy<Value = Vec<u8>> {
    (vec(any::<u8>(), 0..200), any::<bool>(), select(&["53300", "57P03", "25006", "XX000"][..])).prop_map(
        |(value, fails, code)| {
            let cell = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), &value].concat();
            let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
            let served = [message(b'T', &column), message(b'D', &cell), message(b'C', b"SELECT 1\0")];
            let failed = message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes());
            let notes = [message(b'S', b"mode\0read-only\0"), message(b'S', b"wal_time\x001000000000250\0")];
            let answer = if fails { failed } else { served.concat() };
            [answer, notes.concat(), message(b'Z', b"I")].concat()
        },
    )
}

#[derive(Clone, Debug)]
enum Change {
    Flip(Index, u8),
    Insert(Index, Vec<u8>),
    Remove(Index, usize),
    Repeat(Index, usize),
    Cut(Index),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (any::<Index>(), any::<u8>()).prop_map(|(at, by)| Change::Flip(at, by)),
        (any::<Index>(), vec(any::<u8>(), 1..9)).prop_map(|(at, b)| Change::Insert(at, b)),
        (any::<Index>(), 1..9_usize).prop_map(|(at, n)| Change::Remove(at, n)),
        (any::<Index>(), 1..40_usize).prop_map(|(at, n)| Change::Repeat(at, n)),
        any::<Index>().prop_map(Change::Cut),
    ]
}

fn changed(mut bytes: Vec<u8>, changes: &[Change]) -> Vec<u8> {
    for c in changes {
        let at = |i: &Index| i.index(bytes.len() + 1);
        match c {
            Change::Flip(i, by) => {
                let at = at(i);
                bytes.iter_mut().skip(at).take(1).for_each(|b| *b ^= by);
            }
            Change::Insert(i, more) => {
                let at = at(i);
                bytes.splice(at..at, more.iter().copied());
            }
            Change::Remove(i, n) => {
                let at = at(i);
                bytes.drain(at..(at + n).min(bytes.len()));
            }
            Change::Repeat(i, n) => {
                let at = at(i);
                let part = bytes[at..(at + n).min(bytes.len())].to_vec();
                bytes.splice(at..at, part);
            }
            Change::Cut(i) => {
                let at = at(i);
                bytes.truncate(at);
            }
        }
    }
    bytes
}

/// The whole messages of these bytes, by a reading of their own, and what is left.
fn split(mut bytes: &[u8]) -> (Vec<&[u8]>, &[u8]) {
    let mut all = Vec::new();
    while let Some(head) = bytes.get(..5) {
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let Some(whole) = (length >= 4).then(|| bytes.get(..length + 1)).flatten() else { break };
        all.push(whole);
        bytes = &bytes[whole.len()..];
    }
    (all, bytes)
}

/// What must hold of any reading of any bytes.
fn check(bytes: &[u8], pieces: &[usize], end: End) -> Result<(), TestCaseError> {
    let (reply, held, come) = read(bytes, pieces, end);
    prop_assert!(held <= VALUE + BESIDE + 2048, "{held} bytes held");
    // What comes later than the end of an answer is found when the link is looked at again.
    let (messages, rest) = split(&bytes[..come]);
    let notable: Vec<&&[u8]> = messages.iter().filter(|m| !matches!(m[0], b'S' | b'N')).collect();
    let tags: Vec<u8> = notable.iter().map(|m| m[0]).collect();
    if reply.outcome == Outcome::Ok {
        prop_assert!(tags.starts_with(b"TDC"), "{tags:?}");
        let text: Vec<u8> = notable[..3].iter().flat_map(|m| m.iter().copied()).collect();
        prop_assert_eq!(reply.response.as_deref(), Some(&text[..]), "only what came is passed on");
        let value = &notable[1][5..];
        let length = u32::from_be_bytes([value[2], value[3], value[4], value[5]]) as usize;
        prop_assert!(value[..2] == [0, 1] && length == value.len() - 6, "one whole value");
    } else {
        prop_assert!(reply.response.is_none() && reply.commit.is_none());
    }
    if reply.outcome.never_ran() {
        let codes: &[&str] =
            if reply.outcome == Outcome::Rejected { &["53300", "57P03"] } else { &["25006", "72000"] };
        let code = error(&notable[0][5..]).map(|e| e.code).unwrap_or_default();
        prop_assert!(tags[0] == b'E' && codes.contains(&code), "{tags:?} {code}");
        // Nothing but its notes and its end comes behind it.
        prop_assert!(tags[1..].is_empty() || tags[1..] == *b"Z", "{tags:?}");
        prop_assert!(rest.is_empty() || tags.len() == 1 && matches!(rest[0], b'S' | b'N' | b'Z'), "{rest:?}");
    }
    if reply.reusable {
        prop_assert!(tags == b"TDCZ" || tags == b"EZ", "{tags:?}");
        prop_assert_eq!(&messages.last().unwrap()[5..], b"I");
        prop_assert!(rest.is_empty());
    }
    let told = (reply.response_report.primary, reply.response_report.position, reply.load_report.position);
    if told != (None, None, None) {
        let notes = messages.iter().filter(|m| m[0] == b'S');
        prop_assert!(notes.clone().all(|m| parameter(&m[5..]).is_some()), "one is spoilt");
        prop_assert!(notes.count() > 0);
    }
    Ok(())
}

fn ends() -> impl Strategy<Value = End> {
    select(&[End::Closed, End::Silent][..])
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(31), ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_serve_nobody(bytes in vec(any::<u8>(), 0..300), pieces in vec(1..40_usize, 1..8), end in ends()) {
        check(&bytes, &pieces, end)?;
    }

    #[test]
    fn messages_in_any_order_serve_only_as_a_whole_row(
        all in vec(any_message(), 0..9), cut in any::<Index>(), pieces in vec(1..40_usize, 1..8), end in ends(),
    ) {
        let bytes = all.concat();
        check(&bytes, &pieces, end)?;
        check(&bytes[..cut.index(bytes.len() + 1)], &pieces, end)?;
    }

    #[test]
    fn changed_answers_serve_only_as_a_whole_row(
        good in good(), changes in vec(change(), 0..4), pieces in vec(1..40_usize, 1..8), end in ends(),
    ) {
        check(&changed(good, &changes), &pieces, end)?;
    }

    #[test]
    fn pieces_change_nothing_of_an_answer(
        all in vec(any_message(), 0..9), pieces in vec(1..40_usize, 1..8), end in ends(),
    ) {
        let bytes = all.concat();
        let (whole, ..) = read(&bytes, &[], end);
        let (pieced, ..) = read(&bytes, &pieces, end);
        prop_assert_eq!(whole.response, pieced.response);
        // A second answer that comes later than the first is found only when the link is looked at again.
        prop_assert!(whole.outcome == pieced.outcome || pieced.reusable);
    }

    #[test]
    fn a_buffer_gives_the_same_messages_however_they_are_cut(
        all in vec((any::<u8>(), vec(any::<u8>(), 0..3000)), 0..6), pieces in vec(1..5000_usize, 1..9),
    ) {
        let pool = Pool::new(AtomicIsize::new(1 << 20));
        let bytes: Vec<u8> = all.iter().flat_map(|(tag, body)| message(*tag, body)).collect();
        {
            let mut buffer = Buffer::pooled(4096, &pool);
            let mut from = Pieces { bytes: &bytes, pieces: &pieces, next: 0, end: End::Closed };
            for (tag, body) in &all {
                let frame = buffer.next(&mut from).unwrap().unwrap();
                prop_assert_eq!(frame.tag, *tag);
                prop_assert_eq!(buffer.get(frame.body()), &body[..]);
            }
            prop_assert!(buffer.next(&mut from).unwrap().is_none() && buffer.is_empty());
        }
        prop_assert_eq!(pool.load(Ordering::Relaxed), 1 << 20, "what it took is given back");
    }

    #[test]
    fn a_buffer_takes_no_more_than_its_bound_whatever_comes(
        bytes in vec(any::<u8>(), 0..6000), pieces in vec(1..5000_usize, 1..9), startup in any::<bool>(),
    ) {
        let pool = Arc::new(AtomicIsize::new(1 << 20));
        let mut buffer = Buffer::pooled(4096, &pool);
        let mut from = Pieces { bytes: &bytes, pieces: &pieces, next: 0, end: End::Closed };
        if startup {
            _ = buffer.startup(&mut from);
        }
        while matches!(buffer.next(&mut from), Ok(Some(_))) {}
        prop_assert!(buffer.held() <= 16 * 1024, "{}", buffer.held());
    }

    #[test]
    fn a_statement_is_read_without_harm_and_names_only_what_it_holds(
        changes in vec(change(), 0..5), random in vec(any::<u8>(), 0..80), digits in 0..100_000_u32,
    ) {
        const GOOD: &[u8] =
            b"SELECT body FROM objects WHERE oid = 'k1' /* id=a1,c=read,d=480,cluster=3,after=17 */\0";
        _ = Statement::parse(&random);
        let message = changed(message(b'Q', GOOD), &changes);
        if let Ok(s) = Statement::parse(&message) {
            prop_assert!((1..=64).contains(&s.id().len()));
            prop_assert!(message.windows(s.class().len().max(1)).any(|w| w.starts_with(s.class())));
            prop_assert!(s.key().is_none_or(|k| !k.contains(&b'\'')));
            let digits = digits.to_string();
            let (head, [before, after]) = s.with_wait(&digits);
            let sent = [&head[..], before, digits.as_bytes(), after].concat();
            let length = u32::from_be_bytes([sent[1], sent[2], sent[3], sent[4]]) as usize;
            prop_assert_eq!(length + 1, sent.len());
            let again = Statement::parse(&sent).unwrap();
            prop_assert_eq!(again.wait_ms.to_string(), digits);
            prop_assert_eq!((again.id(), again.class(), again.key()), (s.id(), s.class(), s.key()));
        }
    }
}

#[test]
fn a_length_alone_reserves_nothing() {
    let pool = Pool::new(AtomicIsize::new(1 << 20));
    let mut buffer = Buffer::pooled(160 * 1024, &pool);
    let bytes = b"Q\0\x02\0\0begun";
    let mut from = Pieces { bytes, pieces: &[], next: 0, end: End::Silent };
    assert!(buffer.next(&mut from).is_err());
    assert!(buffer.held() <= 2048, "{}", buffer.held());
    assert_eq!(buffer.ahead(), bytes);
    assert_eq!(pool.load(Ordering::Relaxed), 1 << 20);
}
