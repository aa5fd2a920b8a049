//! Seeded events to the state machine, compared action by action with a run recorded under `tests/fixtures`.
mod common;
use common::assert_fixture;
use decision::Time;
use fastrand::Rng;
use sessions::Key;
use sessions::machine::{Action, Event, Machine, Now, Push, Settings, Why};
use std::fmt::Write as _;

const LEASE: i64 = 300_000;
const KEYS: u64 = 10;

fn describe_push(push: &Push) -> String {
    let list = |entries: &[(Key, i64)]| -> Vec<String> {
        entries.iter().map(|(key, at)| format!("{}={at}", key.0)).collect()
    };
    match push {
        Push::Commits { first, entries } => format!("commits from {first}: {}", list(entries).join(" ")),
        Push::All { entries } => format!("all: {}", list(entries).join(" ")),
        Push::Whole { seq, floor } => format!("whole {seq}, floor {floor:?}"),
        Push::Grant { asked } => format!("grant {asked}"),
    }
}

fn describe_refusal(why: Why) -> String {
    match why {
        Why::NotListed => "not listed".into(),
        Why::Older { newest } => format!("older than {newest}"),
        Why::WrongInstance => "wrong instance".into(),
        Why::WrongCluster => "wrong cluster".into(),
        Why::WrongVersion => "wrong version".into(),
    }
}

fn describe(action: &Action) -> String {
    match action {
        Action::Append(seq, key, at) => format!("append {seq} {}={}", key.0, at.0),
        Action::AppendFloor(at) => format!("append floor {}", at.0),
        Action::Push(peer, push) => format!("push to {peer}: {}", describe_push(push)),
        Action::PushAll(peer, seq) => format!("push all to {peer} up to {seq}"),
        Action::Welcome(peer, incarnation, holds) => format!("welcome {peer} {incarnation} {holds}"),
        Action::Refuse(peer, why) => format!("refuse {peer}: {}", describe_refusal(*why)),
        Action::Confirm(peer, seq) => format!("confirm {peer} {seq}"),
        Action::Ask(peer, at) => format!("ask {peer} {at}"),
        Action::Drop(peer) => format!("drop {peer}"),
        Action::Release(ticket) => format!("release {ticket}"),
        Action::Fail(ticket) => format!("fail {ticket}"),
        Action::Reincarnate(incarnation) => format!("reincarnate {incarnation}"),
        Action::Superseded(incarnation) => format!("superseded {incarnation}"),
    }
}

/// What the next event may refer to.
struct Source {
    rng: Rng,
    now: i64,
    ticket: u64,
}

impl Source {
    fn key(&mut self) -> Key {
        Key(self.rng.u64(0..KEYS))
    }

    fn entries(&mut self, count: usize) -> Vec<(Key, i64)> {
        (0..count).map(|_| (self.key(), self.now - self.rng.i64(0..50_000))).collect()
    }

    fn refusal(&mut self) -> Why {
        match self.rng.u8(0..20) {
            0..=3 => Why::NotListed,
            4..=7 => Why::Older { newest: self.rng.u64(6..12) },
            8 => Why::WrongInstance,
            9 => Why::WrongCluster,
            _ => Why::WrongVersion,
        }
    }

    fn push(&mut self, machine: &Machine, peer: u64) -> Push {
        let statuses = machine.peer_statuses(Time(self.now));
        let held = statuses.iter().find(|status| status.instance == peer).map_or(0, |status| status.heard);
        match self.rng.u8(0..10) {
            0..=4 => {
                // Now and then what was sent before, or behind a gap.
                let first = match self.rng.u8(0..16) {
                    0 => held.max(1),
                    1 => held + 2,
                    _ => held + 1,
                };
                let count = self.rng.usize(1..4);
                Push::Commits { first, entries: self.entries(count) }
            }
            5 => {
                let count = self.rng.usize(0..5);
                Push::All { entries: self.entries(count) }
            }
            6 => {
                let floor = self.rng.bool().then_some(self.now - 200_000);
                Push::Whole { seq: held + 1, floor }
            }
            _ => Push::Grant { asked: self.now - self.rng.i64(-1000..LEASE + 20_000) },
        }
    }

