//! Tests of process presence: files of live, dead and killed processes.
use maintenance::{OtherProcesses, ProcessPresence, SharedFolderError, StateFile};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};

fn others(alive: usize, ready: usize) -> OtherProcesses {
    OtherProcesses { alive, ready }
}

fn file_count(folder: &Path) -> usize {
    std::fs::read_dir(folder).unwrap().count()
}

#[test]
fn live_processes_count_each_other_and_those_that_are_ready() {
    let folder = tempfile::tempdir().unwrap();
    let mut first = ProcessPresence::register(folder.path(), 1).unwrap();
    assert_eq!(first.count_others(), others(0, 0));
    let mut second = ProcessPresence::register(folder.path(), 1).unwrap();
    assert_eq!((first.count_others(), second.count_others()), (others(1, 0), others(1, 0)));
    second.mark_ready().unwrap();
    assert_eq!((first.count_others(), second.count_others()), (others(1, 1), others(1, 0)));
    first.mark_ready().unwrap();
    drop(second);
    assert_eq!((first.count_others(), file_count(folder.path())), (others(0, 0), 1));
}

#[test]
fn files_of_dead_processes_are_removed_and_recent_temporary_files_stay() {
    let folder = tempfile::tempdir().unwrap();
    let presence = ProcessPresence::register(folder.path(), 1).unwrap();
    let dead = folder.path().join("damsonvale-present-2-0");
    std::fs::write(&dead, "ready   \n").unwrap();
    // Another process inspects the file at the same time.
    let inspected = std::fs::File::open(dead).unwrap();
    inspected.lock_shared().unwrap();
    std::fs::write(folder.path().join("damsonvale-present-3-0.new"), "").unwrap();
    let abandoned = std::fs::File::create(folder.path().join("damsonvale-present-4-0.new")).unwrap();
    abandoned.set_modified(std::time::UNIX_EPOCH).unwrap();
    std::fs::write(folder.path().join("another"), "").unwrap();
    assert_eq!((presence.count_others(), file_count(folder.path())), (others(0, 0), 3));
}

#[test]
fn live_process_is_counted_while_others_register_and_drop() {
    let folder = tempfile::tempdir().unwrap();
    let first = ProcessPresence::register(folder.path(), 1).unwrap();
    let register_and_drop = || {
        for _ in 0..200 {
            let presence = ProcessPresence::register(folder.path(), 2).unwrap();
            assert!(presence.count_others().alive >= 1 && first.count_others().alive >= 1);
        }
    };
    std::thread::scope(|scope| {
        [(); 3].map(|()| scope.spawn(register_and_drop)).map(|thread| thread.join().unwrap())
    });
    assert_eq!((first.count_others(), file_count(folder.path())), (others(0, 0), 1));
}

/// Not a test by itself: the child process that the next test kills.
#[test]
fn child_process() {
    let Some(folder) = std::env::var_os("MAINTENANCE_CHILD_FOLDER") else { return };
    let file = StateFile::open(Path::new(&folder)).unwrap();
    let _locked = file.lock().unwrap();
    let mut presence = ProcessPresence::register(Path::new(&folder), std::process::id()).unwrap();
    presence.mark_ready().unwrap();
    println!("\nup");
    std::io::stdin().read_line(&mut String::new()).unwrap();
}

#[test]
fn killed_process_is_not_counted_and_releases_its_lock() {
    let folder = tempfile::tempdir().unwrap();
    let presence = ProcessPresence::register(folder.path(), std::process::id()).unwrap();
    let file = StateFile::open(folder.path()).unwrap();
    // If this test fails, the child ends when its input is closed.
    let mut child = Command::new(std::env::current_exe().unwrap())
        .args(["child_process", "--exact", "--nocapture"])
        .env("MAINTENANCE_CHILD_FOLDER", folder.path())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let output = BufReader::new(child.stdout.take().unwrap());
    assert!(output.lines().any(|line| line.unwrap() == "up"));
    assert_eq!(presence.count_others(), others(1, 1));
    assert!(matches!(file.lock(), Err(SharedFolderError::LockTimeout { .. })));
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!(presence.count_others(), others(0, 0));
    assert!(file.lock().is_ok());
    assert_eq!(file_count(folder.path()), 2, "one presence file and the lock file");
}
