//! A test harness for the tracker that collects its entries and batches.
use audit::{Action, Batch, Directive, Entry, EntryKind, Event, Settings, VersionReport, VersionTracker};
use decision::{Micros, Time};
use settings::fleet::{AuditConfig, Version};

/// Microseconds per millisecond.
pub(crate) const MS: Micros = 1000;
/// A router without a report for this long is silent.
pub(crate) const SILENCE_TIMEOUT: Micros = 2000 * MS;
/// The version that is current when a harness is created.
pub(crate) const FIRST_VERSION: Version = 5;

/// A tracker that leads in term 1 from time 0 on. Parameters `at_ms` are in milliseconds.
pub(crate) struct TrackerHarness {
    tracker: VersionTracker,
    /// Entries logged by the tracker.
    pub(crate) entries: Vec<Entry>,
    /// Batches that the tracker has asked to write.
    pub(crate) writes: Vec<Batch>,
}

impl TrackerHarness {
    pub(crate) fn new() -> TrackerHarness {
        let tracker = VersionTracker::new(Settings::new(&AuditConfig::default(), SILENCE_TIMEOUT, 1));
        let mut harness = TrackerHarness { tracker, entries: Vec::new(), writes: Vec::new() };
        harness.gain_leadership(0, 1, Vec::new());
        harness.set_version(0, FIRST_VERSION);
        harness
    }

    /// Handles an event; returns the directive if the event is a report.
    pub(crate) fn handle(&mut self, at_ms: i64, event: Event) -> Directive {
        let mut actions = Vec::new();
        self.tracker.handle(Time(at_ms * MS), event, &mut actions);
        let mut response = Directive::AuditDisabled;
        for action in actions {
            match action {
                Action::Respond { directive, .. } => response = directive,
                Action::LogEntry(entry) => self.entries.push(entry),
                Action::WriteBatch(batch) => self.writes.push(batch),
            }
        }
        response
    }

    pub(crate) fn gain_leadership(&mut self, at_ms: i64, term: u64, batches: Vec<Batch>) {
        self.handle(at_ms, Event::LeadershipGained { term, batches });
    }

    pub(crate) fn set_version(&mut self, at_ms: i64, version: Version) {
        self.handle(at_ms, Event::CurrentVersion { version });
    }

    pub(crate) fn tick(&mut self, at_ms: i64) {
        self.handle(at_ms, Event::Tick);
    }

    /// Handles a report of a router that routes requests, with a version age of 0.
    pub(crate) fn report(&mut self, at_ms: i64, router: &str, version: Version, epoch: u64) -> Directive {
        let report = VersionReport { epoch, routing: true, ..VersionReport::default() };
        self.report_with(at_ms, router, 1, version, report)
    }

    pub(crate) fn report_with(
        &mut self,
        at_ms: i64,
        router: &str,
        incarnation: u64,
        version: Version,
        report: VersionReport,
    ) -> Directive {
        let router = router.into();
        self.handle(at_ms, Event::ReportReceived { router, incarnation, version, report, leaving: false })
    }

    /// Returns the kinds and versions recorded for a router.
    pub(crate) fn recorded(&self, router: &str) -> Vec<(EntryKind, Version)> {
        let router_entries = self.entries.iter().filter(|entry| entry.router == router);
        router_entries.map(|entry| (entry.kind, entry.version)).collect()
    }

    /// Handles a tick, and completes the resulting write, if any.
    pub(crate) fn tick_and_commit(&mut self, at_ms: i64) {
        self.tick(at_ms);
        if let Some(seq) = self.writes.last().map(|batch| batch.seq) {
            self.handle(at_ms, Event::WriteCompleted { seq, committed: true });
        }
    }
}
