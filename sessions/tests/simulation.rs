//! Simulates three instances of the state machine with delayed, partitioned and broken connections, processes
//! that are killed, paused and restarted, disks that sync late, lose their folder or fail, and clocks that
//! differ. Random reads check that the position that a session's read requires at any instance covers every
//! write acknowledged to the session.
use decision::Time;
use fastrand::Rng;
use sessions::machine::{Action, Event, Instance, Machine, Now, Push, RejectionReason, Settings};
use sessions::{AFTER_EVERY_COMMIT, SessionKey};
use std::collections::{BTreeMap, HashMap, VecDeque};

const MS: i64 = 1000;
const LEASE: i64 = 300 * MS;
const KEYS: u64 = 12;

/// The contents of an instance's disk.
#[derive(Clone, Default)]
struct Disk {
    /// Whether there is a journal that a start would use.
    valid: bool,
    incarnation: u64,
    entries: Vec<(SessionKey, Time)>,
    floor: Option<Time>,
    incomplete: bool,
}

/// A commit that was appended to the journal but is not synced yet.
struct UnsyncedCommit {
    /// The time at which the sync completes.
    synced_at: i64,
    seq: u64,
    key: SessionKey,
    at: Time,
}

struct Process {
    machine: Machine,
    unsynced: VecDeque<UnsyncedCommit>,
    paused_until: i64,
    /// The time from which the servers' clocks are known.
    clocks_known_from: i64,
    disk_fails: bool,
}

/// A message on a connection between two instances.
enum Message {
    Hello(u64),
    Accepted { incarnation: u64, last_seq: u64 },
    Rejected(RejectionReason),
    Push(Push),
    Confirmation { seq: u64 },
    LeaseRequest { requested_at: i64 },
}

/// The connection on which one instance sends its commits to another.
#[derive(Default)]
struct Link {
    pushes: VecDeque<(i64, Message)>,
    responses: VecDeque<(i64, Message)>,
    accepted: bool,
}

struct Simulation {
    rng: Rng,
    now: i64,
    processes: BTreeMap<Instance, Option<Process>>,
    disks: BTreeMap<Instance, Disk>,
    links: HashMap<(Instance, Instance), Link>,
    partitioned: HashMap<(Instance, Instance), bool>,
    /// For each instance, its clock's offset from simulated time in microseconds, and its rate deviation per
    /// mille.
    clocks: BTreeMap<Instance, (i64, i64)>,
    last_ack: u64,
    pending_commits: HashMap<(Instance, u64), (SessionKey, Time)>,
    acknowledged: HashMap<SessionKey, Time>,
    cached_reads: u64,
    reads: u64,
    acknowledged_count: u64,
    durable: bool,
    size: u64,
}

impl Simulation {
    fn new(seed: u64, size: u64, durable: bool) -> Simulation {
        let mut rng = Rng::with_seed(seed);
        let clocks = (1..=size)
            .map(|instance| (instance, (rng.i64(-3_000_000..3_000_000), rng.i64(-20..20))))
            .collect();
        let mut simulation = Simulation {
            rng,
            now: 1_000_000_000,
            processes: (1..=size).map(|instance| (instance, None)).collect(),
            disks: (1..=size).map(|instance| (instance, Disk::default())).collect(),
            links: HashMap::new(),
            partitioned: HashMap::new(),
            clocks,
            last_ack: 0,
            pending_commits: HashMap::new(),
            acknowledged: HashMap::new(),
            cached_reads: 0,
            reads: 0,
            acknowledged_count: 0,
            durable,
            size,
        };
        (1..=size).for_each(|instance| simulation.start(instance));
        simulation
    }

    fn clock(&self, instance: Instance) -> i64 {
        let (offset, rate) = self.clocks[&instance];
        self.now + offset + (self.now - 1_000_000_000) * rate / 1000
    }

    /// The time at an instance. The servers' clocks show simulated time, which the instance knows within a
    /// bound.
    fn now_at(&mut self, instance: Instance) -> Now {
        let clock_error = self.rng.i64(0..500);
        let known =
            self.processes[&instance].as_ref().is_none_or(|process| process.clocks_known_from <= self.now);
        Now {
            at: Time(self.clock(instance)),
            commit_upper_bound: known.then_some(Time(self.now + clock_error)),
        }
    }

