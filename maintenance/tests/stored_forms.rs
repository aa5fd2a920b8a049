//! Tests that file formats in the shared folder and error texts for operators are unchanged. Processes of
//! different versions share the folder, so the fixtures must never change.
mod common;

use common::FIXTURES;
use decision::Time;
use maintenance::{
    FileOperation, MaintenanceEntry, MaintenanceError, OtherProcesses, ProcessPresence, SharedFolderError,
    State, StateFile, UnusableReason,
};
use std::fs::File;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

const STATE_FILE_NAME: &str = "damsonvale-holds";

/// Returns a state that uses every field, including extreme times.
fn full_state() -> State {
    State {
        revision: 300,
        in_maintenance: [
            ("db-1".to_string(), MaintenanceEntry { since: Time(1_733_000_000_000_000) }),
            ("db-2".to_string(), MaintenanceEntry { since: Time(-7) }),
        ]
        .into(),
        restored: [("db-3".to_string(), Time(i64::MAX)), ("db-4".to_string(), Time(i64::MIN))].into(),
        draining_since: Some(Time(1_733_000_001_000_000)),
    }
}

fn assert_state_file_round_trip(fixture: &str, state: &State) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(STATE_FILE_NAME);
    let file = StateFile::open(folder.path()).unwrap();
    file.lock().unwrap().write(state).unwrap();
    FIXTURES.assert_same(fixture, std::fs::read(&path).unwrap());
    assert_eq!(std::fs::metadata(&path).unwrap().permissions().mode() & 0o777, 0o600);

    std::fs::write(&path, FIXTURES.bytes(fixture)).unwrap();
    let reader = StateFile::open(folder.path()).unwrap();
    assert_eq!(reader.lock().unwrap().read().unwrap().as_ref(), Some(state));
}

#[test]
fn state_file_format_with_all_fields_is_unchanged() {
    assert_state_file_round_trip("state_file_full.bin", &full_state());
}

#[test]
fn state_file_format_of_empty_state_is_unchanged() {
    assert_state_file_round_trip("state_file_empty.bin", &State::default());
}

/// Returns the paths of all files in a folder.
fn files_in(folder: &Path) -> Vec<PathBuf> {
    std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect()
}

#[test]
fn presence_file_name_and_content_are_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    let mut presence = ProcessPresence::register(folder.path(), 4711).unwrap();
    let files = files_in(folder.path());
    let [path] = &files[..] else { panic!("expected one file, found {files:?}") };
    let name = path.file_name().unwrap().to_str().unwrap();
    let timestamp = name.strip_prefix("damsonvale-present-4711-").unwrap();
    assert!(u128::from_str_radix(timestamp, 16).is_ok(), "{name}");
    assert_eq!(std::fs::metadata(path).unwrap().permissions().mode() & 0o777, 0o600);

    FIXTURES.assert_same("presence_starting.txt", std::fs::read(path).unwrap());
    presence.mark_ready().unwrap();
    FIXTURES.assert_same("presence_ready.txt", std::fs::read(path).unwrap());
    presence.mark_not_ready().unwrap();
    FIXTURES.assert_same("presence_starting.txt", std::fs::read(path).unwrap());
}

#[test]
fn presence_files_of_other_processes_are_read() {
    let folder = tempfile::tempdir().unwrap();
    let presence = ProcessPresence::register(folder.path(), 1).unwrap();
    let locked = |name: &str, fixture: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, FIXTURES.bytes(fixture)).unwrap();
        let file = File::open(path).unwrap();
        file.lock().unwrap();
        file
    };
    let _starting = locked("damsonvale-present-2-1811f0", "presence_starting.txt");
    assert_eq!(presence.count_others(), OtherProcesses { alive: 1, ready: 0 });
    let _ready = locked("damsonvale-present-3-1811f1", "presence_ready.txt");
    assert_eq!(presence.count_others(), OtherProcesses { alive: 2, ready: 1 });
}

#[test]
fn lock_file_name_is_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    let file = StateFile::open(folder.path()).unwrap();
    let _locked = file.lock().unwrap();
    assert_eq!(files_in(folder.path()), [folder.path().join("damsonvale-holds.lock")]);
}

#[test]
fn error_texts_are_unchanged() {
    let path = || PathBuf::from("/folder/damsonvale-holds");
    let unusable = |reason| SharedFolderError::Unusable {
        path: path(),
        reason,
        moved_to: "/folder/damsonvale-holds.refused".into(),
    };
    let id = || "db-1\n".to_string();
    let texts = [
        SharedFolderError::Io {
            operation: FileOperation::Open,
            path: path(),
            source: io::Error::from_raw_os_error(28),
        }
        .to_string(),
        SharedFolderError::LockTimeout { path: path() }.to_string(),
        unusable(UnusableReason::Truncated).to_string(),
        unusable(UnusableReason::NotAStateFile).to_string(),
        unusable(UnusableReason::UnsupportedVersion(2)).to_string(),
        unusable(UnusableReason::ChecksumMismatch).to_string(),
        SharedFolderError::TooLarge { path: path(), bytes: 1_048_577 }.to_string(),
        SharedFolderError::Encode { path: path(), source: postcard::Error::SerializeBufferFull }.to_string(),
        MaintenanceError::EndpointsPending { id: id() }.to_string(),
        MaintenanceError::NotListed { id: id(), listed_count: 3 }.to_string(),
        MaintenanceError::NotInMaintenance { id: id(), entry_count: 2 }.to_string(),
        MaintenanceError::TooManyEntries { max_entries: 1024 }.to_string(),
    ];
    FIXTURES.assert_same("error_texts.txt", texts.join("\n") + "\n");
}
