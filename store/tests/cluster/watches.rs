//! Watches that resume at a position, and watches that are too slow.
use crate::support::{Cluster, next_changes, next_snapshot, unconditional};
use store::change_log::RetentionLimits;
use store::wire::{Consistency, WatchPosition};

#[test]
fn watch_resumes_at_its_position_or_rereads_all_keys_after_compaction() {
    let cluster = Cluster::new(3, RetentionLimits { max_revisions: 8, max_bytes: 1 << 20 });
    let client = cluster.client(0);
    client.put("a/1", "0", unconditional()).unwrap();
    let watch = cluster.client(1).watch("a/", None).unwrap();
    let first = next_snapshot(&watch);
    assert!(!first.compacted && first.entries.len() <= 1);
    let start = first.position;
    drop(watch);
    let put = |n: u32| client.put("a/1", &n.to_string(), unconditional()).unwrap().revision;
    let revisions: Vec<u64> = (1..5).map(put).collect();
    client.put("b", "0", unconditional()).unwrap();
    // The watch resumes at another node and receives only the changes after its position.
    let resumed_at = WatchPosition { revision: revisions[0], ..start };
    let watch = cluster.client(2).watch("a/", Some(resumed_at)).unwrap();
    for revision in &revisions[1..] {
        assert_eq!(next_changes(&watch).0, *revision);
    }
    for n in 0..9 {
        client.put("b", &n.to_string(), unconditional()).unwrap();
    }
    // Progress messages for other keys have advanced the position of the watch, so no change that the watch
    // needs is compacted.
    let last = client.put("a/2", "x", unconditional()).unwrap().revision;
    assert_eq!(next_changes(&watch), (last, vec![("a/2".into(), Some("x".into()))]));
    // The read makes sure that the node has caught up before the watch starts.
    cluster.client(0).get("a/2", Consistency::Linearizable).unwrap();
    let compacted_watch = cluster.client(0).watch("a/", Some(resumed_at)).unwrap();
    let snapshot = next_snapshot(&compacted_watch);
    assert!(snapshot.compacted && snapshot.position.revision >= last && snapshot.entries.len() == 2);
    // A position of another store, or a position that has not been reached yet, is invalid: the watch starts
    // with a snapshot.
    let other_store = WatchPosition { store_id: start.store_id ^ 1, ..start };
    let future = WatchPosition { revision: 1 << 40, ..start };
    for position in [other_store, future] {
        assert!(next_snapshot(&cluster.client(0).watch("a/", Some(position)).unwrap()).compacted);
    }
    let deleted = client.delete("a/2", unconditional()).unwrap().revision;
    assert_eq!(next_changes(&compacted_watch), (deleted, vec![("a/2".into(), None)]));
}

#[test]
fn slow_watch_is_closed_and_resumes_without_a_gap() {
    let cluster = Cluster::new(1, RetentionLimits { max_revisions: 4096, max_bytes: 64 << 20 });
    let client = cluster.client(0);
    let watch = cluster.client(0).watch("", None).unwrap();
    next_snapshot(&watch);
    let text = "x".repeat(60_000);
    // The writes amount to more data than the watch's queue and the socket buffers can take, so that the node
    // cannot send all changes.
    let put = |n: u32| client.put(&format!("k{}", n % 20), &text, unconditional()).unwrap().revision;
    let revisions: Vec<u64> = (0..500).map(put).collect();
    for revision in revisions {
        assert_eq!(next_changes(&watch).0, revision);
    }
}
