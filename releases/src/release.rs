//! The rollout of one version through the routers, in waves, and its rollback.
mod out_of_service;
mod rollback;
mod verdict;
mod waves;

use crate::{
    FormatError, GrantId, HaltReason, Phase, Plan, PlanError, ReleaseSnapshot, RequestId, RequestStats,
    ReservationError, RouterState, RouterStep, SNAPSHOT_FORMAT, Settings, Version,
};
use decision::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Statistics keep about this many times the significant number of requests; older ones decay.
const STATS_WINDOW: u64 = 8;

/// Input of a release.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; to be sent a few times a second.
    Tick,
    /// The ledger has granted a reservation.
    Granted {
        /// The router that may go out of service.
        router: String,
        /// Identifies the request.
        request: RequestId,
        /// Identifies the grant.
        grant: GrantId,
    },
    /// The ledger has denied a reservation.
    Denied {
        /// The router that may not go out of service.
        router: String,
        /// Identifies the request.
        request: RequestId,
        /// Why. A router that has left the fleet is lost; after any other reason the request is repeated.
        reason: ReservationError,
    },
    /// A router is back in service with this version.
    Updated {
        /// The router.
        router: String,
        /// The version that it runs.
        version: Version,
    },
    /// What a router counted since its last statistics. Those of a time before its update must come before `Updated`.
    StatsReported {
        /// The router.
        router: String,
        /// What it counted.
        stats: RequestStats,
    },
    /// The operator halts the release.
    Halt,
    /// The operator resumes the release: the wave is judged by statistics from here on.
    Resume,
    /// The operator rolls the release back.
    RollBack,
}

/// What the release's driver must do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Commit [`Release::snapshot`] before the actions that follow.
    Persist,
    /// Ask the ledger for a reservation in the release's name.
    Acquire {
        /// The router that shall go out of service.
        router: String,
        /// Identifies the request.
        request: RequestId,
    },
    /// Instruct a router to go out of service and come back with this version; a router that runs it already is back at once.
    Update {
        /// The router.
        router: String,
        /// The version.
        version: Version,
        /// The grant that it goes out by.
        grant: GrantId,
        /// It must be back within this time, or not start, in microseconds.
        timeout: Micros,
    },
    /// Return a reservation.
    Return {
        /// The router that is back in service.
        router: String,
        /// The reservation's grant.
        grant: GrantId,
    },
    /// Tell the operators that the release has halted.
    Halted {
        /// Why.
        reason: HaltReason,
    },
    /// The release has ended with the target version.
    Completed,
    /// The release has ended with the last good version.
    RolledBack,
}

/// A request for a reservation without an answer.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    id: RequestId,
    sent_at: Time,
}

/// What the driver knows of a router beside the snapshot.
#[derive(Clone, Debug, Default)]
struct DriverState {
    open_request: Option<OpenRequest>,
    grant: Option<GrantId>,
    /// When it must be back; `None` if this driver has not instructed it.
    due_at: Option<Time>,
    /// When it was last instructed.
    instructed_at: Time,
    stats: RequestStats,
}

/// One release. [`BudgetLedger`](crate::BudgetLedger) has the budget.
#[derive(Clone, Debug)]
pub struct Release {
    snapshot: ReleaseSnapshot,
    routers: BTreeMap<String, DriverState>,
    requests: u32,
    /// Since when no router of the wave is pending or out of service.
    settled_at: Option<Time>,
}

impl Release {
    /// A release by this plan. Nothing happens before the first event.
    ///
    /// # Errors
    /// [`PlanError`] if the plan or the settings can't be used.
    pub fn new(plan: Plan, settings: Settings) -> Result<Release, PlanError> {
        plan.check(&settings)?;
        let pending = |zone| RouterState {
            zone,
            step: RouterStep::Pending,
            wave: 0,
            baseline: RequestStats::default(),
        };
        Ok(Release::with_snapshot(ReleaseSnapshot {
            format: SNAPSHOT_FORMAT,
            name: plan.name,
            last_good: plan.last_good,
            target_version: plan.target_version,
            settings,
            zone_order: plan.zone_order,
            phase: Phase::Running,
            is_rollback: false,
            wave: 0,
            next_wave_size: 1,
            wave_zone: None,
            wave_routers: BTreeSet::new(),
            routers: plan.routers.into_iter().map(|(name, zone)| (name, pending(zone))).collect(),
            incarnation: 0,
        }))
    }

