//! Bytes that stand in the store or travel between processes of other versions, as they were written before any name of
//! this package changed: they are read to the same values and written again byte for byte.
use crate::encoding::{from_json, from_postcard, to_json, to_postcard};
use audit::reading::{Asked, view};
use audit::{Batch, Entry, Fenced, Kind, News, Stamp, Why, slot};
use decision::Time;

const SECOND: i64 = 1_000_000;

fn entry(router: &str, version: u64, from: i64, kind: Kind) -> Entry {
    Entry { router: router.into(), start: 7, version, members: 3, from, kind, epoch: (2 << 32) | 1, term: 2 }
}

/// A batch with an entry of each kind and the ends of each number's range.
fn batch() -> Batch {
    let mut entries = vec![
        entry("", 9, 10 * SECOND, Kind::Current),
        entry("router-0", 5, -1, Kind::Acting),
        entry("router-0", 5, 11 * SECOND, Kind::Told),
        entry("router-0", 5, 12 * SECOND, Kind::ShutOut),
        entry("router-1", 5, 0, Kind::Silent),
        entry("router-2", 5, i64::MAX, Kind::Left),
    ];
    entries.push(Entry { start: u64::MAX, epoch: u64::MAX, ..entry("r", u64::MAX, i64::MIN, Kind::Acting) });
    Batch { seq: 65, term: 2, at: 1_764_600_000_123_456, entries }
}

#[test]
fn batch_is_read_and_written_as_stored() {
    let stored = include_str!("../fixtures/batch.json").trim_end();
    assert_eq!(from_json::<Batch>(stored).unwrap(), batch());
    assert_eq!(to_json(&batch()), stored);
}

#[test]
fn batch_key_is_its_ring_slot_in_four_digits() {
    assert_eq!((slot(7), slot(audit::SLOTS - 1)), ("fleet/audit/0007".into(), "fleet/audit/0063".into()));
}

/// The bytes of one line of `exchanged.txt`: a name and hexadecimal digits.
fn exchanged(name: &str) -> Vec<u8> {
    let lines = include_str!("../fixtures/exchanged.txt").lines();
    let digits = lines.filter_map(|line| line.split_once(' ')).find(|(found, _)| *found == name).unwrap().1;
    let byte = |i| u8::from_str_radix(&digits[i..i + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn report_is_read_and_written_as_exchanged() {
    let report = Stamp { age: 1_234_567, fenced: -3, routes: true, members: 300, epoch: (2 << 32) | 1 };
    assert_eq!(from_postcard::<Stamp>(&exchanged("report")).unwrap(), report);
    assert_eq!(to_postcard(&report), exchanged("report"));
    assert_eq!(to_postcard(&Stamp::default()), exchanged("report-default"));
}

#[test]
fn answers_are_read_and_written_as_exchanged() {
    let epoch = (2 << 32) | 1;
    let answers = [
        ("answer-off", News::Off),
        ("answer-continue", News::Welcome { epoch }),
        ("answer-refetch", News::Refetch { epoch }),
        ("answer-fenced-out", News::ShutOut { epoch }),
    ];
    for (name, answer) in answers {
        assert_eq!(from_postcard::<News>(&exchanged(name)).unwrap(), answer);
        assert_eq!(to_postcard(&answer), exchanged(name), "{name}");
    }
}

/// Entries that give rows of each state and gaps of each kind.
fn batches_with_each_gap() -> Vec<Batch> {
    let first = vec![
        entry("", 5, 0, Kind::Current),
        entry("a", 5, 0, Kind::Acting),
        entry("b", 5, 0, Kind::Acting),
        entry("c", 5, 0, Kind::Acting),
        entry("d", 5, 0, Kind::Acting),
    ];
    let second = vec![
        entry("", 9, 10 * SECOND, Kind::Current),
        entry("a", 9, 10 * SECOND + 100, Kind::Acting),
        entry("b", 5, 11 * SECOND, Kind::Told),
        entry("b", 5, 13 * SECOND, Kind::ShutOut),
        entry("c", 5, 9 * SECOND, Kind::Silent),
        entry("d", 5, 8 * SECOND, Kind::Left),
    ];
    vec![
        Batch { seq: 0, term: 1, at: SECOND, entries: first },
        Batch { seq: 1, term: 1, at: 14 * SECOND, entries: second },
    ]
}

#[test]
fn operators_view_is_written_as_before() {
    let shown = view(&batches_with_each_gap(), 40 * SECOND, &Asked::default());
    assert_eq!(to_json(&shown), include_str!("../fixtures/timeline.json").trim_end());
}

#[test]
fn kinds_have_their_stored_words_in_tables_too() {
    let kinds = [Kind::Acting, Kind::Told, Kind::ShutOut, Kind::Silent, Kind::Left, Kind::Current];
    let words = ["acting", "told", "shutout", "silent", "left", "current"];
    for (kind, word) in kinds.into_iter().zip(words) {
        assert_eq!(to_json(&kind), format!("\"{word}\""));
        assert_eq!(format!("{kind:?}").to_lowercase(), word);
    }
}

#[test]
fn refusal_texts_are_those_that_clients_and_pages_have() {
    let fenced = |why| Fenced { version: 5, epoch: 9, at: Time(0), why }.to_string();
    assert_eq!(
        fenced(Why::Lease),
        "this router is fenced: nobody has confirmed its version 5 for a lease's time; ask another router"
    );
    assert_eq!(
        fenced(Why::ShutOut),
        "this router is fenced: it is shut out under epoch 9 with version 5 until it has the current one; \
         ask another router"
    );
}