    fn start(&mut self, instance: Instance) {
        let disk = self.disks[&instance].clone();
        let incarnation = (disk.incarnation + 1).max(self.now as u64);
        let has_journal = self.durable && disk.valid;
        let incomplete = !has_journal || disk.incomplete;
        let settings = Settings {
            instance,
            incarnation,
            lease: LEASE,
            max_buffered_commits: 20,
            max_sessions: 8,
            durable: self.durable,
            incomplete,
        };
        let entries = if has_journal { disk.entries } else { Vec::new() };
        let floor = disk.floor.filter(|_| has_journal);
        if self.durable {
            let (entries, valid) = (entries.clone(), true);
            self.disks.insert(instance, Disk { valid, incarnation, entries, floor, incomplete });
        }
        let machine = Machine::new(settings, entries, floor);
        let clocks_known_from = self.now + self.rng.i64(0..150 * MS);
        let unsynced = VecDeque::new();
        let process = Process { machine, unsynced, paused_until: 0, clocks_known_from, disk_fails: false };
        self.processes.insert(instance, Some(process));
        self.handle(instance, Event::PeersListed { peers: (1..=self.size).collect() });
    }

    fn kill(&mut self, instance: Instance) {
        let Some(process) = self.processes.get_mut(&instance).and_then(Option::take) else { return };
        // Some of the unsynced commits may have reached the disk.
        let synced_count = self.rng.usize(0..=process.unsynced.len());
        let disk = self.disks.get_mut(&instance).unwrap();
        disk.entries.extend(process.unsynced.iter().take(synced_count).map(|write| (write.key, write.at)));
        if self.rng.u8(0..6) == 0 {
            *disk = Disk { incarnation: disk.incarnation, ..Disk::default() };
        }
        self.pending_commits.retain(|(i, _), _| *i != instance);
        for (pair, link) in &mut self.links {
            // Messages from the killed process may still be delivered; messages to it are lost.
            if pair.0 == instance && self.rng.bool() {
                link.pushes.clear();
            }
        }
        let disconnected: Vec<_> =
            self.links.keys().copied().filter(|(a, b)| *a == instance || *b == instance).collect();
        for (a, b) in disconnected {
            let mut link = self.links.remove(&(a, b)).unwrap();
            while let Some((_, Message::Push(push))) = link.pushes.pop_front() {
                if b != instance && link.accepted {
                    self.handle(b, Event::PushReceived { peer: a, push });
                }
            }
            self.handle(b, Event::InboundDisconnected { peer: a });
            self.handle(a, Event::OutboundDisconnected { peer: b });
        }
    }

    fn handle(&mut self, instance: Instance, event: Event) {
        let now = self.now_at(instance);
        let Some(Some(process)) = self.processes.get_mut(&instance) else { return };
        let mut actions = Vec::new();
        process.machine.handle(now, event, &mut actions);
        for a in actions {
            self.execute(instance, a);
        }
    }

    fn delay(&mut self, queue_end: Option<i64>) -> i64 {
        // Messages on a connection are delivered in order.
        let is_delayed = self.rng.u8(0..40) == 0;
        let max_delay = if is_delayed { 500 * MS } else { 8 * MS };
        (self.now + self.rng.i64(0..max_delay)).max(queue_end.unwrap_or(0))
    }

    fn send(&mut self, from: Instance, to: Instance, message: Message) {
        let end = self.links.get(&(from, to)).and_then(|link| link.pushes.back().map(|m| m.0));
        let at = self.delay(end);
        if let Some(link) = self.links.get_mut(&(from, to)) {
            link.pushes.push_back((at, message));
        }
    }

    fn respond(&mut self, from: Instance, to: Instance, message: Message) {
        let end = self.links.get(&(from, to)).and_then(|link| link.responses.back().map(|m| m.0));
        let at = self.delay(end);
        if let Some(link) = self.links.get_mut(&(from, to)) {
            link.responses.push_back((at, message));
        }
    }

