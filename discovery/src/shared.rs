//! What the handles of a watch and its driver share.

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::Waker;
use routing::EndpointsHandle;
use settings::Limits;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Changes of the address that may wait for the driver.
const FOLLOW_QUEUE: usize = 4;

/// Shared by all threads of a watch.
pub(crate) struct Shared {
    /// Names of the configured zones, in the order of their numbers.
    pub(crate) zones: Vec<String>,
    pub(crate) limits: Arc<Limits>,
    /// The actor that updates go to, and that holds the version to resume from.
    pub(crate) list: EndpointsHandle,
    /// The addresses to watch, in order; the driver is woken for each.
    pub(crate) addresses: Sender<SocketAddr>,
    /// Where the driver receives them.
    pub(crate) address_queue: Receiver<SocketAddr>,
    /// Wakes the driver, once that runs.
    pub(crate) waker: Mutex<Option<Waker>>,
    pub(crate) first_line: FirstLine,
    /// The version that the list holds means nothing to discovery any more.
    resume_from_zero: AtomicBool,
}

impl Shared {
    pub(crate) fn new(zones: Vec<String>, limits: Arc<Limits>, list: EndpointsHandle) -> Shared {
        let (addresses, queue) = bounded(FOLLOW_QUEUE);
        Shared {
            zones,
            limits,
            list,
            addresses,
            address_queue: queue,
            waker: Mutex::new(None),
            first_line: FirstLine::default(),
            resume_from_zero: AtomicBool::new(false),
        }
    }

    /// Whether connections have to ask for the complete list.
    pub(crate) fn resumes_from_zero(&self) -> bool {
        self.resume_from_zero.load(Ordering::Acquire)
    }

    pub(crate) fn set_resume_from_zero(&self, value: bool) {
        self.resume_from_zero.store(value, Ordering::Release);
    }

    /// The version that a new connection asks from.
    pub(crate) fn resume_version(&self) -> u64 {
        if self.resumes_from_zero() { 0 } else { self.list.version() }
    }
}

/// Whether the agent has brought its first line, for those who wait for it.
#[derive(Default)]
pub(crate) struct FirstLine {
    received: Mutex<bool>,
    changed: Condvar,
}

impl FirstLine {
    pub(crate) fn set_received(&self) {
        *lock(&self.received) = true;
        self.changed.notify_all();
    }

    /// Waits at most for `timeout`; `false` where that has passed first.
    pub(crate) fn wait(&self, timeout: Duration) -> bool {
        let received = lock(&self.received);
        let waited = self.changed.wait_timeout_while(received, timeout, |received| !*received);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// Locks, also after a panic elsewhere: each guarded value is set in one step, so it is whole all the same.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
