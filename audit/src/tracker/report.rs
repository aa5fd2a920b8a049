//! Handles one report of a router.
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

/// If the reported start of a version differs from the recorded one by at most this many microseconds, both
/// are the same start as computed from two reports.
const SAME_START_TOLERANCE: Micros = 500_000;

/// A report, the state of the router that sent it, and the parts of the tracker needed to handle it.
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
    /// Whether the report is from an earlier incarnation than the router's live one.
    pub(super) fn is_superseded(&self) -> bool {
        let is_live = self.router.phase != Phase::Silent && !self.is_lease_expired();
        self.report.incarnation < self.router.incarnation && is_live
    }

    /// Handles the router's last report before it shuts down. Returns the router's epoch.
    pub(super) fn handle_leave(&mut self) -> u64 {
        self.update_last_report();
        self.record(self.now, EntryKind::Left);
        self.router.epoch
    }

    /// Handles a report of a router that is not shutting down.
    pub(super) fn handle(&mut self) -> Directive {
        // The lease may have expired since the last tick.
        let was_silent = self.router.phase == Phase::Silent || self.is_lease_expired();
        let last_report = self.router.last_report;
        self.update_last_report();
        if was_silent && !matches!(self.router.phase, Phase::Silent | Phase::FencedOut) {
            self.record(last_report, EntryKind::Silent);
        }
        self.update_version();
        if self.history.is_later_than_all(self.report.version) {
            // The version is later than any that this leader has read, so it comes from a store that was used
            // before. A router does not take this response as a confirmation, as the versions differ.
            return self.continue_directive();
        }
        match self.history.lag_of(self.report.version) {
            None => self.handle_up_to_date(),
            Some(lag) => self.handle_lagging(&lag, was_silent),
        }
    }

    fn is_lease_expired(&self) -> bool {
        self.router.is_silent_for(self.settings.silence_timeout, self.now)
    }

    fn update_last_report(&mut self) {
        if self.report.incarnation != self.router.incarnation {
            self.router.restart(self.now, self.report.incarnation);
        }
        self.router.epoch = self.router.epoch.max(self.report.details.epoch);
        self.router.last_report = self.now;
    }

    fn update_version(&mut self) {
        if self.router.version < self.report.version {
            // The router has applied a later version: the count of notifications restarts.
            self.router.clear_notifications();
        }
        self.router.version = self.report.version;
        self.router.members_version = self.report.details.members_version;
    }

    fn record(&mut self, since: Time, kind: EntryKind) {
        self.recorder.record(self.name, self.router, since, kind, self.actions);
    }

    fn continue_directive(&self) -> Directive {
        Directive::Continue { epoch: self.router.epoch }
    }

    /// When the version was applied or the last fence was lifted, on the leader's clock.
    fn version_since(&self) -> i64 {
        self.now.0.saturating_sub(self.report.details.version_age.max(0))
    }

    /// Handles the report of a router that holds the current version.
    fn handle_up_to_date(&mut self) -> Directive {
        let phase = self.router.phase;
        if phase == Phase::FencedOut && self.report.details.epoch < self.router.epoch {
            return Directive::FenceOut { epoch: self.router.epoch };
        }
        self.router.phase = Phase::Acting;
        let was_not_routing = matches!(phase, Phase::FencedOut | Phase::Silent);
        if !was_not_routing && self.reports_unrecorded_fence() {
            self.record_lifted_fence();
        } else if was_not_routing || self.router.recorded_version != Some(self.router.version) {
            self.record(self.acting_since(was_not_routing), EntryKind::Acting);
        }
        self.continue_directive()
    }

    /// Whether a fence was lifted that the audit record does not contain: one that was lifted since this
    /// leader knows the router, and after the router's last recorded entry.
    fn reports_unrecorded_fence(&self) -> bool {
        let lifted_at = self.version_since();
        self.report.details.last_fence_duration > 0
            && lifted_at >= self.router.known_since.0
            && self.router.recorded_since.is_none_or(|since| lifted_at > since + SAME_START_TOLERANCE)
    }

    fn record_lifted_fence(&mut self) {
        let lifted_at = self.version_since();
        let fenced_at = lifted_at.saturating_sub(self.report.details.last_fence_duration);
        // If the router has applied another version since, the interval that the fence ended is that of
        // the recorded version.
        let version = self.router.version;
        self.router.version = self.router.recorded_version.unwrap_or(version);
        self.record(Time(fenced_at), EntryKind::Silent);
        self.router.version = version;
        self.record(Time(lifted_at), EntryKind::Acting);
    }

    /// When a router with the current version began to route requests under it.
    fn acting_since(&self, was_not_routing: bool) -> Time {
        if self.router.known_since == self.now {
            // The router held the version before this leader first received a report of it.
            return Time(self.version_since());
        }
        if was_not_routing {
            return self.now;
        }
        Time(self.version_since().max(self.router.known_since.0.min(self.now.0)))
    }

    /// Handles the report of a router whose version is no longer the current one.
    fn handle_lagging(&mut self, lag: &VersionLag, was_silent: bool) -> Directive {
        if self.router.phase == Phase::FencedOut {
            return Directive::FenceOut { epoch: self.router.epoch };
        }
        let is_starting = self.is_starting();
        if was_silent && !is_starting {
            return self.fence_out();
        }
        self.record_past_version();
        match self.router.phase {
            Phase::Notified { next_at, .. } if self.now < next_at => self.continue_directive(),
            Phase::Notified { count, .. } if count >= self.settings.max_notifications => self.fence_out(),
            Phase::Notified { count, .. } => self.notify(count + 1),
            _ if self.exceeds_limits(lag, is_starting) => self.notify(1),
            // The router may take up to `max_lag` to fetch the current version; its lease is not renewed
            // meanwhile.
            _ => self.continue_directive(),
        }
    }

    /// Whether the router has started so recently that it need not hold any version yet.
    fn is_starting(&self) -> bool {
        let known_duration = self.now.0.saturating_sub(self.router.known_since.0);
        self.report.version == 0 && known_duration < self.settings.max_lag
    }

    fn exceeds_limits(&self, lag: &VersionLag, is_starting: bool) -> bool {
        // A router that has just started gets the full `max_lag` to fetch its first version.
        let lagging_since = lag.since.0.max(self.router.known_since.0);
        let lagging_for = self.now.0.saturating_sub(lagging_since);
        lagging_for >= self.settings.max_lag
            || (lag.versions > self.settings.max_lag_versions && !is_starting)
    }

    /// Records an outdated version under which the router routes requests, if the audit record does not
    /// contain it yet.
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
