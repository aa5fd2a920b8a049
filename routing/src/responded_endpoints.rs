//! Records endpoints that have responded, for liveness checks.
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// IDs of endpoints that have responded since the last call of [`RespondedEndpoints::drain`]. Recording
/// starts with the first call.
#[derive(Debug, Default)]
pub struct RespondedEndpoints {
    recording: AtomicBool,
    ids: Mutex<HashSet<String>>,
}

impl RespondedEndpoints {
    pub(crate) fn record(&self, id: &str) {
        if !self.recording.load(Ordering::Relaxed) {
            return;
        }
        let mut ids = self.ids();
        if !ids.contains(id) {
            ids.insert(id.to_string());
        }
    }

    /// Returns the IDs recorded since the last call. Later responses are recorded only if `keep_recording` is
    /// `true`.
    pub fn drain(&self, keep_recording: bool) -> HashSet<String> {
        self.recording.store(keep_recording, Ordering::Relaxed);
        std::mem::take(&mut *self.ids())
    }

    fn ids(&self) -> MutexGuard<'_, HashSet<String>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
