//! Random faults and operators' actions.
use super::{Message, SECOND, Simulation, limits};
use rand::RngExt;
use releases::{DisruptionBudget, GrantId, LedgerEvent, Limit, RequestId, Target};

/// The owner of the operators' reservations.
const OPERATOR: &str = "operator";

impl Simulation {
    pub(super) fn inject_faults(&mut self) {
        self.restore_state_machines();
        if self.now % SECOND != 0 {
            return;
        }
        if self.ledger.is_some() && self.happens(self.scenario.incidents.leader_loss) {
            self.lose_leader();
        }
        self.inject_router_fault();
        self.maybe_drain();
        self.maybe_change_budget();
    }

    fn inject_router_fault(&mut self) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        let name = &names[self.rng.random_range(0..names.len())];
        let duration = self.rng.random_range(SECOND..90 * SECOND);
        let now = self.now;
        if self.happens(self.scenario.incidents.disconnection) {
            self.nodes.get_mut(name).unwrap().disconnected_until = now + duration;
        }
        if self.happens(self.scenario.incidents.router_failure) {
            self.nodes.get_mut(name).unwrap().has_failed = true;
        }
    }

    fn maybe_drain(&mut self) {
        if self.happens(self.scenario.incidents.drain) {
            // The request is denied if the release has taken the router out of service.
            let targets: Vec<Target> = self.members.keys().cloned().collect();
            let target = targets[self.rng.random_range(0..targets.len())].clone();
            if !self.drains.contains_key(&target) {
                self.request_drain(target);
            }
        }
    }

    fn request_drain(&mut self, target: Target) {
        self.drains_requested.insert(target.clone(), self.now);
        let (owner, request) = (OPERATOR.into(), RequestId(0));
        self.send(Message::ToLedger(LedgerEvent::Acquire { owner, target, request }));
    }

    /// Starts an operator's drain, if there is enough time before the reservation expires.
    pub(super) fn drain_granted(&mut self, target: Target, grant: GrantId) {
        let requested_at = self.drains_requested.remove(&target);
        let until = self.now + 5 * SECOND;
        let lease = self.scenario.settings.lease;
        let has_time = requested_at.is_some_and(|requested_at| until < requested_at + lease);
        match self.drains.get_mut(&target) {
            Some(drain) => drain.grant = drain.grant.max(grant),
            None if has_time => {
                self.drains.insert(target, super::Drain { until, grant });
            }
            None => self.send(Message::ToLedger(LedgerEvent::Return { target, grant })),
        }
    }

    fn maybe_change_budget(&mut self) {
        if self.happens(self.scenario.incidents.budget_change) && self.ledger.is_some() {
            let fleet = self.rng.random_range(1..8);
            let zone = self.rng.random_range(1..5);
            let limits = limits(Limit::Count(fleet), Limit::Percent(zone * 10));
            self.set_budget(DisruptionBudget { routers: limits, instances: limits });
        }
    }
}
