//! The endpoints that have responded, for the check of their liveness.
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The ids of endpoints that have responded since the last call of [`RespondedEndpoints::drain`]. Nothing is recorded
/// before the first call.
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
