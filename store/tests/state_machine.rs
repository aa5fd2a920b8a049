//! Tests of the state machine, the lease timers and the change log without a node: leases, fencing, retries,
//! limits, and the legacy formats.
use proptest::prelude::*;
use std::collections::{BTreeMap, HashSet};
use store::change_log::{ChangeLog, Compacted, RetentionLimits};
use store::command::{Command, CommandEffect, FencingToken, KeyChange, Operation, RequestOrigin};
use store::lease_timers::{LeaseEvent, LeaseTimer, LeaseTimerEvent, LeaseTimers};
use store::limits::StoreLimits;
use store::machine::{Applied, StateMachine};
use store::{Rejection, Update, Value};

const STORE_ID: u64 = 7;

/// A state machine, the log index of its last command, and its changes.
struct Log {
    machine: StateMachine,
    index: u64,
    change_log: ChangeLog,
}

impl Log {
    fn new(limits: StoreLimits) -> Log {
        let change_log = ChangeLog::new(RetentionLimits::default(), 0);
        let mut log = Log { machine: StateMachine::new(limits), index: 0, change_log };
        log.run(Command::Initialize { store_id: STORE_ID }).unwrap();
        log
    }

    fn apply(&mut self, command: Command) -> Applied {
        self.index += 1;
        // The command is encoded and decoded, as it is in the log.
        let command = Command::decode(&command.encode().unwrap()).unwrap();
        let applied = self.machine.apply(self.index, command);
        applied.changes.iter().for_each(|changes| self.change_log.push(changes.clone()));
        applied
    }

    fn run(&mut self, command: Command) -> Result<CommandEffect, Rejection> {
        self.apply(command).response.result
    }

    fn write(&mut self, operation: Operation) -> Result<CommandEffect, Rejection> {
        self.run(Command::Write { origin: None, operation })
    }

    fn grant(&mut self, name: &str) -> Result<CommandEffect, Rejection> {
        self.write(Operation::Grant { name: name.into(), ttl_ms: 1000 })
    }

    /// Grants the lease of a free name and returns its epoch.
    fn granted_epoch(&mut self, name: &str) -> u64 {
        match self.grant(name) {
            Ok(CommandEffect::Granted { epoch }) => epoch,
            other => panic!("{other:?}"),
        }
    }

    fn put(
        &mut self,
        key: &str,
        text: &str,
        fencing_token: Option<FencingToken>,
        lease_epoch: Option<u64>,
    ) -> Result<CommandEffect, Rejection> {
        let update = Update { key: key.into(), text: Some(text.into()), expected_version: None };
        self.write(Operation::Update { update, fencing_token, lease_epoch })
    }

    fn register_client(&mut self) -> u64 {
        match self.run(Command::RegisterClient) {
            Ok(CommandEffect::ClientRegistered { client_id, store_id: STORE_ID }) => client_id,
            other => panic!("{other:?}"),
        }
    }
}

fn token(name: &str, epoch: u64) -> FencingToken {
    FencingToken { name: name.into(), epoch }
}

#[test]
fn lease_has_one_holder_and_fences_previous_holders() {
    let mut log = Log::new(StoreLimits::default());
    assert_eq!(log.grant("n"), Ok(CommandEffect::Granted { epoch: 2 }));
    assert_eq!(log.grant("n"), Err(Rejection::LeaseHeld { epoch: 2 }));
    log.put("k", "1", Some(token("n", 2)), Some(2)).unwrap();
    log.put("other", "1", None, None).unwrap();
    log.write(Operation::Renew(token("n", 2))).unwrap();
    // The countdown ended before the renewal was committed, so the lease stays alive.
    log.run(Command::ExpireLease { token: token("n", 2), renewals: 0 }).unwrap();
    assert!(log.machine.state().get("k").is_some());
    let ended = log.apply(Command::ExpireLease { token: token("n", 2), renewals: 1 });
    assert_eq!(ended.changes.unwrap().changes, [KeyChange { key: "k".into(), value: None }]);
    assert_eq!(ended.lease_event, Some(LeaseEvent::Ended { epoch: 2 }));
    assert!(log.machine.state().get("other").is_some());
    assert_eq!(log.put("k", "2", Some(token("n", 2)), None), Err(Rejection::LeaseEnded { epoch: 2 }));
    assert_eq!(log.put("k", "2", None, Some(2)), Err(Rejection::LeaseEnded { epoch: 2 }));
    let next = log.granted_epoch("n");
    assert!(next > 2);
    let fenced = Err(Rejection::Fenced { highest_epoch: next });
    assert_eq!(log.put("k", "2", Some(token("n", 2)), None), fenced);
    assert_eq!(log.write(Operation::Renew(token("n", 2))), fenced);
    assert_eq!(log.write(Operation::Revoke(token("n", 2))), fenced);
    log.write(Operation::Revoke(token("n", next))).unwrap();
    assert_ne!(log.granted_epoch("n"), next);
}