    fn event(&mut self, machine: &Machine) -> Event {
        let peer = self.rng.u64(2..4);
        match self.rng.u8(0..100) {
            0..=24 => {
                self.ticket += 1;
                Event::Commit(self.ticket, self.key(), Time(self.now - self.rng.i64(0..500)))
            }
            25..=28 => Event::Own(self.key(), Time(self.now)),
            29..=38 => Event::Synced(machine.seq() - self.rng.u64(0..3).min(machine.seq())),
            39 => Event::JournalLost,
            40 if self.rng.u8(0..4) == 0 => Event::JournalStuck,
            40 | 41 => Event::JournalBack(machine.seq()),
            42 => Event::Peers(if self.rng.u8(0..4) == 0 { vec![1, 2] } else { vec![1, 2, 3] }),
            43..=47 => {
                let holds = machine.seq().saturating_sub(self.rng.u64(0..8));
                let incarnation = machine.incarnation() - u64::from(self.rng.u8(0..6) == 0);
                Event::Accepted { peer, incarnation, holds }
            }
            48 | 93 => Event::Refused(peer, self.refusal()),
            49..=58 => Event::Confirmed(peer, machine.seq() + 1 - self.rng.u64(0..3).min(machine.seq())),
            59..=64 => Event::Asked(peer, self.now - self.rng.i64(0..5000)),
            65 | 66 => Event::Unlinked(peer),
            67..=69 => Event::Down(peer, Time(self.now - self.rng.i64(0..LEASE + 20_000))),
            70..=77 => Event::Introduced(self.rng.u64(2..5), self.rng.u64(5..9).max(7)),
            78..=91 => {
                let push = self.push(machine, peer);
                Event::Pushed(peer, push)
            }
            92 => Event::Left(peer),
            _ => Event::Tick,
        }
    }
}

fn run(seed: u64, durable: bool, incomplete: bool, record: &mut String) {
    let settings =
        Settings { instance: 1, incarnation: 10, lease: LEASE, resume: 6, sessions: 8, durable, incomplete };
    let kept = [(Key(1), Time(900_000)), (Key(2), Time(950_000))];
    let mut machine = Machine::new(settings, kept, Some(Time(800_000)));
    let mut source = Source { rng: Rng::with_seed(seed), now: 1_000_000, ticket: 0 };
    let mut event = Event::Peers(vec![1, 2, 3]);
    for step in 0..450 {
        let known = step > 20 && source.rng.u8(0..12) > 0;
        let now = Now { at: Time(source.now), present: known.then_some(Time(source.now + 70)) };
        let mut actions = Vec::new();
        machine.handle(now, event, &mut actions);
        let actions: Vec<String> = actions.iter().map(describe).collect();
        writeln!(record, "{seed} {}: {}", source.now, actions.join("; ")).expect("a string");
        if step % 10 == 0 {
            let needs: Vec<i64> = (0..KEYS).map(|k| machine.need(Key(k), now).map_or(-1, |t| t.0)).collect();
            writeln!(
                record,
                "{seed} state: seq {} waiting {} durable {} floor {:?} due {} relies {} stopped {} needs {needs:?}",
                machine.seq(),
                machine.waiting(),
                machine.durable(),
                machine.floor().map(|t| t.0),
                machine.floor_due(),
                machine.peers_up_to_date(now.at),
                machine.stopped().map_or_else(|| "no".to_string(), |why| why.to_string()),
            )
            .expect("a string");
        }
        source.now += source.rng.i64(0..20_000);
        event = source.event(&machine);
    }
    let statuses = serde_json::to_string(&machine.peer_statuses(Time(source.now))).expect("JSON");
    writeln!(record, "{seed} end: {statuses}").expect("a string");
}

#[test]
fn machine_repeats_recorded_run() {
    let mut record = String::new();
    run(1, true, false, &mut record);
    run(2, true, true, &mut record);
    run(3, false, false, &mut record);
    run(4, false, true, &mut record);
    assert_fixture("machine-run.txt", &record);
}
