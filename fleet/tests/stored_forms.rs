//! The formats that are stored, or exchanged between routers and nodes of different builds. An earlier
//! version of the program wrote the files under `fixtures/`: this version must read them in the same way, and
//! write the same bytes.
mod common;

use audit::{Batch, Directive, Entry, EntryKind, VersionReport};
use common::{Node, TEST_TIMEOUT, reserve_addrs, start_node};
use fleet::audit_record;
use fleet::document::{self, CURRENT_KEY, Document, Metadata, PreviousDocument};
use fleet::service::Limits;
use fleet::wire::{self, Request, Response};
use quotas::{
    Grant, GrantChange, HeldGrants, Report, ReservedShare, ResponseBody, TenantDemand, TenantGrant,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Instant;
use store::client::Client;
use store::wire::Consistency;
use testkit::fixture::Fixtures;

const FIXTURES: Fixtures = testkit::fixtures!();

/// Returns both ends of a loopback connection.
fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let local = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (local, listener.accept().unwrap().0)
}

/// Returns the bytes that `write` writes to a connection.
fn bytes_of(write: impl FnOnce(&TcpStream)) -> Vec<u8> {
    let (local, mut remote) = connection();
    write(&local);
    drop(local);
    let mut bytes = Vec::new();
    remote.read_to_end(&mut bytes).unwrap();
    bytes
}

fn assert_frame<T: Serialize + DeserializeOwned + Debug + PartialEq>(name: &str, message: &T) {
    let stored = FIXTURES.bytes(name);
    let (mut local, remote) = connection();
    local.write_all(&stored).unwrap();
    assert_eq!(
        &wire::receive::<T>(&remote, TEST_TIMEOUT, TEST_TIMEOUT).unwrap(),
        message,
        "{name}: parsing the fixture"
    );
    assert_eq!(
        bytes_of(|socket| wire::send(socket, message).unwrap()),
        stored,
        "{name}: encoding the message"
    );
}

fn full_report() -> Report {
    let by_demand = vec![
        TenantGrant { tenant: "tills".into(), grant: Grant { rate: 12_500_000, capacity: 3_000_000 } },
        TenantGrant { tenant: "caf\u{e9}".into(), grant: Grant::NONE },
    ];
    Report {
        router: "router-17".into(),
        incarnation: 1_700_000_000_000_000,
        seq: 300,
        term: 7,
        applied_seq: 299,
        version: 4_242,
        leaving: false,
        held: Some(HeldGrants {
            version: 4_241,
            reserved_share: Some(ReservedShare { index: 16, full: true }),
            by_demand,
        }),
        demand: vec![
            TenantDemand { tenant: "tills".into(), rate: 40_000_000 },
            TenantDemand { tenant: "all".into(), rate: 0 },
        ],
    }
}

fn leaving_report() -> Report {
    Report {
        router: "r".into(),
        incarnation: 1,
        seq: 2,
        term: 0,
        applied_seq: 0,
        version: 0,
        leaving: true,
        held: None,
        demand: Vec::new(),
    }
}

fn reported(body: ResponseBody, audit_directive: Directive) -> Response {
    let quota_response =
        quotas::GrantResponse { term: 7, incarnation: 1_700_000_000_000_000, seq: 300, version: 4_242, body };
    Response::Report { quota_response, audit_directive }
}

#[test]
fn hello_bytes_match_fixture() {
    let stored = FIXTURES.bytes("hello.bin");
    assert_eq!(bytes_of(|socket| wire::send_hello(socket).unwrap()), stored);
    let (mut local, remote) = connection();
    local.write_all(&stored).unwrap();
    wire::receive_hello(&remote, TEST_TIMEOUT).unwrap();
}

#[test]
fn request_frames_match_fixtures() {
    let version_report = VersionReport {
        version_age: 1_500_000,
        last_fence_duration: 250_000,
        routing: true,
        members_version: 99,
        epoch: (7 << 32) + 3,
    };
    assert_frame("request_report_full.bin", &Request::Report { quota_report: full_report(), version_report });
    assert_frame(
        "request_report_leaving.bin",
        &Request::Report { quota_report: leaving_report(), version_report: VersionReport::default() },
    );
    assert_frame("request_document.bin", &Request::Document);
}

