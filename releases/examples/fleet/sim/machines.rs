//! The owners of the two state machines: they pass events in, and commit and carry out the actions.
use super::{Halt, InjectedFault, Message, RELEASE, SECOND, Simulation, target, target_version};
use decision::Time;
use rand::RngExt;
use releases::{
    Action, BudgetLedger, DisruptionBudget, Event, LedgerAction, LedgerEvent, Phase, Release, RequestId,
    Target, TargetKind,
};
use std::collections::BTreeSet;

impl Simulation {
    /// Handles an event at the ledger's owner. Does nothing while the store has no leader.
    pub(crate) fn handle_ledger_event(&mut self, event: LedgerEvent) {
        let Some(mut ledger) = self.ledger.take() else { return };
        let has_fast_clock = self.scenario.injected_fault == InjectedFault::LeaseShortened;
        let clock = Time(self.now * if has_fast_clock { 10 } else { 1 });
        let reserved: BTreeSet<Target> =
            ledger.reservations().map(|reservation| reservation.target.clone()).collect();
        if let LedgerEvent::Renew { target, .. } = &event {
            self.leases.insert(target.clone(), self.now);
        }
        let mut actions = Vec::new();
        ledger.handle(clock, event, &mut actions);
        for action in actions {
            self.carry_out_ledger_action(&ledger, &reserved, action);
        }
        if self.checks_snapshots() && self.ledger_snapshot != ledger.snapshot() {
            self.add_violation("the ledger's state differs from the committed state");
        }
        self.ledger = Some(ledger);
    }

    fn carry_out_ledger_action(
        &mut self,
        ledger: &BudgetLedger,
        reserved: &BTreeSet<Target>,
        action: LedgerAction,
    ) {
        match action {
            LedgerAction::Persist => self.ledger_snapshot = ledger.snapshot(),
            LedgerAction::Granted { owner, target, request, grant } => {
                self.outcome.grants += 1;
                if !reserved.contains(&target) {
                    self.check_budget(ledger, &target);
                }
                self.leases.insert(target.clone(), self.now);
                self.send(Message::Granted { owner, target, request, grant });
            }
            LedgerAction::Denied { owner, target, request, reason } => {
                self.outcome.denials += 1;
                if owner == RELEASE {
                    let router = target.name;
                    self.send(Message::ToDriver(Event::Denied { router, request, reason }));
                }
            }
            LedgerAction::Expired(reservation) => {
                self.outcome.expired_reservations += 1;
                self.check_lease(&reservation.target);
            }
        }
    }

    pub(crate) fn set_budget(&mut self, budget: DisruptionBudget) {
        self.scenario.budget = budget;
        self.handle_ledger_event(LedgerEvent::BudgetChanged(budget));
    }

    /// Handles an event at the release's driver. Does nothing while the driver is not running.
    pub(crate) fn handle_driver_event(&mut self, event: Event) {
        let Some(mut driver) = self.driver.take() else { return };
        let mut actions = Vec::new();
        driver.handle(Time(self.now), event, &mut actions);
        // The driver may be killed between any two actions.
        let is_killed = !actions.is_empty() && self.happens(self.scenario.driver_kill);
        if is_killed {
            let carried_out = self.rng.random_range(0..=actions.len());
            actions.truncate(carried_out);
        }
        self.carry_out(&driver, actions);
        if is_killed {
            self.kill_driver();
            return;
        }
        if self.checks_snapshots() && self.snapshot != *driver.snapshot() {
            self.add_violation("the release's state differs from the committed state");
        }
        self.driver = Some(driver);
    }

    pub(super) fn carry_out(&mut self, driver: &Release, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Persist => self.snapshot = driver.snapshot().clone(),
                Action::Acquire { router, request } => self.acquire(driver, &router, request),
                Action::Update { router, version, grant, timeout } => {
                    self.check_update(&router, version == target_version());
                    if self.scenario.injected_fault == InjectedFault::ReturnedEarly {
                        let target = target(TargetKind::Router, &router);
                        self.send(Message::ToLedger(LedgerEvent::Return { target, grant }));
                    }
                    let deadline = self.now + timeout;
                    self.send(Message::ToRouter { router, version, deadline });
                }
                Action::Return { router, grant } => {
                    let target = target(TargetKind::Router, &router);
                    self.send(Message::ToLedger(LedgerEvent::Return { target, grant }));
                }
                Action::Halted { reason } => {
                    let (at, wave) = (self.now, self.snapshot.wave);
                    self.outcome.halts.push(Halt { at, wave, reason });
                }
                Action::Completed | Action::RolledBack => {}
            }
        }
    }

    fn acquire(&mut self, driver: &Release, router: &str, request: RequestId) {
        let target = target(TargetKind::Router, router);
        let owner = RELEASE.into();
        let bypasses_ledger = self.scenario.injected_fault == InjectedFault::RollbackOutsideBudget;
        if bypasses_ledger && *driver.phase() == Phase::RollingBack {
            let grant = releases::GrantId(0);
            self.send(Message::Granted { owner, target, request, grant });
        } else {
            self.send(Message::ToLedger(LedgerEvent::Acquire { owner, target, request }));
        }
    }

    pub(crate) fn kill_driver(&mut self) {
        self.outcome.driver_kills += 1;
        self.driver = None;
        // The driver may be down for longer than a lease.
        self.driver_back_at = self.now + self.rng.random_range(SECOND..80 * SECOND);
    }

    pub(crate) fn lose_leader(&mut self) {
        self.outcome.elections += 1;
        self.ledger = None;
        self.ledger_back_at = self.now + self.rng.random_range(SECOND / 2..4 * SECOND);
    }

    /// Elects a leader and restarts the driver when their downtimes are over.
    pub(super) fn restore_state_machines(&mut self) {
        let now = self.now;
        if self.ledger.is_none() && now >= self.ledger_back_at {
            let (snapshot, members) = (self.ledger_snapshot.clone(), self.members.clone());
            let ledger = BudgetLedger::restore(snapshot, members, Time(now)).unwrap();
            self.leases.values_mut().for_each(|started_at| *started_at = now);
            self.ledger = Some(ledger);
        }
        if self.driver.is_none() && now >= self.driver_back_at {
            let mut actions = Vec::new();
            let driver = Release::restore(self.snapshot.clone(), &mut actions).unwrap();
            self.carry_out(&driver, actions);
            self.driver = Some(driver);
        }
    }
}
