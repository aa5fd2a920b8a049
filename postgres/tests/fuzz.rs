//! Feeds random bytes, and random mutations of well-formed ones, to all parsers: nothing panics, malformed
//! input is never taken for a response or a statement, and memory stays bounded.
use client_listener::memory::MemoryPool;
use postgres::buffer::{MessageBuffer, ReadError};
use postgres::decode::{error_fields, parameter_status};
use postgres::response::{MAX_OVERHEAD_BYTES, ResponseEnd, ResponseKind, ResponseParser};
use postgres::statement::Statement;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::RngSeed;
use routing::protocol::ExchangeResult;
use routing::{Outcome, Time};
use std::io::Read;

const MAX_VALUE_BYTES: usize = 2048;
const POOL_BYTES: usize = 1 << 20;
const NOW: Time = Time(1_800_000_000_000_000);

/// A connection that returns its bytes in reads of the given sizes, and then ends.
struct ChunkedSource<'a> {
    bytes: &'a [u8],
    /// The sizes are used cyclically; if there are none, a read returns all it can.
    read_sizes: &'a [usize],
    read_count: usize,
    end: ResponseEnd,
}

impl Read for &mut ChunkedSource<'_> {
    fn read(&mut self, to: &mut [u8]) -> std::io::Result<usize> {
        let size = self.read_sizes.get(self.read_count % self.read_sizes.len().max(1));
        let size = size.copied().unwrap_or(usize::MAX);
        self.read_count += 1;
        let n = size.max(1).min(to.len()).min(self.bytes.len());
        if n == 0 {
            return match self.end {
                ResponseEnd::TimedOut => Err(std::io::ErrorKind::WouldBlock.into()),
                _ => Ok(0),
            };
        }
        to[..n].copy_from_slice(&self.bytes[..n]);
        self.bytes = &self.bytes[n..];
        Ok(n)
    }
}

/// A response, read in the same way as by a connection to an instance.
struct ParsedResponse {
    result: ExchangeResult<Vec<u8>>,
    /// Maximum size of the buffer, in bytes.
    peak_buffer_bytes: usize,
    /// Number of bytes that were read until the end of the response.
    read_bytes: usize,
}

fn read_response(bytes: &[u8], read_sizes: &[usize], end: ResponseEnd) -> ParsedResponse {
    let mut buffer = MessageBuffer::new(MAX_VALUE_BYTES + MAX_OVERHEAD_BYTES);
    let mut parser = ResponseParser::new(ResponseKind::Statement, MAX_VALUE_BYTES);
    let mut source = ChunkedSource { bytes, read_sizes, read_count: 0, end };
    let mut peak_buffer_bytes = 0;
    let end = loop {
        let frame = match buffer.read_message(&mut source) {
            Ok(Some(frame)) => frame,
            Ok(None) => break ResponseEnd::Closed,
            Err(ReadError::Protocol(_)) => break ResponseEnd::Malformed,
            Err(ReadError::Io(e)) if e.kind() == std::io::ErrorKind::WouldBlock => {
                break ResponseEnd::TimedOut;
            }
            Err(ReadError::Io(_)) => break ResponseEnd::Closed,
        };
        peak_buffer_bytes = peak_buffer_bytes.max(buffer.allocated_bytes());
        if let Some(end) = parser.push_message(buffer.get(frame.range), NOW) {
            break end;
        }
    };
    ParsedResponse {
        result: parser.finish(end, buffer.read_ahead(), NOW),
        peak_buffer_bytes: peak_buffer_bytes.max(buffer.allocated_bytes()),
        read_bytes: bytes.len() - source.bytes.len(),
    }
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Error codes that lead to each possible outcome.
const ERROR_CODES: [&str; 6] = ["53300", "57P03", "25006", "72000", "XX000", "57P01"];

/// Generates a message that an instance might send, which may be malformed or out of order.
fn any_message() -> impl Strategy<Value = Vec<u8>> {
    let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
    let value = |v: Vec<u8>| {
        let cell = [&[0, 1][..], &(v.len() as u32).to_be_bytes(), &v].concat();
        message(b'D', &cell)
    };
    let failed = (select(&["ERROR", "FATAL"][..]), select(&ERROR_CODES[..]))
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

/// Generates a well-formed response: a row or an error, parameters, and `ReadyForQuery`.
fn well_formed_response() -> impl Strategy<Value = Vec<u8>> {
    (vec(any::<u8>(), 0..200), any::<bool>(), select(&["53300", "57P03", "25006", "XX000"][..])).prop_map(
        |(value, fails, code)| {
            let cell = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), &value].concat();
            let column = [&[0, 1][..], b"body\0", &[0; 18]].concat();
            let served = [message(b'T', &column), message(b'D', &cell), message(b'C', b"SELECT 1\0")];
            let failed = message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes());
            let parameters =
                [message(b'S', b"mode\0read-only\0"), message(b'S', b"wal_time\x001000000000250\0")];
            let response = if fails { failed } else { served.concat() };
            [response, parameters.concat(), message(b'Z', b"I")].concat()
        },
    )
}

