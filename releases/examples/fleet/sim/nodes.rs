//! Routers, and operators who react to the release.
use super::{FirstFailure, Message, SECOND, Simulation, last_good, target_version};
use decision::Micros;
use rand::RngExt;
use releases::{Event, LedgerEvent, Phase, RequestStats, Target, Version};

/// Error rate of a healthy router.
const USUAL_ERROR_RATE: f64 = 0.002;

/// A router that is out of service.
#[derive(Clone, Debug)]
pub(crate) struct OutOfService {
    back_at: Micros,
    version: Version,
    deadline: Micros,
}

/// A router.
#[derive(Clone, Debug)]
pub(crate) struct RouterNode {
    zone: usize,
    pub(crate) version: Version,
    pub(crate) out: Option<OutOfService>,
    pub(crate) is_dead: bool,
    pub(crate) disconnected_until: Micros,
    /// When it last came back into service.
    pub(super) back_at: Micros,
    /// Requests since then.
    pub(super) served: u64,
}

impl RouterNode {
    pub(super) fn new(zone: usize) -> RouterNode {
        RouterNode {
            zone,
            version: last_good(),
            out: None,
            is_dead: false,
            disconnected_until: 0,
            back_at: 0,
            served: 0,
        }
    }

    fn is_connected(&self, now: Micros) -> bool {
        self.disconnected_until <= now
    }
}

impl Simulation {
    /// A router is instructed to update.
    pub(super) fn update_router(&mut self, router: &str, version: Version, deadline: Micros) {
        let duration = self.rng.random_range(5 * SECOND..15 * SECOND);
        let dies = self.happens(self.scenario.update_death);
        let now = self.now;
        let node = self.nodes.get_mut(router).unwrap();
        if node.is_dead || !node.is_connected(now) {
            return;
        }
        match &mut node.out {
            Some(out) if out.version == version => {}
            None if node.version == version => {
                self.send(Message::ToDriver(Event::Updated { router: router.into(), version }));
            }
            out => {
                let back_at = now + duration;
                if back_at <= deadline {
                    *out = Some(OutOfService { back_at, version, deadline });
                    node.is_dead = dies;
                }
            }
        }
    }

    /// What routers and operators do by themselves.
    pub(super) fn run_nodes(&mut self) {
        let at_target = self.nodes.values().filter(|node| node.version == target_version()).count();
        let updated = self.come_back();
        if self.now % SECOND == 0 {
            for event in self.serve_requests(at_target) {
                self.handle_driver_event(event);
            }
        }
        updated.into_iter().for_each(|event| self.send(Message::ToDriver(event)));
        self.end_drains();
        if self.now % SECOND == 0 && self.scenario.operator_reacts {
            self.react_to_halt();
        }
        let rolls_back = self.scenario.roll_back_at.is_some_and(|at| self.now >= at);
        if rolls_back && self.driver.is_some() && !self.snapshot.is_rollback {
            self.outcome.rollback_at.get_or_insert(self.now);
            self.handle_driver_event(Event::RollBack);
        }
    }

    /// Routers whose update is done come back; returns what they tell the driver.
    fn come_back(&mut self) -> Vec<Event> {
        let now = self.now;
        let mut updated = Vec::new();
        for (name, node) in &mut self.nodes {
            // A router that is given up has failed: it is no longer out by a plan.
            if node.is_dead && node.out.as_ref().is_some_and(|out| out.deadline <= now) {
                node.out = None;
            }
            if node.is_dead {
                continue;
            }
            if let Some(out) = node.out.take_if(|out| out.back_at <= now) {
                node.version = out.version;
                node.back_at = now;
                node.served = 0;
                if node.is_connected(now) {
                    let (router, version) = (name.clone(), node.version.clone());
                    updated.push(Event::Updated { router, version });
                }
            }
        }
        updated
    }

    /// Routers in service serve a second's requests; returns the statistics that reach the driver. The target version is
    /// bad from a number of routers on; `at_target` is how many ran it before.
    fn serve_requests(&mut self, at_target: usize) -> Vec<Event> {
        let now = self.now;
        let bad = self.scenario.bad_version.filter(|bad| at_target >= bad.from_routers);
        let mut reported = Vec::new();
        for (name, node) in self.nodes.iter_mut().filter(|(_, node)| !node.is_dead && node.out.is_none()) {
            let shows = |zone: Option<usize>| zone.is_none_or(|zone| zone == node.zone);
            let is_bad = node.version == target_version();
            let raised = bad.filter(|bad| is_bad && shows(bad.zone)).map_or(0.0, |bad| bad.error_rate);
            let requests = self.rng.random_range(40..60_u64);
            let fails = |_: &u64| self.rng.random::<f64>() < USUAL_ERROR_RATE + raised;
            let errors = (0..requests).filter(fails).count() as u64;
            let latency_sum = (0..requests).map(|_| self.rng.random_range(500..1500_u64)).sum();
            if raised > 0.0 {
                self.outcome.failed_requests += errors;
                let wave = self.snapshot.wave;
                self.outcome.first_failure.get_or_insert(FirstFailure { at: now, wave });
            }
            node.served += requests;
            if node.is_connected(now) {
                let stats = RequestStats { requests, errors, latency_sum };
                reported.push(Event::StatsReported { router: name.clone(), stats });
            }
        }
        reported
    }

    fn end_drains(&mut self) {
        let now = self.now;
        let ended: Vec<Target> =
            self.drains.iter().filter(|(_, drain)| drain.until <= now).map(|(t, _)| t.clone()).collect();
        for target in ended {
            let grant = self.drains.remove(&target).unwrap().grant;
            self.send(Message::ToLedger(LedgerEvent::Return { target, grant }));
        }
    }

    /// The operator rolls back after a halt for worse statistics, and resumes after any other.
    fn react_to_halt(&mut self) {
        let now = self.now;
        let Phase::Halted(reason) = &self.snapshot.phase else { return };
        let rolls_back = matches!(reason, releases::HaltReason::Regressed(_));
        if self.outcome.halts.last().is_some_and(|halt| halt.at + 5 * SECOND >= now) {
            return;
        }
        if rolls_back && self.driver.is_some() {
            self.outcome.rollback_at.get_or_insert(now);
        }
        self.handle_driver_event(if rolls_back { Event::RollBack } else { Event::Resume });
    }
}
