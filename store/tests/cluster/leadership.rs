//! A leader that is partitioned from the other nodes.
use crate::leases::grant_when_free;
use crate::support::{Cluster, TEST_TIMEOUT, at_version, next_changes, next_snapshot, unconditional};
use std::time::{Duration, Instant};
use store::Rejection;
use store::change_log::RetentionLimits;
use store::client::ClientError;
use store::wire::Consistency;

#[test]
fn partitioned_leader_serves_no_stale_reads_and_its_leases_remain_held() {
    let cluster = Cluster::new(3, RetentionLimits::default());
    let leader = cluster.leader();
    let client = cluster.client((leader + 1) % 3);
    client.put("a", "1", unconditional()).unwrap();
    let ttl = Duration::from_millis(1500);
    let lease = cluster.client(leader).grant("shard", ttl).unwrap();
    let watch = cluster.client(leader).watch("", None).unwrap();
    next_snapshot(&watch);
    cluster.partition(leader);
    let partitioned = Instant::now();
    let updated = client.put("a", "2", at_version(1)).unwrap();
    assert!(updated.term > 1);
    // The new leader restarts the full countdown: the lease does not expire before its time to live has
    // passed since the partition.
    let next = grant_when_free(&client, "shard", ttl);
    assert!(partitioned.elapsed() >= ttl && next.token.epoch > lease.token.epoch);
    // The old leader returns the old value, marked as a local read.
    let partitioned_client = cluster.short_timeout_client(leader);
    let local = partitioned_client.get("a", Consistency::Local).unwrap();
    assert_eq!((local.header.consistency, local.value.unwrap().text), (Consistency::Local, "1".into()));
    assert!(matches!(
        partitioned_client.get("a", Consistency::Linearizable),
        Err(ClientError::Unavailable(_))
    ));
    assert!(partitioned_client.put("a", "3", unconditional()).is_err());
    // The watch resumes at another node.
    assert_eq!(next_changes(&watch), (updated.revision, vec![("a".into(), Some("2".into()))]));
    cluster.heal(leader);
    let healed = cluster.client(leader).get("a", Consistency::Linearizable).unwrap();
    assert_eq!(healed.value.unwrap().text, "2");
    let renewed = cluster.client(leader).renew(&mut lease.clone());
    assert!(matches!(renewed, Err(ClientError::Rejected(Rejection::Fenced { highest_epoch }))
        if highest_epoch == next.token.epoch));
}

#[test]
fn read_as_leader_succeeds_only_at_a_leader_with_a_quorum() {
    let cluster = Cluster::new(3, RetentionLimits::default());
    let leader = cluster.leader();
    cluster.client(leader).put("a", "1", unconditional()).unwrap();
    let read = cluster.nodes[leader].read_as_leader().unwrap().unwrap();
    let known_term = cluster.nodes[leader].known_leader().term;
    assert_eq!((read.state.get("a").unwrap().text.as_str(), read.term), ("1", known_term));
    for other in cluster.others(leader) {
        // A follower can read, but that does not make it the leader.
        assert!(cluster.nodes[other].read().is_ok());
        assert!(matches!(cluster.nodes[other].read_as_leader(), Ok(None)));
    }
    cluster.partition(leader);
    // The partitioned node may still believe that it is the leader, but no majority confirms it.
    assert!(!matches!(cluster.nodes[leader].read_as_leader(), Ok(Some(_))));
    let started = Instant::now();
    let leads_later_term = |node: usize| {
        let later = cluster.nodes[node].read_as_leader();
        matches!(later, Ok(Some(later)) if later.term > read.term)
    };
    while !cluster.others(leader).any(leads_later_term) {
        assert!(started.elapsed() < TEST_TIMEOUT);
    }
    assert!(!matches!(cluster.nodes[leader].read_as_leader(), Ok(Some(_))));
}
