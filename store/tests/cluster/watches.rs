//! Watches that resume, and slow ones.
use crate::support::{Cluster, next_changes, next_snapshot, unconditional};
use store::change_log::RetentionLimits;
use store::wire::{Consistency, WatchPosition};

#[test]
fn watch_resumes_at_its_position_and_rereads_compacted_changes() {
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
    // Resumed at another node, after its position and nothing else.
    let resumed_at = WatchPosition { revision: revisions[0], ..start };
    let watch = cluster.client(2).watch("a/", Some(resumed_at)).unwrap();
    for revision in &revisions[1..] {
        assert_eq!(next_changes(&watch).0, *revision);
    }
    for n in 0..9 {
        client.put("b", &n.to_string(), unconditional()).unwrap();
    }
    // Changes of other keys have moved it on: nothing that it needs is compacted.
    let last = client.put("a/2", "x", unconditional()).unwrap().revision;
    assert_eq!(next_changes(&watch), (last, vec![("a/2".into(), Some("x".into()))]));
    // The node has caught up before it is watched.
    cluster.client(0).get("a/2", Consistency::Linearizable).unwrap();
    let behind = cluster.client(0).watch("a/", Some(resumed_at)).unwrap();
    let snapshot = next_snapshot(&behind);
    assert!(snapshot.compacted && snapshot.position.revision >= last && snapshot.entries.len() == 2);
    // A position of another store, and one that is not reached yet, mean nothing here.
    let other_store = WatchPosition { store_id: start.store_id ^ 1, ..start };
    let future = WatchPosition { revision: 1 << 40, ..start };
    for position in [other_store, future] {
        assert!(next_snapshot(&cluster.client(0).watch("a/", Some(position)).unwrap()).compacted);
    }
    let deleted = client.delete("a/2", unconditional()).unwrap().revision;
    assert_eq!(next_changes(&behind), (deleted, vec![("a/2".into(), None)]));
}

#[test]
fn slow_watch_is_cut_and_resumes_without_a_gap() {
    let cluster = Cluster::new(1, RetentionLimits { max_revisions: 4096, max_bytes: 64 << 20 });
    let client = cluster.client(0);
    let watch = cluster.client(0).watch("", None).unwrap();
    next_snapshot(&watch);
    let text = "x".repeat(60_000);
    // More than its queue and the sockets hold: the node can't wait until all of it is received.
    let put = |n: u32| client.put(&format!("k{}", n % 20), &text, unconditional()).unwrap().revision;
    let revisions: Vec<u64> = (0..500).map(put).collect();
    for revision in revisions {
        assert_eq!(next_changes(&watch).0, revision);
    }
}