#[derive(Clone, Debug)]
enum Mutation {
    Flip(Index, u8),
    Insert(Index, Vec<u8>),
    Remove(Index, usize),
    Repeat(Index, usize),
    Truncate(Index),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    prop_oneof![
        (any::<Index>(), any::<u8>()).prop_map(|(at, by)| Mutation::Flip(at, by)),
        (any::<Index>(), vec(any::<u8>(), 1..9)).prop_map(|(at, b)| Mutation::Insert(at, b)),
        (any::<Index>(), 1..9_usize).prop_map(|(at, n)| Mutation::Remove(at, n)),
        (any::<Index>(), 1..40_usize).prop_map(|(at, n)| Mutation::Repeat(at, n)),
        any::<Index>().prop_map(Mutation::Truncate),
    ]
}

fn mutate(mut bytes: Vec<u8>, mutations: &[Mutation]) -> Vec<u8> {
    for c in mutations {
        let at = |i: &Index| i.index(bytes.len() + 1);
        match c {
            Mutation::Flip(i, by) => {
                let at = at(i);
                bytes.iter_mut().skip(at).take(1).for_each(|b| *b ^= by);
            }
            Mutation::Insert(i, more) => {
                let at = at(i);
                bytes.splice(at..at, more.iter().copied());
            }
            Mutation::Remove(i, n) => {
                let at = at(i);
                bytes.drain(at..(at + n).min(bytes.len()));
            }
            Mutation::Repeat(i, n) => {
                let at = at(i);
                let part = bytes[at..(at + n).min(bytes.len())].to_vec();
                bytes.splice(at..at, part);
            }
            Mutation::Truncate(i) => {
                let at = at(i);
                bytes.truncate(at);
            }
        }
    }
    bytes
}

/// Splits bytes into complete messages and the rest, independently of the code under test.
fn split_messages(mut bytes: &[u8]) -> (Vec<&[u8]>, &[u8]) {
    let mut all = Vec::new();
    while let Some(header) = bytes.get(..5) {
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
        let Some(complete) = (length >= 4).then(|| bytes.get(..length + 1)).flatten() else { break };
        all.push(complete);
        bytes = &bytes[complete.len()..];
    }
    (all, bytes)
}

