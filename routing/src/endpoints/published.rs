//! Version and IDs of the endpoint list, which other threads read without sending a message to the actor.
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// State that the endpoints actor publishes to other threads.
#[derive(Clone, Default)]
pub(super) struct Published {
    version: Arc<AtomicU64>,
    ids: Arc<Mutex<BTreeSet<String>>>,
}

impl Published {
    pub(super) fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    pub(super) fn set_version(&self, version: u64) {
        self.version.store(version, Ordering::Release);
    }

    pub(super) fn ids(&self) -> BTreeSet<String> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn set_ids(&self, ids: BTreeSet<String>) {
        *self.ids.lock().unwrap_or_else(PoisonError::into_inner) = ids;
    }
}