#[test]
fn evicted_lease_name_still_fences_its_holder() {
    let mut log = Log::new(StoreLimits { max_lease_names: 2, ..StoreLimits::default() });
    log.grant("a").unwrap();
    log.write(Operation::Revoke(token("a", 2))).unwrap();
    log.grant("b").unwrap();
    log.grant("c").unwrap();
    assert_eq!(log.put("k", "1", Some(token("a", 2)), None), Err(Rejection::Fenced { highest_epoch: 2 }));
    assert!(matches!(log.grant("d"), Err(Rejection::LimitReached { .. })));
}

#[test]
fn leader_restarts_full_lease_countdowns_in_each_term() {
    let timer = |epoch, renewals| LeaseTimer { token: token("n", epoch), renewals, ticks: 3 };
    let expire = |epoch, renewals| Command::ExpireLease { token: token("n", epoch), renewals };
    let mut timers = LeaseTimers::default();
    let tick = |timers: &mut LeaseTimers, count: usize| {
        let mut proposals = Vec::new();
        (0..count).for_each(|_| timers.handle(LeaseTimerEvent::Tick, &mut proposals));
        proposals
    };
    let handle = |timers: &mut LeaseTimers, event| timers.handle(event, &mut Vec::new());
    // A follower proposes no expiry.
    handle(&mut timers, LeaseTimerEvent::Lease(LeaseEvent::Started(timer(1, 0))));
    assert!(tick(&mut timers, 10).is_empty());
    handle(&mut timers, LeaseTimerEvent::BecameLeader(vec![timer(1, 0), timer(2, 0)]));
    assert!(tick(&mut timers, 2).is_empty());
    handle(&mut timers, LeaseTimerEvent::Lease(LeaseEvent::Started(timer(2, 1))));
    assert_eq!(tick(&mut timers, 1), [expire(1, 0)]);
    // A lost proposal is repeated until the expiry is committed.
    assert_eq!(tick(&mut timers, 20).len(), 2);
    handle(&mut timers, LeaseTimerEvent::Lease(LeaseEvent::Ended { epoch: 1 }));
    assert_eq!(tick(&mut timers, 20), [expire(2, 1)]);
    handle(&mut timers, LeaseTimerEvent::LostLeadership);
    assert!(tick(&mut timers, 50).is_empty());
    handle(&mut timers, LeaseTimerEvent::BecameLeader(vec![timer(2, 1)]));
    assert!(tick(&mut timers, 2).is_empty());
    assert_eq!(tick(&mut timers, 1).len(), 1);
}

#[test]
fn retried_write_receives_its_first_response() {
    let limits = StoreLimits { max_clients: 2, ..StoreLimits::default() };
    let mut log = Log::new(limits);
    let write = |client_id, sequence, expected_version| {
        let update = Update { key: "k".into(), text: Some("x".into()), expected_version };
        let operation = Operation::Update { update, fencing_token: None, lease_epoch: None };
        let origin = Some(RequestOrigin { store_id: STORE_ID, client_id, sequence });
        Command::Write { origin, operation }
    };
    let (a, b) = (log.register_client(), log.register_client());
    let first = log.apply(write(a, 1, Some(0)));
    assert_eq!(log.run(write(b, 1, None)), Ok(CommandEffect::Updated { version: 2 }));
    let retried = log.apply(write(a, 1, Some(0)));
    assert_eq!((&retried.response, retried.changes), (&first.response, None));
    // A retry of a rejected write receives the same rejection.
    let mismatch = Err(Rejection::VersionMismatch { current: 2 });
    assert_eq!(log.run(write(a, 2, Some(0))), mismatch);
    log.put("k", "y", None, None).unwrap();
    assert_eq!(log.run(write(a, 2, Some(3))), mismatch);
    assert_eq!(log.run(write(a, 1, None)), Err(Rejection::StaleSequence { latest: 2 }));
    // The last response survives a snapshot.
    log.machine = StateMachine::decode(&log.machine.encode().unwrap(), limits).unwrap();
    assert_eq!(log.run(write(a, 2, Some(3))), mismatch);
    // The least recently active client is evicted, and its retries are not applied again.
    log.register_client();
    assert_eq!(log.run(write(b, 1, None)), Err(Rejection::UnknownClient));
    let origin = Some(RequestOrigin { store_id: STORE_ID + 1, client_id: a, sequence: 9 });
    let of_other_store = Command::Write { origin, operation: Operation::Renew(token("n", 1)) };
    assert_eq!(log.run(of_other_store), Err(Rejection::UnknownClient));
}

