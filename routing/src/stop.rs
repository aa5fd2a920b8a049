//! What a piece of work asks before its first byte, and how it is ended from another thread. Whoever has news of it says
//! so here, and it is read where it binds: news on its way through a mailbox could come too late, or be lost where that
//! is full.
use prometheus::IntCounter;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Whether an instance may get anything new, as the module knows it now.
#[derive(Clone, Debug, Default)]
pub struct Service(Arc<Standing>);

#[derive(Debug, Default)]
struct Standing {
    out: AtomicBool,
    forgotten: AtomicBool,
}

impl Service {
    /// Says whether the list has it in service; `true` where that is news.
    pub fn set(&self, in_service: bool) -> bool {
        self.0.out.swap(!in_service, Ordering::AcqRel) == in_service
    }

    /// The module has no more use for it, for good.
    pub fn forget(&self) {
        self.0.forgotten.store(true, Ordering::Release);
    }

    /// The module has no more use for it.
    pub fn is_forgotten(&self) -> bool {
        self.0.forgotten.load(Ordering::Acquire)
    }

    /// It may get something new.
    pub fn takes_work(&self) -> bool {
        !self.0.out.load(Ordering::Acquire) && !self.is_forgotten()
    }
}

#[derive(Default)]
struct Progress {
    /// The connection that the work goes out on, while it does.
    socket: Option<Arc<TcpStream>>,
    begun: bool,
    stopped: bool,
    withdrawn: bool,
    /// Counts the work once it has been written whole.
    sends: Option<IntCounter>,
}

#[derive(Default)]
struct Shared {
    service: Service,
    /// Past this moment it must not begin.
    latest: Option<Instant>,
    progress: Mutex<Progress>,
}

/// Ends a piece of work from another thread: before its first byte it is never sent, after that its connection is
/// closed.
#[derive(Clone, Default)]
pub struct Stop(Arc<Shared>);

impl Stop {
    /// For work at an instance while that is in service.
    pub fn new(service: Service) -> Stop {
        Stop(Arc::new(Shared { service, ..Shared::default() }))
    }

    /// The same, for work whose first byte must not go out past `latest`, and which counts once its last byte is written.
    pub fn attempt(service: Service, latest: Instant, sends: Option<IntCounter>) -> Stop {
        let progress = Mutex::new(Progress { sends, ..Progress::default() });
        Stop(Arc::new(Shared { service, latest: Some(latest), progress }))
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.0.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn allowed(&self, progress: &Progress) -> bool {
        let in_time = self.0.latest.is_none_or(|latest| Instant::now() <= latest);
        !progress.stopped && !progress.withdrawn && in_time && self.0.service.takes_work()
    }

    /// Whether the work could begin now: a connection for what could not is not worth its dial.
    pub fn may_begin(&self) -> bool {
        self.allowed(&self.progress())
    }

    /// Asked right before the first byte is written, each time that the work is written: whether it may begin.
    pub fn begin(&self) -> bool {
        let mut progress = self.progress();
        let may = self.allowed(&progress);
        progress.begun |= may;
        may
    }

    /// Said by the link when the last byte of the work has been written.
    pub fn written(&self) {
        if let Some(sends) = self.progress().sends.take() {
            sends.inc();
        }
    }

    /// Takes charge of the connection that the work goes out on.
    pub fn hold(&self, socket: Arc<TcpStream>) {
        self.progress().socket = Some(socket);
    }

    /// The work is through with its connection, which may carry other work from now on and is nothing to shut. Work that
    /// broke before its last byte has not begun: what was said meanwhile binds if it is to go out once more.
    pub fn release(&self) {
        let mut progress = self.progress();
        (progress.socket, progress.begun) = (None, false);
    }

    /// Stops the work, whether it has begun or not.
    pub fn stop(&self) {
        let mut progress = self.progress();
        progress.stopped = true;
        if let Some(s) = progress.socket.take().filter(|_| progress.begun) {
            // Errors mean that it is closed already, which is what is wanted.
            _ = s.shutdown(Shutdown::Both);
        }
    }

    /// The work does not begin any more; what has begun goes on to its end.
    pub fn withdraw(&self) {
        self.progress().withdrawn = true;
    }
}
