//! What the tracker knows of one router.
use super::received_report::ReceivedReport;
use crate::record::{Entry, EntryKind};
use decision::{Micros, Time};
use settings::fleet::Version;

/// State of a router towards the current version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// It serves, or may do so for all that is known.
    Acting,
    /// It lags and was notified this many times. It is notified again, or fenced out, from `next_at` on.
    Notified { count: u32, next_at: Time },
    /// It is fenced out.
    FencedOut,
    /// It has not reported for a lease's time.
    Silent,
}

/// What the tracker knows of one router.
#[derive(Clone, Debug)]
pub(super) struct RouterState {
    pub(super) incarnation: u64,
    pub(super) version: Version,
    pub(super) members_version: u64,
    pub(super) epoch: u64,
    pub(super) phase: Phase,
    /// When this incarnation was first seen.
    pub(super) known_since: Time,
    pub(super) last_report: Time,
    /// Version that the record says the router serves by, if any.
    pub(super) recorded_version: Option<Version>,
    /// Time of the last entry that said so, if it is of this term.
    pub(super) recorded_since: Option<i64>,
}

impl RouterState {
    /// A router that reports for the first time.
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

    /// A router as its latest entry of an earlier term describes it; `None` if it has left.
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

    /// Whether the last report is at least this old.
    pub(super) fn is_silent_for(&self, duration: Micros, now: Time) -> bool {
        now.0.saturating_sub(self.last_report.0) >= duration
    }

    /// Follows another incarnation of the router, of which nothing is recorded yet.
    pub(super) fn restarted(&mut self, now: Time, incarnation: u64) {
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

    /// Keeps in mind what an entry says of the router.
    pub(super) fn note_recorded(&mut self, kind: EntryKind, since: Time) {
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
