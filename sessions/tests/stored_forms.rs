//! Compares journal files, frames between instances and status responses byte by byte with recordings of a
//! deployed version.
use decision::Time;
use sessions::SessionKey;
use sessions::frames::{self, Frame};
use sessions::journal::{self, Checkpoint, JournalContents, Record};
use sessions::machine::{PeerStatus, Push, RejectionReason};
use std::fmt::Write as _;
use testkit::fixture::Fixtures;
use testkit::hex;

const FIXTURES: Fixtures = testkit::fixtures!();

/// The text after `name` in the recorded line that begins with `name`.
fn recorded<'a>(all: &'a str, name: &str) -> &'a str {
    let line = all.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("the fixture has no line named {name}"))
}

const ENTRIES: [(SessionKey, Time); 3] = [
    (SessionKey(1), Time(1_700_000_000_000_001)),
    (SessionKey(u64::MAX), Time(0)),
    (SessionKey(0x0123_4567_89ab_cdef), Time(i64::MAX)),
];

/// The bytes of a journal file that begins with a checkpoint, followed by the records of `added`.
fn journal_bytes(floor: Option<Time>, incomplete: bool, added: &[Record]) -> Vec<u8> {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let checkpoint =
        Checkpoint { instance: 3, incarnation: 1_700_000_000_123_456, entries: &ENTRIES, floor, incomplete };
    let opened = journal::open(folder.path(), 3).expect("the folder can be used");
    let mut journal = opened
        .create_journal(&checkpoint)
        .expect("the folder can be used")
        .expect("the journal can be created");
    added.iter().for_each(|record| journal.append(record).expect("the record can be appended"));
    std::fs::read(folder.path().join("sessions.1")).expect("the journal file can be read")
}

fn added() -> Vec<Record> {
    vec![
        Record::Commits(vec![(SessionKey(7), 1_700_000_000_000_002), (SessionKey(8), -1)]),
        Record::Floor(1_600_000_000_000_000),
        Record::Commits(Vec::new()),
    ]
}

fn contents(floor: Option<Time>, incomplete: bool) -> JournalContents {
    JournalContents {
        instance: 3,
        incarnation: 1_700_000_000_123_456,
        entries: ENTRIES.to_vec(),
        floor,
        incomplete,
        ..JournalContents::default()
    }
}

/// Each recorded journal's name, its bytes and its expected contents.
fn journals() -> Vec<(&'static str, Vec<u8>, JournalContents)> {
    let floor = Some(Time(1_500_000_000_000_000));
    let mut grown = contents(Some(Time(1_600_000_000_000_000)), false);
    grown.entries.extend([(SessionKey(7), Time(1_700_000_000_000_002)), (SessionKey(8), Time(-1))]);
    vec![
        ("journal-complete", journal_bytes(floor, false, &[]), contents(floor, false)),
        ("journal-incomplete", journal_bytes(floor, true, &[]), contents(None, true)),
        ("journal-grown", journal_bytes(None, true, &added()), grown),
    ]
}

#[test]
fn journal_bytes_match_recording() {
    let mut produced = String::new();
    let journals = journals();
    for (name, bytes, _) in &journals {
        writeln!(produced, "{name} {}", hex::encode(bytes)).expect("a string can be written to");
    }
    FIXTURES.assert_same("journals.txt", &produced);
    for (name, bytes, expected) in journals {
        let found = journal::read(&hex::decode(recorded(&produced, name))).expect("the journal is valid");
        let expected =
            JournalContents { complete_bytes: bytes.len(), record_count: found.record_count, ..expected };
        assert_eq!(found, expected, "{name}");
    }
}

#[test]
fn journal_record_counts_are_reported() {
    let counts: Vec<usize> = journals()
        .iter()
        .map(|(_, bytes, _)| journal::read(bytes).expect("the journal is valid").record_count)
        .collect();
    assert_eq!(counts, [3, 2, 5]);
}

fn all_frames() -> Vec<(&'static str, Frame)> {
    let entries = vec![(SessionKey(5), 1_700_000_000_000_001), (SessionKey(u64::MAX), i64::MIN)];
    vec![
        (
            "hello",
            Frame::Hello { version: 1, cluster: "orders".into(), from: 1, incarnation: 1 << 50, to: 300 },
        ),
        ("welcome", Frame::Accepted { incarnation: 1 << 50, last_seq: 65_536 }),
        ("refused-not-listed", Frame::Rejected(RejectionReason::NotListed)),
        ("refused-older", Frame::Rejected(RejectionReason::OlderIncarnation { newest: 9 })),
        ("refused-wrong-instance", Frame::Rejected(RejectionReason::WrongInstance)),
        ("refused-wrong-cluster", Frame::Rejected(RejectionReason::WrongCluster)),
        ("refused-wrong-version", Frame::Rejected(RejectionReason::WrongVersion)),
        ("push-commits", Frame::Push(Push::Commits { first: 4, entries: entries.clone() })),
        ("push-all", Frame::Push(Push::Snapshot { entries })),
        ("push-whole", Frame::Push(Push::SnapshotComplete { seq: 9, floor: None })),
        ("push-whole-floor", Frame::Push(Push::SnapshotComplete { seq: 9, floor: Some(-5) })),
        ("push-grant", Frame::Push(Push::LeaseGrant { requested_at: 1_700_000_000_000_003 })),
        ("confirm", Frame::Confirmation { seq: u64::MAX }),
        ("ask", Frame::LeaseRequest { requested_at: -1 }),
        ("show", Frame::StatusRequest),
        ("shown", Frame::Status("{\"instance\":1}".into())),
    ]
}

#[test]
fn frame_bytes_match_recording() {
    let mut produced = String::new();
    for (name, frame) in all_frames() {
        let mut bytes = Vec::new();
        frames::encode(&frame, &mut bytes).expect("the frame can be encoded");
        writeln!(produced, "{name} {}", hex::encode(&bytes)).expect("a string can be written to");
    }
    FIXTURES.assert_same("frames.txt", &produced);
    for (name, frame) in all_frames() {
        let bytes = hex::decode(recorded(&produced, name));
        assert_eq!(frames::read(&bytes[..], bytes.len()).expect("the frame can be decoded"), frame, "{name}");
    }
}

#[test]
fn peer_status_json_matches_recording() {
    let status = PeerStatus {
        instance: 2,
        incarnation: 1 << 50,
        received_seq: 12,
        confirmed_seq: 7,
        connected: true,
        up_to_date: false,
        down: true,
    };
    let json = serde_json::to_string_pretty(&status).expect("the status can be serialized");
    FIXTURES.assert_same("peer-status.json", format!("{json}\n"));
}
