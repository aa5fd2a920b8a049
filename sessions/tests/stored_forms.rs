//! The journal's bytes, the bytes of frames between instances, and the words of a status reply, compared with those
//! that a program in service has written.
mod common;
use common::assert_fixture;
use decision::Time;
use sessions::Key;
use sessions::frames::{self, Frame};
use sessions::journal::{self, Found, Record, Whole};
use sessions::machine::{PeerStatus, Push, Why};
use std::fmt::Write as _;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex")).collect()
}

/// What the recorded line of this name says behind it.
fn recorded<'a>(all: &'a str, name: &str) -> &'a str {
    let line = all.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("{name} is not recorded"))
}

const ENTRIES: [(Key, Time); 3] = [
    (Key(1), Time(1_700_000_000_000_001)),
    (Key(u64::MAX), Time(0)),
    (Key(0x0123_4567_89ab_cdef), Time(i64::MAX)),
];

/// A journal's file as the program writes it: what it begins with, and records added to it.
fn written(floor: Option<Time>, incomplete: bool, added: &[Record]) -> Vec<u8> {
    let folder = tempfile::tempdir().expect("a folder");
    let whole =
        Whole { instance: 3, incarnation: 1_700_000_000_123_456, entries: &ENTRIES, floor, incomplete };
    let opened = journal::open(folder.path(), 3).expect("a folder");
    let mut journal = opened.begin(&whole).expect("a folder").expect("a file");
    added.iter().for_each(|record| journal.add(record).expect("a disk"));
    std::fs::read(folder.path().join("sessions.1")).expect("the first file")
}

fn added() -> Vec<Record> {
    vec![
        Record::Commits(vec![(Key(7), 1_700_000_000_000_002), (Key(8), -1)]),
        Record::Floor(1_600_000_000_000_000),
        Record::Commits(Vec::new()),
    ]
}

fn contents(floor: Option<Time>, incomplete: bool) -> Found {
    Found {
        instance: 3,
        incarnation: 1_700_000_000_123_456,
        entries: ENTRIES.to_vec(),
        floor,
        incomplete,
        ..Found::default()
    }
}

/// Each file's name, its bytes, and what it holds.
fn journals() -> Vec<(&'static str, Vec<u8>, Found)> {
    let floor = Some(Time(1_500_000_000_000_000));
    let mut grown = contents(Some(Time(1_600_000_000_000_000)), false);
    grown.entries.extend([(Key(7), Time(1_700_000_000_000_002)), (Key(8), Time(-1))]);
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
        writeln!(produced, "{name} {}", hex(bytes)).expect("a string");
    }
    assert_fixture("journals.txt", &produced);
    for (name, bytes, expected) in journals {
        let found = journal::read(&unhex(recorded(&produced, name))).expect("a journal");
        let sizes = Found { whole: bytes.len(), records: found.records, ..expected };
        assert_eq!(found, sizes, "{name}");
    }
}

#[test]
fn journal_records_are_counted_as_recorded() {
    let counts: Vec<usize> =
        journals().iter().map(|(_, bytes, _)| journal::read(bytes).expect("a journal").records).collect();
    assert_eq!(counts, [3, 2, 5]);
}

fn all_frames() -> Vec<(&'static str, Frame)> {
    let entries = vec![(Key(5), 1_700_000_000_000_001), (Key(u64::MAX), i64::MIN)];
    vec![
        (
            "hello",
            Frame::Hello { version: 1, cluster: "orders".into(), from: 1, incarnation: 1 << 50, to: 300 },
        ),
        ("welcome", Frame::Welcome { incarnation: 1 << 50, holds: 65_536 }),
        ("refused-not-listed", Frame::Refused(Why::NotListed)),
        ("refused-older", Frame::Refused(Why::Older { newest: 9 })),
        ("refused-wrong-instance", Frame::Refused(Why::WrongInstance)),
        ("refused-wrong-cluster", Frame::Refused(Why::WrongCluster)),
        ("refused-wrong-version", Frame::Refused(Why::WrongVersion)),
        ("push-commits", Frame::Push(Push::Commits { first: 4, entries: entries.clone() })),
        ("push-all", Frame::Push(Push::All { entries })),
        ("push-whole", Frame::Push(Push::Whole { seq: 9, floor: None })),
        ("push-whole-floor", Frame::Push(Push::Whole { seq: 9, floor: Some(-5) })),
        ("push-grant", Frame::Push(Push::Grant { asked: 1_700_000_000_000_003 })),
        ("confirm", Frame::Confirm(u64::MAX)),
        ("ask", Frame::Ask(-1)),
        ("show", Frame::Show),
        ("shown", Frame::Shown("{\"instance\":1}".into())),
    ]
}

#[test]
fn frames_keep_their_bytes() {
    let mut produced = String::new();
    for (name, frame) in all_frames() {
        let mut bytes = Vec::new();
        frames::push(&mut bytes, &frame).expect("a frame");
        writeln!(produced, "{name} {}", hex(&bytes)).expect("a string");
    }
    assert_fixture("frames.txt", &produced);
    for (name, frame) in all_frames() {
        let bytes = unhex(recorded(&produced, name));
        assert_eq!(frames::read(&bytes[..], bytes.len()).expect("a frame"), frame, "{name}");
    }
}

#[test]
fn peer_status_keeps_its_words() {
    let status = PeerStatus {
        instance: 2,
        incarnation: 1 << 50,
        heard: 12,
        confirmed: 7,
        linked: true,
        relied_on: false,
        down: true,
    };
    let words = serde_json::to_string_pretty(&status).expect("JSON");
    assert_fixture("peer-status.json", &format!("{words}\n"));
}
