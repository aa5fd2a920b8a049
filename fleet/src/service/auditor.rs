//! Runs the audit's state machine next to the quota allocator and executes its actions.
use super::audit_recorder::{Recorder, WriteResult};
use audit::{Action, Directive, Entry, EntryKind, Event, VersionTracker};
use routing::Time;
use std::io;
use store::Store;

pub(super) struct Auditor {
    tracker: VersionTracker,
    recorder: Recorder,
    /// Buffer for the actions of the state machine, reused to avoid allocations.
    actions: Vec<Action>,
}

impl Auditor {
    pub(super) fn new(store: &Store, settings: audit::Settings) -> io::Result<Auditor> {
        let recorder = Recorder::start(store.clone())?;
        Ok(Auditor { tracker: VersionTracker::new(settings), recorder, actions: Vec::new() })
    }

    /// Handles an event. If it was a router's report, returns the directive for that router.
    pub(super) fn handle(&mut self, now: Time, event: Event) -> Directive {
        self.tracker.handle(now, event, &mut self.actions);
        let mut directive = Directive::AuditDisabled;
        let mut rejected_seq = None;
        for action in self.actions.drain(..) {
            match action {
                Action::Respond { directive: new_directive, .. } => directive = new_directive,
                Action::LogEntry(entry) => log_entry(&entry),
                Action::WriteBatch(batch) => {
                    let seq = batch.seq;
                    if !self.recorder.try_write(batch) {
                        rejected_seq = Some(seq);
                    }
                }
            }
        }
        if let Some(seq) = rejected_seq {
            self.tracker.handle(now, Event::WriteCompleted { seq, committed: false }, &mut self.actions);
        }
        directive
    }

    /// Handles the results of finished writes, and the passing of time.
    pub(super) fn tick(&mut self, now: Time) {
        while let Some(WriteResult { seq, is_written }) = self.recorder.next_result() {
            self.handle(now, Event::WriteCompleted { seq, committed: is_written });
        }
        self.handle(now, Event::Tick);
    }
}

/// Logs an entry of the audit record.
fn log_entry(entry: &Entry) {
    let Entry { version, epoch, .. } = *entry;
    let router = entry.router.as_str();
    match entry.kind {
        EntryKind::Current => tracing::info!(version, "fleet document became current"),
        EntryKind::Acting => tracing::info!(version, router, epoch, "fleet document applied by router"),
        EntryKind::Notified => {
            tracing::warn!(version, router, epoch, "router lagging, asked to fetch the current document");
        }
        EntryKind::FencedOut => {
            tracing::error!(version, router, epoch, "router fenced out; check that router's log");
        }
        EntryKind::Silent => tracing::warn!(
            version,
            router,
            epoch,
            "router stopped reporting; check its process and its connection to this node"
        ),
        EntryKind::Left => tracing::info!(version, router, epoch, "router left the fleet"),
    }
}
