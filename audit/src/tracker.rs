//! The leader's part of the audit: tracks the configuration version of every router of a fleet.
mod epochs;
mod event;
mod history;
mod jitter;
mod received_report;
mod recorder;
mod report;
mod router;

pub use event::{Action, Event};

use crate::exchange::Directive;
use crate::record::{Batch, EntryKind};
use crate::settings::Settings;
use decision::Time;
use epochs::EpochSource;
use history::VersionHistory;
use jitter::Jitter;
use received_report::ReceivedReport;
use recorder::Recorder;
use report::ReportHandler;
use router::{Phase, RouterState};
use settings::fleet::Version;
use std::collections::{BTreeMap, btree_map};

/// Maximum number of routers tracked.
const MAX_ROUTERS: usize = settings::fleet::MAX_ROUTERS as usize;

/// Tracks the configuration version of every router of a fleet; see the [crate] documentation.
#[derive(Clone, Debug)]
pub struct VersionTracker {
    settings: Settings,
    history: VersionHistory,
    routers: BTreeMap<String, RouterState>,
    recorder: Recorder,
    epochs: EpochSource,
    jitter: Jitter,
}

impl VersionTracker {
    /// Creates a tracker on a node that does not lead yet.
    pub fn new(settings: Settings) -> VersionTracker {
        VersionTracker {
            history: VersionHistory::default(),
            routers: BTreeMap::new(),
            recorder: Recorder::new(settings.max_pending_per_router),
            epochs: EpochSource::default(),
            jitter: Jitter::new(settings.jitter_seed),
            settings,
        }
    }

    /// Handles an event and appends the resulting actions for the driver.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::LeadershipGained { term, batches } => self.handle_leadership_gained(now, term, batches),
            Event::CurrentVersion { version } => self.handle_current_version(now, version, actions),
            Event::ReportReceived { router, incarnation, version, report, leaving } => {
                let report = ReceivedReport { incarnation, version, details: report, leaving };
                let directive = self.handle_report(now, &router, &report, actions);
                actions.push(Action::Respond { router, directive });
            }
            Event::WriteCompleted { seq, committed } => {
                self.recorder.writer.write_completed(seq, committed, self.settings.ring_slots);
            }
            Event::Tick => self.handle_tick(now, actions),
        }
    }

    /// Starts a term with the state of each router from the audit record. A router counts as silent only
    /// after `silence_timeout` without a report to this leader.
    fn handle_leadership_gained(&mut self, now: Time, term: u64, batches: Vec<Batch>) {
        self.history = VersionHistory::default();
        self.epochs = EpochSource::new(term);
        self.recorder.start_term(term, batches, self.settings.ring_slots);
        self.routers.clear();
        for entry in self.recorder.writer.latest_entries() {
            if let Some(state) = RouterState::from_entry(now, &entry) {
                self.routers.insert(entry.router, state);
            }
        }
    }

    fn handle_current_version(&mut self, now: Time, version: Version, actions: &mut Vec<Action>) {
        if self.history.push(version, now) {
            self.recorder.record_current(now, version, actions);
        }
    }

    fn handle_report(
        &mut self,
        now: Time,
        name: &str,
        report: &ReceivedReport,
        actions: &mut Vec<Action>,
    ) -> Directive {
        let is_full = self.routers.len() >= MAX_ROUTERS;
        let router = match self.routers.entry(name.into()) {
            btree_map::Entry::Occupied(known) => known.into_mut(),
            // A router that cannot be tracked must not route requests.
            btree_map::Entry::Vacant(_) if is_full => {
                return Directive::FenceOut { epoch: report.details.epoch };
            }
            btree_map::Entry::Vacant(unknown) => unknown.insert(RouterState::from_first_report(now, report)),
        };
        let mut handler = ReportHandler {
            now,
            name,
            report,
            router,
            settings: &self.settings,
            history: &self.history,
            recorder: &mut self.recorder,
            epochs: &mut self.epochs,
            jitter: &mut self.jitter,
            actions,
        };
        if handler.is_superseded() {
            return Directive::FenceOut { epoch: handler.router.epoch };
        }
        if !report.leaving {
            return handler.handle();
        }
        let epoch = handler.handle_leave();
        self.routers.remove(name);
        Directive::Continue { epoch }
    }

    fn handle_tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let silence_timeout = self.settings.silence_timeout;
        for (name, router) in &mut self.routers {
            let serving = matches!(router.phase, Phase::Acting | Phase::Notified { .. });
            if serving && router.is_silent_for(silence_timeout, now) {
                router.phase = Phase::Silent;
                let last_report = router.last_report;
                self.recorder.record(name, router, last_report, EntryKind::Silent, actions);
            }
        }
        self.routers.retain(|_, router| !router.is_silent_for(self.settings.forget_after, now));
        let is_live = |name: &str| name.is_empty() || self.routers.contains_key(name);
        let term = self.recorder.term();
        let batch = self.recorder.writer.next_batch(now, term, &self.settings, is_live);
        actions.extend(batch.map(Action::WriteBatch));
    }
}