    fn execute(&mut self, instance: Instance, action: Action) {
        match action {
            Action::AppendCommit { seq, session: key, committed_at: at } => {
                let synced_at = self.now + self.rng.i64(0..60 * MS);
                let process = self.processes.get_mut(&instance).and_then(Option::as_mut).unwrap();
                let synced_at =
                    process.unsynced.back().map_or(synced_at, |write| synced_at.max(write.synced_at));
                process.unsynced.push_back(UnsyncedCommit { synced_at, seq, key, at });
            }
            Action::AppendFloor { floor: at } => {
                let disk = self.disks.get_mut(&instance).unwrap();
                disk.floor = disk.floor.max(Some(at));
                disk.incomplete = false;
            }
            Action::SendPush { peer: to, push } => self.send(instance, to, Message::Push(push)),
            Action::SendSnapshot { peer: to, seq } => {
                let m = &self.processes[&instance].as_ref().unwrap().machine;
                let mut entries: Vec<(SessionKey, i64)> = m.commits().iter().map(|(k, t)| (k, t.0)).collect();
                let floor = m.floor().filter(|_| !m.floor_pending()).map(|t| t.0);
                entries.reverse();
                self.send(instance, to, Message::Push(Push::Snapshot { entries }));
                self.send(instance, to, Message::Push(Push::SnapshotComplete { seq, floor }));
            }
            Action::Accept { peer, incarnation, last_seq: stored_seq } => {
                self.respond(peer, instance, Message::Accepted { incarnation, last_seq: stored_seq });
            }
            Action::Reject { peer, reason: cause } => self.respond(peer, instance, Message::Rejected(cause)),
            Action::SendConfirmation { peer, seq } => {
                self.respond(peer, instance, Message::Confirmation { seq });
            }
            Action::RequestLease { peer, requested_at: at } => {
                self.respond(peer, instance, Message::LeaseRequest { requested_at: at });
            }
            Action::Disconnect { peer } => self.disconnect(peer, instance),
            Action::Acknowledge { ack } => {
                let (key, at) = self.pending_commits.remove(&(instance, ack)).unwrap();
                let acknowledged = self.acknowledged.entry(key).or_insert(at);
                *acknowledged = (*acknowledged).max(at);
                self.acknowledged_count += 1;
            }
            Action::Fail { ack } => _ = self.pending_commits.remove(&(instance, ack)),
            Action::AdoptIncarnation { .. } | Action::Superseded { .. } => {}
        }
    }

    fn disconnect(&mut self, from: Instance, to: Instance) {
        if self.links.remove(&(from, to)).is_some() {
            self.handle(to, Event::InboundDisconnected { peer: from });
            self.handle(from, Event::OutboundDisconnected { peer: to });
        }
    }

    fn is_running(&self, instance: Instance) -> bool {
        self.processes[&instance].as_ref().is_some_and(|process| process.paused_until <= self.now)
    }

    fn is_partitioned(&self, a: Instance, b: Instance) -> bool {
        self.partitioned.get(&(a.min(b), a.max(b))).copied().unwrap_or(false)
    }

    /// Connects instances, delivers due messages, completes due syncs and sends ticks.
    fn advance(&mut self) {
        for from in 1..=self.size {
            for to in (1..=self.size).filter(|instance| *instance != from) {
                if self.is_running(from) && !self.links.contains_key(&(from, to)) && self.rng.u8(0..4) == 0 {
                    self.connect(from, to);
                }
                if self.is_partitioned(from, to) {
                    continue;
                }
                self.deliver(from, to);
            }
        }
        for instance in 1..=self.size {
            if !self.is_running(instance) {
                continue;
            }
            let now = self.now;
            let process = self.processes.get_mut(&instance).and_then(Option::as_mut).unwrap();
            let mut synced = None;
            while !process.disk_fails && process.unsynced.front().is_some_and(|write| write.synced_at <= now)
            {
                let UnsyncedCommit { seq, key, at, .. } = process.unsynced.pop_front().unwrap();
                self.disks.get_mut(&instance).unwrap().entries.push((key, at));
                synced = Some(seq);
            }
            if let Some(seq) = synced {
                self.handle(instance, Event::JournalSynced { seq });
            }
            self.handle(instance, Event::Tick);
        }
    }

    fn connect(&mut self, from: Instance, to: Instance) {
        if self.is_partitioned(from, to) {
            return;
        }
        if self.processes[&to].is_none() {
            let began_at = Time(self.clock(from));
            self.handle(from, Event::ConnectionRefused { peer: to, attempted_at: began_at });
        } else {
            self.links.insert((from, to), Link::default());
            let incarnation = self.processes[&from].as_ref().unwrap().machine.incarnation();
            self.send(from, to, Message::Hello(incarnation));
        }
    }

    fn deliver(&mut self, from: Instance, to: Instance) {
        while self.is_running(to)
            && let Some(link) = self.links.get_mut(&(from, to))
            && link.pushes.front().is_some_and(|m| m.0 <= self.now)
        {
            match link.pushes.pop_front().unwrap().1 {
                Message::Hello(incarnation) => {
                    self.handle(to, Event::HelloReceived { peer: from, incarnation });
                }
                Message::Push(push) => self.handle(to, Event::PushReceived { peer: from, push }),
                _ => {}
            }
        }
        while self.is_running(from)
            && let Some(link) = self.links.get_mut(&(from, to))
            && link.responses.front().is_some_and(|m| m.0 <= self.now)
        {
            match link.responses.pop_front().unwrap().1 {
                Message::Accepted { incarnation, last_seq: stored_seq } => {
                    link.accepted = true;
                    self.handle(from, Event::Accepted { peer: to, incarnation, last_seq: stored_seq });
                }
                Message::Rejected(cause) => {
                    self.handle(from, Event::Rejected { peer: to, reason: cause });
                    self.disconnect(from, to);
                }
                Message::Confirmation { seq } => self.handle(from, Event::Confirmed { peer: to, seq }),
                Message::LeaseRequest { requested_at: at } => {
                    self.handle(from, Event::LeaseRequested { peer: to, requested_at: at });
                }
                _ => {}
            }
        }
    }

