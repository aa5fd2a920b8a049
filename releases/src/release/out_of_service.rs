//! Routers going out of service and coming back: requests for reservations, their answers, updates and timeouts.
use super::{Action, DriverState, OpenRequest, Release};
use crate::{
    GrantId, HaltReason, Phase, RequestId, RequestStats, ReservationError, RouterState, RouterStep, Settings,
    Version,
};
use decision::Time;

impl Release {
    fn router_mut(&mut self, router: &str) -> Option<(&mut RouterState, &mut DriverState)> {
        Some((self.snapshot.routers.get_mut(router)?, self.routers.get_mut(router)?))
    }

    pub(super) fn granted(
        &mut self,
        now: Time,
        router: String,
        request: RequestId,
        grant: GrantId,
        actions: &mut Vec<Action>,
    ) {
        let settings = self.snapshot.settings;
        let Some((state, driver)) = self.router_mut(&router) else { return };
        let is_out = state.step.is_out();
        let sent_at = match driver.open_request {
            Some(open) if open.id == request => open.sent_at,
            // A late answer. A router that is out must keep its reservation, which the latest grant renews.
            _ if is_out => {
                driver.grant = driver.grant.max(Some(grant));
                return;
            }
            // The open request will have an answer with a later grant.
            Some(_) => return,
            None => {
                actions.push(Action::Return { router, grant });
                return;
            }
        };
        driver.open_request = None;
        // The ledger counts the lease from later than `sent_at`. So a router that starts here is back, or is given up,
        // before its reservation expires.
        if now.0 + settings.update_timeout > sent_at.0 + settings.lease {
            if is_out {
                driver.grant = Some(grant);
            } else {
                actions.push(Action::Return { router, grant });
            }
            return;
        }
        self.start_update(now, router, grant, actions);
    }

    fn start_update(&mut self, now: Time, router: String, grant: GrantId, actions: &mut Vec<Action>) {
        let timeout = self.snapshot.settings.update_timeout;
        let step = match self.snapshot.phase {
            Phase::Running => Some(RouterStep::Updating),
            Phase::RollingBack => Some(RouterStep::RollingBack),
            Phase::Halted(_) | Phase::Completed | Phase::RolledBack => None,
        };
        let Some((state, driver)) = self.router_mut(&router) else { return };
        state.step = step.unwrap_or(state.step);
        driver.grant = Some(grant);
        driver.due_at = Some(Time(now.0 + timeout));
        driver.instructed_at = now;
        let version = self.snapshot.destination(self.snapshot.step(&router)).clone();
        actions.push(Action::Persist);
        actions.push(Action::Update { router, version, grant, timeout });
    }

    /// A denied request stays open until it is time to repeat it. But one for a router that is no member of the fleet
    /// would be repeated for ever.
    pub(super) fn denied(
        &mut self,
        router: &str,
        request: RequestId,
        reason: &ReservationError,
        actions: &mut Vec<Action>,
    ) {
        let is_rollback = self.snapshot.is_rollback;
        let Some((state, driver)) = self.router_mut(router) else { return };
        let is_open = driver.open_request.is_some_and(|open| open.id == request);
        if is_open && matches!(reason, ReservationError::UnknownTarget(_)) {
            driver.open_request = None;
            state.step = if is_rollback { RouterStep::RollbackFailed } else { RouterStep::Lost };
            actions.push(Action::Persist);
        }
    }

    pub(super) fn updated(&mut self, router: String, version: &Version, actions: &mut Vec<Action>) {
        let is_target = *version == self.snapshot.target_version;
        let is_last_good = *version == self.snapshot.last_good;
        let Some((state, driver)) = self.router_mut(&router) else { return };
        state.step = match state.step {
            RouterStep::Updating | RouterStep::Lost if is_target => RouterStep::Updated,
            RouterStep::RollingBack | RouterStep::RollbackFailed if is_last_good => RouterStep::RolledBack,
            // A late message of an earlier update.
            _ => return,
        };
        driver.due_at = None;
        // An answer to the open request would take the router out again: its reservation is returned instead.
        driver.open_request = None;
        driver.stats = RequestStats::default();
        let grant = driver.grant.take();
        actions.push(Action::Persist);
        actions.extend(grant.map(|grant| Action::Return { router, grant }));
    }

    /// Gives up routers that are not back in time. Their reservations are left to expire, for nobody knows whether the
    /// routers are out.
    pub(super) fn give_up_overdue(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut any = false;
        for (name, driver) in &mut self.routers {
            if driver.due_at.is_some_and(|due_at| due_at <= now)
                && let Some(state) = self.snapshot.routers.get_mut(name)
            {
                driver.due_at = None;
                state.step = match state.step {
                    RouterStep::RollingBack => RouterStep::RollbackFailed,
                    _ => RouterStep::Lost,
                };
                any = true;
            }
        }
        if any {
            actions.push(Action::Persist);
        }
        let max_lost = self.snapshot.settings.max_lost_routers;
        if self.snapshot.phase == Phase::Running && self.snapshot.lost_count() > max_lost {
            let lost = self.snapshot.routers_at(RouterStep::Lost).map(|(name, _)| name.clone()).collect();
            self.halt(HaltReason::RoutersLost(lost), actions);
        }
    }

    /// Requests reservations for the routers that need one, and repeats updates that have no answer.
    pub(super) fn drive_routers(&mut self, now: Time, actions: &mut Vec<Action>) {
        if matches!(self.snapshot.phase, Phase::Completed | Phase::RolledBack) {
            return;
        }
        let settings = self.snapshot.settings;
        for (name, driver) in &mut self.routers {
            let step = self.snapshot.step(name);
            let in_wave = self.snapshot.wave_routers.contains(name);
            let needs_reservation = needs_reservation(&self.snapshot.phase, step, in_wave, driver);
            if needs_reservation && is_request_due(driver, now, &settings) {
                self.requests += 1;
                let incarnation = u64::from(self.snapshot.incarnation);
                let id = RequestId(incarnation << 32 | u64::from(self.requests));
                driver.open_request = Some(OpenRequest { id, sent_at: now });
                actions.push(Action::Acquire { router: name.clone(), request: id });
            }
            // A router that is to turn round waits for its reservation first.
            let turns_round = needs_reservation && step == RouterStep::Updating;
            if let (Some(due_at), Some(grant)) = (driver.due_at, driver.grant)
                && step.is_out()
                && !turns_round
                && now.0 >= driver.instructed_at.0 + settings.retry_interval
            {
                driver.instructed_at = now;
                let version = self.snapshot.destination(step).clone();
                let timeout = due_at.0 - now.0;
                actions.push(Action::Update { router: name.clone(), version, grant, timeout });
            }
        }
    }
}

fn needs_reservation(phase: &Phase, step: RouterStep, in_wave: bool, driver: &DriverState) -> bool {
    match (phase, step) {
        (Phase::Running, RouterStep::Pending)
        | (Phase::RollingBack, RouterStep::Updating | RouterStep::Updated | RouterStep::Lost) => in_wave,
        // Out of service since before this driver restored the release.
        (_, RouterStep::Updating | RouterStep::RollingBack) => driver.due_at.is_none(),
        _ => false,
    }
}

fn is_request_due(driver: &DriverState, now: Time, settings: &Settings) -> bool {
    driver.open_request.is_none_or(|open| now.0 >= open.sent_at.0 + settings.retry_interval)
}
