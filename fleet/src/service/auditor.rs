//! The audit beside the quota allocator: carries out what its state machine decides.
use super::audit_recorder::{Recorder, WriteResult};
use audit::{Action, Entry, Event, Kind, Ledger, News};
use routing::Time;
use std::io;
use store::Store;

pub(super) struct Auditor {
    tracker: Ledger,
    recorder: Recorder,
    /// Kept for its allocation.
    actions: Vec<Action>,
}

impl Auditor {
    pub(super) fn new(store: &Store, settings: audit::Settings) -> io::Result<Auditor> {
        let recorder = Recorder::start(store.clone())?;
        Ok(Auditor { tracker: Ledger::new(settings), recorder, actions: Vec::new() })
    }

    /// Handles an event and returns the directive for the router whose report it was, if it was one.
    pub(super) fn handle(&mut self, now: Time, event: Event) -> News {
        self.tracker.handle(now, event, &mut self.actions);
        let mut directive = News::Off;
        let mut unwritten = None;
        for action in self.actions.drain(..) {
            match action {
                Action::Tell { news, .. } => directive = news,
                Action::Record(entry) => log_entry(&entry),
                Action::Write(batch) => {
                    let seq = batch.seq;
                    if !self.recorder.try_write(batch) {
                        unwritten = Some(seq);
                    }
                }
            }
        }
        if let Some(seq) = unwritten {
            self.tracker.handle(now, Event::Written { seq, made: false }, &mut self.actions);
        }
        directive
    }

    /// Handles the writes that have ended, and the passing of time.
    pub(super) fn tick(&mut self, now: Time) {
        while let Some(WriteResult { seq, is_written }) = self.recorder.next_result() {
            self.handle(now, Event::Written { seq, made: is_written });
        }
        self.handle(now, Event::Tick);
    }
}

/// Logs an entry of the record.
fn log_entry(entry: &Entry) {
    let Entry { version, epoch, .. } = *entry;
    let router = entry.router.as_str();
    match entry.kind {
        Kind::Current => tracing::info!(version, "audit: version is current"),
        Kind::Acting => tracing::info!(version, router, epoch, "audit: router acts on version"),
        Kind::Told => {
            tracing::warn!(version, router, epoch, "audit: router lags, asked to fetch the current version");
        }
        Kind::ShutOut => {
            tracing::error!(version, router, epoch, "audit: router fenced out; check that router's log");
        }
        Kind::Silent => tracing::warn!(
            version,
            router,
            epoch,
            "audit: router silent; check that process and its connection to this node"
        ),
        Kind::Left => tracing::info!(version, router, epoch, "audit: router left"),
    }
}
