//! Simulates a fleet with the budget ledger and a release, with a checker that keeps its own records.
#![allow(dead_code, reason = "the example and the tests use different parts")]
mod checker;
mod faults;
mod machines;
mod nodes;
pub(crate) mod scenario;

pub(crate) use nodes::RouterNode;
pub(crate) use scenario::{
    BadVersion, InjectedFault, SECOND, Scenario, last_good, limits, plan, settings, target, target_version,
};

use decision::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use releases::{
    BudgetLedger, Event, GrantId, HaltReason, LedgerEvent, LedgerSnapshot, Members, Phase, Release,
    ReleaseSnapshot, RequestId, Target, TargetKind, Version,
};
use std::collections::BTreeMap;

/// The time between two simulation steps, microseconds.
const STEP: Micros = 100_000;
/// The owner of the release's reservations.
const RELEASE: &str = "release";

/// A message in transit.
#[derive(Clone, Debug)]
enum Message {
    ToLedger(LedgerEvent),
    ToDriver(Event),
    Granted { owner: String, target: Target, request: RequestId, grant: GrantId },
    ToRouter { router: String, version: Version, deadline: Micros },
}

/// A halt of the release, as recorded for the report.
#[derive(Clone, Debug)]
pub(crate) struct Halt {
    pub(crate) at: Micros,
    pub(crate) wave: u32,
    pub(crate) reason: HaltReason,
}

impl Halt {
    pub(crate) fn is_for_worse_stats(&self) -> bool {
        matches!(self.reason, HaltReason::Regressed(_))
    }
}

/// The first request that failed because of the target version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstFailure {
    pub(crate) at: Micros,
    pub(crate) wave: u32,
}

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) violations: Vec<String>,
    pub(crate) ended_at: Option<Micros>,
    pub(crate) halts: Vec<Halt>,
    pub(crate) first_failure: Option<FirstFailure>,
    pub(crate) rollback_at: Option<Micros>,
    pub(crate) failed_requests: u64,
    pub(crate) max_routers_out: usize,
    pub(crate) max_instances_out: usize,
    pub(crate) grants: u64,
    pub(crate) denials: u64,
    pub(crate) expired_reservations: u64,
    pub(crate) driver_kills: u64,
    pub(crate) elections: u64,
    /// The number of running routers with the target version at the end.
    pub(crate) at_target: usize,
}

/// A member that an operator has drained.
#[derive(Clone, Copy, Debug)]
struct Drain {
    until: Micros,
    grant: GrantId,
}

