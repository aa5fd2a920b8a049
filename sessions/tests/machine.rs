//! Tests single cases of the state machine.
use decision::Time;
use sessions::machine::{Action, Event, Machine, Now, Push, RejectionReason, Settings};
use sessions::{AFTER_EVERY_COMMIT, SessionKey};

const LEASE: i64 = 300_000;

fn now(at: i64) -> Now {
    Now { at: Time(at), commit_upper_bound: Some(Time(at + 7)) }
}

fn settings() -> Settings {
    Settings {
        instance: 1,
        incarnation: 10,
        lease: LEASE,
        max_buffered_commits: 4,
        max_sessions: 100,
        durable: true,
        incomplete: false,
    }
}

/// A state machine to which a test passes events with explicit times.
struct TestMachine(Machine);

impl TestMachine {
    fn new(settings: Settings) -> TestMachine {
        TestMachine(Machine::new(settings, [], None))
    }

    fn handle(&mut self, at: i64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.0.handle(now(at), event, &mut actions);
        actions
    }

    /// A machine with one peer, which has accepted a connection and was granted a lease at `at`.
    fn with_peer(at: i64) -> TestMachine {
        let mut machine = TestMachine::new(settings());
        machine.handle(0, Event::PeersListed { peers: vec![1, 2] });
        machine.handle(at, Event::Accepted { peer: 2, incarnation: 0, last_seq: 0 });
        machine.handle(at, Event::LeaseRequested { peer: 2, requested_at: 77 });
        machine
    }
}

#[test]
fn write_is_acknowledged_after_journal_sync_and_peer_confirmation() {
    let mut machine = TestMachine::with_peer(1000);
    let actions =
        machine.handle(2000, Event::Commit { ack: 1, session: SessionKey(5), committed_at: Time(1990) });
    assert_eq!(actions[0], Action::AppendCommit { seq: 1, session: SessionKey(5), committed_at: Time(1990) });
    assert_eq!(
        actions[1],
        Action::SendPush { peer: 2, push: Push::Commits { first: 1, entries: vec![(SessionKey(5), 1990)] } }
    );
    assert_eq!(machine.handle(2100, Event::JournalSynced { seq: 1 }), []);
    assert_eq!(machine.handle(2200, Event::Confirmed { peer: 2, seq: 1 }), [Action::Acknowledge { ack: 1 }]);
    // The order of confirmation and sync does not matter.
    machine.handle(2300, Event::Commit { ack: 2, session: SessionKey(5), committed_at: Time(2290) });
    assert_eq!(machine.handle(2400, Event::Confirmed { peer: 2, seq: 2 }), []);
    assert_eq!(machine.handle(2500, Event::JournalSynced { seq: 2 }), [Action::Acknowledge { ack: 2 }]);
}

#[test]
fn disconnected_peer_delays_writes_until_its_lease_expires() {
    let mut machine = TestMachine::with_peer(1000);
    machine.handle(2000, Event::Commit { ack: 1, session: SessionKey(5), committed_at: Time(1990) });
    machine.handle(2000, Event::OutboundDisconnected { peer: 2 });
    let lease_end = 1000 + LEASE * 5 / 4;
    assert_eq!(machine.handle(lease_end - 1, Event::JournalSynced { seq: 1 }), []);
    assert_eq!(machine.handle(lease_end, Event::Tick), [Action::Acknowledge { ack: 1 }]);
    // A peer that has not connected yet may still hold a lease granted by an earlier start.
    let mut machine = TestMachine::new(settings());
    machine.handle(0, Event::PeersListed { peers: vec![1, 2] });
    machine.handle(10, Event::Commit { ack: 1, session: SessionKey(5), committed_at: Time(9) });
    assert_eq!(machine.handle(LEASE, Event::JournalSynced { seq: 1 }), []);
    assert_eq!(machine.handle(LEASE * 5 / 4, Event::Tick), [Action::Acknowledge { ack: 1 }]);
}

