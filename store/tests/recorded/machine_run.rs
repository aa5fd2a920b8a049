//! A recorded run of the state machine and the leader's lease timers: the inputs are seeded random commands;
//! the outputs are responses, changes, lease events and proposals. Small limits make the run reach many
//! rejections.
use crate::fixtures::FIXTURES;
use std::fmt::Write as _;
use store::Update;
use store::change_log::{ChangeLog, Compacted, RetentionLimits};
use store::command::{Command, CommandEffect, FencingToken, Operation, RequestOrigin};
use store::lease_timers::{LeaseEvent, LeaseTimer, LeaseTimerEvent, LeaseTimers};
use store::limits::StoreLimits;
use store::machine::StateMachine;
use testkit::hex;

const SEED: u64 = 17;
const STEPS: u64 = 600;

struct Run {
    random: fastrand::Rng,
    machine: StateMachine,
    lease_timers: LeaseTimers,
    change_log: ChangeLog,
    index: u64,
    /// All granted leases, current and former.
    granted: Vec<FencingToken>,
    clients: Vec<u64>,
    lines: String,
}

fn limits() -> StoreLimits {
    StoreLimits {
        max_keys: 4,
        max_key_bytes: 8,
        max_value_bytes: 16,
        max_total_bytes: 40,
        max_clients: 3,
        max_lease_names: 3,
        max_keys_per_lease: 2,
    }
}

fn describe(timer: &LeaseTimer) -> String {
    let FencingToken { name, epoch } = &timer.token;
    format!("{name}@{epoch} renewals {} ticks {}", timer.renewals, timer.ticks)
}

impl Run {
    fn new() -> Run {
        Run {
            random: fastrand::Rng::with_seed(SEED),
            machine: StateMachine::new(limits()),
            lease_timers: LeaseTimers::default(),
            change_log: ChangeLog::new(RetentionLimits { max_revisions: 20, max_bytes: 200 }, 0),
            index: 0,
            granted: vec![FencingToken { name: "never".into(), epoch: 0 }],
            clients: vec![0],
            lines: String::new(),
        }
    }

    fn token(&mut self) -> FencingToken {
        let recent = self.granted.len().saturating_sub(4);
        self.granted[self.random.usize(recent..self.granted.len())].clone()
    }

    fn update(&mut self) -> Operation {
        let key = ["a", "b", "c", "d", "e", "", "too long a key"][self.random.usize(..7)];
        let text = ["", "1", "22", "a longer text", "a text that is too long"][self.random.usize(..5)];
        let text = (self.random.u8(..4) > 0).then(|| text.to_string());
        let expected_version = (self.random.u8(..3) == 0).then(|| self.random.u64(..4));
        let fencing_token = (self.random.u8(..4) == 0).then(|| self.token());
        let lease_epoch = (self.random.u8(..3) == 0).then(|| self.token().epoch);
        let update = Update { key: key.into(), text, expected_version };
        Operation::Update { update, fencing_token, lease_epoch }
    }

    fn operation(&mut self) -> Operation {
        let name = ["n1", "n2", "n3", "n4", "too long a name"][self.random.usize(..5)];
        match self.random.u8(..8) {
            0 | 1 => {
                let ttl_ms = [1, 200, 201, 249, 1000, 600_001][self.random.usize(..6)];
                Operation::Grant { name: name.into(), ttl_ms }
            }
            2 => Operation::Renew(self.token()),
            3 => Operation::Revoke(self.token()),
            _ => self.update(),
        }
    }