/// A fleet, the store's leader with the ledger, the driver with the release, and the messages between them.
pub(crate) struct Simulation {
    pub(crate) now: Micros,
    pub(crate) scenario: Scenario,
    ledger: Option<BudgetLedger>,
    /// The state that the ledger's owner has committed.
    pub(crate) ledger_snapshot: LedgerSnapshot,
    driver: Option<Release>,
    /// The state that the release's driver has committed.
    pub(crate) snapshot: ReleaseSnapshot,
    pub(crate) nodes: BTreeMap<String, RouterNode>,
    pub(crate) outcome: Outcome,
    drains: BTreeMap<Target, Drain>,
    drains_requested: BTreeMap<Target, Micros>,
    /// The checker's record of when each reservation's lease started.
    leases: BTreeMap<Target, Micros>,
    pub(crate) members: Members,
    messages: BTreeMap<(Micros, u64), Message>,
    messages_sent: u64,
    rng: StdRng,
    ledger_back_at: Micros,
    driver_back_at: Micros,
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario) -> Simulation {
        let zone = |i: usize| format!("z{}", i % scenario.size.zones);
        let routers: BTreeMap<String, String> =
            (0..scenario.size.routers).map(|i| (format!("r{i:03}"), zone(i))).collect();
        let mut members: Members =
            routers.iter().map(|(name, zone)| (target(TargetKind::Router, name), zone.clone())).collect();
        let instance = |i: usize| (target(TargetKind::Instance, &format!("i{i:03}")), zone(i));
        members.extend((0..scenario.size.instances).map(instance));
        let ledger = BudgetLedger::new(scenario.budget, scenario.settings.lease, members.clone());
        let mut settings = scenario.settings;
        if scenario.injected_fault == InjectedFault::HealthIgnored {
            (settings.health.observation_time, settings.health.min_requests) = (1, 1);
        }
        let driver = Release::new(plan(&routers), settings).unwrap();
        let node = |i: usize| (format!("r{i:03}"), RouterNode::new(i % scenario.size.zones));
        Simulation {
            now: 0,
            ledger_snapshot: ledger.snapshot(),
            ledger: Some(ledger),
            snapshot: driver.snapshot().clone(),
            driver: Some(driver),
            nodes: (0..scenario.size.routers).map(node).collect(),
            outcome: Outcome::default(),
            drains: BTreeMap::new(),
            drains_requested: BTreeMap::new(),
            leases: BTreeMap::new(),
            members,
            messages: BTreeMap::new(),
            messages_sent: 0,
            rng: StdRng::seed_from_u64(scenario.seed),
            ledger_back_at: 0,
            driver_back_at: 0,
            scenario,
        }
    }

    /// Draws whether an event with this probability happens.
    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random::<f64>() < probability
    }

    /// Sends a message, which may be lost or duplicated.
    fn send(&mut self, message: Message) {
        if self.happens(self.scenario.message_faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.happens(self.scenario.message_faults.duplication));
        for _ in 0..copies {
            self.messages_sent += 1;
            let delay = self.rng.random_range(1_000..50_000);
            self.messages.insert((self.now + delay, self.messages_sent), message.clone());
        }
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.snapshot.phase, Phase::Completed | Phase::RolledBack)
            || matches!(self.snapshot.phase, Phase::Halted(_)) && !self.scenario.operator_reacts
    }

    /// Runs until the release has ended, and then for the duration of a lease.
    pub(crate) fn run(mut self) -> Simulation {
        while self.now < self.scenario.until {
            self.step();
            if self.has_ended() {
                let ended_at = *self.outcome.ended_at.get_or_insert(self.now);
                if self.now > ended_at + self.scenario.settings.lease {
                    break;
                }
            }
        }
        let at_target = |node: &&RouterNode| node.version == target_version() && !node.has_failed;
        self.outcome.at_target = self.nodes.values().filter(at_target).count();
        self
    }

    /// Runs for this time, in microseconds.
    pub(crate) fn run_for(&mut self, duration: Micros) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until a router is out of service in this wave or a later one.
    pub(crate) fn run_until_out(&mut self, wave: u32) {
        while self.snapshot.wave < wave || self.routers_out().next().is_none() {
            self.step();
        }
    }

    /// The names of the routers that are out of service.
    pub(crate) fn routers_out(&self) -> impl Iterator<Item = &String> {
        self.nodes.iter().filter(|(_, node)| node.out.is_some()).map(|(name, _)| name)
    }

    fn step(&mut self) {
        let until = self.now + STEP;
        while let Some((&(at, id), _)) = self.messages.first_key_value()
            && at <= until
        {
            self.now = at;
            let message = self.messages.remove(&(at, id)).unwrap();
            self.deliver(message);
            self.check_reservations();
        }
        self.now = until;
        self.inject_faults();
        self.run_nodes();
        self.handle_ledger_event(LedgerEvent::Tick);
        self.handle_driver_event(Event::Tick);
        self.check_reservations();
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToLedger(event) => self.handle_ledger_event(event),
            Message::ToDriver(event) => self.handle_driver_event(event),
            Message::ToRouter { router, version, deadline } => {
                self.update_router(&router, version, deadline);
            }
            Message::Granted { owner, target, request, grant } if owner == RELEASE => {
                self.handle_driver_event(Event::Granted { router: target.name, request, grant });
            }
            Message::Granted { target, grant, .. } => self.drain_granted(target, grant),
        }
    }
}
