//! Passes seeded random events to the state machine and compares its actions with a run recorded in
//! `tests/fixtures`.
use decision::Time;
use fastrand::Rng;
use sessions::SessionKey;
use sessions::machine::{Action, Event, Machine, Now, Push, RejectionReason, Settings};
use std::fmt::Write as _;
use testkit::fixture::Fixtures;

const FIXTURES: Fixtures = testkit::fixtures!();

const LEASE: i64 = 300_000;
const KEYS: u64 = 10;

fn describe_push(push: &Push) -> String {
    let list = |entries: &[(SessionKey, i64)]| -> Vec<String> {
        entries.iter().map(|(key, at)| format!("{}={at}", key.0)).collect()
    };
    match push {
        Push::Commits { first, entries } => format!("commits from {first}: {}", list(entries).join(" ")),
        Push::Snapshot { entries } => format!("all: {}", list(entries).join(" ")),
        Push::SnapshotComplete { seq, floor } => format!("whole {seq}, floor {floor:?}"),
        Push::LeaseGrant { requested_at } => format!("grant {requested_at}"),
    }
}

fn describe_rejection(reason: RejectionReason) -> String {
    match reason {
        RejectionReason::NotListed => "not listed".into(),
        RejectionReason::OlderIncarnation { newest } => format!("older than {newest}"),
        RejectionReason::WrongInstance => "wrong instance".into(),
        RejectionReason::WrongCluster => "wrong cluster".into(),
        RejectionReason::WrongVersion => "wrong version".into(),
    }
}

fn describe(action: &Action) -> String {
    match action {
        Action::AppendCommit { seq, session: key, committed_at: at } => {
            format!("append {seq} {}={}", key.0, at.0)
        }
        Action::AppendFloor { floor: at } => format!("append floor {}", at.0),
        Action::SendPush { peer, push } => format!("push to {peer}: {}", describe_push(push)),
        Action::SendSnapshot { peer, seq } => format!("push all to {peer} up to {seq}"),
        Action::Accept { peer, incarnation, last_seq: stored_seq } => {
            format!("welcome {peer} {incarnation} {stored_seq}")
        }
        Action::Reject { peer, reason: cause } => format!("refuse {peer}: {}", describe_rejection(*cause)),
        Action::SendConfirmation { peer, seq } => format!("confirm {peer} {seq}"),
        Action::RequestLease { peer, requested_at: at } => format!("ask {peer} {at}"),
        Action::Disconnect { peer } => format!("drop {peer}"),
        Action::Acknowledge { ack } => format!("release {ack}"),
        Action::Fail { ack } => format!("fail {ack}"),
        Action::AdoptIncarnation { incarnation } => format!("reincarnate {incarnation}"),
        Action::Superseded { newest_incarnation: incarnation } => format!("superseded {incarnation}"),
    }
}

/// Generates random events that refer to plausible sessions, commits and times.
struct EventGenerator {
    rng: Rng,
    now: i64,
    last_ack: u64,
}

impl EventGenerator {
    fn key(&mut self) -> SessionKey {
        SessionKey(self.rng.u64(0..KEYS))
    }

    fn entries(&mut self, count: usize) -> Vec<(SessionKey, i64)> {
        (0..count).map(|_| (self.key(), self.now - self.rng.i64(0..50_000))).collect()
    }

    fn rejection(&mut self) -> RejectionReason {
        match self.rng.u8(0..20) {
            0..=3 => RejectionReason::NotListed,
            4..=7 => RejectionReason::OlderIncarnation { newest: self.rng.u64(6..12) },
            8 => RejectionReason::WrongInstance,
            9 => RejectionReason::WrongCluster,
            _ => RejectionReason::WrongVersion,
        }
    }

    fn push(&mut self, machine: &Machine, peer: u64) -> Push {
        let statuses = machine.peer_statuses(Time(self.now));
        let received_seq =
            statuses.iter().find(|status| status.instance == peer).map_or(0, |status| status.received_seq);
        match self.rng.u8(0..10) {
            0..=4 => {
                // The peer occasionally repeats its newest commit, or leaves out commits.
                let first = match self.rng.u8(0..16) {
                    0 => received_seq.max(1),
                    1 => received_seq + 2,
                    _ => received_seq + 1,
                };
                let count = self.rng.usize(1..4);
                Push::Commits { first, entries: self.entries(count) }
            }
            5 => {
                let count = self.rng.usize(0..5);
                Push::Snapshot { entries: self.entries(count) }
            }
            6 => {
                let floor = self.rng.bool().then_some(self.now - 200_000);
                Push::SnapshotComplete { seq: received_seq + 1, floor }
            }
            _ => Push::LeaseGrant { requested_at: self.now - self.rng.i64(-1000..LEASE + 20_000) },
        }
    }

