//! The state, settings and clocks of one instance.
use super::state::State;
use crate::clocks::ServerClocks;
use crate::machine::{Machine, Now};
use crossbeam_channel::Sender;
use routing::Clock;
use settings::Limits;
use settings::operator::SessionsConfig;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One instance of the session tracker, with the connections to its peers.
pub struct Sessions {
    state: Mutex<State>,
    pub(super) settings: SessionsConfig,
    pub(super) limits: Arc<Limits>,
    pub(super) clock: Clock,
    clocks: Arc<ServerClocks>,
    pub(super) wake_journal: Sender<()>,
    stopping: AtomicBool,
    pub(super) journal_bytes: AtomicU64,
    pub(super) journal_syncs: AtomicU64,
}

impl Sessions {
    pub(super) fn new(
        settings: SessionsConfig,
        machine: Machine,
        limits: &Arc<Limits>,
        clock: Clock,
        clocks: Arc<ServerClocks>,
        wake_journal: Sender<()>,
    ) -> Sessions {
        Sessions {
            state: Mutex::new(State::new(machine)),
            settings,
            limits: limits.clone(),
            clock,
            clocks,
            wake_journal,
            stopping: AtomicBool::new(false),
            journal_bytes: AtomicU64::new(0),
            journal_syncs: AtomicU64::new(0),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Now {
        let at = self.clock.now();
        Now { at, commit_upper_bound: self.clocks.latest_commit_bound(at) }
    }

    /// Stops the journal thread, the ticks and further connections to peers. Existing connections stay open
    /// until they end.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        _ = self.wake_journal.try_send(());
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}