/// Checks the invariants that hold for a response of any bytes.
fn check_invariants(bytes: &[u8], read_sizes: &[usize], end: ResponseEnd) -> Result<(), TestCaseError> {
    let ParsedResponse { result, peak_buffer_bytes, read_bytes } = read_response(bytes, read_sizes, end);
    prop_assert!(
        peak_buffer_bytes <= MAX_VALUE_BYTES + MAX_OVERHEAD_BYTES + 2048,
        "the buffer grew to {peak_buffer_bytes} bytes"
    );
    // Bytes that arrive after the end of a response are detected when the connection is checked before its
    // next use.
    let (messages, rest) = split_messages(&bytes[..read_bytes]);
    let ordered: Vec<&&[u8]> = messages.iter().filter(|m| !matches!(m[0], b'S' | b'N')).collect();
    let tags: Vec<u8> = ordered.iter().map(|m| m[0]).collect();
    if result.outcome == Outcome::Ok {
        prop_assert!(tags.starts_with(b"TDC"), "{tags:?}");
        let text: Vec<u8> = ordered[..3].iter().flat_map(|m| m.iter().copied()).collect();
        prop_assert_eq!(result.response.as_deref(), Some(&text[..]), "unreceived bytes were forwarded");
        let value = &ordered[1][5..];
        let length = u32::from_be_bytes([value[2], value[3], value[4], value[5]]) as usize;
        prop_assert!(value[..2] == [0, 1] && length == value.len() - 6, "the value is not complete");
    } else {
        prop_assert!(result.response.is_none() && result.commit.is_none());
    }
    if result.outcome.never_ran() {
        let codes: &[&str] =
            if result.outcome == Outcome::Rejected { &["53300", "57P03"] } else { &["25006", "72000"] };
        let code = error_fields(&ordered[0][5..]).map(|e| e.code).unwrap_or_default();
        prop_assert!(tags[0] == b'E' && codes.contains(&code), "{tags:?} {code}");
        // Only parameters, notices and `ReadyForQuery` follow the error.
        prop_assert!(tags[1..].is_empty() || tags[1..] == *b"Z", "{tags:?}");
        prop_assert!(rest.is_empty() || tags.len() == 1 && matches!(rest[0], b'S' | b'N' | b'Z'), "{rest:?}");
    }
    if result.reusable {
        prop_assert!(tags == b"TDCZ" || tags == b"EZ", "{tags:?}");
        prop_assert_eq!(&messages.last().unwrap()[5..], b"I");
        prop_assert!(rest.is_empty());
    }
    let reported =
        (result.response_report.primary, result.response_report.position, result.load_report.position);
    if reported != (None, None, None) {
        let parameters = messages.iter().filter(|m| m[0] == b'S');
        prop_assert!(
            parameters.clone().all(|m| parameter_status(&m[5..]).is_some()),
            "a parameter is malformed"
        );
        prop_assert!(parameters.count() > 0);
    }
    Ok(())
}

