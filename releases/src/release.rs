//! The rollout of one version to the routers in waves, and its rollback.
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

/// Statistics cover at most this many times the significant number of requests; older requests lose weight.
const STATS_WINDOW: u64 = 8;

/// An input of a release.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. The driver sends this a few times per second.
    Tick,
    /// The ledger has granted a reservation.
    Granted {
        /// The router that may be taken out of service.
        router: String,
        /// The ID of the request.
        request: RequestId,
        /// The ID of the grant.
        grant: GrantId,
    },
    /// The ledger has denied a reservation.
    Denied {
        /// The router that may not be taken out of service.
        router: String,
        /// The ID of the request.
        request: RequestId,
        /// Why the request was denied. A router that is no longer a member of the fleet counts as lost; after
        /// any other reason the request is repeated.
        reason: ReservationError,
    },
    /// A router is in service again with this version.
    Updated {
        /// The name of the router.
        router: String,
        /// The version that the router runs.
        version: Version,
    },
    /// The requests that a router counted since its last report. Statistics of the time before its update
    /// must be passed in before `Updated`.
    StatsReported {
        /// The name of the router.
        router: String,
        /// The statistics of the requests that the router counted.
        stats: RequestStats,
    },
    /// The operator halts the release.
    Halt,
    /// The operator resumes the release. The wave is evaluated by statistics from now on.
    Resume,
    /// The operator rolls the release back.
    RollBack,
}

/// An output that the driver must carry out; several are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Commit [`Release::snapshot`] before carrying out the actions that follow.
    Persist,
    /// Request a reservation from the ledger, with the release's name as owner.
    Acquire {
        /// The router to take out of service.
        router: String,
        /// The ID of the request.
        request: RequestId,
    },
    /// Instruct a router to go out of service and return with this version. A router that already runs it
    /// responds immediately.
    Update {
        /// The name of the router.
        router: String,
        /// The version that the router is to run.
        version: Version,
        /// The grant that permits the router to be out of service.
        grant: GrantId,
        /// The time within which the router must be in service again, in microseconds. If that is not
        /// possible, the router must not start the update.
        timeout: Micros,
    },
    /// Return a reservation to the ledger.
    Return {
        /// The router that is in service again.
        router: String,
        /// The grant of the reservation.
        grant: GrantId,
    },
    /// Notify the operators that the release has halted.
    Halted {
        /// Why the release has halted.
        reason: HaltReason,
    },
    /// The release has ended; the routers run the target version.
    Completed,
    /// The release has been rolled back; the routers run the last good version.
    RolledBack,
}

/// A request for a reservation that awaits its response.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    id: RequestId,
    sent_at: Time,
}

/// The state of a router that is not part of the snapshot.
#[derive(Clone, Debug, Default)]
struct TransientState {
    open_request: Option<OpenRequest>,
    grant: Option<GrantId>,
    /// When the router must be in service again; `None` unless this driver has instructed it to update.
    due_at: Option<Time>,
    /// When the router was last sent an update instruction.
    instructed_at: Time,
    stats: RequestStats,
}

/// A release of a version to routers. Its budget is in the [`BudgetLedger`](crate::BudgetLedger).
#[derive(Clone, Debug)]
pub struct Release {
    snapshot: ReleaseSnapshot,
    routers: BTreeMap<String, TransientState>,
    requests: u32,
    /// Since when no router of the wave has been pending or out of service.
    observed_since: Option<Time>,
}

impl Release {
    /// Creates a release with this plan. It takes no action before the first event.
    ///
    /// # Errors
    /// [`PlanError`] if the plan or the settings are invalid.
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

    /// Restores a release from the store. Routers that were out of service are instructed again after their
    /// reservations have been renewed, and the wave is observed anew.
    ///
    /// # Errors
    /// [`FormatError`] if the snapshot has another format, written by another version of the program.
    pub fn restore(snapshot: ReleaseSnapshot, actions: &mut Vec<Action>) -> Result<Release, FormatError> {
        FormatError::check(snapshot.format)?;
        let mut release = Release::with_snapshot(snapshot);
        release.snapshot.incarnation += 1;
        actions.push(Action::Persist);
        Ok(release)
    }

    fn with_snapshot(snapshot: ReleaseSnapshot) -> Release {
        let routers = snapshot.routers.keys().map(|name| (name.clone(), TransientState::default())).collect();
        Release { snapshot, routers, requests: 0, observed_since: None }
    }

    /// The state to commit to the store.
    pub fn snapshot(&self) -> &ReleaseSnapshot {
        &self.snapshot
    }

    /// The phase of the release.
    pub fn phase(&self) -> &Phase {
        &self.snapshot.phase
    }

    /// Handles an event and appends the resulting actions.
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
        if let Some(transient) = self.routers.get_mut(router) {
            transient.stats.add(stats);
            let min_requests = self.snapshot.settings.health.min_requests;
            transient.stats.decay(min_requests.saturating_mul(STATS_WINDOW));
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
        // The operator knows of the lost routers, so they must not halt the release again.
        let lost = snapshot.lost_count();
        snapshot.settings.max_lost_routers = snapshot.settings.max_lost_routers.max(lost);
        self.routers.values_mut().for_each(|transient| transient.stats = RequestStats::default());
        self.observed_since = None;
        actions.push(Action::Persist);
    }

    fn drop_open_requests(&mut self) {
        self.routers.values_mut().for_each(|transient| transient.open_request = None);
    }

    /// Applies timeouts and starts whatever the present state requires.
    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.mark_overdue_routers(now, actions);
        match self.snapshot.phase {
            Phase::Running => self.advance_waves(now, actions),
            Phase::RollingBack => self.advance_rollback(actions),
            Phase::Halted(_) | Phase::Completed | Phase::RolledBack => {}
        }
        self.send_due_requests(now, actions);
    }
}
