//! The exchange of commits through files: what another process sees, and when it knows that commits are missing.
use commit_exchange::{CommitExchange, ReceivedCommits, ServedBefore, SharedCommit};
use decision::{GroupId, SessionId};
use std::collections::BTreeSet;
use std::path::Path;
use tempfile::TempDir;

/// The first bytes of a log: the header of a process that had served clients before, and one record.
const RECORDED_LOG: &str = "6476636f6d6d6974010000000100000000100000ce2ad0ae0100000000000000070000000000000007401e18240a06000300000024f28ef1";
/// More records than a log holds.
const MORE_THAN_A_LOG: u64 = 5000;

/// The exchange of one process, which knows by name which others are alive.
struct Process {
    exchange: CommitExchange,
    name: &'static str,
}

impl Process {
    fn start(folder: &Path, name: &'static str, has_predecessor: bool) -> Process {
        let exchange = CommitExchange::default();
        exchange.join(folder, name.to_string(), has_predecessor);
        Process { exchange, name }
    }

    /// Counts the other processes.
    fn count(&self, alive: &[&str], served: ServedBefore) {
        let others: BTreeSet<String> =
            alive.iter().filter(|name| **name != self.name).map(ToString::to_string).collect();
        self.exchange.update_processes(&others, served).unwrap();
    }

    fn publish(&self, n: u64) {
        self.exchange.publish(&commit(n)).unwrap();
    }

    fn receive(&self) -> ReceivedCommits {
        self.exchange.receive()
    }
}

fn commit(n: u64) -> SharedCommit {
    SharedCommit { group: GroupId(3), session: SessionId(n), commit_us: 1_700_000_000_000_000 + n as i64 }
}

fn received(commits: impl IntoIterator<Item = u64>, commits_missing: bool) -> ReceivedCommits {
    ReceivedCommits { commits: commits.into_iter().map(commit).collect(), commits_missing }
}

fn file_count(folder: &TempDir) -> usize {
    std::fs::read_dir(folder.path()).unwrap().count()
}

/// Two processes that receive each other's commits. The old one served clients before the new one started.
fn connected_pair(folder: &TempDir) -> (Process, Process) {
    let old = Process::start(folder.path(), "old", false);
    old.count(&["old"], ServedBefore::Yes);
    let new = Process::start(folder.path(), "new", true);
    new.count(&["old", "new"], ServedBefore::No);
    assert!(!new.exchange.all_peers_publish());
    old.count(&["old", "new"], ServedBefore::Yes);
    new.count(&["old", "new"], ServedBefore::No);
    assert!(new.exchange.all_peers_publish() && old.exchange.all_peers_publish());
    assert_eq!(new.receive(), received([], true), "commits from before the log of the old process");
    assert_eq!(old.receive(), received([], false), "the new process has served nothing without a log");
    (old, new)
}

#[test]
fn process_that_is_alone_uses_no_files() {
    let folder = tempfile::tempdir().unwrap();
    let process = Process::start(folder.path(), "old", false);
    process.count(&["old"], ServedBefore::Yes);
    process.publish(1);
    assert_eq!((process.receive(), file_count(&folder)), (received([], false), 0));
}

/// Guards against a session that misses its own write, because it reads through another process of the router.
#[test]
fn published_commit_is_received_at_once_in_both_directions() {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = connected_pair(&folder);
    for n in 0..3 {
        old.publish(n);
        assert_eq!(new.receive(), received([n], false));
        new.publish(100 + n);
        new.publish(200 + n);
        assert_eq!(old.receive(), received([100 + n, 200 + n], false));
    }
    assert_eq!(new.receive(), received([], false));
}

#[test]
fn last_commits_of_an_ended_process_are_received() {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = connected_pair(&folder);
    old.publish(1);
    drop(old);
    new.count(&["new"], ServedBefore::Yes);
    assert_eq!(new.receive(), received([1], false));
    assert_eq!(file_count(&folder), 0, "no log is left once the process is alone");
}

