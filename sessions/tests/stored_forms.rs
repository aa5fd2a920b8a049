//! The journal's bytes, the bytes of frames between instances, and the words of a status reply, compared with
//! those that a program in service has written.
use decision::Time;
use sessions::SessionKey;
use sessions::frames::{self, Frame};
use sessions::journal::{self, Checkpoint, JournalContents, Record};
use sessions::machine::{PeerStatus, Push, RejectionReason};
use std::fmt::Write as _;
use testkit::fixture::Fixtures;
use testkit::hex;

const FIXTURES: Fixtures = testkit::fixtures!();

/// What the recorded line of this name says behind it.
fn recorded<'a>(all: &'a str, name: &str) -> &'a str {
    let line = all.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("{name} is not recorded"))
}

const ENTRIES: [(SessionKey, Time); 3] = [
    (SessionKey(1), Time(1_700_000_000_000_001)),
    (SessionKey(u64::MAX), Time(0)),
    (SessionKey(0x0123_4567_89ab_cdef), Time(i64::MAX)),
];

/// A journal's file as the program writes it: what it begins with, and records added to it.
fn written(floor: Option<Time>, incomplete: bool, added: &[Record]) -> Vec<u8> {
    let folder = tempfile::tempdir().expect("a folder");
    let whole =
        Checkpoint { instance: 3, incarnation: 1_700_000_000_123_456, entries: &ENTRIES, floor, incomplete };
    let opened = journal::open(folder.path(), 3).expect("a folder");
    let mut journal = opened.begin(&whole).expect("a folder").expect("a file");
    added.iter().for_each(|record| journal.append(record).expect("a disk"));
    std::fs::read(folder.path().join("sessions.1")).expect("the first file")
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

/// Each file's name, its bytes, and what it holds.
fn journals() -> Vec<(&'static str, Vec<u8>, JournalContents)> {
    let floor = Some(Time(1_500_000_000_000_000));
    let mut grown = contents(Some(Time(1_600_000_000_000_000)), false);
    grown.entries.extend([(SessionKey(7), Time(1_700_000_000_000_002)), (SessionKey(8), Time(-1))]);
    vec![
        ("journal-complete", written(floor, false, &[]), contents(floor, false)),
        ("journal-incomplete", written(floor, true, &[]), contents(None, true)),
        ("journal-grown", written(None, true, &added()), grown),
    ]
}

#[test]
fn journal_keeps_its_bytes() {
    let mut produced = String::new();
    let journals = journals();
    for (name, bytes, _) in &journals {
        writeln!(produced, "{name} {}", hex::encode(bytes)).expect("a string");
    }
    FIXTURES.assert_same("journals.txt", &produced);
    for (name, bytes, expected) in journals {
        let found = journal::read(&hex::decode(recorded(&produced, name))).expect("a journal");
        let sizes =
            JournalContents { complete_bytes: bytes.len(), record_count: found.record_count, ..expected };
        assert_eq!(found, sizes, "{name}");
    }
}

#[test]
fn journal_records_are_counted_as_recorded() {
    let counts: Vec<usize> = journals()
        .iter()
        .map(|(_, bytes, _)| journal::read(bytes).expect("a journal").record_count)
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
fn frames_keep_their_bytes() {
    let mut produced = String::new();
    for (name, frame) in all_frames() {
        let mut bytes = Vec::new();
        frames::encode(&frame, &mut bytes).expect("a frame");
        writeln!(produced, "{name} {}", hex::encode(&bytes)).expect("a string");
    }
    FIXTURES.assert_same("frames.txt", &produced);
    for (name, frame) in all_frames() {
        let bytes = hex::decode(recorded(&produced, name));
        assert_eq!(frames::read(&bytes[..], bytes.len()).expect("a frame"), frame, "{name}");
    }
}

#[test]
fn peer_status_keeps_its_words() {
    let status = PeerStatus {
        instance: 2,
        incarnation: 1 << 50,
        received_seq: 12,
        confirmed_seq: 7,
        connected: true,
        up_to_date: false,
        down: true,
    };
    let words = serde_json::to_string_pretty(&status).expect("JSON");
    FIXTURES.assert_same("peer-status.json", format!("{words}\n"));
}
