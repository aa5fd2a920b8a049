//! Shared fixtures for tests of the whole core: scripted endpoints whose protocol blocks where the test
//! requires it.
use routing::spawn;
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use testkit::routing::TIMEOUT;

const ACCEPTOR_STACK_BYTES: usize = 64 * 1024;

/// State of all scripted endpoints, which the test and the protocol change.
#[derive(Default)]
pub(crate) struct Script<E> {
    endpoints: Mutex<BTreeMap<SocketAddr, E>>,
    changed: Condvar,
}

impl<E: Default> Script<E> {
    /// Reads or changes the state of an endpoint.
    pub(crate) fn with<T>(&self, addr: SocketAddr, change: impl FnOnce(&mut E) -> T) -> T {
        let result = change(self.endpoints.lock().unwrap().entry(addr).or_default());
        self.changed.notify_all();
        result
    }

    /// Waits until the condition holds for an endpoint.
    pub(crate) fn wait_until(&self, addr: SocketAddr, holds: impl Fn(&E) -> bool) {
        let endpoints = self.endpoints.lock().unwrap();
        let holds = |all: &mut BTreeMap<SocketAddr, E>| holds(all.entry(addr).or_default());
        let waited = self.changed.wait_timeout_while(endpoints, TIMEOUT, |all| !holds(all)).unwrap();
        assert!(!waited.1.timed_out(), "timed out waiting for a condition of {addr}");
    }
}

/// Returns limits whose timeouts are not reached in tests.
pub(crate) fn limits() -> Limits {
    Limits::new(
        ProcessResources { descriptors: 4096, memory_bytes: 64 << 20 },
        RequestTimes { connect_timeout: TIMEOUT, backend_keepalive: TIMEOUT, longest_deadline: TIMEOUT },
    )
}

/// Returns a listener that accepts connections and leaves them open. This provides the socket that a server
/// connection requires; written data is not read.
pub(crate) fn accepting_listener() -> Arc<TcpListener> {
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").unwrap());
    let accepting = listener.clone();
    spawn("accepts", ACCEPTOR_STACK_BYTES, move || {
        let mut open = Vec::new();
        while let Ok((socket, _)) = accepting.accept() {
            open.push(socket);
        }
    })
    .unwrap();
    listener
}
