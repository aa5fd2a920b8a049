//! What discovery and the router exchange: the request, the objects of the answer, and the objects that are refused.
//! The fixtures were written before the code's names and files changed.
use crossbeam_channel::bounded;
use discovery::Watch;
use discovery::endpoint_list::EndpointListParser;
use discovery::json_objects::{ObjectSplitter, StreamItem};
use routing::{
    AttemptGuard, BackendProtocol, Connection, EndpointEntry, EndpointUpdate, Exchange, ExchangeResult,
    GroupId, MemberState, NotSent, Outcome, RouterMessage, Time,
};
use serde_json::Value;
use settings::Limits;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const COMPLETE_LIST: &[u8] = include_bytes!("fixtures/complete_list.json");
const CHANGE: &[u8] = include_bytes!("fixtures/change.json");
const STREAM: &[u8] = include_bytes!("fixtures/stream.txt");
const REQUEST: &str = include_str!("fixtures/request.txt");
const REFUSED: &str = include_str!("fixtures/refused_objects.txt");

fn reader() -> EndpointListParser {
    EndpointListParser::new(vec!["a".into(), "b".into()])
}

fn plain(id: &str, addr: &str, group: u32, zone: u32, state: MemberState) -> EndpointEntry {
    let (id, addr, group) = (id.to_string(), addr.parse().unwrap(), GroupId(group));
    let (site, listed_primary, weight, started_at) = (None, false, 1.0, None);
    EndpointEntry { id, addr, group, zone, site, state, listed_primary, weight, started_at }
}

fn complete_list() -> EndpointUpdate {
    let first = EndpointEntry {
        listed_primary: true,
        weight: 2.5,
        started_at: Some(Time(1_700_000_000_123_500)),
        ..plain("s-1", "10.0.0.1:5432", 3, 1, MemberState::Ready)
    };
    let second = plain("s-2", "[::1]:5433", 4_294_967_295, 0, MemberState::Draining);
    let third = plain("s \u{e9}\"3", "10.0.0.3:5432", 0, 2, MemberState::Removed);
    EndpointUpdate { version: 9_007_199_254_740_993, complete: true, endpoints: vec![first, second, third] }
}

#[track_caller]
fn assert_same(found: &EndpointUpdate, expected: &EndpointUpdate) {
    assert_eq!((found.version, found.complete), (expected.version, expected.complete));
    assert_eq!(found.endpoints, expected.endpoints);
}

#[test]
fn complete_list_is_read_to_the_recorded_entries() {
    assert_same(&reader().parse(COMPLETE_LIST).unwrap(), &complete_list());
    // From a value, as the configuration's own list is read.
    let value: Value = serde_json::from_slice(COMPLETE_LIST).unwrap();
    assert_same(&reader().parse_value(&value).unwrap(), &complete_list());
}

#[test]
fn change_without_optional_keys_is_read_with_their_defaults() {
    let gone = plain("s-2", "10.0.0.2:5432", 7, 2, MemberState::Removed);
    let expected = EndpointUpdate { version: 46, complete: false, endpoints: vec![gone] };
    assert_same(&reader().parse(CHANGE).unwrap(), &expected);
}

#[test]
fn stream_is_cut_into_the_recorded_objects() {
    let (mut objects, mut pieces) = (ObjectSplitter::new(4096), Vec::new());
    objects.push(STREAM, &mut pieces).unwrap();
    let trimmed = |bytes: &[u8]| StreamItem::Object(bytes.trim_ascii_end().to_vec());
    let expected = [
        StreamItem::EmptyLine,
        trimmed(COMPLETE_LIST),
        StreamItem::EmptyLine,
        trimmed(CHANGE),
        StreamItem::EmptyLine,
    ];
    assert_eq!(pieces, expected);
}

/// Each line of the fixture is an object and, behind ` => `, what is said of it.
#[test]
fn refused_objects_give_the_recorded_errors() {
    assert_eq!(REFUSED.lines().count(), 22);
    for line in REFUSED.lines() {
        let (object, expected) = line.split_once(" => ").unwrap();
        let said = reader().parse(object.as_bytes()).unwrap_err().to_string();
        assert_eq!(said, expected, "{object}");
    }
}

/// A protocol that carries nothing: only the list's actor is wanted here.
struct NoProtocol;
struct NoConnection(Arc<TcpStream>);

impl BackendProtocol for NoProtocol {
    type Payload = ();
    type Response = ();
    type Connection = NoConnection;
    fn connect(&self, _: SocketAddr) -> Result<NoConnection, Outcome> {
        unreachable!("no instance is asked")
    }
}

impl Connection<NoProtocol> for NoConnection {
    fn socket(&self) -> Arc<TcpStream> {
        self.0.clone()
    }
    fn is_usable(&mut self, _: Duration) -> bool {
        false
    }
    fn execute(
        &mut self,
        _: Exchange<'_, NoProtocol>,
        _: &AttemptGuard,
    ) -> Result<ExchangeResult<()>, NotSent> {
        Err(NotSent::ConnectionBroken)
    }
}

/// The head of the next request, and the socket that it came on.
fn request(listener: &TcpListener) -> (String, TcpStream) {
    let (socket, mut head) = (listener.accept().unwrap().0, String::new());
    let mut reader = BufReader::new(socket.try_clone().unwrap());
    while !head.ends_with("\r\n\r\n") {
        assert!(reader.read_line(&mut head).unwrap() > 0, "closed after {head:?}");
    }
    (head, socket)
}

#[test]
fn watch_asks_with_the_recorded_request_from_the_version_it_holds() {
    let long = Duration::from_secs(20);
    let mut limits = Limits::new(256, 192 << 20, long, long, long);
    (limits.watch_silent, limits.watch_answer) = (long * 3, long * 3);
    limits.watch_retry = (Duration::from_secs(1), Duration::from_secs(1));
    let (sender, updates) = bounded::<RouterMessage<NoProtocol>>(64);
    let list = routing::endpoints::start(&limits, sender, None).unwrap();
    let watch = Watch::new(vec!["a".into()], Arc::new(limits), list.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let expected = |version: u64| {
        REQUEST.replace("{version}", &version.to_string()).replace("{addr}", &addr.to_string())
    };
    watch.follow(addr).unwrap();
    let (head, mut socket) = request(&listener);
    assert_eq!(head, expected(0));
    let body = String::from_utf8(CHANGE.to_vec()).unwrap();
    let answer =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n", body.len());
    socket.write_all(answer.as_bytes()).unwrap();
    assert!(
        matches!(updates.recv_timeout(long), Ok(RouterMessage::Endpoints(update)) if update.version == 46)
    );
    drop(socket);
    // Opened before the list's actor had taken version 46, a connection may still ask from 0.
    let heads = std::iter::repeat_with(|| request(&listener).0);
    let mut from_held = heads.take(16).skip_while(|head| *head == expected(0));
    assert_eq!(from_held.next(), Some(expected(46)));
}
