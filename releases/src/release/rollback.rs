//! The rollback of a release, in waves but without evaluating health.
use super::{Action, Release};
use crate::{Phase, RouterState, RouterStep};
use std::cmp::Reverse;

impl Release {
    /// Starts the rollback, or resumes it if it was halted.
    pub(super) fn roll_back(&mut self, actions: &mut Vec<Action>) {
        if self.snapshot.is_rollback || self.snapshot.phase == Phase::RolledBack {
            if matches!(self.snapshot.phase, Phase::Halted(_)) {
                self.snapshot.phase = Phase::RollingBack;
                actions.push(Action::Persist);
            }
            return;
        }
        self.drop_open_requests();
        let snapshot = &mut self.snapshot;
        snapshot.phase = Phase::RollingBack;
        snapshot.is_rollback = true;
        snapshot.next_wave_size = 1;
        snapshot.wave_zone = None;
        // Routers that are out of service already have reservations, so they are rolled back first.
        let out = snapshot.routers_at(RouterStep::Updating).map(|(name, _)| name.clone());
        snapshot.wave_routers = out.collect();
        actions.push(Action::Persist);
    }

    /// Starts the next wave of the rollback when each router of the present one is rolled back or could
    /// not be rolled back.
    pub(super) fn advance_rollback(&mut self, actions: &mut Vec<Action>) {
        let snapshot = &mut self.snapshot;
        let has_ended =
            |name: &str| matches!(snapshot.step(name), RouterStep::RolledBack | RouterStep::RollbackFailed);
        if !snapshot.wave_routers.iter().all(|name| has_ended(name)) {
            return;
        }
        if !snapshot.wave_routers.is_empty() {
            snapshot.grow_wave();
        }
        let mut order: Vec<(&String, &RouterState)> = snapshot.routers_at(RouterStep::Updated).collect();
        order.sort_by_key(|(_, state)| Reverse(state.wave));
        // Lost routers are last, because each may take a whole update timeout.
        order.extend(snapshot.routers_at(RouterStep::Lost));
        let wave = order.into_iter().take(snapshot.next_wave_size as usize);
        let wave_routers = wave.map(|(name, _)| name.clone()).collect();
        snapshot.wave_routers = wave_routers;
        actions.push(Action::Persist);
        if snapshot.wave_routers.is_empty() {
            snapshot.phase = Phase::RolledBack;
            actions.push(Action::RolledBack);
        }
    }
}
