//! The tracker's state of one router.
use super::received_report::ReceivedReport;
use crate::record::{Entry, EntryKind};
use decision::{Micros, Time};
use settings::fleet::Version;

/// The stage that a router has reached in following the current version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// The router routes requests, or may do so as far as the leader knows.
    Acting,
    /// The router's version is outdated. It was notified `count` times, and is notified again or fenced out
    /// from `next_at` on.
    Notified { count: u32, next_at: Time },
    /// The leader has fenced the router out.
    FencedOut,
    /// The router has not reported for `silence_timeout`.
    Silent,
}

/// The tracker's state of one router.
#[derive(Clone, Debug)]
pub(super) struct RouterState {
    pub(super) incarnation: u64,
    pub(super) version: Version,
    pub(super) members_version: u64,
    pub(super) epoch: u64,
    pub(super) phase: Phase,
    /// When this leader first received a report of this incarnation, or read the router's entry from the
    /// store.
    pub(super) known_since: Time,
    pub(super) last_report: Time,
    /// Version under which the router routes requests according to the audit record, if any.
    pub(super) recorded_version: Option<Version>,
    /// Start time of the last [`EntryKind::Acting`] entry, if it was recorded in this term.
    pub(super) recorded_since: Option<i64>,
}

impl RouterState {
    /// Creates the state of a router that reports for the first time.
    pub(super) fn from_first_report(now: Time, report: &ReceivedReport) -> RouterState {
        RouterState {
            incarnation: report.incarnation,
            version: report.version,
            members_version: report.details.members_version,
            epoch: report.details.epoch,
            phase: Phase::Acting,
            known_since: now,
            last_report: now,
            recorded_version: None,
            recorded_since: None,
        }
    }

    /// Creates the state of a router from its latest entry of an earlier term; `None` if the router has left.
    pub(super) fn from_entry(now: Time, entry: &Entry) -> Option<RouterState> {
        let phase = match entry.kind {
            EntryKind::Acting | EntryKind::Notified => Phase::Acting,
            EntryKind::FencedOut => Phase::FencedOut,
            EntryKind::Silent => Phase::Silent,
            EntryKind::Left | EntryKind::Current => return None,
        };
        Some(RouterState {
            incarnation: entry.incarnation,
            version: entry.version,
            members_version: entry.members_version,
            epoch: entry.epoch,
            phase,
            known_since: now,
            last_report: now,
            recorded_version: (phase == Phase::Acting).then_some(entry.version),
            recorded_since: None,
        })
    }

    /// Whether the last report is at least `duration` old.
    pub(super) fn is_silent_for(&self, duration: Micros, now: Time) -> bool {
        now.0.saturating_sub(self.last_report.0) >= duration
    }

    /// Switches to another incarnation of the router, which has no recorded entry yet.
    pub(super) fn restart(&mut self, now: Time, incarnation: u64) {
        self.incarnation = incarnation;
        self.known_since = now;
        self.recorded_version = None;
        self.clear_notifications();
    }

    pub(super) fn clear_notifications(&mut self) {
        if matches!(self.phase, Phase::Notified { .. }) {
            self.phase = Phase::Acting;
        }
    }

    /// Updates the recorded version and time after an entry of the router was recorded.
    pub(super) fn update_recorded(&mut self, kind: EntryKind, since: Time) {
        match kind {
            EntryKind::Acting => {
                self.recorded_since = Some(since.0);
                self.recorded_version = Some(self.version);
            }
            EntryKind::Notified => {}
            EntryKind::FencedOut | EntryKind::Silent | EntryKind::Left | EntryKind::Current => {
                self.recorded_version = None;
            }
        }
    }
}
