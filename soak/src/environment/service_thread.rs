//! Threads that run until their handle is dropped.
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// A flag that asks threads to stop. Clones share the flag.
#[derive(Clone, Default)]
pub(crate) struct StopSignal(Arc<AtomicBool>);

impl StopSignal {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A thread that is stopped and joined when this value is dropped.
pub(super) struct ServiceThread {
    stop: StopSignal,
    thread: Option<JoinHandle<()>>,
}

impl ServiceThread {
    /// Starts a thread. `run` has to return soon after the stop signal is set.
    pub(super) fn spawn(
        name: &str,
        run: impl FnOnce(&StopSignal) + Send + 'static,
    ) -> io::Result<ServiceThread> {
        let stop = StopSignal::default();
        let thread_stop = stop.clone();
        let builder = std::thread::Builder::new().name(name.into());
        let thread = builder.spawn(move || run(&thread_stop))?;
        Ok(ServiceThread { stop, thread: Some(thread) })
    }
}

impl Drop for ServiceThread {
    fn drop(&mut self) {
        self.stop.set();
        if let Some(thread) = self.thread.take() {
            // A panic has already been printed by the thread.
            _ = thread.join();
        }
    }
}
