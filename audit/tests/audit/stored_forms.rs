//! Tests that the stored and exchanged encodings stay compatible with other versions of the program: values
//! are decoded from recorded bytes and encoded to the same bytes.
use crate::encoding::{from_json, from_postcard, to_json, to_postcard};
use audit::timeline::{Query, build};
use audit::{Batch, Directive, Entry, EntryKind, FenceReason, Fenced, VersionReport, slot_key};
use decision::Time;
use testkit::fixture::Fixtures;
use testkit::hex;

const FIXTURES: Fixtures = testkit::fixtures!();
const SECOND: i64 = 1_000_000;

fn entry(router: &str, version: u64, since: i64, kind: EntryKind) -> Entry {
    Entry {
        router: router.into(),
        incarnation: 7,
        version,
        members_version: 3,
        since,
        kind,
        epoch: (2 << 32) | 1,
        term: 2,
    }
}

/// Returns a batch with an entry of each kind and the extreme values of each number.
fn batch() -> Batch {
    let mut entries = vec![
        entry("", 9, 10 * SECOND, EntryKind::Current),
        entry("router-0", 5, -1, EntryKind::Acting),
        entry("router-0", 5, 11 * SECOND, EntryKind::Notified),
        entry("router-0", 5, 12 * SECOND, EntryKind::FencedOut),
        entry("router-1", 5, 0, EntryKind::Silent),
        entry("router-2", 5, i64::MAX, EntryKind::Left),
    ];
    entries.push(Entry {
        incarnation: u64::MAX,
        epoch: u64::MAX,
        ..entry("r", u64::MAX, i64::MIN, EntryKind::Acting)
    });
    Batch { seq: 65, term: 2, created_at: 1_764_600_000_123_456, entries }
}

#[test]
fn stored_batch_decodes_and_encodes_unchanged() {
    let stored = include_str!("../fixtures/batch.json").trim_end();
    assert_eq!(from_json::<Batch>(stored).unwrap(), batch());
    assert_eq!(to_json(&batch()), stored);
}

#[test]
fn batch_key_has_its_ring_slot_in_four_digits() {
    assert_eq!(
        (slot_key(7), slot_key(audit::RING_SLOTS - 1)),
        ("fleet/audit/0007".into(), "fleet/audit/0063".into())
    );
}

/// Returns the bytes of one line of `exchanged.txt`, which has a name and hexadecimal digits.
fn exchanged_bytes(name: &str) -> Vec<u8> {
    hex::decode_line(&FIXTURES.text("exchanged.txt"), &format!("{name} "))
}

#[test]
fn exchanged_report_decodes_and_encodes_unchanged() {
    let report = VersionReport {
        version_age: 1_234_567,
        last_fence_duration: -3,
        routing: true,
        members_version: 300,
        epoch: (2 << 32) | 1,
    };
    assert_eq!(from_postcard::<VersionReport>(&exchanged_bytes("report")).unwrap(), report);
    assert_eq!(to_postcard(&report), exchanged_bytes("report"));
    assert_eq!(to_postcard(&VersionReport::default()), exchanged_bytes("report-default"));
}

#[test]
fn exchanged_directives_decode_and_encode_unchanged() {
    let epoch = (2 << 32) | 1;
    let directives = [
        ("answer-off", Directive::AuditDisabled),
        ("answer-continue", Directive::Continue { epoch }),
        ("answer-refetch", Directive::Refetch { epoch }),
        ("answer-fenced-out", Directive::FenceOut { epoch }),
    ];
    for (name, directive) in directives {
        assert_eq!(from_postcard::<Directive>(&exchanged_bytes(name)).unwrap(), directive);
        assert_eq!(to_postcard(&directive), exchanged_bytes(name), "{name}");
    }
}

/// Returns batches whose timeline has intervals of each kind and gaps of each kind.
fn batches_with_each_gap() -> Vec<Batch> {
    let first = vec![
        entry("", 5, 0, EntryKind::Current),
        entry("a", 5, 0, EntryKind::Acting),
        entry("b", 5, 0, EntryKind::Acting),
        entry("c", 5, 0, EntryKind::Acting),
        entry("d", 5, 0, EntryKind::Acting),
    ];
    let second = vec![
        entry("", 9, 10 * SECOND, EntryKind::Current),
        entry("a", 9, 10 * SECOND + 100, EntryKind::Acting),
        entry("b", 5, 11 * SECOND, EntryKind::Notified),
        entry("b", 5, 13 * SECOND, EntryKind::FencedOut),
        entry("c", 5, 9 * SECOND, EntryKind::Silent),
        entry("d", 5, 8 * SECOND, EntryKind::Left),
    ];
    vec![
        Batch { seq: 0, term: 1, created_at: SECOND, entries: first },
        Batch { seq: 1, term: 1, created_at: 14 * SECOND, entries: second },
    ]
}

#[test]
fn timeline_json_is_unchanged() {
    let timeline = build(&batches_with_each_gap(), 40 * SECOND, &Query::default());
    assert_eq!(to_json(&timeline), include_str!("../fixtures/timeline.json").trim_end());
}

#[test]
fn entry_kinds_have_the_same_names_in_storage_and_tables() {
    let kinds = [
        EntryKind::Acting,
        EntryKind::Notified,
        EntryKind::FencedOut,
        EntryKind::Silent,
        EntryKind::Left,
        EntryKind::Current,
    ];
    let names = ["acting", "told", "shutout", "silent", "left", "current"];
    for (kind, name) in kinds.into_iter().zip(names) {
        assert_eq!(to_json(&kind), format!("\"{name}\""));
        assert_eq!(kind.as_str(), name);
    }
}

#[test]
fn fence_error_texts_are_unchanged() {
    let text = |reason| Fenced { version: 5, epoch: 9, since: Time(0), reason }.to_string();
    assert_eq!(
        text(FenceReason::LeaseExpired),
        "this router is fenced: nobody has confirmed its version 5 for a lease's time; ask another router"
    );
    assert_eq!(
        text(FenceReason::FencedOut),
        "this router is fenced: it is shut out under epoch 9 with version 5 until it has the current one; \
         ask another router"
    );
}
