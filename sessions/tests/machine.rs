//! The state machine, a case at a time.
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

/// A machine that is fed events at given times.
struct Driven(Machine);

impl Driven {
    fn new(settings: Settings) -> Driven {
        Driven(Machine::new(settings, [], None))
    }

    fn handle(&mut self, at: i64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.0.handle(now(at), event, &mut actions);
        actions
    }

    /// With a peer that has accepted our commits and has a lease until `at` and five quarters of one.
    fn with_peer(at: i64) -> Driven {
        let mut driven = Driven::new(settings());
        driven.handle(0, Event::PeersListed { peers: vec![1, 2] });
        driven.handle(at, Event::Accepted { peer: 2, incarnation: 0, last_seq: 0 });
        driven.handle(at, Event::LeaseRequested { peer: 2, requested_at: 77 });
        driven
    }
}

#[test]
fn write_is_released_once_disk_and_peers_hold_it() {
    let mut driven = Driven::with_peer(1000);
    let actions =
        driven.handle(2000, Event::Commit { ack: 1, session: SessionKey(5), committed_at: Time(1990) });
    assert_eq!(actions[0], Action::AppendCommit { seq: 1, session: SessionKey(5), committed_at: Time(1990) });
    assert_eq!(
        actions[1],
        Action::SendPush { peer: 2, push: Push::Commits { first: 1, entries: vec![(SessionKey(5), 1990)] } }
    );
    assert_eq!(driven.handle(2100, Event::JournalSynced { seq: 1 }), []);
    assert_eq!(driven.handle(2200, Event::Confirmed { peer: 2, seq: 1 }), [Action::Acknowledge { ack: 1 }]);
    // The other way round as well.
    driven.handle(2300, Event::Commit { ack: 2, session: SessionKey(5), committed_at: Time(2290) });
    assert_eq!(driven.handle(2400, Event::Confirmed { peer: 2, seq: 2 }), []);
    assert_eq!(driven.handle(2500, Event::JournalSynced { seq: 2 }), [Action::Acknowledge { ack: 2 }]);
}

#[test]
fn silent_peer_delays_writes_until_its_lease_ends() {
    let mut driven = Driven::with_peer(1000);
    driven.handle(2000, Event::Commit { ack: 1, session: SessionKey(5), committed_at: Time(1990) });
    driven.handle(2000, Event::OutboundDisconnected { peer: 2 });
    let over = 1000 + LEASE * 5 / 4;
    assert_eq!(driven.handle(over - 1, Event::JournalSynced { seq: 1 }), []);
    assert_eq!(driven.handle(over, Event::Tick), [Action::Acknowledge { ack: 1 }]);
    // A peer that has never been met may hold a lease of the start before this one.
    let mut driven = Driven::new(settings());
    driven.handle(0, Event::PeersListed { peers: vec![1, 2] });
    driven.handle(10, Event::Commit { ack: 1, session: SessionKey(5), committed_at: Time(9) });
    assert_eq!(driven.handle(LEASE, Event::JournalSynced { seq: 1 }), []);
    assert_eq!(driven.handle(LEASE * 5 / 4, Event::Tick), [Action::Acknowledge { ack: 1 }]);
}

#[test]
fn lease_counts_from_request_and_reads_without_one_see_present() {
    let mut driven = Driven::new(settings());
    driven.handle(0, Event::PeersListed { peers: vec![1, 2] });
    assert_eq!(driven.0.required_position(SessionKey(1), now(50)), Some(Time(57)));
    assert_eq!(
        driven.0.required_position(SessionKey(1), Now { at: Time(50), commit_upper_bound: None }),
        Some(AFTER_EVERY_COMMIT)
    );
    let asked = driven.handle(100, Event::HelloReceived { peer: 2, incarnation: 5 });
    assert_eq!(
        asked,
        [
            Action::Accept { peer: 2, incarnation: 5, last_seq: 0 },
            Action::RequestLease { peer: 2, requested_at: 100 }
        ]
    );
    driven.handle(
        150,
        Event::PushReceived { peer: 2, push: Push::Snapshot { entries: vec![(SessionKey(1), 40)] } },
    );
    driven.handle(160, Event::PushReceived { peer: 2, push: Push::SnapshotComplete { seq: 3, floor: None } });
    driven.handle(90_000, Event::PushReceived { peer: 2, push: Push::LeaseGrant { requested_at: 100 } });
    assert_eq!(driven.0.required_position(SessionKey(1), now(100 + LEASE - 1)), Some(Time(40)));
    assert_eq!(driven.0.required_position(SessionKey(2), now(100 + LEASE - 1)), None);
    assert_eq!(driven.0.required_position(SessionKey(2), now(100 + LEASE)), Some(Time(100 + LEASE + 7)));
    // A grant that comes too late, or was never requested, has no effect.
    driven.handle(500_000, Event::PushReceived { peer: 2, push: Push::LeaseGrant { requested_at: 100 } });
    driven.handle(500_000, Event::PushReceived { peer: 2, push: Push::LeaseGrant { requested_at: 900_000 } });
    assert!(!driven.0.peers_up_to_date(Time(500_001)));
    // A gap ends the connection instead of being passed over.
    let gap = Push::Commits { first: 5, entries: vec![(SessionKey(9), 1)] };
    assert_eq!(
        driven.handle(500_100, Event::PushReceived { peer: 2, push: gap }),
        [Action::Disconnect { peer: 2 }]
    );
}

