//! The waves of the rollout: selects the routers of the next wave and evaluates the health of the present
//! one.
use super::verdict::{Verdict, evaluate};
use super::{Action, Release};
use crate::{HaltReason, Phase, RequestStats, RouterState, RouterStep};
use decision::Time;
use std::collections::BTreeMap;

/// The statistics of the routers that are not updated.
#[derive(Default)]
struct ControlGroup<'a> {
    fleet: RequestStats,
    zones: BTreeMap<&'a str, RequestStats>,
}

/// The names of updated routers, by verdict.
#[derive(Default)]
struct Verdicts {
    regressed: Vec<String>,
    fleet_degraded: Vec<String>,
    /// Contains only routers of the present wave.
    undecided: Vec<String>,
    /// Whether a router of the present wave is healthy.
    any_healthy: bool,
}

impl Release {
    /// Evaluates the present wave and starts the next one if it has ended.
    pub(super) fn advance_waves(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.snapshot.wave_routers.is_empty() {
            self.evaluate_wave(now, actions);
        }
        if self.snapshot.phase == Phase::Running && self.snapshot.wave_routers.is_empty() {
            self.start_wave(actions);
        }
    }

    fn start_wave(&mut self, actions: &mut Vec<Action>) {
        let snapshot = &mut self.snapshot;
        let has_pending =
            |zone: &&String| snapshot.routers_at(RouterStep::Pending).any(|(_, state)| state.zone == **zone);
        let Some(zone) = snapshot.zone_order.iter().find(has_pending).cloned() else {
            snapshot.phase = Phase::Completed;
            actions.extend([Action::Persist, Action::Completed]);
            return;
        };
        // The first wave in a zone has one router, so that a fault that occurs in only one zone affects only
        // one router of that zone at first.
        if snapshot.wave_zone.as_ref() != Some(&zone) {
            snapshot.next_wave_size = 1;
        }
        snapshot.wave += 1;
        let is_next = |state: &RouterState| state.step == RouterStep::Pending && state.zone == zone;
        let next = snapshot.routers.iter_mut().filter(|(_, state)| is_next(state));
        for (name, state) in next.take(snapshot.next_wave_size as usize) {
            state.wave = snapshot.wave;
            state.baseline = self.routers[name].stats;
            snapshot.wave_routers.insert(name.clone());
        }
        snapshot.wave_zone = Some(zone);
        self.observed_since = None;
        actions.push(Action::Persist);
    }

    /// Halts the release if routers have worse statistics, and ends the wave when it has been observed long
    /// enough.
    fn evaluate_wave(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut verdicts = self.verdicts();
        if !verdicts.regressed.is_empty() {
            return self.halt(HaltReason::Regressed(verdicts.regressed), actions);
        }
        if self.any_of_wave(|step| matches!(step, RouterStep::Pending | RouterStep::Updating)) {
            return;
        }
        let health = self.snapshot.settings.health;
        let observed_since = *self.observed_since.get_or_insert(now);
        let all_lost = !self.any_of_wave(|step| step != RouterStep::Lost);
        if now.0 >= observed_since.0 + health.health_timeout {
            if !verdicts.fleet_degraded.is_empty() {
                return self.halt(HaltReason::FleetDegraded(verdicts.fleet_degraded), actions);
            }
            if !self.may_mark_lost(&verdicts) {
                return self.halt(HaltReason::RoutersLost(verdicts.undecided), actions);
            }
            self.mark_lost(&verdicts.undecided);
            verdicts.undecided.clear();
        }
        let is_healthy = verdicts.undecided.is_empty() && verdicts.fleet_degraded.is_empty();
        if all_lost || (is_healthy && now.0 >= observed_since.0 + health.observation_time) {
            self.end_wave(all_lost, actions);
        }
    }

    fn any_of_wave(&self, is_at: impl Fn(RouterStep) -> bool) -> bool {
        self.snapshot.wave_routers.iter().any(|name| is_at(self.snapshot.step(name)))
    }

    /// Whether the release can continue without the undecided routers of the wave.
    fn may_mark_lost(&self, verdicts: &Verdicts) -> bool {
        let lost = self.snapshot.lost_count() as usize + verdicts.undecided.len();
        let max_lost = self.snapshot.settings.max_lost_routers as usize;
        verdicts.undecided.is_empty() || (verdicts.any_healthy && lost <= max_lost)
    }

    fn mark_lost(&mut self, names: &[String]) {
        for name in names {
            if let Some(state) = self.snapshot.routers.get_mut(name) {
                state.step = RouterStep::Lost;
            }
        }
    }

    fn end_wave(&mut self, all_lost: bool, actions: &mut Vec<Action>) {
        self.snapshot.wave_routers.clear();
        self.observed_since = None;
        // If the whole wave was lost, nothing is known about the version, so the next wave does not grow.
        if !all_lost {
            self.snapshot.grow_wave();
        }
        actions.push(Action::Persist);
    }

    fn control_group(&self) -> ControlGroup<'_> {
        let mut control = ControlGroup::default();
        for (name, state) in self.snapshot.routers_at(RouterStep::Pending) {
            let stats = self.routers[name].stats;
            control.fleet.add(stats);
            control.zones.entry(&state.zone).or_default().add(stats);
        }
        control
    }

    fn verdicts(&self) -> Verdicts {
        let health = self.snapshot.settings.health;
        let control = self.control_group();
        let mut verdicts = Verdicts::default();
        for (name, state) in self.snapshot.routers_at(RouterStep::Updated) {
            let zone_stats = control.zones.get(state.zone.as_str());
            let reference = zone_stats.filter(|stats| health.is_significant(stats)).unwrap_or(&control.fleet);
            let in_wave = self.snapshot.wave_routers.contains(name);
            match evaluate(&health, &self.routers[name].stats, &state.baseline, reference) {
                Verdict::Regressed => verdicts.regressed.push(name.clone()),
                Verdict::FleetDegraded => verdicts.fleet_degraded.push(name.clone()),
                Verdict::Undecided if in_wave => verdicts.undecided.push(name.clone()),
                Verdict::Healthy => verdicts.any_healthy |= in_wave,
                Verdict::Undecided => {}
            }
        }
        verdicts
    }
}
