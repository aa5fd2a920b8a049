//! What the handles of a watch, its driver and its readers share, and the messages that the driver receives.

use crate::error::ConnectionError;
use crate::json_objects::StreamItem;
use crate::liveness::ConnectionId;
use crossbeam_channel::{Receiver, Sender, bounded};
use routing::EndpointsHandle;
use settings::Limits;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Messages that may wait for the driver. Each may hold a complete list.
const DRIVER_QUEUE: usize = 4;

/// What the driver receives.
pub(crate) enum Message {
    /// Watch this address from now on.
    Follow(SocketAddr),
    /// This connection is up and about to send its request.
    Connected(ConnectionId, OpenConnection),
    /// This connection was answered with status 200.
    ResponseHead(ConnectionId),
    /// This connection has brought an object or an empty line.
    Item(ConnectionId, StreamItem),
    /// The reader of this connection has ended.
    Ended(ConnectionId, ConnectionError),
}

/// A connection that is up. Closing its socket ends its reader.
pub(crate) struct OpenConnection {
    pub(crate) socket: Arc<TcpStream>,
    /// The version that it resumed from, or the last one that it has brought.
    pub(crate) version: u64,
    /// The address that it is connected to.
    pub(crate) addr: SocketAddr,
}

impl OpenConnection {
    /// Shuts the socket down, which ends the reader.
    pub(crate) fn close(&self) {
        // An error means that it is closed already.
        _ = self.socket.shutdown(Shutdown::Both);
    }
}

/// Shared by all threads of a watch.
pub(crate) struct Shared {
    /// Names of the configured zones, in the order of their numbers.
    pub(crate) zones: Vec<String>,
    pub(crate) limits: Arc<Limits>,
    /// The actor that updates go to, and that holds the version to resume from.
    pub(crate) list: EndpointsHandle,
    pub(crate) driver: Sender<Message>,
    /// The driver takes it when it starts.
    pub(crate) driver_queue: Mutex<Option<Receiver<Message>>>,
    pub(crate) first_line: FirstLine,
    /// The version that the list holds means nothing to discovery any more.
    resume_from_zero: AtomicBool,
}

impl Shared {
    pub(crate) fn new(zones: Vec<String>, limits: Arc<Limits>, list: EndpointsHandle) -> Shared {
        let (driver, queue) = bounded(DRIVER_QUEUE);
        Shared {
            zones,
            limits,
            list,
            driver,
            driver_queue: Mutex::new(Some(queue)),
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
