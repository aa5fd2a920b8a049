//! Handling of one router's report.
use super::epochs::EpochSource;
use super::event::Action;
use super::history::{VersionHistory, VersionLag};
use super::jitter::Jitter;
use super::received_report::ReceivedReport;
use super::recorder::Recorder;
use super::router::{Phase, RouterState};
use crate::exchange::Directive;
use crate::record::EntryKind;
use crate::settings::Settings;
use decision::{Micros, Time};

/// Two starts of a version that are this near are the same one, seen in two reports.
const SAME_START_TOLERANCE: Micros = 500_000;

/// One report, the state of the router that sent it, and the parts of the tracker that its outcome needs.
pub(super) struct ReportHandler<'a> {
    pub(super) now: Time,
    pub(super) name: &'a str,
    pub(super) report: &'a ReceivedReport,
    pub(super) router: &'a mut RouterState,
    pub(super) settings: &'a Settings,
    pub(super) history: &'a VersionHistory,
    pub(super) recorder: &'a mut Recorder,
    pub(super) epochs: &'a mut EpochSource,
    pub(super) jitter: &'a mut Jitter,
    pub(super) actions: &'a mut Vec<Action>,
}

impl ReportHandler<'_> {
    /// Whether a later incarnation of the router is live.
    pub(super) fn is_superseded(&self) -> bool {
        let is_live = self.router.phase != Phase::Silent && !self.lease_is_over();
        self.report.incarnation < self.router.incarnation && is_live
    }

    /// The router's last report. Returns its epoch.
    pub(super) fn leave(&mut self) -> u64 {
        self.note_contact();
        self.record(self.now, EntryKind::Left);
        self.router.epoch
    }

    /// Any other report.
    pub(super) fn handle(&mut self) -> Directive {
        // The lease is over whether or not a tick has come to record it.
        let returned = self.router.phase == Phase::Silent || self.lease_is_over();
        let last_report = self.router.last_report;
        self.note_contact();
        if returned && !matches!(self.router.phase, Phase::Silent | Phase::FencedOut) {
            self.record(last_report, EntryKind::Silent);
        }
        self.note_version();
        if self.history.is_later_than_all(self.report.version) {
            // The version is of another store that was here before. No router takes this answer as a confirmation.
            return self.proceed();
        }
        match self.history.lag_of(self.report.version) {
            None => self.up_to_date(),
            Some(lag) => self.lagging(&lag, returned),
        }
    }

    fn lease_is_over(&self) -> bool {
        self.router.is_silent_for(self.settings.silence_timeout, self.now)
    }

    fn note_contact(&mut self) {
        if self.report.incarnation != self.router.incarnation {
            self.router.restarted(self.now, self.report.incarnation);
        }
        self.router.epoch = self.router.epoch.max(self.report.details.epoch);
        self.router.last_report = self.now;
    }

    fn note_version(&mut self) {
        if self.router.version < self.report.version {
            // It moves forward: the count of notifications starts anew.
            self.router.clear_notifications();
        }
        self.router.version = self.report.version;
        self.router.members_version = self.report.details.members_version;
    }

    fn record(&mut self, since: Time, kind: EntryKind) {
        self.recorder.record(self.name, self.router, since, kind, self.actions);
    }

    fn proceed(&self) -> Directive {
        Directive::Continue { epoch: self.router.epoch }
    }

    /// When the version was applied or the last fence was lifted, by the leader's clock.
    fn version_since(&self) -> i64 {
        self.now.0.saturating_sub(self.report.details.version_age.max(0))
    }

    /// The router holds the current version.
    fn up_to_date(&mut self) -> Directive {
        let phase = self.router.phase;
        if phase == Phase::FencedOut && self.report.details.epoch < self.router.epoch {
            return Directive::FenceOut { epoch: self.router.epoch };
        }
        self.router.phase = Phase::Acting;
        let was_stopped = matches!(phase, Phase::FencedOut | Phase::Silent);
        if !was_stopped && self.reports_unrecorded_fence() {
            self.record_lifted_fence();
        } else if was_stopped || self.router.recorded_version != Some(self.router.version) {
            self.record(self.acting_since(was_stopped), EntryKind::Acting);
        }
        self.proceed()
    }

    /// Whether a fence was lifted that is not in the record: while this leader knew the router, and after what it has
    /// recorded.
    fn reports_unrecorded_fence(&self) -> bool {
        let lifted_at = self.version_since();
        self.report.details.last_fence_duration > 0
            && lifted_at >= self.router.known_since.0
            && self.router.recorded_since.is_none_or(|since| lifted_at > since + SAME_START_TOLERANCE)
    }

    fn record_lifted_fence(&mut self) {
        let lifted_at = self.version_since();
        let fenced_at = lifted_at.saturating_sub(self.report.details.last_fence_duration);
        // The interval that the fence ended is of the version before, if the router has applied another since.
        let version = self.router.version;
        self.router.version = self.router.recorded_version.unwrap_or(version);
        self.record(Time(fenced_at), EntryKind::Silent);
        self.router.version = version;
        self.record(Time(lifted_at), EntryKind::Acting);
    }

    /// Since when a router with the current version serves by it.
    fn acting_since(&self, was_stopped: bool) -> Time {
        if self.router.known_since == self.now {
            // The router held the version before this leader knew of the router.
            return Time(self.version_since());
        }
        if was_stopped {
            return self.now;
        }
        Time(self.version_since().max(self.router.known_since.0.min(self.now.0)))
    }

    /// The router holds a version that is no longer the current one.
    fn lagging(&mut self, lag: &VersionLag, returned: bool) -> Directive {
        if self.router.phase == Phase::FencedOut {
            return Directive::FenceOut { epoch: self.router.epoch };
        }
        let starting = self.is_starting();
        if returned && !starting {
            return self.fence_out();
        }
        self.record_past_version();
        match self.router.phase {
            Phase::Notified { next_at, .. } if self.now < next_at => self.proceed(),
            Phase::Notified { count, .. } if count >= self.settings.max_notifications => self.fence_out(),
            Phase::Notified { count, .. } => self.notify(count + 1),
            _ if self.exceeds_limits(lag, starting) => self.notify(1),
            // It has time to learn of the current version; its own is not confirmed meanwhile.
            _ => self.proceed(),
        }
    }

    /// Whether the router has started so recently that it need not know any version yet.
    fn is_starting(&self) -> bool {
        let known_for = self.now.0.saturating_sub(self.router.known_since.0);
        self.report.version == 0 && known_for < self.settings.max_lag
    }

    fn exceeds_limits(&self, lag: &VersionLag, starting: bool) -> bool {
        // A router that has just started has the same time as the others to learn of its first version.
        let lagging_since = lag.since.0.max(self.router.known_since.0);
        let lagging_for = self.now.0.saturating_sub(lagging_since);
        lagging_for >= self.settings.max_lag || (lag.versions > self.settings.max_lag_versions && !starting)
    }

    /// Records a version that the router serves by, or went through, and that was over by the time of its report.
    fn record_past_version(&mut self) {
        let version = self.report.version;
        if self.report.details.routing && version > 0 && self.router.recorded_version != Some(version) {
            let since = self.version_since().max(self.router.recorded_since.unwrap_or(i64::MIN));
            self.record(Time(since), EntryKind::Acting);
        }
    }

    fn notify(&mut self, count: u32) -> Directive {
        let interval = self.jitter.interval(self.settings.notification_interval);
        let next_at = Time(self.now.0.saturating_add(interval));
        self.router.phase = Phase::Notified { count, next_at };
        if count == 1 {
            self.record(self.now, EntryKind::Notified);
        }
        Directive::Refetch { epoch: self.router.epoch }
    }

    fn fence_out(&mut self) -> Directive {
        self.router.epoch = self.epochs.next_above(self.router.epoch);
        self.router.phase = Phase::FencedOut;
        self.record(self.now, EntryKind::FencedOut);
        Directive::FenceOut { epoch: self.router.epoch }
    }
}
