//! Reads and writes at arbitrary nodes.
use crate::support::{Cluster, TEST_TIMEOUT, at_version, next_changes, next_snapshot, unconditional};
use std::time::Duration;
use store::Rejection;
use store::change_log::RetentionLimits;
use store::client::{Client, ClientError, Settings};
use store::wire::Consistency;
use test_servers::proxy::Proxy;

#[test]
fn any_node_accepts_writes_and_linearizable_reads() {
    let cluster = Cluster::new(3, RetentionLimits::default());
    let clients: Vec<Client> = (0..3).map(|i| cluster.client(i)).collect();
    let mut revision = 0;
    for n in 0..30 {
        let updated = clients[n % 3].put("a/k", &n.to_string(), at_version(n as u64)).unwrap();
        assert_eq!(updated.version, n as u64 + 1);
        assert!(updated.revision > revision && updated.term > 0);
        revision = updated.revision;
        let read = clients[(n + 1) % 3].get("a/k", Consistency::Linearizable).unwrap();
        let header = read.header;
        let found = (header.consistency, header.revision, header.term);
        assert_eq!(found, (Consistency::Linearizable, revision, updated.term));
        assert_eq!(read.value.unwrap().text, n.to_string());
    }
    let local = clients[0].list("a/", Consistency::Local).unwrap();
    assert_eq!(local.header.consistency, Consistency::Local);
    assert!(local.header.revision <= revision);
    let stale = clients[0].put("a/k", "x", at_version(3));
    assert!(matches!(stale, Err(ClientError::Rejected(Rejection::VersionMismatch { current: 30 }))));
    assert_eq!(clients[0].delete("a/k", unconditional()).unwrap().version, 0);
    assert_eq!(clients[1].get("a/k", Consistency::Linearizable).unwrap().value, None);
}

#[test]
fn write_with_a_lost_response_is_applied_once() {
    let cluster = Cluster::new(3, RetentionLimits::default());
    let link = Proxy::start(cluster.clients[0]);
    let nodes = vec![link.addr, cluster.clients[1]];
    let attempt_timeout = Duration::from_millis(300);
    let client =
        Client::new(Settings { attempt_timeout, call_timeout: TEST_TIMEOUT, ..Settings::new(nodes, 1) });
    client.put("a", "1", at_version(0)).unwrap();
    // A majority has applied the write, but perhaps not the watched node. The read makes sure that the watch
    // starts after the write.
    let watched = cluster.client(2);
    assert_eq!(watched.get("a", Consistency::Linearizable).unwrap().value.unwrap().text, "1");
    let watch = watched.watch("", None).unwrap();
    let before = next_snapshot(&watch).position;
    // The first node's responses are lost: the write is applied there and retried at the second node.
    link.update_faults(|f| f.drop_from_target = true);
    let retried = client.put("a", "2", at_version(1)).unwrap();
    assert_eq!(retried.version, 2);
    let next = client.put("a", "3", at_version(2)).unwrap();
    assert_eq!(next_changes(&watch), (retried.revision, vec![("a".into(), Some("2".into()))]));
    assert_eq!(next_changes(&watch), (next.revision, vec![("a".into(), Some("3".into()))]));
    assert!(retried.revision > before.revision);
}
