//! Tests of the state file: interrupted writes, unusable content, several handles, and the lock.
use decision::Time;
use maintenance::{MaintenanceEntry, SharedFolderError, State, StateFile, UnusableReason};
use std::path::PathBuf;
use tempfile::TempDir;

fn state_path(folder: &TempDir) -> PathBuf {
    folder.path().join("damsonvale-holds")
}

fn state(revision: u64) -> State {
    State {
        revision,
        in_maintenance: [("a".to_string(), MaintenanceEntry { since: Time(-7) })].into(),
        restored: [("b".to_string(), Time(i64::MAX))].into(),
        draining_since: Some(Time(3)),
    }
}

fn read(file: &StateFile) -> Option<State> {
    file.lock().unwrap().read().unwrap()
}

/// Writes a state through a new handle; returns the content of the file.
fn write(folder: &TempDir, revision: u64) -> Vec<u8> {
    StateFile::open(folder.path()).unwrap().lock().unwrap().write(&state(revision)).unwrap();
    std::fs::read(state_path(folder)).unwrap()
}

/// Reads a file that must be moved aside; returns the reason.
fn read_unusable(folder: &TempDir) -> UnusableReason {
    let file = StateFile::open(folder.path()).unwrap();
    let mut locked = file.lock().unwrap();
    match locked.read() {
        Err(SharedFolderError::Unusable { path, reason, moved_to }) => {
            assert_eq!(path, state_path(folder));
            assert_eq!(moved_to, folder.path().join("damsonvale-holds.refused"));
            assert!(std::fs::symlink_metadata(moved_to).is_ok());
            assert_eq!(locked.read().unwrap(), None, "the state begins empty");
            reason
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn truncated_file_is_moved_aside_at_every_length() {
    let folder = tempfile::tempdir().unwrap();
    let bytes = write(&folder, 9);
    for length in 0..bytes.len() {
        std::fs::write(state_path(&folder), &bytes[..length]).unwrap();
        assert_eq!(read_unusable(&folder), UnusableReason::Truncated, "{length}");
    }
}

#[test]
fn write_interrupted_before_its_rename_leaves_the_old_state() {
    let folder = tempfile::tempdir().unwrap();
    let bytes = write(&folder, 9);
    let file = StateFile::open(folder.path()).unwrap();
    for length in 0..=bytes.len() {
        std::fs::write(folder.path().join("damsonvale-holds.new"), &bytes[..length]).unwrap();
        assert_eq!(read(&file), Some(state(9)));
    }
    write(&folder, 10);
    assert_eq!(read(&file), Some(state(10)));
}

#[test]
fn files_of_other_formats_and_versions_are_moved_aside_with_a_reason() {
    let folder = tempfile::tempdir().unwrap();
    let bytes = write(&folder, 9);
    let mut newer = bytes.clone();
    newer[8] += 1;
    let longer = [&bytes[..], b"x"].concat();
    for (content, reason) in [
        (newer, UnusableReason::UnsupportedVersion(2)),
        (longer, UnusableReason::NotAStateFile),
        (vec![b'x'; 2 << 20], UnusableReason::NotAStateFile),
    ] {
        std::fs::write(state_path(&folder), content).unwrap();
        assert_eq!(read_unusable(&folder), reason);
    }
    std::fs::remove_file(folder.path().join("damsonvale-holds.refused")).unwrap();
    std::fs::create_dir(state_path(&folder)).unwrap();
    assert_eq!(read_unusable(&folder), UnusableReason::NotAStateFile);
}

#[test]
fn file_with_any_flipped_bit_is_moved_aside() {
    let folder = tempfile::tempdir().unwrap();
    let bytes = write(&folder, 9);
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x10;
        std::fs::write(state_path(&folder), damaged).unwrap();
        let reason = read_unusable(&folder);
        assert!(at < 16 || reason == UnusableReason::ChecksumMismatch, "{at}: {reason}");
    }
}

#[test]
fn handle_reports_changes_by_other_handles_only() {
    let folder = tempfile::tempdir().unwrap();
    let mut file = StateFile::open(folder.path()).unwrap();
    assert!(!file.has_changed());
    for revision in 1..50 {
        write(&folder, revision);
        assert!(file.has_changed());
        assert_eq!(read(&file), Some(state(revision)));
        assert!(!file.has_changed());
        file.lock().unwrap().write(&state(revision)).unwrap();
        assert!(!file.has_changed());
        // Two changes may have the same modification time, and the second file may have the inode number of
        // an earlier file.
        write(&folder, revision);
    }
    std::fs::remove_file(state_path(&folder)).unwrap();
    assert!(file.has_changed());
    assert_eq!(read(&file), None);
    assert!(!file.has_changed());
}

#[test]
fn concurrent_writers_lose_no_changes() {
    let folder = tempfile::tempdir().unwrap();
    let write_entries = || {
        let file = StateFile::open(folder.path()).unwrap();
        for _ in 0..100 {
            // On a slow disk another writer of this test may hold the lock for longer than the lock timeout.
            let Some(mut locked) = std::iter::repeat_with(|| file.lock()).find_map(Result::ok) else {
                return;
            };
            let mut state = locked.read().unwrap().unwrap_or_default();
            state.revision += 1;
            let id = state.revision.to_string();
            state.in_maintenance.insert(id, MaintenanceEntry { since: Time(0) });
            locked.write(&state).unwrap();
        }
    };
    std::thread::scope(|scope| {
        [(); 2].map(|()| scope.spawn(write_entries)).map(|thread| thread.join().unwrap())
    });
    let final_state = read(&StateFile::open(folder.path()).unwrap()).unwrap();
    assert_eq!((final_state.revision, final_state.in_maintenance.len()), (200, 200));
}

#[test]
fn lock_times_out_while_held_and_removal_of_the_lock_file_frees_it() {
    let folder = tempfile::tempdir().unwrap();
    let first = StateFile::open(folder.path()).unwrap();
    let second = StateFile::open(folder.path()).unwrap();
    let locked = first.lock().unwrap();
    let lock_path = folder.path().join("damsonvale-holds.lock");
    match second.lock() {
        Err(SharedFolderError::LockTimeout { path }) => assert_eq!(path, lock_path),
        other => panic!("{:?}", other.err()),
    }
    assert!(
        matches!(first.lock(), Err(SharedFolderError::LockTimeout { .. })),
        "the same handle a second time"
    );
    std::fs::remove_file(&lock_path).unwrap();
    drop(second.lock().unwrap());
    drop(locked);
    drop(second.lock().unwrap());
}
