//! The state machine, a case at a time.
use decision::Time;
use sessions::machine::{Action, Event, Machine, Now, Push, Settings, Why};
use sessions::{FAR, Key};

const LEASE: i64 = 300_000;

fn now(at: i64) -> Now {
    Now { at: Time(at), present: Some(Time(at + 7)) }
}

fn settings() -> Settings {
    Settings {
        instance: 1,
        incarnation: 10,
        lease: LEASE,
        resume: 4,
        sessions: 100,
        durable: true,
        incomplete: false,
    }
}

struct Driven(Machine);

impl Driven {
    fn new(settings: Settings) -> Driven {
        Driven(Machine::new(settings, [], None))
    }

    fn on(&mut self, at: i64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.0.handle(now(at), event, &mut actions);
        actions
    }

    /// With a peer that has taken our commits and has a lease until `at` and five quarters of one.
    fn with_peer(at: i64) -> Driven {
        let mut d = Driven::new(settings());
        d.on(0, Event::Peers(vec![1, 2]));
        d.on(at, Event::Accepted { peer: 2, incarnation: 0, holds: 0 });
        d.on(at, Event::Asked(2, 77));
        d
    }
}

#[test]
fn a_write_is_told_once_disk_and_peers_hold_it() {
    let mut d = Driven::with_peer(1000);
    let actions = d.on(2000, Event::Commit(1, Key(5), Time(1990)));
    assert_eq!(actions[0], Action::Append(1, Key(5), Time(1990)));
    assert_eq!(actions[1], Action::Push(2, Push::Commits { first: 1, entries: vec![(Key(5), 1990)] }));
    assert_eq!(d.on(2100, Event::Synced(1)), []);
    assert_eq!(d.on(2200, Event::Confirmed(2, 1)), [Action::Release(1)]);
    // The other way round as well.
    d.on(2300, Event::Commit(2, Key(5), Time(2290)));
    assert_eq!(d.on(2400, Event::Confirmed(2, 2)), []);
    assert_eq!(d.on(2500, Event::Synced(2)), [Action::Release(2)]);
}

#[test]
fn a_silent_peer_holds_writes_up_no_longer_than_its_lease() {
    let mut d = Driven::with_peer(1000);
    d.on(2000, Event::Commit(1, Key(5), Time(1990)));
    d.on(2000, Event::Unlinked(2));
    let over = 1000 + LEASE * 5 / 4;
    assert_eq!(d.on(over - 1, Event::Synced(1)), []);
    assert_eq!(d.on(over, Event::Tick), [Action::Release(1)]);
    // A peer that has never been met may hold a lease of the start before this one.
    let mut d = Driven::new(settings());
    d.on(0, Event::Peers(vec![1, 2]));
    d.on(10, Event::Commit(1, Key(5), Time(9)));
    assert_eq!(d.on(LEASE, Event::Synced(1)), []);
    assert_eq!(d.on(LEASE * 5 / 4, Event::Tick), [Action::Release(1)]);
}

#[test]
fn a_lease_counts_from_its_asking_and_without_one_reads_see_the_present() {
    let mut d = Driven::new(settings());
    d.on(0, Event::Peers(vec![1, 2]));
    assert_eq!(d.0.need(Key(1), now(50)), Some(Time(57)));
    assert_eq!(d.0.need(Key(1), Now { at: Time(50), present: None }), Some(FAR));
    let asked = d.on(100, Event::Introduced(2, 5));
    assert_eq!(asked, [Action::Welcome(2, 5, 0), Action::Ask(2, 100)]);
    d.on(150, Event::Pushed(2, Push::All { entries: vec![(Key(1), 40)] }));
    d.on(160, Event::Pushed(2, Push::Whole { seq: 3, floor: None }));
    d.on(90_000, Event::Pushed(2, Push::Grant { asked: 100 }));
    assert_eq!(d.0.need(Key(1), now(100 + LEASE - 1)), Some(Time(40)));
    assert_eq!(d.0.need(Key(2), now(100 + LEASE - 1)), None);
    assert_eq!(d.0.need(Key(2), now(100 + LEASE)), Some(Time(100 + LEASE + 7)));
    // A grant that comes too late, or was never asked for, is worth nothing.
    d.on(500_000, Event::Pushed(2, Push::Grant { asked: 100 }));
    d.on(500_000, Event::Pushed(2, Push::Grant { asked: 900_000 }));
    assert!(!d.0.relies(Time(500_001)));
    // A gap ends the connection instead of being passed over.
    let gap = Push::Commits { first: 5, entries: vec![(Key(9), 1)] };
    assert_eq!(d.on(500_100, Event::Pushed(2, gap)), [Action::Drop(2)]);
}

#[test]
fn a_peer_proven_gone_is_relied_on_and_its_unknown_writes_are_covered() {
    let mut d = Driven::new(settings());
    d.on(0, Event::Peers(vec![1, 2]));
    d.on(1000, Event::Down(2, Time(900)));
    // What it told before, nobody here knows: everything up to now must be seen, then no more than that.
    assert_eq!(d.0.need(Key(1), now(2000)), Some(Time(1007)));
    // As long as the proof is renewed in time the floor stays where it is.
    d.on(200_000, Event::Down(2, Time(199_900)));
    assert_eq!(d.0.need(Key(1), now(300_000)), Some(Time(1007)));
    // A gap between two proofs: it may have lived and told something.
    d.on(600_000, Event::Down(2, Time(599_900)));
    assert_eq!(d.0.need(Key(1), now(600_100)), Some(Time(600_007)));
}

