//! Nodes that start with an existing log file.
use crate::support::TEST_TIMEOUT;
use raft::eraftpb::{Entry, HardState};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Instant;
use store::log_file::LogFile;
use store::{State, Store};

fn entry(index: u64, data: &[u8]) -> Entry {
    let mut entry = Entry { index, term: 1, ..Default::default() };
    entry.data = data.to_vec().into();
    entry
}

fn legacy_entry(index: u64) -> Entry {
    entry(index, format!(r#"{{"expected":null,"key":"a","text":"{index}"}}"#).as_bytes())
}

fn write_log(folder: &Path, entries: &[Entry]) {
    let hard_state = HardState { term: 1, commit: 2, ..Default::default() };
    let (mut log_file, _) = LogFile::open(folder).unwrap();
    log_file.append(entries, Some(&hard_state)).unwrap();
}

fn start(folder: &Path) -> Result<Store, store::Error> {
    let peers = BTreeMap::from([(1, ([127, 0, 0, 1], 0).into())]);
    let folder = Some(folder.to_path_buf());
    store::start(store::Settings { node: 1, peers, folder, ..store::Settings::default() }, |_| ())
}

fn start_error(folder: &Path) -> String {
    start(folder).map(|_| ()).unwrap_err().to_string()
}

fn linearizable_state(store: &Store) -> State {
    let started = Instant::now();
    loop {
        match store.read() {
            Ok(read) => return read.state,
            Err(e) => assert!(started.elapsed() < TEST_TIMEOUT, "{e}"),
        }
    }
}

#[test]
fn legacy_log_is_replayed() {
    let folder = tempfile::tempdir().unwrap();
    write_log(folder.path(), &[legacy_entry(1), legacy_entry(2)]);
    let state = linearizable_state(&start(folder.path()).unwrap());
    let value = state.get("a").unwrap();
    assert_eq!((value.version, value.revision, value.text.as_str()), (2, 2, "2"));
}

#[test]
fn error_contains_index_of_entry_with_unknown_format() {
    let folder = tempfile::tempdir().unwrap();
    let entries = [legacy_entry(1), legacy_entry(2), entry(3, b"\x77 of tomorrow")];
    write_log(folder.path(), &entries);
    let error = start_error(folder.path());
    assert!(error.contains("entry 3 of the log has a format"), "{error}");
}

#[test]
fn error_contains_indices_around_log_gap() {
    let folder = tempfile::tempdir().unwrap();
    write_log(folder.path(), &[legacy_entry(1), legacy_entry(3)]);
    let error = start_error(folder.path());
    assert!(error.contains("entry 3 of the log follows entry 1"), "{error}");
}