    fn event(&mut self, machine: &Machine) -> Event {
        let peer = self.rng.u64(2..4);
        match self.rng.u8(0..100) {
            0..=24 => {
                self.last_ack += 1;
                Event::Commit {
                    ack: self.last_ack,
                    session: self.key(),
                    committed_at: Time(self.now - self.rng.i64(0..500)),
                }
            }
            25..=28 => Event::ConnectionCommit { session: self.key(), committed_at: Time(self.now) },
            29..=38 => {
                Event::JournalSynced { seq: machine.last_seq() - self.rng.u64(0..3).min(machine.last_seq()) }
            }
            39 => Event::JournalDeleted,
            40 if self.rng.u8(0..4) == 0 => Event::JournalUndeletable,
            40 | 41 => Event::JournalRestored { seq: machine.last_seq() },
            42 => {
                Event::PeersListed { peers: if self.rng.u8(0..4) == 0 { vec![1, 2] } else { vec![1, 2, 3] } }
            }
            43..=47 => {
                let stored_seq = machine.last_seq().saturating_sub(self.rng.u64(0..8));
                let incarnation = machine.incarnation() - u64::from(self.rng.u8(0..6) == 0);
                Event::Accepted { peer, incarnation, last_seq: stored_seq }
            }
            48 | 93 => Event::Rejected { peer, reason: self.rejection() },
            49..=58 => Event::Confirmed {
                peer,
                seq: machine.last_seq() + 1 - self.rng.u64(0..3).min(machine.last_seq()),
            },
            59..=64 => Event::LeaseRequested { peer, requested_at: self.now - self.rng.i64(0..5000) },
            65 | 66 => Event::OutboundDisconnected { peer },
            67..=69 => Event::ConnectionRefused {
                peer,
                attempted_at: Time(self.now - self.rng.i64(0..LEASE + 20_000)),
            },
            70..=77 => {
                Event::HelloReceived { peer: self.rng.u64(2..5), incarnation: self.rng.u64(5..9).max(7) }
            }
            78..=91 => {
                let push = self.push(machine, peer);
                Event::PushReceived { peer, push }
            }
            92 => Event::InboundDisconnected { peer },
            _ => Event::Tick,
        }
    }
}

fn run(seed: u64, durable: bool, incomplete: bool, record: &mut String) {
    let settings = Settings {
        instance: 1,
        incarnation: 10,
        lease: LEASE,
        max_buffered_commits: 6,
        max_sessions: 8,
        durable,
        incomplete,
    };
    let restored = [(SessionKey(1), Time(900_000)), (SessionKey(2), Time(950_000))];
    let mut machine = Machine::new(settings, restored, Some(Time(800_000)));
    let mut generator = EventGenerator { rng: Rng::with_seed(seed), now: 1_000_000, last_ack: 0 };
    let mut event = Event::PeersListed { peers: vec![1, 2, 3] };
    for step in 0..450 {
        let known = step > 20 && generator.rng.u8(0..12) > 0;
        let now =
            Now { at: Time(generator.now), commit_upper_bound: known.then_some(Time(generator.now + 70)) };
        let mut actions = Vec::new();
        machine.handle(now, event, &mut actions);
        let actions: Vec<String> = actions.iter().map(describe).collect();
        writeln!(record, "{seed} {}: {}", generator.now, actions.join("; "))
            .expect("a string can be written to");
        if step % 10 == 0 {
            let positions: Vec<i64> = (0..KEYS)
                .map(|k| machine.required_position(SessionKey(k), now).map_or(-1, |t| t.0))
                .collect();
            writeln!(
                record,
                "{seed} state: seq {} waiting {} durable {} floor {:?} due {} relies {} \
                 stopped {} needs {positions:?}",
                machine.last_seq(),
                machine.pending_ack_count(),
                machine.durable(),
                machine.floor().map(|t| t.0),
                machine.floor_pending(),
                machine.peers_up_to_date(now.at),
                machine.not_serving().map_or_else(|| "no".to_string(), |reason| reason.to_string()),
            )
            .expect("a string can be written to");
        }
        generator.now += generator.rng.i64(0..20_000);
        event = generator.event(&machine);
    }
    let statuses = serde_json::to_string(&machine.peer_statuses(Time(generator.now)))
        .expect("the status can be serialized");
    writeln!(record, "{seed} end: {statuses}").expect("a string can be written to");
}

#[test]
fn actions_match_recorded_run() {
    let mut record = String::new();
    run(1, true, false, &mut record);
    run(2, true, true, &mut record);
    run(3, false, false, &mut record);
    run(4, false, true, &mut record);
    FIXTURES.assert_same("machine-run.txt", &record);
}