#[test]
fn response_frames_match_fixtures() {
    let renewed = ResponseBody::Renewed {
        reset: true,
        reserved_share: Some(ReservedShare { index: 16, full: false }),
        changes: vec![
            GrantChange { tenant: "tills".into(), grant: Some(Grant { rate: 1, capacity: 2 }) },
            GrantChange { tenant: "all".into(), grant: None },
        ],
    };
    let bytes = "# caf\u{e9}\nrouters = 1\n".as_bytes().to_vec();
    let frames = [
        ("answer_welcome.bin", Response::Welcome { node: 3 }),
        ("answer_busy.bin", Response::Busy { max_connections: 2048 }),
        ("answer_not_leader.bin", Response::NotLeader { leader: 2 }),
        ("answer_lent.bin", reported(renewed, Directive::Continue { epoch: 0 })),
        ("answer_whole.bin", reported(ResponseBody::FullReportRequired, Directive::AuditDisabled)),
        ("answer_wait.bin", reported(ResponseBody::NotRenewed, Directive::FenceOut { epoch: (7 << 32) + 4 })),
        ("answer_refetch.bin", reported(ResponseBody::NotRenewed, Directive::Refetch { epoch: 5 })),
        ("answer_document_part.bin", Response::DocumentPart { version: 4_242, bytes, is_last: false }),
        ("answer_no_document.bin", Response::DocumentPart { version: 0, bytes: Vec::new(), is_last: true }),
    ];
    for (name, message) in &frames {
        assert_frame(name, message);
    }
}

#[test]
fn service_responds_to_request_fixtures_with_response_fixtures() {
    let (node, _client) = single_node(None);
    let mut socket = TcpStream::connect(node.fleet_addr).unwrap();
    socket.write_all(&FIXTURES.bytes("hello.bin")).unwrap();
    socket.write_all(&FIXTURES.bytes("request_document.bin")).unwrap();
    let mut hello = [0; 6];
    socket.read_exact(&mut hello).unwrap();
    assert_eq!(hello.as_slice(), FIXTURES.bytes("hello.bin"));
    assert_eq!(
        wire::receive::<Response>(&socket, TEST_TIMEOUT, TEST_TIMEOUT).unwrap(),
        Response::Welcome { node: 1 }
    );
    let expected = FIXTURES.bytes("answer_no_document.bin");
    let mut frame = vec![0; expected.len()];
    socket.read_exact(&mut frame).unwrap();
    assert_eq!(frame, expected);
}

fn audit_batch() -> Batch {
    let kinds = [
        EntryKind::Acting,
        EntryKind::Notified,
        EntryKind::FencedOut,
        EntryKind::Silent,
        EntryKind::Left,
        EntryKind::Current,
    ];
    let entry = |(i, kind): (u64, EntryKind)| Entry {
        router: if kind == EntryKind::Current { String::new() } else { format!("router-{i}") },
        incarnation: 1_700_000_000_000_000 + i,
        version: 4_242,
        members_version: i,
        since: 1_700_000_001_000_000,
        kind,
        epoch: (7 << 32) + i,
        term: 7,
    };
    Batch {
        seq: 71,
        term: 7,
        created_at: 1_700_000_002_000_000,
        entries: (0..).zip(kinds).map(entry).collect(),
    }
}

#[test]
fn audit_batch_text_matches_fixture() {
    let stored = FIXTURES.text("audit_batch.json");
    assert_eq!(audit_record::parse_batch(&stored).unwrap(), audit_batch());
    assert_eq!(serde_json::to_string(&audit_batch()).unwrap(), stored);
}

/// Starts a store with a single node, and a client of it.
fn single_node(audit: Option<audit::Settings>) -> (Node, Client) {
    let peers = (1..).zip(reserve_addrs(1)).collect();
    let node = start_node(1, peers, audit, Limits::default());
    let client = Client::new(store::client::Settings::new(vec![node.client_addr], 1));
    (node, client)
}

#[test]
fn audit_batches_are_stored_under_slot_keys() {
    let audit = audit::Settings::new(&settings::fleet::AuditConfig::default(), 2_000_000, 1);
    let (_node, client) = single_node(Some(audit));
    document::write(&client, SHORT_DOCUMENT, Some(0), "").unwrap();
    let started = Instant::now();
    let (key, text) = loop {
        let mut found = client.list(audit_record::KEY_PREFIX, Consistency::Linearizable).unwrap().value;
        if !found.is_empty() {
            let (key, value) = found.remove(0);
            break (key, value.text);
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "no batch was written in time");
    };
    assert_eq!(key, "fleet/audit/0000");
    let batch = audit_record::parse_batch(&text).unwrap();
    assert_eq!(batch.seq, 0);
    assert_eq!(serde_json::to_string(&batch).unwrap(), text);
}

const SHORT_DOCUMENT: &str = "routers = 2\nunnamed = 'all'\n[[tenant]]\nname = 'all'\n";

/// A text of three parts. A multi-byte character spans the place where the first part would end otherwise.
fn long_document() -> String {
    format!("{SHORT_DOCUMENT}#  {}\n", "\u{20ac}".repeat(40_000))
}