#[test]
fn lease_counts_from_request_and_reads_without_lease_require_all_commits() {
    let mut machine = TestMachine::new(settings());
    machine.handle(0, Event::PeersListed { peers: vec![1, 2] });
    assert_eq!(machine.0.required_position(SessionKey(1), now(50)), Some(Time(57)));
    assert_eq!(
        machine.0.required_position(SessionKey(1), Now { at: Time(50), commit_upper_bound: None }),
        Some(AFTER_EVERY_COMMIT)
    );
    let actions = machine.handle(100, Event::HelloReceived { peer: 2, incarnation: 5 });
    assert_eq!(
        actions,
        [
            Action::Accept { peer: 2, incarnation: 5, last_seq: 0 },
            Action::RequestLease { peer: 2, requested_at: 100 }
        ]
    );
    machine.handle(
        150,
        Event::PushReceived { peer: 2, push: Push::Snapshot { entries: vec![(SessionKey(1), 40)] } },
    );
    machine
        .handle(160, Event::PushReceived { peer: 2, push: Push::SnapshotComplete { seq: 3, floor: None } });
    machine.handle(90_000, Event::PushReceived { peer: 2, push: Push::LeaseGrant { requested_at: 100 } });
    assert_eq!(machine.0.required_position(SessionKey(1), now(100 + LEASE - 1)), Some(Time(40)));
    assert_eq!(machine.0.required_position(SessionKey(2), now(100 + LEASE - 1)), None);
    assert_eq!(machine.0.required_position(SessionKey(2), now(100 + LEASE)), Some(Time(100 + LEASE + 7)));
    // A grant that is received too late, or was never requested, has no effect.
    machine.handle(500_000, Event::PushReceived { peer: 2, push: Push::LeaseGrant { requested_at: 100 } });
    machine
        .handle(500_000, Event::PushReceived { peer: 2, push: Push::LeaseGrant { requested_at: 900_000 } });
    assert!(!machine.0.peers_up_to_date(Time(500_001)));
    // A gap in the commit numbers closes the connection.
    let gap = Push::Commits { first: 5, entries: vec![(SessionKey(9), 1)] };
    assert_eq!(
        machine.handle(500_100, Event::PushReceived { peer: 2, push: gap }),
        [Action::Disconnect { peer: 2 }]
    );
}

#[test]
fn floor_covers_unknown_writes_of_peer_that_is_down() {
    let mut machine = TestMachine::new(settings());
    machine.handle(0, Event::PeersListed { peers: vec![1, 2] });
    machine.handle(1000, Event::ConnectionRefused { peer: 2, attempted_at: Time(900) });
    // Writes that the peer acknowledged are unknown here, so reads require everything committed up to this
    // time.
    assert_eq!(machine.0.required_position(SessionKey(1), now(2000)), Some(Time(1007)));
    // While refused connections follow each other within a lease, the floor does not rise.
    machine.handle(200_000, Event::ConnectionRefused { peer: 2, attempted_at: Time(199_900) });
    assert_eq!(machine.0.required_position(SessionKey(1), now(300_000)), Some(Time(1007)));
    // After a longer gap between refused connections, the peer may have run and acknowledged writes in
    // between.
    machine.handle(600_000, Event::ConnectionRefused { peer: 2, attempted_at: Time(599_900) });
    assert_eq!(machine.0.required_position(SessionKey(1), now(600_100)), Some(Time(600_007)));
}

#[test]
fn older_incarnation_is_rejected_and_superseded_one_fails_writes() {
    let mut machine = TestMachine::new(settings());
    machine.handle(0, Event::PeersListed { peers: vec![1, 2] });
    machine.handle(10, Event::HelloReceived { peer: 2, incarnation: 5 });
    assert_eq!(
        machine.handle(20, Event::HelloReceived { peer: 2, incarnation: 4 }),
        [Action::Reject { peer: 2, reason: RejectionReason::OlderIncarnation { newest: 5 } }]
    );
    assert_eq!(
        machine.handle(20, Event::HelloReceived { peer: 3, incarnation: 4 }),
        [Action::Reject { peer: 3, reason: RejectionReason::NotListed }]
    );
    // A start that no peer has accepted yet continues with a higher incarnation.
    assert_eq!(
        machine.handle(
            30,
            Event::Rejected { peer: 2, reason: RejectionReason::OlderIncarnation { newest: 12 } }
        ),
        [Action::AdoptIncarnation { incarnation: 13 }]
    );
    assert_eq!(machine.0.not_serving(), None);
    machine.handle(40, Event::Accepted { peer: 2, incarnation: 0, last_seq: 0 });
    machine.handle(50, Event::Commit { ack: 1, session: SessionKey(5), committed_at: Time(49) });
    let superseded = machine
        .handle(60, Event::Rejected { peer: 2, reason: RejectionReason::OlderIncarnation { newest: 20 } });
    assert_eq!(superseded, [Action::Superseded { newest_incarnation: 20 }, Action::Fail { ack: 1 }]);
    assert!(machine.0.not_serving().is_some());
    // An instance that a peer does not list serves no named sessions until the peer accepts it.
    let mut machine = TestMachine::new(settings());
    machine.handle(0, Event::PeersListed { peers: vec![1, 2] });
    machine.handle(10, Event::Rejected { peer: 2, reason: RejectionReason::NotListed });
    assert!(machine.0.not_serving().is_some());
    machine.handle(20, Event::Accepted { peer: 2, incarnation: 0, last_seq: 0 });
    assert_eq!(machine.0.not_serving(), None);
}

