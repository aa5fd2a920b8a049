//! Tests of a simulated server's replication position and of its capacity while it warms up.
use decision::Time;
use simulator::node::Node;

#[test]
fn replica_position_is_just_before_oldest_unapplied_commit() {
    let mut node = Node::new(0, 0, false);
    assert_eq!(node.position(Time(1000), 100), Time(900));
    node.receive_commit(Time(1100), Time(1000), 50);
    node.receive_commit(Time(1100), Time(1010), 50);
    assert_eq!(node.position(Time(1149), 100), Time(999));
    assert_eq!(node.position(Time(1150), 100), Time(1009));
    assert_eq!(node.position(Time(1200), 100), Time(1100));
    // With a slow disk the replica lags, and its position never decreases.
    node.disk_slowdown = 10.0;
    node.receive_commit(Time(1300), Time(1250), 50);
    assert_eq!(node.position(Time(1700), 100), Time(1249));
}

#[test]
fn capacity_share_increases_after_a_start() {
    let mut node = Node::new(0, 0, false);
    assert_eq!(node.capacity_share(Time(5), 0.25, 100), 1.0);
    node.stop();
    node.start(Time(1000));
    let shares = [1000, 1050].map(|now| node.capacity_share(Time(now), 0.25, 100));
    assert_eq!(shares, [0.25, 0.625]);
    assert_eq!(node.capacity_share(Time(9000), 0.25, 100), 1.0);
}
