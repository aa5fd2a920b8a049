//! Creates the entries of the audit record: each is queued for the store and logged.
use super::event::Action;
use super::router::RouterState;
use crate::record::{Batch, Entry, EntryKind};
use crate::record_writer::RecordWriter;
use decision::Time;
use settings::fleet::Version;

/// Creates the audit entries of one leader's term.
#[derive(Clone, Debug)]
pub(super) struct Recorder {
    term: u64,
    max_pending_per_router: usize,
    pub(super) writer: RecordWriter,
}

impl Recorder {
    pub(super) fn new(max_pending_per_router: usize) -> Recorder {
        Recorder { term: 0, max_pending_per_router, writer: RecordWriter::default() }
    }

    pub(super) fn start_term(&mut self, term: u64, stored: Vec<Batch>, ring_slots: u64) {
        self.term = term;
        self.writer.start_term(stored, ring_slots);
    }

    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// Records that a version has become the current one.
    pub(super) fn record_current(&mut self, now: Time, version: Version, actions: &mut Vec<Action>) {
        let entry = Entry {
            router: String::new(),
            incarnation: 0,
            version,
            members_version: 0,
            since: now.0,
            kind: EntryKind::Current,
            epoch: 0,
            term: self.term,
        };
        self.push(entry, actions);
    }

    /// Records the state of a router from `since` on.
    pub(super) fn record(
        &mut self,
        name: &str,
        router: &mut RouterState,
        since: Time,
        kind: EntryKind,
        actions: &mut Vec<Action>,
    ) {
        router.update_recorded(kind, since);
        let entry = Entry {
            router: name.into(),
            incarnation: router.incarnation,
            version: router.version,
            members_version: router.members_version,
            since: since.0,
            kind,
            epoch: router.epoch,
            term: self.term,
        };
        self.push(entry, actions);
    }

    fn push(&mut self, entry: Entry, actions: &mut Vec<Action>) {
        self.writer.push(entry.clone(), self.max_pending_per_router);
        actions.push(Action::LogEntry(entry));
    }
}