#[test]
fn removed_peer_raises_floor_and_delays_writes() {
    let mut machine = TestMachine::with_peer(1000);
    machine.handle(2000, Event::Commit { ack: 1, session: SessionKey(5), committed_at: Time(1990) });
    machine.handle(2000, Event::JournalSynced { seq: 1 });
    machine.handle(3000, Event::PeersListed { peers: vec![1] });
    // Reads require everything that the removed peer may have acknowledged, and writes wait until its lease
    // expires.
    assert_eq!(machine.0.required_position(SessionKey(1), now(4000)), Some(Time(3007)));
    assert_eq!(machine.handle(1000 + LEASE * 5 / 4 - 1, Event::Tick), []);
    assert_eq!(machine.handle(1000 + LEASE * 5 / 4, Event::Tick), [Action::Acknowledge { ack: 1 }]);
}

#[test]
fn short_disconnect_resumes_and_long_one_sends_snapshot() {
    let mut machine = TestMachine::with_peer(1000);
    for n in 1..=6 {
        machine.handle(2000, Event::Commit { ack: n, session: SessionKey(n), committed_at: Time(n as i64) });
    }
    machine.handle(3000, Event::OutboundDisconnected { peer: 2 });
    let reconnect = |machine: &mut TestMachine, stored_seq| {
        machine.handle(4000, Event::Accepted { peer: 2, incarnation: 10, last_seq: stored_seq })
    };
    let rest = Push::Commits { first: 5, entries: vec![(SessionKey(5), 5), (SessionKey(6), 6)] };
    assert_eq!(reconnect(&mut machine, 4), [Action::SendPush { peer: 2, push: rest }]);
    assert_eq!(reconnect(&mut machine, 6), []);
    // Only the last four commits are retained. A peer without commits of this start may also lack restored
    // commits.
    assert_eq!(reconnect(&mut machine, 1), [Action::SendSnapshot { peer: 2, seq: 6 }]);
    assert_eq!(reconnect(&mut machine, 0), [Action::SendSnapshot { peer: 2, seq: 6 }]);
}

#[test]
fn deleted_journal_acknowledges_writes_and_undeletable_one_fails_them() {
    let mut machine = TestMachine::new(settings());
    machine.handle(10, Event::Commit { ack: 1, session: SessionKey(5), committed_at: Time(9) });
    assert_eq!(machine.handle(20, Event::JournalDeleted), [Action::Acknowledge { ack: 1 }]);
    assert_eq!(
        machine.handle(30, Event::Commit { ack: 2, session: SessionKey(5), committed_at: Time(29) }),
        [Action::Acknowledge { ack: 2 }]
    );
    // The new file contains both commits. Later writes wait for a sync again.
    machine.handle(40, Event::JournalRestored { seq: 2 });
    assert_eq!(
        machine.handle(50, Event::Commit { ack: 3, session: SessionKey(5), committed_at: Time(49) }),
        [Action::AppendCommit { seq: 3, session: SessionKey(5), committed_at: Time(49) }]
    );
    // A journal that can be neither written nor deleted would be used by a later start, so no write is
    // acknowledged.
    assert_eq!(machine.handle(60, Event::JournalUndeletable), [Action::Fail { ack: 3 }]);
    assert!(
        machine
            .handle(70, Event::Commit { ack: 4, session: SessionKey(5), committed_at: Time(69) })
            .contains(&Action::Fail { ack: 4 })
    );
}

#[test]
fn incomplete_start_appends_floor_before_granting_leases() {
    let mut machine = TestMachine::new(Settings { incomplete: true, ..settings() });
    let unknown = Now { at: Time(10), commit_upper_bound: None };
    let mut actions = Vec::new();
    machine.0.handle(unknown, Event::PeersListed { peers: vec![1, 2] }, &mut actions);
    machine.0.handle(unknown, Event::Accepted { peer: 2, incarnation: 0, last_seq: 0 }, &mut actions);
    actions.clear();
    machine.0.handle(unknown, Event::LeaseRequested { peer: 2, requested_at: 5 }, &mut actions);
    assert_eq!(actions, []);
    let known = machine.handle(20, Event::LeaseRequested { peer: 2, requested_at: 6 });
    assert_eq!(known[0], Action::AppendFloor { floor: Time(27) });
    assert_eq!(
        known[1],
        Action::SendPush { peer: 2, push: Push::SnapshotComplete { seq: 0, floor: Some(27) } }
    );
    assert_eq!(known[2], Action::SendPush { peer: 2, push: Push::LeaseGrant { requested_at: 6 } });
}