/// Parses a part's key, length and checksum from a line `KEY LENGTH CRC32`.
fn listed_part(line: &str) -> (&str, usize, &str) {
    let fields: Vec<&str> = line.split(' ').collect();
    (fields[0], fields[1].parse().unwrap(), fields[2])
}

fn stored_keys(client: &Client) -> Vec<(String, String)> {
    let found = client.list("fleet/", Consistency::Linearizable).unwrap().value;
    found.into_iter().map(|(key, value)| (key, value.text)).collect()
}

/// The pointer fixture with the version of the previous document replaced by `version`.
fn pointer_with_previous(version: u64) -> String {
    let stored = FIXTURES.text("document_pointer_second.json");
    let parsed: serde_json::Value = serde_json::from_str(&stored).unwrap();
    let previous_version = parsed["before"][0][0].as_u64().unwrap();
    stored.replacen(&format!("[[{previous_version},"), &format!("[[{version},"), 1)
}

fn short_metadata() -> Metadata {
    Metadata {
        content_hash: "57bb67ddc0fa0b75b59ed46dc85224a1".into(),
        part_count: 1,
        length: SHORT_DOCUMENT.len(),
        crc32: 0xc3ad_eed0,
        note: "first".into(),
    }
}

fn long_metadata() -> Metadata {
    Metadata {
        content_hash: "33b119d924a0c0f79efccdecb3029b0f".into(),
        part_count: 3,
        length: 120_056,
        crc32: 0x9a8a_e61b,
        note: "second, by \"ops\" \u{e9}".into(),
    }
}

#[test]
fn written_document_matches_fixture_keys_and_values() {
    let (_node, client) = single_node(None);
    let first = document::write(&client, SHORT_DOCUMENT, Some(0), &short_metadata().note).unwrap();
    let mut keys = stored_keys(&client).into_iter();
    assert_eq!(keys.next(), Some((CURRENT_KEY.into(), FIXTURES.text("document_pointer_first.json"))));
    let listing = FIXTURES.text("document_parts_first.txt");
    assert_eq!(keys.next(), Some((listed_part(listing.trim_end()).0.into(), SHORT_DOCUMENT.into())));
    assert_eq!(keys.next(), None);

    document::write(&client, &long_document(), Some(first), &long_metadata().note).unwrap();
    let keys = stored_keys(&client);
    assert_eq!(keys[0], (CURRENT_KEY.into(), pointer_with_previous(first)));
    let listed: String = keys[1..]
        .iter()
        .map(|(key, text)| format!("{key} {} {:08x}\n", text.len(), crc32fast::hash(text.as_bytes())))
        .collect();
    assert_eq!(listed, FIXTURES.text("document_parts_second.txt"));
}

#[test]
fn document_fixtures_are_read() {
    let (node, client) = single_node(None);
    let put = |key: &str, text: &str| client.put(key, text, Default::default()).unwrap().revision;
    let listing = FIXTURES.text("document_parts_first.txt");
    put(listed_part(listing.trim_end()).0, SHORT_DOCUMENT);
    let first = put(CURRENT_KEY, &FIXTURES.text("document_pointer_first.json"));
    let expected = Document {
        version: first,
        text: SHORT_DOCUMENT.into(),
        fleet: settings::fleet::read(SHORT_DOCUMENT, None).unwrap(),
        metadata: short_metadata(),
        previous: Vec::new(),
    };
    assert_eq!(document::read(&client).unwrap().as_ref(), Some(&expected));
    assert_eq!(document::from_state(&node.store.state()).unwrap(), Some(expected));

    let text = long_document();
    let mut rest = text.as_str();
    for line in FIXTURES.text("document_parts_second.txt").lines() {
        let (key, length, checksum) = listed_part(line);
        if key == listed_part(listing.trim_end()).0 {
            continue;
        }
        let (part, remaining) = rest.split_at(length);
        assert_eq!(format!("{:08x}", crc32fast::hash(part.as_bytes())), checksum, "{key}");
        put(key, part);
        rest = remaining;
    }
    let second = put(CURRENT_KEY, &pointer_with_previous(first));
    let found = document::read(&client).unwrap().unwrap();
    assert_eq!((found.version, found.text.as_str()), (second, text.as_str()));
    assert_eq!(found.metadata, long_metadata());
    assert_eq!(found.previous, [PreviousDocument { version: first, metadata: short_metadata() }]);
    // The previous document is still stored, so an undo restores it.
    document::undo(&client, "back").unwrap();
    assert_eq!(document::read(&client).unwrap().unwrap().text, SHORT_DOCUMENT);
}