#[test]
fn an_older_start_is_refused_and_a_superseded_one_tells_nothing() {
    let mut d = Driven::new(settings());
    d.on(0, Event::Peers(vec![1, 2]));
    d.on(10, Event::Introduced(2, 5));
    assert_eq!(d.on(20, Event::Introduced(2, 4)), [Action::Refuse(2, Why::Older { newest: 5 })]);
    assert_eq!(d.on(20, Event::Introduced(3, 4)), [Action::Refuse(3, Why::NotListed)]);
    // A fresh start that nobody has taken yet goes on under a higher number.
    assert_eq!(d.on(30, Event::Refused(2, Why::Older { newest: 12 })), [Action::Reincarnate(13)]);
    assert_eq!(d.0.stopped(), None);
    d.on(40, Event::Accepted { peer: 2, incarnation: 0, holds: 0 });
    d.on(50, Event::Commit(1, Key(5), Time(49)));
    let superseded = d.on(60, Event::Refused(2, Why::Older { newest: 20 }));
    assert_eq!(superseded, [Action::Superseded(20), Action::Fail(1)]);
    assert!(d.0.stopped().is_some());
    // One that a peer does not list serves no named session either, until it does.
    let mut d = Driven::new(settings());
    d.on(0, Event::Peers(vec![1, 2]));
    d.on(10, Event::Refused(2, Why::NotListed));
    assert!(d.0.stopped().is_some());
    d.on(20, Event::Accepted { peer: 2, incarnation: 0, holds: 0 });
    assert_eq!(d.0.stopped(), None);
}

#[test]
fn a_peer_that_is_listed_no_more_is_covered_both_ways() {
    let mut d = Driven::with_peer(1000);
    d.on(2000, Event::Commit(1, Key(5), Time(1990)));
    d.on(2000, Event::Synced(1));
    d.on(3000, Event::Peers(vec![1]));
    // What it told is seen by all; and it may rely on us for as long as we said.
    assert_eq!(d.0.need(Key(1), now(4000)), Some(Time(3007)));
    assert_eq!(d.on(1000 + LEASE * 5 / 4 - 1, Event::Tick), []);
    assert_eq!(d.on(1000 + LEASE * 5 / 4, Event::Tick), [Action::Release(1)]);
}

#[test]
fn a_break_resumes_without_a_gap_and_a_long_one_begins_anew() {
    let mut d = Driven::with_peer(1000);
    for n in 1..=6 {
        d.on(2000, Event::Commit(n, Key(n), Time(n as i64)));
    }
    d.on(3000, Event::Unlinked(2));
    let again = |d: &mut Driven, holds| d.on(4000, Event::Accepted { peer: 2, incarnation: 10, holds });
    let rest = Push::Commits { first: 5, entries: vec![(Key(5), 5), (Key(6), 6)] };
    assert_eq!(again(&mut d, 4), [Action::Push(2, rest)]);
    assert_eq!(again(&mut d, 6), []);
    // Only the last four are held; and who holds none of this start lacks what was kept before it.
    assert_eq!(again(&mut d, 1), [Action::PushAll(2, 6)]);
    assert_eq!(again(&mut d, 0), [Action::PushAll(2, 6)]);
}

#[test]
fn a_lost_journal_lets_writes_go_and_one_that_stays_behind_fails_them() {
    let mut d = Driven::new(settings());
    d.on(10, Event::Commit(1, Key(5), Time(9)));
    assert_eq!(d.on(20, Event::JournalLost), [Action::Release(1)]);
    assert_eq!(d.on(30, Event::Commit(2, Key(5), Time(29))), [Action::Release(2)]);
    // A new file begins with both; what comes now waits again.
    d.on(40, Event::JournalBack(2));
    assert_eq!(d.on(50, Event::Commit(3, Key(5), Time(49))), [Action::Append(3, Key(5), Time(49))]);
    // It can neither be kept nor deleted: a later start would believe it, so nothing is told any more.
    assert_eq!(d.on(60, Event::JournalStuck), [Action::Fail(3)]);
    assert!(d.on(70, Event::Commit(4, Key(5), Time(69))).contains(&Action::Fail(4)));
}

#[test]
fn an_incomplete_start_writes_its_floor_down_and_grants_nothing_before() {
    let mut d = Driven::new(Settings { incomplete: true, ..settings() });
    let unknown = Now { at: Time(10), present: None };
    let mut actions = Vec::new();
    d.0.handle(unknown, Event::Peers(vec![1, 2]), &mut actions);
    d.0.handle(unknown, Event::Accepted { peer: 2, incarnation: 0, holds: 0 }, &mut actions);
    actions.clear();
    d.0.handle(unknown, Event::Asked(2, 5), &mut actions);
    assert_eq!(actions, []);
    let known = d.on(20, Event::Asked(2, 6));
    assert_eq!(known[0], Action::AppendFloor(Time(27)));
    assert_eq!(known[1], Action::Push(2, Push::Whole { seq: 0, floor: Some(27) }));
    assert_eq!(known[2], Action::Push(2, Push::Grant { asked: 6 }));
}
