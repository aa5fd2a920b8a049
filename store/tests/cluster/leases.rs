//! Leases as clients use them.
use crate::support::{Cluster, next_changes, next_snapshot, unconditional};
use std::time::{Duration, Instant};
use store::Rejection;
use store::change_log::RetentionLimits;
use store::client::{Client, ClientError, Lease, UpdateOptions};

/// Requests a lease until its current holder's lease has ended.
pub(crate) fn grant_when_free(client: &Client, name: &str, ttl: Duration) -> Lease {
    loop {
        match client.grant(name, ttl) {
            Ok(lease) => return lease,
            Err(e) => {
                assert!(matches!(e, ClientError::Rejected(Rejection::LeaseHeld { .. })), "{e}");
            }
        }
    }
}

#[test]
fn lease_ends_for_its_holder_before_it_ends_in_the_store() {
    let cluster = Cluster::new(3, RetentionLimits::default());
    let (holder, contender) = (cluster.client(0), cluster.client(1));
    let ttl = Duration::from_millis(1200);
    let lease = holder.grant("shard", ttl).unwrap();
    let under_lease = UpdateOptions {
        fencing_token: Some(lease.token.clone()),
        lease_epoch: Some(lease.token.epoch),
        ..unconditional()
    };
    holder.put("owner", "one", under_lease.clone()).unwrap();
    let keeper = holder.keep_alive(lease.clone()).unwrap();
    let started = Instant::now();
    while started.elapsed() < ttl * 3 / 2 {
        let contended = contender.grant("shard", ttl);
        assert!(matches!(contended, Err(ClientError::Rejected(Rejection::LeaseHeld { .. }))));
        assert!(keeper.is_valid());
    }
    let watch = contender.watch("owner", None).unwrap();
    assert_eq!(next_snapshot(&watch).entries[0].1.text, "one");
    drop(keeper);
    let next = grant_when_free(&contender, "shard", ttl);
    assert_eq!(next_changes(&watch).1, vec![("owner".into(), None)]);
    assert!(next.token.epoch > lease.token.epoch);
    let fenced = holder.put("owner", "one", under_lease);
    assert!(matches!(fenced, Err(ClientError::Rejected(Rejection::Fenced { highest_epoch }))
        if highest_epoch == next.token.epoch));
    contender.revoke(&next).unwrap();
    holder.grant("shard", ttl).unwrap();
}