#[test]
fn write_beyond_a_limit_is_rejected_and_changes_nothing() {
    let mut log = Log::new(StoreLimits {
        max_keys: 2,
        max_value_bytes: 8,
        max_key_bytes: 4,
        max_total_bytes: 14,
        max_keys_per_lease: 1,
        ..StoreLimits::default()
    });
    assert!(matches!(log.put("", "1", None, None), Err(Rejection::OutOfBounds { .. })));
    assert!(matches!(log.put("12345", "1", None, None), Err(Rejection::OutOfBounds { .. })));
    assert!(matches!(log.put("1", "123456789", None, None), Err(Rejection::OutOfBounds { .. })));
    let short_lease = Operation::Grant { name: "n".into(), ttl_ms: 1 };
    assert!(matches!(log.write(short_lease), Err(Rejection::OutOfBounds { .. })));
    assert_eq!(log.machine.state().revision, 0);
    let epoch = log.granted_epoch("n");
    log.put("a", "12345678", None, Some(epoch)).unwrap();
    assert!(matches!(log.put("b", "1", None, Some(epoch)), Err(Rejection::LimitReached { .. })));
    assert!(matches!(log.put("b", "12345678", None, None), Err(Rejection::LimitReached { .. })));
    log.put("b", "1", None, None).unwrap();
    assert!(matches!(log.put("c", "1", None, None), Err(Rejection::LimitReached { .. })));
    log.put("a", "12345678", None, None).unwrap();
}

