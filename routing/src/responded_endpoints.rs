//! Which endpoints have responded, for whoever watches over their liveness.
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The ids of endpoints that have responded, while somebody wants to know. Nothing is recorded at first.
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

    /// Returns the ids recorded since the last call, and records further ones only if `keep_recording`.
    pub fn drain(&self, keep_recording: bool) -> HashSet<String> {
        self.recording.store(keep_recording, Ordering::Relaxed);
        std::mem::take(&mut *self.ids())
    }

    fn ids(&self) -> MutexGuard<'_, HashSet<String>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
