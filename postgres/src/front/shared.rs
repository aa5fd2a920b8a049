//! State that all connections of the front share.
use crate::backend::Postgres;
use crate::buffer::CancelKey;
use client_listener::Connection;
use client_listener::memory::MemoryPool;
use routing::{RouterHandle, Settings};
use settings::Limits;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The properties of a request class that the front uses.
#[derive(Clone, Copy)]
pub(super) struct FrontClass {
    /// Index of the class in the routing core.
    pub(super) index: usize,
    /// Maximum time that a client may wait for a response, in microseconds.
    pub(super) deadline_us: i64,
}

/// The front for the platform's clients: a handle of the routing core, to which it submits requests, and the
/// state that its connections share.
pub struct Front {
    pub(super) handle: RouterHandle<Postgres>,
    pub(super) limits: Arc<Limits>,
    classes: HashMap<Vec<u8>, FrontClass>,
    /// Client-given ids of open requests. Each id identifies one request; a second request with an open id is
    /// rejected, so that the two cannot be confused in their responses or their cancellation.
    request_ids: Mutex<HashSet<Vec<u8>>>,
    /// Open connections by their cancel keys.
    cancel_keys: Mutex<HashMap<CancelKey, Arc<Connection>>>,
    /// Memory for long messages and open requests of clients.
    pub(super) memory: MemoryPool,
    /// Bytes of `memory` that are reserved for other processes of this router.
    other_processes_bytes: Mutex<isize>,
}

impl Front {
    /// Creates a front for these classes; `settings` has their deadlines in the same order.
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

    /// Sets how many processes serve as this router: each gets an equal share of the memory for clients.
    /// Reservations beyond the share remain until they are released.
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

    /// Abandons the requests of a connection whose client no longer reads responses.
    pub(super) fn abandon_requests(&self, connection: &Connection) {
        connection.mark_disconnected(|id| self.handle.client_disconnected(id));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
