//! Tests reading journals that are truncated, damaged, left by an interrupted rewrite, or not journals at
//! all.
use decision::Time;
use proptest::prelude::*;
use sessions::SessionKey;
use sessions::journal::{self, Checkpoint, JournalError, JournalFault, Record, open, read};

fn checkpoint(incarnation: u64, entries: &[(SessionKey, Time)]) -> Checkpoint<'_> {
    Checkpoint { instance: 1, incarnation, entries, floor: None, incomplete: false }
}

/// The bytes of a journal file with an empty checkpoint and these records.
fn file(records: &[Record]) -> Vec<u8> {
    let folder = tempfile::tempdir().unwrap();
    let mut journal = open(folder.path(), 1).unwrap().create_journal(&checkpoint(7, &[])).unwrap().unwrap();
    records.iter().for_each(|record| journal.append(record).unwrap());
    let (path, _) = journal::read_newest(folder.path()).unwrap().unwrap();
    std::fs::read(path).unwrap()
}

fn commits(n: u64) -> Record {
    Record::Commits((0..=n).map(|k| (SessionKey(k ^ n << 32), 1_700_000_000_000_000 + k as i64)).collect())
}

#[test]
fn truncation_within_last_record_keeps_earlier_records() {
    let before = file(&[commits(3), Record::Floor(5), commits(1)]);
    let whole = file(&[commits(3), Record::Floor(5), commits(1), commits(9)]);
    let expected = read(&before).unwrap();
    for cut in before.len()..whole.len() {
        let found = read(&whole[..cut]).unwrap();
        assert_eq!((found.torn_bytes, &found.entries), (cut - before.len(), &expected.entries));
    }
    assert_eq!(read(&whole).unwrap().entries.len(), expected.entries.len() + 10);
}

#[test]
fn flipped_bit_before_last_record_is_rejected_with_its_offset() {
    let records = [commits(3), Record::Floor(5), commits(1)];
    let whole = file(&records);
    let last = file(&records[..2]).len();
    for at in 0..last {
        let mut damaged = whole.clone();
        damaged[at] ^= 1 << (at % 8);
        let fault = read(&damaged).unwrap_err();
        if let JournalFault::DamagedRecord { offset } = fault {
            assert!(offset <= at, "offset {offset} reported for a fault at {at}");
        }
    }
    // A damaged last record can't be distinguished from a torn tail, so the records before it are read.
    for at in last..whole.len() {
        let mut damaged = whole.clone();
        damaged[at] ^= 1 << (at % 8);
        assert_eq!(read(&damaged).unwrap().torn_bytes, whole.len() - last);
    }
}

#[test]
fn interrupted_rewrite_leaves_old_file() {
    let directory = tempfile::tempdir().unwrap();
    let folder = directory.path();
    let entries = [(SessionKey(1), Time(10)), (SessionKey(2), Time(20))];
    let mut journal = open(folder, 1).unwrap().create_journal(&checkpoint(1, &entries)).unwrap().unwrap();
    journal.append(&Record::Commits(vec![(SessionKey(3), 30)])).unwrap();
    assert!(matches!(open(folder, 1), Err(JournalError::Locked(_))));
    drop(journal);
    // A partly written new file still has its temporary name and is ignored.
    std::fs::write(folder.join("new"), b"DVSESS").unwrap();
    let found = open(folder, 1).unwrap().contents.unwrap();
    assert_eq!(found.entries.last(), Some(&(SessionKey(3), Time(30))));
    assert!(matches!(open(folder, 2), Err(JournalError::OtherInstance { instance: 1, .. })));
    // After `invalidate` there is no file that a start would use.
    let journal = open(folder, 1).unwrap().create_journal(&checkpoint(2, &entries)).unwrap().unwrap();
    journal.invalidate().unwrap();
    drop(journal);
    assert_eq!(open(folder, 1).unwrap().contents, None);
}

proptest! {
    /// Arbitrary bytes after a valid beginning never cause a panic.
    #[test]
    fn invalid_bytes_never_panic(noise in prop::collection::vec(any::<u8>(), 0..300), prefix in 0usize..200) {
        let mut bytes = file(&[commits(2)]);
        bytes.truncate(prefix);
        bytes.extend(noise);
        _ = read(&bytes);
    }
}
