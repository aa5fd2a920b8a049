//! Takes routers out of service and back: requests for reservations, their responses, updates and timeouts.
use super::{Action, OpenRequest, Release, TransientState};
use crate::{
    GrantId, HaltReason, Phase, RequestId, RequestStats, ReservationError, RouterState, RouterStep, Settings,
    Version,
};
use decision::Time;

impl Release {
    fn router_mut(&mut self, router: &str) -> Option<(&mut RouterState, &mut TransientState)> {
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
        let Some((state, transient)) = self.router_mut(&router) else { return };
        let is_out = state.step.is_out();
        let sent_at = match transient.open_request {
            Some(open) if open.id == request => open.sent_at,
            // The response is late. A router that is out of service must retain its reservation, which the
            // latest grant renews.
            _ if is_out => {
                transient.grant = transient.grant.max(Some(grant));
                return;
            }
            // The response to the open request will contain a later grant.
            Some(_) => return,
            None => {
                actions.push(Action::Return { router, grant });
                return;
            }
        };
        transient.open_request = None;
        // The ledger starts the lease after `sent_at`. So a router that starts now is in service again, or
        // counts as lost, before its reservation expires.
        if now.0 + settings.update_timeout > sent_at.0 + settings.lease {
            if is_out {
                transient.grant = Some(grant);
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
        let Some((state, transient)) = self.router_mut(&router) else { return };
        state.step = step.unwrap_or(state.step);
        transient.grant = Some(grant);
        transient.due_at = Some(Time(now.0 + timeout));
        transient.instructed_at = now;
        let version = self.snapshot.version_at_step(self.snapshot.step(&router)).clone();
        actions.push(Action::Persist);
        actions.push(Action::Update { router, version, grant, timeout });
    }

    /// Handles a denied request. The request remains open until it is repeated. If the router is not a member
    /// of the fleet, the request is dropped instead, because it would be repeated forever.
    pub(super) fn denied(
        &mut self,
        router: &str,
        request: RequestId,
        reason: &ReservationError,
        actions: &mut Vec<Action>,
    ) {
        let is_rollback = self.snapshot.is_rollback;
        let Some((state, transient)) = self.router_mut(router) else { return };
        let is_open = transient.open_request.is_some_and(|open| open.id == request);
        if is_open && matches!(reason, ReservationError::UnknownTarget(_)) {
            transient.open_request = None;
            state.step = if is_rollback { RouterStep::RollbackFailed } else { RouterStep::Lost };
            actions.push(Action::Persist);
        }
    }

    pub(super) fn updated(&mut self, router: String, version: &Version, actions: &mut Vec<Action>) {
        let is_target = *version == self.snapshot.target_version;
        let is_last_good = *version == self.snapshot.last_good;
        let Some((state, transient)) = self.router_mut(&router) else { return };
        state.step = match state.step {
            RouterStep::Updating | RouterStep::Lost if is_target => RouterStep::Updated,
            RouterStep::RollingBack | RouterStep::RollbackFailed if is_last_good => RouterStep::RolledBack,
            // The message is late and belongs to an earlier update.
            _ => return,
        };
        transient.due_at = None;
        // A response to the open request would take the router out of service again. Without the open
        // request, the grant is returned instead.
        transient.open_request = None;
        transient.stats = RequestStats::default();
        let grant = transient.grant.take();
        actions.push(Action::Persist);
        actions.extend(grant.map(|grant| Action::Return { router, grant }));
    }

    /// Marks routers that are not in service again in time as lost. Their reservations are left to expire,
    /// because it is unknown whether the routers are out of service.
    pub(super) fn mark_overdue_routers(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut any_overdue = false;
        for (name, transient) in &mut self.routers {
            if transient.due_at.is_some_and(|due_at| due_at <= now)
                && let Some(state) = self.snapshot.routers.get_mut(name)
            {
                transient.due_at = None;
                state.step = match state.step {
                    RouterStep::RollingBack => RouterStep::RollbackFailed,
                    _ => RouterStep::Lost,
                };
                any_overdue = true;
            }
        }
        if any_overdue {
            actions.push(Action::Persist);
        }
        let max_lost = self.snapshot.settings.max_lost_routers;
        if self.snapshot.phase == Phase::Running && self.snapshot.lost_count() > max_lost {
            let lost = self.snapshot.routers_at(RouterStep::Lost).map(|(name, _)| name.clone()).collect();
            self.halt(HaltReason::RoutersLost(lost), actions);
        }
    }

    /// Requests reservations for the routers that need one and repeats updates that have no response.
    pub(super) fn send_due_requests(&mut self, now: Time, actions: &mut Vec<Action>) {
        if matches!(self.snapshot.phase, Phase::Completed | Phase::RolledBack) {
            return;
        }
        let settings = self.snapshot.settings;
        for (name, transient) in &mut self.routers {
            let step = self.snapshot.step(name);
            let in_wave = self.snapshot.wave_routers.contains(name);
            let needs_reservation = needs_reservation(&self.snapshot.phase, step, in_wave, transient);
            if needs_reservation && is_request_due(transient, now, &settings) {
                self.requests += 1;
                let incarnation = u64::from(self.snapshot.incarnation);
                let id = RequestId(incarnation << 32 | u64::from(self.requests));
                transient.open_request = Some(OpenRequest { id, sent_at: now });
                actions.push(Action::Acquire { router: name.clone(), request: id });
            }
            // A router that is to be rolled back during its update first renews its reservation.
            let awaits_renewal = needs_reservation && step == RouterStep::Updating;
            if let (Some(due_at), Some(grant)) = (transient.due_at, transient.grant)
                && step.is_out()
                && !awaits_renewal
                && now.0 >= transient.instructed_at.0 + settings.retry_interval
            {
                transient.instructed_at = now;
                let version = self.snapshot.version_at_step(step).clone();
                let timeout = due_at.0 - now.0;
                actions.push(Action::Update { router: name.clone(), version, grant, timeout });
            }
        }
    }
}

fn needs_reservation(phase: &Phase, step: RouterStep, in_wave: bool, transient: &TransientState) -> bool {
    match (phase, step) {
        (Phase::Running, RouterStep::Pending)
        | (Phase::RollingBack, RouterStep::Updating | RouterStep::Updated | RouterStep::Lost) => in_wave,
        // Out of service since before this driver restored the release.
        (_, RouterStep::Updating | RouterStep::RollingBack) => transient.due_at.is_none(),
        _ => false,
    }
}

fn is_request_due(transient: &TransientState, now: Time, settings: &Settings) -> bool {
    transient.open_request.is_none_or(|open| now.0 >= open.sent_at.0 + settings.retry_interval)
}