#[test]
fn floor_covers_unknown_writes_of_peer_proven_gone() {
    let mut driven = Driven::new(settings());
    driven.handle(0, Event::PeersListed { peers: vec![1, 2] });
    driven.handle(1000, Event::ConnectionRefused { peer: 2, attempted_at: Time(900) });
    // What it acknowledged before, nobody here knows: everything up to now must be seen, then no more than
    // that.
    assert_eq!(driven.0.required_position(SessionKey(1), now(2000)), Some(Time(1007)));
    // As long as the proof is renewed in time the floor stays where it is.
    driven.handle(200_000, Event::ConnectionRefused { peer: 2, attempted_at: Time(199_900) });
    assert_eq!(driven.0.required_position(SessionKey(1), now(300_000)), Some(Time(1007)));
    // A gap between two proofs: it may have run and acknowledged something.
    driven.handle(600_000, Event::ConnectionRefused { peer: 2, attempted_at: Time(599_900) });
    assert_eq!(driven.0.required_position(SessionKey(1), now(600_100)), Some(Time(600_007)));
}

#[test]
fn older_start_is_refused_and_superseded_one_fails_writes() {
    let mut driven = Driven::new(settings());
    driven.handle(0, Event::PeersListed { peers: vec![1, 2] });
    driven.handle(10, Event::HelloReceived { peer: 2, incarnation: 5 });
    assert_eq!(
        driven.handle(20, Event::HelloReceived { peer: 2, incarnation: 4 }),
        [Action::Reject { peer: 2, reason: RejectionReason::OlderIncarnation { newest: 5 } }]
    );
    assert_eq!(
        driven.handle(20, Event::HelloReceived { peer: 3, incarnation: 4 }),
        [Action::Reject { peer: 3, reason: RejectionReason::NotListed }]
    );
    // A fresh start that nobody has accepted yet goes on under a higher number.
    assert_eq!(
        driven.handle(
            30,
            Event::Rejected { peer: 2, reason: RejectionReason::OlderIncarnation { newest: 12 } }
        ),
        [Action::AdoptIncarnation { incarnation: 13 }]
    );
    assert_eq!(driven.0.not_serving(), None);
    driven.handle(40, Event::Accepted { peer: 2, incarnation: 0, last_seq: 0 });
    driven.handle(50, Event::Commit { ack: 1, session: SessionKey(5), committed_at: Time(49) });
    let superseded = driven
        .handle(60, Event::Rejected { peer: 2, reason: RejectionReason::OlderIncarnation { newest: 20 } });
    assert_eq!(superseded, [Action::Superseded { newest_incarnation: 20 }, Action::Fail { ack: 1 }]);
    assert!(driven.0.not_serving().is_some());
    // One that a peer does not list serves no named session either, until it does.
    let mut driven = Driven::new(settings());
    driven.handle(0, Event::PeersListed { peers: vec![1, 2] });
    driven.handle(10, Event::Rejected { peer: 2, reason: RejectionReason::NotListed });
    assert!(driven.0.not_serving().is_some());
    driven.handle(20, Event::Accepted { peer: 2, incarnation: 0, last_seq: 0 });
    assert_eq!(driven.0.not_serving(), None);
}