#[test]
fn commits_of_a_process_that_shares_none_are_missing_until_after_its_end() {
    let folder = tempfile::tempdir().unwrap();
    let new = Process::start(folder.path(), "new", false);
    new.count(&["old", "new"], ServedBefore::No);
    assert_eq!(new.receive(), received([], true));
    assert_eq!(new.receive(), received([], true));
    new.count(&["new"], ServedBefore::Yes);
    assert_eq!(new.receive(), received([], true));
    assert_eq!(new.receive(), received([], false));
}

#[test]
fn logs_of_earlier_processes_are_removed_at_the_start() {
    let folder = tempfile::tempdir().unwrap();
    drop(connected_pair(&folder));
    let next = Process::start(folder.path(), "next", true);
    next.count(&["next"], ServedBefore::No);
    assert_eq!((next.receive(), file_count(&folder)), (received([], true), 0));
}

#[test]
fn removed_log_means_missing_commits_until_there_is_a_new_one() {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = connected_pair(&folder);
    std::fs::remove_file(folder.path().join("damsonvale-commits-old")).unwrap();
    old.publish(1);
    assert!(new.receive().commits_missing);
    new.count(&["old", "new"], ServedBefore::Yes);
    assert!(new.receive().commits_missing);
    old.count(&["old", "new"], ServedBefore::Yes);
    new.count(&["old", "new"], ServedBefore::Yes);
    assert!(new.receive().commits_missing, "commits from before the new log");
    old.publish(2);
    assert_eq!(new.receive(), received([2], false));
}

#[test]
fn reader_that_falls_behind_by_a_whole_log_reports_missing_commits() {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = connected_pair(&folder);
    (0..MORE_THAN_A_LOG).for_each(|n| old.publish(n));
    let after_gap = new.receive();
    assert!(after_gap.commits_missing);
    assert_eq!(after_gap.commits.last(), Some(&commit(MORE_THAN_A_LOG - 1)));
    old.publish(1);
    assert_eq!(new.receive(), received([1], false));
}

#[test]
fn damaged_record_or_foreign_file_means_missing_commits() {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = connected_pair(&folder);
    old.publish(1);
    let path = folder.path().join("damsonvale-commits-old");
    let mut content = std::fs::read(&path).unwrap();
    content[30] ^= 1;
    std::fs::write(&path, &content).unwrap();
    assert!(new.receive().commits_missing);
    let reader = Process::start(folder.path(), "third", false);
    std::fs::write(&path, "another file").unwrap();
    let others = BTreeSet::from(["old".to_string()]);
    assert!(reader.exchange.update_processes(&others, ServedBefore::No).is_err());
    assert!(reader.receive().commits_missing);
}

#[test]
fn third_process_receives_from_both_others() {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = connected_pair(&folder);
    let third = Process::start(folder.path(), "third", true);
    let alive = ["old", "new", "third"];
    for _ in 0..2 {
        for process in [&third, &old, &new] {
            process.count(&alive, if process.name == "third" { ServedBefore::No } else { ServedBefore::Yes });
        }
    }
    assert!(third.receive().commits_missing);
    old.publish(1);
    new.publish(2);
    let mut commits = third.receive();
    commits.commits.sort_by_key(|commit| commit.commit_us);
    assert_eq!(commits, received([1, 2], false));
    drop(old);
    for process in [&third, &new] {
        process.count(&["new", "third"], ServedBefore::Yes);
    }
    third.publish(3);
    assert_eq!(new.receive(), received([1, 3], false));
}

/// Processes of different versions share the logs, so that their bytes must not change.
#[test]
fn log_matches_the_recorded_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let (old, _new) = connected_pair(&folder);
    old.publish(7);
    let bytes = std::fs::read(folder.path().join("damsonvale-commits-old")).unwrap();
    let hex: String = bytes[..56].iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!((hex.as_str(), bytes.len()), (RECORDED_LOG, 24 + 4096 * 32));
}
