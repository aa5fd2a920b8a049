//! State shared between the handles of a watch and its driver.

use crossbeam_channel::{Receiver, Sender, bounded};
use mio::Waker;
use routing::EndpointsHandle;
use settings::Limits;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Capacity of the queue of addresses for the driver.
const ADDRESS_QUEUE_CAPACITY: usize = 4;

/// State that all threads of a watch share.
pub(crate) struct Shared {
    /// Names of the configured zones; a zone's index is its number.
    pub(crate) zones: Vec<String>,
    pub(crate) limits: Arc<Limits>,
    /// The endpoint list, which receives the updates and stores the version to resume from.
    pub(crate) list: EndpointsHandle,
    /// Sends the addresses to watch to the driver, which is woken for each one.
    pub(crate) addresses: Sender<SocketAddr>,
    /// The receiving end of `addresses`.
    pub(crate) address_queue: Receiver<SocketAddr>,
    /// Wakes the driver; `None` before it is started.
    pub(crate) waker: Mutex<Option<Waker>>,
    pub(crate) first_line: FirstLine,
    /// Discovery has restarted its version numbers, so that the list's version must not be used to resume.
    resume_from_zero: AtomicBool,
}

impl Shared {
    pub(crate) fn new(zones: Vec<String>, limits: Arc<Limits>, list: EndpointsHandle) -> Shared {
        let (addresses, receiver) = bounded(ADDRESS_QUEUE_CAPACITY);
        Shared {
            zones,
            limits,
            list,
            addresses,
            address_queue: receiver,
            waker: Mutex::new(None),
            first_line: FirstLine::default(),
            resume_from_zero: AtomicBool::new(false),
        }
    }

    /// Whether new connections have to request the complete list.
    pub(crate) fn resumes_from_zero(&self) -> bool {
        self.resume_from_zero.load(Ordering::Acquire)
    }

    pub(crate) fn set_resume_from_zero(&self, value: bool) {
        self.resume_from_zero.store(value, Ordering::Release);
    }

    /// The version from which a new connection resumes; 0 requests the complete list.
    pub(crate) fn resume_version(&self) -> u64 {
        if self.resumes_from_zero() { 0 } else { self.list.version() }
    }
}

/// A latch that is set when the first line is received from the discovery agent.
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

    /// Waits for the first line; `false` if `timeout` passes before.
    pub(crate) fn wait(&self, timeout: Duration) -> bool {
        let received = lock(&self.received);
        let waited = self.changed.wait_timeout_while(received, timeout, |received| !*received);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// Locks a mutex and ignores poisoning: each guarded value is set in one step, so a panic cannot leave it
/// inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