    fn command(&mut self) -> Command {
        match self.random.u8(..12) {
            0 => Command::RegisterClient,
            1 => Command::ExpireLease { token: self.token(), renewals: self.random.u64(..3) },
            2 => Command::Initialize { store_id: self.random.u64(1..10) },
            3 => {
                let update = Update { key: "old".into(), text: Some("x".into()), expected_version: None };
                Command::LegacyUpdate(update)
            }
            4..=6 => {
                let client_id = self.clients[self.random.usize(..self.clients.len())];
                let other_store = self.random.u8(..8) == 0;
                let store_id = if other_store { 1 << 40 } else { self.machine.state().store_id };
                let sequence = self.random.u64(1..6);
                let origin = Some(RequestOrigin { store_id, client_id, sequence });
                Command::Write { origin, operation: self.operation() }
            }
            _ => Command::Write { origin: None, operation: self.operation() },
        }
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        let applied = self.machine.apply(self.index, command.clone());
        let response = hex::encode(&postcard::to_allocvec(&applied.response).unwrap());
        let changes =
            applied.changes.as_ref().map(|set| hex::encode(&postcard::to_allocvec(&**set).unwrap()));
        let lease = match &applied.lease_event {
            None => "-".to_string(),
            Some(LeaseEvent::Started(timer)) => format!("begun {}", describe(timer)),
            Some(LeaseEvent::Ended { epoch }) => format!("ended {epoch}"),
        };
        let command_bytes = hex::encode(&command.encode().unwrap());
        let changes_bytes = changes.as_deref().unwrap_or("-");
        writeln!(
            self.lines,
            "{} {command_bytes} => {response} changes {changes_bytes} lease {lease}",
            self.index
        )
        .unwrap();
        match applied.response.result {
            Ok(CommandEffect::ClientRegistered { client_id, .. }) => self.clients.push(client_id),
            Ok(CommandEffect::Granted { epoch }) => {
                // A retry receives the response to the first write with its sequence number, which may be
                // another operation.
                if let Command::Write { operation: Operation::Grant { name, .. }, .. } = command {
                    self.granted.push(FencingToken { name, epoch });
                }
            }
            _ => {}
        }
        if let Some(event) = applied.lease_event {
            self.handle_timer_event(LeaseTimerEvent::Lease(event));
        }
        if let Some(changes) = applied.changes {
            self.change_log.push(changes);
        }
    }

    /// Passes an event to the timers and applies the proposed commands next.
    fn handle_timer_event(&mut self, event: LeaseTimerEvent) {
        let mut proposals = Vec::new();
        self.lease_timers.handle(event, &mut proposals);
        for command in proposals {
            writeln!(self.lines, "  proposed {}", hex::encode(&command.encode().unwrap())).unwrap();
            // Drops some proposals, as if they were lost.
            if self.random.u8(..3) > 0 {
                self.apply(command);
            }
        }
    }

    fn change_leader(&mut self) {
        let event = if self.lease_timers.is_leader() {
            LeaseTimerEvent::LostLeadership
        } else {
            let held = self.machine.lease_timers();
            held.iter().for_each(|timer| writeln!(self.lines, "  counts {}", describe(timer)).unwrap());
            LeaseTimerEvent::BecameLeader(held)
        };
        self.handle_timer_event(event);
        writeln!(self.lines, "  leads {}", self.lease_timers.is_leader()).unwrap();
    }

    fn restart(&mut self) {
        let bytes = self.machine.encode().unwrap();
        self.machine = StateMachine::decode(&bytes, limits()).unwrap();
        writeln!(self.lines, "  snapshot {:08x} of {} bytes", crc32fast::hash(&bytes), bytes.len()).unwrap();
    }

    fn read_change_log(&mut self) {
        let after = self.machine.state().revision.saturating_sub(self.random.u64(..40));
        let found = match self.change_log.after(after, 5) {
            Ok(change_sets) => {
                format!("{:?}", change_sets.iter().map(|set| set.revision).collect::<Vec<_>>())
            }
            Err(Compacted { compacted_revision }) => format!("compacted at {compacted_revision}"),
        };
        let last = self.change_log.last_revision();
        writeln!(self.lines, "  history after {after}: {found}, last {last}").unwrap();
    }
}

#[test]
fn seeded_commands_give_the_recorded_responses_changes_and_proposals() {
    let mut run = Run::new();
    for step in 0..STEPS {
        match run.random.u8(..20) {
            0 => run.change_leader(),
            1 => run.restart(),
            2 => run.read_change_log(),
            3 => {
                run.index += 1;
                run.machine.skip(run.index);
            }
            4 if step % 3 == 0 => run.change_log.reset(run.machine.state().revision),
            4..=9 => (0..3).for_each(|_| run.handle_timer_event(LeaseTimerEvent::Tick)),
            _ => {
                let command = run.command();
                run.apply(command);
            }
        }
    }
    run.restart();
    FIXTURES.assert_same("state_machine_run.txt", &run.lines);
}