#[test]
fn legacy_formats_are_decoded_and_unknown_ones_are_not() {
    let command = Command::decode(br#"{"expected":1,"key":"a","text":"2"}"#).unwrap();
    let update = Update { key: "a".into(), text: Some("2".into()), expected_version: Some(1) };
    assert_eq!(command, Command::LegacyUpdate(update));
    let legacy_snapshot = br#"{"applied":9,"keys":[["a",1,"1"]]}"#;
    let mut machine = StateMachine::decode(legacy_snapshot, StoreLimits::default()).unwrap();
    let state = machine.state();
    assert_eq!((state.revision, state.get("a").unwrap().version), (9, 1));
    assert_eq!(machine.apply(10, command).response.result, Ok(CommandEffect::Updated { version: 2 }));
    for bytes in [&b"\x09x"[..], b"", b"\x01\xff\xff", b"{}"] {
        assert_eq!(Command::decode(bytes), None);
        assert_eq!(StateMachine::decode(bytes, StoreLimits::default()), None);
    }
}

#[test]
fn change_log_reports_compacted_revisions() {
    let mut log = Log::new(StoreLimits::default());
    log.change_log = ChangeLog::new(RetentionLimits { max_revisions: 2, max_bytes: 100 }, 0);
    for n in 0..4 {
        log.put("k", &n.to_string(), None, None).unwrap();
    }
    let revisions_after = |revision| {
        let found = log.change_log.after(revision, 9);
        found.map(|sets| sets.iter().map(|set| set.revision).collect::<Vec<_>>())
    };
    assert_eq!(revisions_after(2), Err(Compacted { compacted_revision: 3 }));
    assert_eq!(revisions_after(3), Ok(vec![4, 5]));
    assert_eq!(revisions_after(5), Ok(vec![]));
}

/// A random step: the kind of the command, and three numbers that determine its arguments.
fn any_step() -> impl Strategy<Value = (u8, u8, u8, u8)> {
    (0..9u8, 0..3u8, 0..4u8, 0..4u8)
}

/// The state of a run of random commands.
struct Run {
    log: Log,
    granted: Vec<FencingToken>,
    highest_epoch: u64,
    clients: Vec<u64>,
}

impl Run {
    fn command(&self, (kind, a, b, c): (u8, u8, u8, u8)) -> Command {
        let name = format!("n{a}");
        let lease = self.granted[c as usize % self.granted.len()].clone();
        let key = format!("{}{b}", if b % 2 == 0 { "x" } else { "y" });
        let update = Update { key, text: (c > 0).then(|| c.to_string()), expected_version: None };
        let plain = Operation::Update { update: update.clone(), fencing_token: None, lease_epoch: None };
        let client_id = self.clients[a as usize % self.clients.len()];
        let origin = RequestOrigin { store_id: STORE_ID, client_id, sequence: u64::from(b) + 1 };
        let operation = match kind {
            0 | 1 => Operation::Grant { name, ttl_ms: 1000 },
            2 => Operation::Renew(lease),
            3 => Operation::Revoke(lease),
            4 => return Command::ExpireLease { token: lease, renewals: u64::from(b) },
            5 => return Command::Write { origin: Some(origin), operation: plain },
            6 => {
                let lease_epoch = Some(lease.epoch);
                Operation::Update { update, fencing_token: Some(lease), lease_epoch }
            }
            7 => return Command::RegisterClient,
            _ => plain,
        };
        Command::Write { origin: None, operation }
    }

    fn step(&mut self, step: (u8, u8, u8, u8)) -> Result<(), TestCaseError> {
        match self.log.run(self.command(step)) {
            Ok(CommandEffect::Granted { epoch }) => {
                prop_assert!(epoch > self.highest_epoch);
                self.highest_epoch = epoch;
                self.granted.push(token(&format!("n{}", step.1), epoch));
            }
            Ok(CommandEffect::ClientRegistered { client_id, .. }) => self.clients.push(client_id),
            _ => {}
        }
        Ok(())
    }

    fn check_leases(&self) -> Result<(), TestCaseError> {
        let held = self.log.machine.lease_timers();
        let names: HashSet<_> = held.iter().map(|timer| &timer.token.name).collect();
        let epochs: HashSet<_> = held.iter().map(|timer| timer.token.epoch).collect();
        prop_assert!(names.len() == held.len() && epochs.len() == held.len());
        // No key remains after the lease that it is attached to has ended.
        let mut keys = self.log.machine.state().with_prefix("");
        prop_assert!(keys.all(|(_, value)| value.lease_epoch.is_none_or(|epoch| epochs.contains(&epoch))));
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn epochs_increase_and_change_log_returns_exactly_the_changes_after_a_revision(
        steps in prop::collection::vec(any_step(), 1..80)
    ) {
        let limits =
            StoreLimits { max_lease_names: 2, max_clients: 2, max_keys: 3, ..StoreLimits::default() };
        let log = Log::new(limits);
        let mut run = Run { log, granted: vec![token("", 0)], highest_epoch: 0, clients: vec![0] };
        // The keys at each revision, as read at that time.
        let mut read: BTreeMap<u64, BTreeMap<String, Value>> = BTreeMap::from([(0, BTreeMap::new())]);
        for step in steps {
            run.step(step)?;
            run.check_leases()?;
            let state = run.log.machine.state();
            let keys = state.with_prefix("").map(|(key, value)| (key.into(), value.clone()));
            read.insert(state.revision, keys.collect());
            let restored = StateMachine::decode(&run.log.machine.encode().unwrap(), limits);
            prop_assert_eq!(restored.as_ref(), Some(&run.log.machine));
        }
        let last = read.values().next_back().unwrap();
        for (revision, keys) in &read {
            let mut keys = keys.clone();
            for set in run.log.change_log.after(*revision, usize::MAX).unwrap() {
                prop_assert!(set.revision > *revision && read.contains_key(&set.revision));
                for change in &set.changes {
                    match &change.value {
                        Some(value) => _ = keys.insert(change.key.clone(), value.clone()),
                        None => prop_assert!(keys.remove(&change.key).is_some()),
                    }
                }
                prop_assert_eq!(&keys, &read[&set.revision]);
            }
            prop_assert_eq!(&keys, last);
        }
    }
}
