//! What all connections of the front share.
use crate::backend::Postgres;
use crate::buffer::CancelKey;
use crate::memory_pool::MemoryPool;
use client_listener::Connection;
use routing::{RouterHandle, Settings};
use settings::Limits;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A class as the front knows it.
#[derive(Clone, Copy)]
pub(super) struct FrontClass {
    /// Its index in the routing core.
    pub(super) index: usize,
    /// The longest that a client may wait, in microseconds.
    pub(super) deadline_us: i64,
}

/// The front for the platform's clients: the routing core that it submits requests to, and what its connections share.
pub struct Front {
    pub(super) handle: RouterHandle<Postgres>,
    pub(super) limits: Arc<Limits>,
    classes: HashMap<Vec<u8>, FrontClass>,
    /// Ids of open requests. An id stands for one request: another one that names it must get neither its response nor
    /// its end.
    request_ids: Mutex<HashSet<Vec<u8>>>,
    /// Open connections by their cancel keys.
    cancel_keys: Mutex<HashMap<CancelKey, Arc<Connection>>>,
    /// The memory for clients' long messages and open requests.
    pub(super) memory: MemoryPool,
    /// The bytes of that memory that are reserved for other processes of this router.
    other_processes_bytes: Mutex<isize>,
}

impl Front {
    /// A front for these classes; `settings` has their deadlines in the same order.
    pub fn new(
        handle: RouterHandle<Postgres>,
        limits: Arc<Limits>,
        class_names: &[String],
        settings: &Settings,
    ) -> Arc<Front> {
        let names = class_names.iter().map(|name| name.clone().into_bytes());
        let deadlines = settings.classes.iter().map(|class| class.deadline).enumerate();
        let classes = deadlines.map(|(index, deadline_us)| FrontClass { index, deadline_us });
        Arc::new(Front {
            handle,
            classes: names.zip(classes).collect(),
            request_ids: Mutex::default(),
            cancel_keys: Mutex::default(),
            memory: MemoryPool::new(limits.max_client_memory_bytes),
            other_processes_bytes: Mutex::default(),
            limits,
        })
    }

    /// Sets how many processes serve as this router: each gets its share of the memory for clients. What is in use
    /// beyond the share stays so until it is released.
    pub fn set_process_count(&self, processes: u32) {
        let total = self.limits.max_client_memory_bytes as isize;
        let others = total - total / processes.max(1) as isize;
        let mut current = lock(&self.other_processes_bytes);
        let previous = std::mem::replace(&mut *current, others);
        self.memory.resize_by(previous - others);
    }

    pub(super) fn class(&self, name: &[u8]) -> Option<FrontClass> {
        self.classes.get(name).copied()
    }

    pub(super) fn request_ids(&self) -> MutexGuard<'_, HashSet<Vec<u8>>> {
        lock(&self.request_ids)
    }

    pub(super) fn cancel_keys(&self) -> MutexGuard<'_, HashMap<CancelKey, Arc<Connection>>> {
        lock(&self.cancel_keys)
    }

    /// Abandons the requests of a connection whose client takes no more responses.
    pub(super) fn abandon_requests(&self, connection: &Connection) {
        connection.mark_disconnected(|id| self.handle.client_disconnected(id));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
