//! The audit beside the quota allocator: carries out what its state machine decides.
use super::audit_recorder::{Recorder, WriteResult};
use audit::{Action, Directive, Entry, EntryKind, Event, VersionTracker};
use routing::Time;
use std::io;
use store::Store;

pub(super) struct Auditor {
    tracker: VersionTracker,
    recorder: Recorder,
    /// Kept for its allocation.
    actions: Vec<Action>,
}

impl Auditor {
    pub(super) fn new(store: &Store, settings: audit::Settings) -> io::Result<Auditor> {
        let recorder = Recorder::start(store.clone())?;
        Ok(Auditor { tracker: VersionTracker::new(settings), recorder, actions: Vec::new() })
    }

    /// Handles an event and returns the directive for the router whose report it was, if it was one.
    pub(super) fn handle(&mut self, now: Time, event: Event) -> Directive {
        self.tracker.handle(now, event, &mut self.actions);
        let mut directive = Directive::AuditDisabled;
        let mut unwritten = None;
        for action in self.actions.drain(..) {
            match action {
                Action::Respond { directive: news, .. } => directive = news,
                Action::LogEntry(entry) => log_entry(&entry),
                Action::WriteBatch(batch) => {
                    let seq = batch.seq;
                    if !self.recorder.try_write(batch) {
                        unwritten = Some(seq);
                    }
                }
            }
        }
        if let Some(seq) = unwritten {
            self.tracker.handle(now, Event::WriteCompleted { seq, committed: false }, &mut self.actions);
        }
        directive
    }

    /// Handles the writes that have ended, and the passing of time.
    pub(super) fn tick(&mut self, now: Time) {
        while let Some(WriteResult { seq, is_written }) = self.recorder.next_result() {
            self.handle(now, Event::WriteCompleted { seq, committed: is_written });
        }
        self.handle(now, Event::Tick);
    }
}

/// Logs an entry of the record.
fn log_entry(entry: &Entry) {
    let Entry { version, epoch, .. } = *entry;
    let router = entry.router.as_str();
    match entry.kind {
        EntryKind::Current => tracing::info!(version, "version made current"),
        EntryKind::Acting => tracing::info!(version, router, epoch, "version applied by router"),
        EntryKind::Notified => {
            tracing::warn!(version, router, epoch, "router lagging, asked to fetch the current version");
        }
        EntryKind::FencedOut => {
            tracing::error!(version, router, epoch, "router fenced out; check that router's log");
        }
        EntryKind::Silent => tracing::warn!(
            version,
            router,
            epoch,
            "router silent; check that process and its connection to this node"
        ),
        EntryKind::Left => tracing::info!(version, router, epoch, "router left"),
    }
}