    fn write(&mut self, instance: Instance) {
        let key = SessionKey(self.rng.u64(0..KEYS));
        self.last_ack += 1;
        // A commit's time is the current simulated time, which no instance's upper bound is below.
        let at = Time(self.now);
        self.pending_commits.insert((instance, self.last_ack), (key, at));
        self.handle(instance, Event::Commit { ack: self.last_ack, session: key, committed_at: at });
    }

    fn read(&mut self, instance: Instance) {
        let now = self.now_at(instance);
        let Some(Some(process)) = self.processes.get(&instance) else { return };
        for k in 0..KEYS {
            let required = process.machine.required_position(SessionKey(k), now);
            self.reads += 1;
            self.cached_reads += u64::from(
                now.commit_upper_bound.is_none_or(|upper_bound| required < Some(upper_bound))
                    && required != Some(AFTER_EVERY_COMMIT),
            );
            let acknowledged = self.acknowledged.get(&SessionKey(k)).copied();
            assert!(
                required >= acknowledged,
                "instance {instance}, key {k} at {}: {required:?} is below the acknowledged {acknowledged:?}",
                self.now
            );
        }
    }

    fn fail_disk(&mut self, instance: Instance) {
        let Some(Some(process)) = self.processes.get_mut(&instance) else { return };
        if !self.durable {
            return;
        }
        process.disk_fails = !process.disk_fails;
        let disk = self.disks.get_mut(&instance).unwrap();
        if process.disk_fails {
            // The driver deletes the file before it sends the event.
            *disk = Disk { incarnation: disk.incarnation, ..Disk::default() };
            process.unsynced.clear();
            self.handle(instance, Event::JournalDeleted);
        } else {
            let m = &process.machine;
            let mut entries: Vec<(SessionKey, Time)> = m.commits().iter().collect();
            entries.reverse();
            let (floor, incomplete, seq) = (m.floor(), m.floor_pending(), m.last_seq());
            *disk = Disk { valid: true, incarnation: m.incarnation(), entries, floor, incomplete };
            self.handle(instance, Event::JournalRestored { seq });
        }
    }

    fn step(&mut self) {
        self.now += self.rng.i64(0..10 * MS);
        self.advance();
        let instance = self.rng.u64(1..=self.size);
        let is_running = self.is_running(instance);
        match self.rng.u8(0..=255) {
            0..=89 if is_running => self.write(instance),
            90..=199 if is_running => self.read(instance),
            200..=201 => self.kill(instance),
            203..=207 if self.processes[&instance].is_none() => self.start(instance),
            216..=218 if is_running => {
                let until = self.now + self.rng.i64(0..900 * MS);
                self.processes.get_mut(&instance).unwrap().as_mut().unwrap().paused_until = until;
            }
            219..=222 => {
                let other = instance % self.size + 1;
                let is_cut = self.partitioned.entry((instance.min(other), instance.max(other))).or_default();
                *is_cut = !*is_cut;
                if self.rng.bool() {
                    self.disconnect(instance, other);
                }
            }
            223..=224 if is_running => self.fail_disk(instance),
            225 => {
                let other = instance % self.size + 1;
                self.disconnect(instance, other);
            }
            _ => {}
        }
    }
}

#[test]
fn reads_require_all_acknowledged_writes() {
    let (mut cached_reads, mut reads, mut acknowledged_count) = (0, 0, 0);
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed, if seed % 4 == 1 { 1 } else { 3 }, seed % 3 != 0);
        for _ in 0..4000 {
            simulation.step();
        }
        (cached_reads, reads, acknowledged_count) = (
            cached_reads + simulation.cached_reads,
            reads + simulation.reads,
            acknowledged_count + simulation.acknowledged_count,
        );
    }
    // Guards against a trivial pass: many writes were acknowledged, and many reads required less than all
    // commits.
    assert!(acknowledged_count > 20_000, "only {acknowledged_count} writes were acknowledged");
    assert!(cached_reads * 8 > reads, "{cached_reads} of {reads} reads required less than all commits");
}
