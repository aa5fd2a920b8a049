//! Simulates routers, and operators that react to the release.
use super::{FirstFailure, Message, SECOND, Simulation, last_good, target_version};
use decision::Micros;
use rand::RngExt;
use releases::{Event, LedgerEvent, Phase, RequestStats, Target, Version};

/// The error rate of a healthy router.
const USUAL_ERROR_RATE: f64 = 0.002;

/// The update of a router that is out of service.
#[derive(Clone, Debug)]
pub(crate) struct OutOfService {
    back_at: Micros,
    version: Version,
    deadline: Micros,
}

/// A simulated router of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct RouterNode {
    zone: usize,
    pub(crate) version: Version,
    pub(crate) out: Option<OutOfService>,
    pub(crate) has_failed: bool,
    pub(crate) disconnected_until: Micros,
    /// When the router last returned to service.
    pub(super) back_at: Micros,
    /// The number of requests served since `back_at`.
    pub(super) served: u64,
}

impl RouterNode {
    pub(super) fn new(zone: usize) -> RouterNode {
        RouterNode {
            zone,
            version: last_good(),
            out: None,
            has_failed: false,
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
    /// Handles an update instruction at a router.
    pub(super) fn update_router(&mut self, router: &str, version: Version, deadline: Micros) {
        let duration = self.rng.random_range(5 * SECOND..15 * SECOND);
        let fails = self.happens(self.scenario.update_failure);
        let now = self.now;
        let node = self.nodes.get_mut(router).unwrap();
        if node.has_failed || !node.is_connected(now) {
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
                    node.has_failed = fails;
                }
            }
        }
    }

    /// Runs the actions of routers and operators that do not follow from messages.
    pub(super) fn run_nodes(&mut self) {
        let at_target = self.nodes.values().filter(|node| node.version == target_version()).count();
        let updated = self.return_to_service();
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

    /// Returns routers whose update is complete to service; returns their messages to the driver.
    fn return_to_service(&mut self) -> Vec<Event> {
        let now = self.now;
        let mut updated = Vec::new();
        for (name, node) in &mut self.nodes {
            // A failed router whose update deadline has passed counts as failed, no longer as out of service
            // for an update.
            if node.has_failed && node.out.as_ref().is_some_and(|out| out.deadline <= now) {
                node.out = None;
            }
            if node.has_failed {
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

    /// Serves one second's requests at the routers in service; returns the statistics that reach the driver.
    /// The target version fails requests when at least `from_routers` routers run it; `at_target` is the
    /// number of these before this step.
    fn serve_requests(&mut self, at_target: usize) -> Vec<Event> {
        let now = self.now;
        let bad = self.scenario.bad_version.filter(|bad| at_target >= bad.from_routers);
        let mut reported = Vec::new();
        for (name, node) in self.nodes.iter_mut().filter(|(_, node)| !node.has_failed && node.out.is_none()) {
            let is_affected = |zone: Option<usize>| zone.is_none_or(|zone| zone == node.zone);
            let is_bad = node.version == target_version();
            let added_error_rate =
                bad.filter(|bad| is_bad && is_affected(bad.zone)).map_or(0.0, |bad| bad.error_rate);
            let requests = self.rng.random_range(40..60_u64);
            let fails = |_: &u64| self.rng.random::<f64>() < USUAL_ERROR_RATE + added_error_rate;
            let errors = (0..requests).filter(fails).count() as u64;
            let latency_sum = (0..requests).map(|_| self.rng.random_range(500..1500_u64)).sum();
            if added_error_rate > 0.0 {
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

    /// Rolls back after a halt for worse statistics and resumes after any other halt.
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