fn connection_end() -> impl Strategy<Value = ResponseEnd> {
    select(&[ResponseEnd::Closed, ResponseEnd::TimedOut][..])
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(31), ..ProptestConfig::default()
    })]

    #[test]
    fn random_bytes_are_never_served(
        bytes in vec(any::<u8>(), 0..300), read_sizes in vec(1..40_usize, 1..8), end in connection_end()
    ) {
        check_invariants(&bytes, &read_sizes, end)?;
    }

    #[test]
    fn messages_in_any_order_are_served_only_as_a_complete_row(
        all in vec(any_message(), 0..9), truncated_at in any::<Index>(),
        read_sizes in vec(1..40_usize, 1..8), end in connection_end(),
    ) {
        let bytes = all.concat();
        check_invariants(&bytes, &read_sizes, end)?;
        check_invariants(&bytes[..truncated_at.index(bytes.len() + 1)], &read_sizes, end)?;
    }

    #[test]
    fn mutated_responses_are_served_only_as_a_complete_row(
        response in well_formed_response(), mutations in vec(mutation(), 0..4),
        read_sizes in vec(1..40_usize, 1..8), end in connection_end(),
    ) {
        check_invariants(&mutate(response, &mutations), &read_sizes, end)?;
    }

    #[test]
    fn read_sizes_do_not_change_the_response(
        all in vec(any_message(), 0..9), read_sizes in vec(1..40_usize, 1..8), end in connection_end(),
    ) {
        let bytes = all.concat();
        let at_once = read_response(&bytes, &[], end).result;
        let chunked = read_response(&bytes, &read_sizes, end).result;
        prop_assert_eq!(at_once.response, chunked.response);
        // A second response that arrives after the first is detected only when the connection is checked
        // before its next use.
        prop_assert!(at_once.outcome == chunked.outcome || chunked.reusable);
    }

    #[test]
    fn buffer_returns_the_same_messages_for_any_read_sizes(
        all in vec((any::<u8>(), vec(any::<u8>(), 0..3000)), 0..6), read_sizes in vec(1..5000_usize, 1..9),
    ) {
        let pool = MemoryPool::new(POOL_BYTES);
        let bytes: Vec<u8> = all.iter().flat_map(|(tag, body)| message(*tag, body)).collect();
        {
            let mut buffer = MessageBuffer::pooled(4096, &pool);
            let mut source = ChunkedSource {
                bytes: &bytes, read_sizes: &read_sizes, read_count: 0, end: ResponseEnd::Closed,
            };
            for (tag, body) in &all {
                let frame = buffer.read_message(&mut source).unwrap().unwrap();
                prop_assert_eq!(frame.tag, *tag);
                prop_assert_eq!(buffer.get(frame.body()), &body[..]);
            }
            prop_assert!(buffer.read_message(&mut source).unwrap().is_none() && buffer.is_empty());
        }
        prop_assert_eq!(pool.available_bytes(), POOL_BYTES as isize, "memory was not returned to the pool");
    }

    #[test]
    fn buffer_memory_stays_bounded_for_random_bytes(
        bytes in vec(any::<u8>(), 0..6000), read_sizes in vec(1..5000_usize, 1..9), startup in any::<bool>(),
    ) {
        let pool = MemoryPool::new(POOL_BYTES);
        let mut buffer = MessageBuffer::pooled(4096, &pool);
        let mut source = ChunkedSource {
                bytes: &bytes, read_sizes: &read_sizes, read_count: 0, end: ResponseEnd::Closed,
            };
        if startup {
            _ = buffer.read_startup(&mut source);
        }
        while matches!(buffer.read_message(&mut source), Ok(Some(_))) {}
        prop_assert!(buffer.allocated_bytes() <= 16 * 1024, "{}", buffer.allocated_bytes());
    }

    #[test]
    fn statement_parser_never_panics_and_fields_are_parts_of_the_message(
        mutations in vec(mutation(), 0..5), random in vec(any::<u8>(), 0..80), digits in 0..100_000_u32,
    ) {
        const WELL_FORMED: &[u8] =
            b"SELECT body FROM objects WHERE oid = 'k1' /* id=a1,c=read,d=480,cluster=3,after=17 */\0";
        _ = Statement::parse(&random);
        let message = mutate(message(b'Q', WELL_FORMED), &mutations);
        if let Ok(s) = Statement::parse(&message) {
            prop_assert!((1..=64).contains(&s.id().len()));
            prop_assert!(message.windows(s.class().len().max(1)).any(|w| w.starts_with(s.class())));
            prop_assert!(s.key().is_none_or(|k| !k.contains(&b'\'')));
            let digits = digits.to_string();
            let (header, [before, after]) = s.with_wait(&digits);
            let sent = [&header[..], before, digits.as_bytes(), after].concat();
            let length = u32::from_be_bytes([sent[1], sent[2], sent[3], sent[4]]) as usize;
            prop_assert_eq!(length + 1, sent.len());
            let reparsed = Statement::parse(&sent).unwrap();
            prop_assert_eq!(reparsed.wait_ms.to_string(), digits);
            prop_assert_eq!((reparsed.id(), reparsed.class(), reparsed.key()), (s.id(), s.class(), s.key()));
        }
    }
}

#[test]
fn length_field_alone_reserves_no_memory() {
    let pool = MemoryPool::new(POOL_BYTES);
    let mut buffer = MessageBuffer::pooled(160 * 1024, &pool);
    let bytes = b"Q\0\x02\0\0begun";
    let mut source = ChunkedSource { bytes, read_sizes: &[], read_count: 0, end: ResponseEnd::TimedOut };
    assert!(buffer.read_message(&mut source).is_err());
    assert!(buffer.allocated_bytes() <= 2048, "{}", buffer.allocated_bytes());
    assert_eq!(buffer.read_ahead(), bytes);
    assert_eq!(pool.available_bytes(), POOL_BYTES as isize);
}