#[test]
fn removed_peer_raises_floor_and_delays_writes() {
    let mut driven = Driven::with_peer(1000);
    driven.handle(2000, Event::Commit { ack: 1, session: SessionKey(5), committed_at: Time(1990) });
    driven.handle(2000, Event::JournalSynced { seq: 1 });
    driven.handle(3000, Event::PeersListed { peers: vec![1] });
    // What it acknowledged is seen by all; and it may rely on us until its lease ends.
    assert_eq!(driven.0.required_position(SessionKey(1), now(4000)), Some(Time(3007)));
    assert_eq!(driven.handle(1000 + LEASE * 5 / 4 - 1, Event::Tick), []);
    assert_eq!(driven.handle(1000 + LEASE * 5 / 4, Event::Tick), [Action::Acknowledge { ack: 1 }]);
}

#[test]
fn short_break_resumes_and_long_one_sends_everything() {
    let mut driven = Driven::with_peer(1000);
    for n in 1..=6 {
        driven.handle(2000, Event::Commit { ack: n, session: SessionKey(n), committed_at: Time(n as i64) });
    }
    driven.handle(3000, Event::OutboundDisconnected { peer: 2 });
    let again = |driven: &mut Driven, holds| {
        driven.handle(4000, Event::Accepted { peer: 2, incarnation: 10, last_seq: holds })
    };
    let rest = Push::Commits { first: 5, entries: vec![(SessionKey(5), 5), (SessionKey(6), 6)] };
    assert_eq!(again(&mut driven, 4), [Action::SendPush { peer: 2, push: rest }]);
    assert_eq!(again(&mut driven, 6), []);
    // Only the last four are held; and who holds none of this start lacks what was kept before it.
    assert_eq!(again(&mut driven, 1), [Action::SendSnapshot { peer: 2, seq: 6 }]);
    assert_eq!(again(&mut driven, 0), [Action::SendSnapshot { peer: 2, seq: 6 }]);
}

#[test]
fn lost_journal_releases_writes_and_stuck_one_fails_them() {
    let mut driven = Driven::new(settings());
    driven.handle(10, Event::Commit { ack: 1, session: SessionKey(5), committed_at: Time(9) });
    assert_eq!(driven.handle(20, Event::JournalDeleted), [Action::Acknowledge { ack: 1 }]);
    assert_eq!(
        driven.handle(30, Event::Commit { ack: 2, session: SessionKey(5), committed_at: Time(29) }),
        [Action::Acknowledge { ack: 2 }]
    );
    // A new file begins with both; what comes now waits again.
    driven.handle(40, Event::JournalRestored { seq: 2 });
    assert_eq!(
        driven.handle(50, Event::Commit { ack: 3, session: SessionKey(5), committed_at: Time(49) }),
        [Action::AppendCommit { seq: 3, session: SessionKey(5), committed_at: Time(49) }]
    );
    // It can neither be kept nor deleted: a later start would believe it, so nothing is acknowledged any
    // more.
    assert_eq!(driven.handle(60, Event::JournalUndeletable), [Action::Fail { ack: 3 }]);
    assert!(
        driven
            .handle(70, Event::Commit { ack: 4, session: SessionKey(5), committed_at: Time(69) })
            .contains(&Action::Fail { ack: 4 })
    );
}

#[test]
fn incomplete_start_writes_floor_before_it_grants_leases() {
    let mut driven = Driven::new(Settings { incomplete: true, ..settings() });
    let unknown = Now { at: Time(10), commit_upper_bound: None };
    let mut actions = Vec::new();
    driven.0.handle(unknown, Event::PeersListed { peers: vec![1, 2] }, &mut actions);
    driven.0.handle(unknown, Event::Accepted { peer: 2, incarnation: 0, last_seq: 0 }, &mut actions);
    actions.clear();
    driven.0.handle(unknown, Event::LeaseRequested { peer: 2, requested_at: 5 }, &mut actions);
    assert_eq!(actions, []);
    let known = driven.handle(20, Event::LeaseRequested { peer: 2, requested_at: 6 });
    assert_eq!(known[0], Action::AppendFloor { floor: Time(27) });
    assert_eq!(
        known[1],
        Action::SendPush { peer: 2, push: Push::SnapshotComplete { seq: 0, floor: Some(27) } }
    );
    assert_eq!(known[2], Action::SendPush { peer: 2, push: Push::LeaseGrant { requested_at: 6 } });
}
