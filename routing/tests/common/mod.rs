//! What the tests of the whole core share: scripted endpoints behind a protocol that waits where the test wants it.
use routing::spawn;
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use testkit::routing::TIMEOUT;

const ACCEPTOR_STACK_BYTES: usize = 64 * 1024;

/// The state of all scripted endpoints, changed by the test and by the protocol.
#[derive(Default)]
pub(crate) struct Script<E> {
    endpoints: Mutex<BTreeMap<SocketAddr, E>>,
    changed: Condvar,
}

impl<E: Default> Script<E> {
    /// Reads or changes an endpoint's state.
    pub(crate) fn with<T>(&self, addr: SocketAddr, change: impl FnOnce(&mut E) -> T) -> T {
        let result = change(self.endpoints.lock().unwrap().entry(addr).or_default());
        self.changed.notify_all();
        result
    }

    /// Waits until this holds of an endpoint.
    pub(crate) fn wait_until(&self, addr: SocketAddr, holds: impl Fn(&E) -> bool) {
        let endpoints = self.endpoints.lock().unwrap();
        let holds = |all: &mut BTreeMap<SocketAddr, E>| holds(all.entry(addr).or_default());
        let waited = self.changed.wait_timeout_while(endpoints, TIMEOUT, |all| !holds(all)).unwrap();
        assert!(!waited.1.timed_out(), "{addr} was waited for in vain");
    }
}

/// Limits with time for everything.
pub(crate) fn limits() -> Limits {
    Limits::new(
        ProcessResources { descriptors: 4096, memory_bytes: 64 << 20 },
        RequestTimes { connect_timeout: TIMEOUT, backend_keepalive: TIMEOUT, longest_deadline: TIMEOUT },
    )
}

/// A listener whose connections stay open. Connections need a socket; what is sent over it is not read.
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
