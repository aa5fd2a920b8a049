//! Checks the invariants of the simulation, using its own records.
use super::{SECOND, Simulation};
use releases::{BudgetLedger, Limit, RouterState, RouterStep, Target, TargetKind};
use std::collections::BTreeSet;

/// The largest number of violations that are recorded.
const MAX_VIOLATIONS: usize = 20;
/// Snapshots are compared only in fleets with fewer routers than this, because it is slow in large ones.
const MAX_ROUTERS_WITH_SNAPSHOT_CHECK: usize = 50;

impl Simulation {
    pub(super) fn add_violation(&mut self, text: impl AsRef<str>) {
        if self.outcome.violations.len() < MAX_VIOLATIONS {
            let seconds = self.now as f64 / 1e6;
            self.outcome.violations.push(format!("at {seconds:.1} s: {}", text.as_ref()));
        }
    }

    pub(super) fn checks_snapshots(&self) -> bool {
        self.scenario.size.routers < MAX_ROUTERS_WITH_SNAPSHOT_CHECK
    }

    /// Checks that a newly granted reservation is within the budget, counted from the reservations alone.
    pub(super) fn check_budget(&mut self, ledger: &BudgetLedger, target: &Target) {
        let zone = self.members[target].clone();
        let limits = match target.kind {
            TargetKind::Router => self.scenario.budget.routers,
            TargetKind::Instance => self.scenario.budget.instances,
        };
        let limit = |limit, members: usize| match limit {
            Limit::Count(count) => count as usize,
            Limit::Percent(percent) => (members * percent as usize / 100).max(1),
        };
        let is_same_kind = |other: &Target| other.kind == target.kind;
        let members = self.members.iter().filter(|(other, _)| is_same_kind(other));
        let (all, in_zone) = members
            .fold((0, 0), |(all, in_zone), (_, other)| (all + 1, in_zone + usize::from(*other == zone)));
        let reserved = || ledger.reservations().filter(|reservation| is_same_kind(&reservation.target));
        let out = reserved().count();
        let out_in_zone = reserved().filter(|reservation| reservation.zone == zone).count();
        if out > limit(limits.fleet, all) || out_in_zone > limit(limits.zone, in_zone) {
            let name = &target.name;
            self.add_violation(format!(
                "{name} exceeds the budget: {out} members are out of service, {out_in_zone} of them in {zone}"
            ));
        }
    }

    /// Checks that a reservation has not expired before the end of its lease.
    pub(super) fn check_lease(&mut self, target: &Target) {
        let lease_time = self.now - self.leases[target];
        if lease_time < self.scenario.settings.lease {
            let (name, seconds) = (&target.name, lease_time / SECOND);
            self.add_violation(format!("the reservation of {name} expired after only {seconds} s"));
        }
    }

    /// Checks that a router is instructed to update only after the update's start is committed, and only if
    /// the previous wave was healthy.
    pub(super) fn check_update(&mut self, router: &str, to_target_version: bool) {
        let step = self.snapshot.routers[router].step;
        if !matches!(step, RouterStep::Updating | RouterStep::RollingBack) {
            self.add_violation(format!(
                "{router} is instructed to update before the update's start is committed"
            ));
        }
        if to_target_version {
            self.check_previous_wave(router);
        }
    }

    /// Checks that the previous wave was observed long enough and served enough requests before a router is
    /// updated.
    fn check_previous_wave(&mut self, router: &str) {
        let wave = self.snapshot.routers[router].wave;
        let health = self.scenario.settings.health;
        let is_previous = |state: &RouterState| state.wave > 0 && state.wave + 1 == wave;
        let mut violations = Vec::new();
        for (name, state) in self.snapshot.routers.iter().filter(|(_, state)| is_previous(state)) {
            let node = &self.nodes[name];
            let observed = self.now - node.back_at >= health.observation_time;
            let was_found_healthy = observed && node.served >= health.min_requests;
            let too_early = match state.step {
                RouterStep::Pending | RouterStep::Updating => true,
                RouterStep::Updated => !was_found_healthy,
                _ => false,
            };
            if too_early {
                violations
                    .push(format!("{router} is updated in wave {wave} before {name} was found healthy"));
            }
        }
        violations.into_iter().for_each(|violation| self.add_violation(violation));
    }

    /// Checks that every member that is out of service for an update or drain has a reservation in the
    /// committed state.
    pub(super) fn check_reservations(&mut self) {
        let reservations = self.ledger_snapshot.reservations.iter();
        let reserved: BTreeSet<&str> =
            reservations.map(|reservation| reservation.target.name.as_str()).collect();
        let routers_out = self.nodes.iter().filter(|(_, node)| node.out.is_some());
        let drained = self.drains.keys().map(|target| target.name.as_str());
        let (mut routers, mut instances) = (BTreeSet::new(), 0);
        let mut violations = Vec::new();
        for name in routers_out.map(|(name, _)| name.as_str()).chain(drained) {
            if name.starts_with('r') {
                routers.insert(name);
            } else {
                instances += 1;
            }
            if !reserved.contains(name) {
                violations.push(format!("{name} is out of service without a reservation"));
            }
        }
        self.outcome.max_routers_out = self.outcome.max_routers_out.max(routers.len());
        self.outcome.max_instances_out = self.outcome.max_instances_out.max(instances);
        violations.into_iter().for_each(|violation| self.add_violation(violation));
    }
}
