//! The state machine of the other processes: when commits may be missing.
use commit_exchange::{Peers, ServedBefore};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

#[test]
fn first_process_of_a_router_misses_nothing() {
    let mut peers = Peers::new(false);
    assert_eq!(peers.processes_counted(&names(&[])), [""; 0]);
    assert!(peers.is_empty() && !peers.take_commits_missing());
}

#[test]
fn later_process_misses_the_commits_of_its_predecessors_once() {
    let mut peers = Peers::new(true);
    assert!(peers.take_commits_missing());
    assert!(!peers.take_commits_missing());
}

#[test]
fn commits_are_missing_while_a_process_publishes_no_log() {
    let mut peers = Peers::new(false);
    peers.processes_counted(&names(&["old"]));
    assert!(peers.take_commits_missing() && peers.take_commits_missing());
    assert_eq!(peers.unavailable(), ["old"]);
    peers.log_opened("old", ServedBefore::No);
    assert!(!peers.take_commits_missing());
    peers.log_lost("old");
    assert!(peers.take_commits_missing() && peers.take_commits_missing());
}

#[test]
fn commits_from_before_a_late_log_are_missing_once() {
    let mut peers = Peers::new(false);
    peers.processes_counted(&names(&["old"]));
    peers.log_opened("old", ServedBefore::Yes);
    assert!(peers.take_commits_missing());
    assert!(!peers.take_commits_missing());
}

#[test]
fn ended_process_is_read_to_its_end_or_its_commits_are_missing_once() {
    let mut peers = Peers::new(false);
    peers.processes_counted(&names(&["read", "unread"]));
    peers.log_opened("read", ServedBefore::No);
    assert_eq!(peers.processes_counted(&names(&["unread"])), ["read"]);
    assert_eq!(peers.processes_counted(&names(&[])), [""; 0]);
    assert!(peers.take_commits_missing());
    assert!(!peers.take_commits_missing());
}

/// A step of the model: what happens to one of three processes.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start(usize),
    End(usize),
    OpenLog(usize, bool),
    LoseLog(usize),
    /// The process serves a commit, which its log contains if it is open.
    Commit(usize),
    Take,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_usize..3).prop_map(Step::Start),
        (0_usize..3).prop_map(Step::End),
        (0_usize..3, any::<bool>()).prop_map(|(process, late)| Step::OpenLog(process, late)),
        (0_usize..3).prop_map(Step::LoseLog),
        (0_usize..3).prop_map(Step::Commit),
        Just(Step::Take),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    /// A commit that was served while no open log could contain it is reported by the next call.
    #[test]
    fn unpublished_commit_is_reported_as_missing(steps in prop::collection::vec(step(), 1..60)) {
        const NAMES: [&str; 3] = ["a", "b", "c"];
        let mut peers = Peers::new(false);
        // Processes that are alive, and whether each one's log is open.
        let mut alive: BTreeMap<usize, bool> = BTreeMap::new();
        let mut unpublished = BTreeSet::new();
        for step in steps {
            match step {
                Step::Start(process) => _ = alive.entry(process).or_insert(false),
                Step::End(process) => _ = alive.remove(&process),
                Step::OpenLog(process, late) if alive.contains_key(&process) => {
                    let served = late || unpublished.contains(&process);
                    let served = if served { ServedBefore::Yes } else { ServedBefore::No };
                    peers.log_opened(NAMES[process], served);
                    alive.insert(process, true);
                }
                Step::LoseLog(process) if alive.contains_key(&process) => {
                    peers.log_lost(NAMES[process]);
                    alive.insert(process, false);
                }
                Step::Commit(process) => {
                    if alive.get(&process) == Some(&false) {
                        unpublished.insert(process);
                    }
                }
                Step::Take => {
                    let missing = peers.take_commits_missing();
                    prop_assert!(missing || unpublished.is_empty(), "{unpublished:?} not reported");
                    unpublished.clear();
                }
                Step::OpenLog(..) | Step::LoseLog(_) => {}
            }
            // The count follows each change at once; until then nothing was served by a new process.
            let counted = alive.keys().map(|process| NAMES[*process].to_string()).collect();
            peers.processes_counted(&counted);
        }
    }
}