    /// Restores a release from the store. Routers that were out of service get their reservations again before they are
    /// instructed again, and the wave is observed anew.
    ///
    /// # Errors
    /// [`FormatError`] if another version of the program wrote the snapshot in another format.
    pub fn restore(snapshot: ReleaseSnapshot, actions: &mut Vec<Action>) -> Result<Release, FormatError> {
        FormatError::check(snapshot.format)?;
        let mut release = Release::with_snapshot(snapshot);
        release.snapshot.incarnation += 1;
        actions.push(Action::Persist);
        Ok(release)
    }

    fn with_snapshot(snapshot: ReleaseSnapshot) -> Release {
        let routers = snapshot.routers.keys().map(|name| (name.clone(), DriverState::default())).collect();
        Release { snapshot, routers, requests: 0, settled_at: None }
    }

    /// The state to commit.
    pub fn snapshot(&self) -> &ReleaseSnapshot {
        &self.snapshot
    }

    /// Where the release stands.
    pub fn phase(&self) -> &Phase {
        &self.snapshot.phase
    }

    /// Handles an event and appends what the driver must do.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Granted { router, request, grant } => self.granted(now, router, request, grant, actions),
            Event::Denied { router, request, reason } => self.denied(&router, request, &reason, actions),
            Event::Updated { router, version } => self.updated(router, &version, actions),
            Event::StatsReported { router, stats } => {
                self.stats_reported(&router, stats);
                return;
            }
            Event::Halt => self.halt_by_operator(actions),
            Event::Resume => self.resume(actions),
            Event::RollBack => self.roll_back(actions),
        }
        self.advance(now, actions);
    }

    fn stats_reported(&mut self, router: &str, stats: RequestStats) {
        if let Some(driver) = self.routers.get_mut(router) {
            driver.stats.add(stats);
            let min_requests = self.snapshot.settings.health.min_requests;
            driver.stats.decay(min_requests.saturating_mul(STATS_WINDOW));
        }
    }

    fn halt_by_operator(&mut self, actions: &mut Vec<Action>) {
        if matches!(self.snapshot.phase, Phase::Running | Phase::RollingBack) {
            self.halt(HaltReason::Operator, actions);
        }
    }

    fn halt(&mut self, reason: HaltReason, actions: &mut Vec<Action>) {
        self.snapshot.phase = Phase::Halted(reason.clone());
        self.drop_open_requests();
        actions.push(Action::Persist);
        actions.push(Action::Halted { reason });
    }

    fn resume(&mut self, actions: &mut Vec<Action>) {
        let snapshot = &mut self.snapshot;
        if !matches!(snapshot.phase, Phase::Halted(_)) {
            return;
        }
        snapshot.phase = if snapshot.is_rollback { Phase::RollingBack } else { Phase::Running };
        // The operator has seen the routers that are lost: they do not halt the release a second time.
        let lost = snapshot.lost_count();
        snapshot.settings.max_lost_routers = snapshot.settings.max_lost_routers.max(lost);
        self.routers.values_mut().for_each(|driver| driver.stats = RequestStats::default());
        self.settled_at = None;
        actions.push(Action::Persist);
    }

    fn drop_open_requests(&mut self) {
        self.routers.values_mut().for_each(|driver| driver.open_request = None);
    }

    /// What follows from the time or from what an event has changed.
    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.give_up_overdue(now, actions);
        match self.snapshot.phase {
            Phase::Running => self.advance_waves(now, actions),
            Phase::RollingBack => self.advance_rollback(actions),
            Phase::Halted(_) | Phase::Completed | Phase::RolledBack => {}
        }
        self.drive_routers(now, actions);
    }
}
