//! A recorded run of the state machine and of the leader's count of leases: seeded commands in, answers, changes,
//! lease events and proposals out. Small bounds let the run reach every rejection.
use crate::fixtures::{assert_recorded, hex};
use std::fmt::Write as _;
use store::Change;
use store::machine::{Bounds, By, Command, Count, CountEvent, Counts, Fence, LeaseNews, Machine, Made, Op};
use store::watch::{Compacted, History, Kept};

const SEED: u64 = 17;
const STEPS: u64 = 600;

struct Run {
    draw: fastrand::Rng,
    machine: Machine,
    counts: Counts,
    history: History,
    index: u64,
    /// Leases that were granted, the current and former ones.
    granted: Vec<Fence>,
    clients: Vec<u64>,
    lines: String,
}

fn bounds() -> Bounds {
    Bounds { keys: 4, key_bytes: 8, value_bytes: 16, bytes: 40, clients: 3, names: 3, lease_keys: 2 }
}

fn counted(count: &Count) -> String {
    format!("{}@{} renewals {} ticks {}", count.fence.name, count.fence.epoch, count.renewals, count.ticks)
}

impl Run {
    fn new() -> Run {
        Run {
            draw: fastrand::Rng::with_seed(SEED),
            machine: Machine::new(bounds()),
            counts: Counts::default(),
            history: History::new(Kept { revisions: 20, bytes: 200 }, 0),
            index: 0,
            granted: vec![Fence { name: "never".into(), epoch: 0 }],
            clients: vec![0],
            lines: String::new(),
        }
    }

    fn fence(&mut self) -> Fence {
        let recent = self.granted.len().saturating_sub(4);
        self.granted[self.draw.usize(recent..self.granted.len())].clone()
    }

    fn key_change(&mut self) -> Op {
        let key = ["a", "b", "c", "d", "e", "", "too long a key"][self.draw.usize(..7)];
        let text = ["", "1", "22", "a longer text", "a text that is too long"][self.draw.usize(..5)];
        let text = (self.draw.u8(..4) > 0).then(|| text.to_string());
        let expected = (self.draw.u8(..3) == 0).then(|| self.draw.u64(..4));
        let fence = (self.draw.u8(..4) == 0).then(|| self.fence());
        let lease = (self.draw.u8(..3) == 0).then(|| self.fence().epoch);
        Op::Change { change: Change { key: key.into(), text, expected }, fence, lease }
    }

    fn operation(&mut self) -> Op {
        let name = ["n1", "n2", "n3", "n4", "too long a name"][self.draw.usize(..5)];
        match self.draw.u8(..8) {
            0 | 1 => {
                let ttl_ms = [1, 200, 201, 249, 1000, 600_001][self.draw.usize(..6)];
                Op::Grant { name: name.into(), ttl_ms }
            }
            2 => Op::Renew(self.fence()),
            3 => Op::Revoke(self.fence()),
            _ => self.key_change(),
        }
    }

    fn command(&mut self) -> Command {
        match self.draw.u8(..12) {
            0 => Command::Open,
            1 => Command::Expire(self.fence(), self.draw.u64(..3)),
            2 => Command::Born(self.draw.u64(1..10)),
            3 => Command::Former(Change { key: "old".into(), text: Some("x".into()), expected: None }),
            4..=6 => {
                let client = self.clients[self.draw.usize(..self.clients.len())];
                let born = if self.draw.u8(..8) == 0 { 1 << 40 } else { self.machine.state().born };
                let seq = self.draw.u64(1..6);
                Command::Write(Some(By { born, client, seq }), self.operation())
            }
            _ => Command::Write(None, self.operation()),
        }
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        let outcome = self.machine.apply(self.index, command.clone());
        let answered = hex(&postcard::to_allocvec(&outcome.answered).unwrap());
        let changes = outcome.changes.as_ref().map(|c| hex(&postcard::to_allocvec(&**c).unwrap()));
        let lease = match &outcome.lease {
            None => "-".to_string(),
            Some(LeaseNews::Begun(count)) => format!("begun {}", counted(count)),
            Some(LeaseNews::Ended(epoch)) => format!("ended {epoch}"),
        };
        let command_bytes = hex(&command.write().unwrap());
        let changes_bytes = changes.as_deref().unwrap_or("-");
        writeln!(
            self.lines,
            "{} {command_bytes} => {answered} changes {changes_bytes} lease {lease}",
            self.index
        )
        .unwrap();
        match outcome.answered.made {
            Ok(Made::Opened { client, .. }) => self.clients.push(client),
            Ok(Made::Granted(epoch)) => {
                // The first response of a retry may be that of another operation.
                if let Command::Write(_, Op::Grant { name, .. }) = command {
                    self.granted.push(Fence { name, epoch });
                }
            }
            _ => {}
        }
        if let Some(news) = outcome.lease {
            self.count(CountEvent::News(news));
        }
        if let Some(changes) = outcome.changes {
            self.history.push(changes);
        }
    }

    /// Hands an event to the count; what it proposes is applied as the next commands.
    fn count(&mut self, event: CountEvent) {
        let mut proposed = Vec::new();
        self.counts.handle(event, &mut proposed);
        for command in proposed {
            writeln!(self.lines, "  proposed {}", hex(&command.write().unwrap())).unwrap();
            // Some proposals are lost.
            if self.draw.u8(..3) > 0 {
                self.apply(command);
            }
        }
    }

    fn change_leader(&mut self) {
        let event = if self.counts.leads() {
            CountEvent::Follows
        } else {
            let held = self.machine.counts();
            held.iter().for_each(|c| writeln!(self.lines, "  counts {}", counted(c)).unwrap());
            CountEvent::Leads(held)
        };
        self.count(event);
        writeln!(self.lines, "  leads {}", self.counts.leads()).unwrap();
    }

    fn restart(&mut self) {
        let bytes = self.machine.write().unwrap();
        self.machine = Machine::read(&bytes, bounds()).unwrap();
        writeln!(self.lines, "  snapshot {:08x} of {} bytes", crc32fast::hash(&bytes), bytes.len()).unwrap();
    }

    fn read_history(&mut self) {
        let after = self.machine.state().revision.saturating_sub(self.draw.u64(..40));
        let found = match self.history.after(after, 5) {
            Ok(changes) => format!("{:?}", changes.iter().map(|c| c.revision).collect::<Vec<_>>()),
            Err(Compacted { floor }) => format!("compacted at {floor}"),
        };
        writeln!(self.lines, "  history after {after}: {found}, last {}", self.history.last()).unwrap();
    }
}

#[test]
fn seeded_commands_give_the_recorded_answers_changes_and_proposals() {
    let mut run = Run::new();
    for step in 0..STEPS {
        match run.draw.u8(..20) {
            0 => run.change_leader(),
            1 => run.restart(),
            2 => run.read_history(),
            3 => {
                run.index += 1;
                run.machine.skip(run.index);
            }
            4 if step % 3 == 0 => run.history.reset(run.machine.state().revision),
            4..=9 => (0..3).for_each(|_| run.count(CountEvent::Tick)),
            _ => {
                let command = run.command();
                run.apply(command);
            }
        }
    }
    run.restart();
    assert_recorded("state_machine_run.txt", &run.lines);
}
