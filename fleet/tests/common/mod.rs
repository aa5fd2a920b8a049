//! Store nodes that run in the test process, each with the fleet service.
use fleet::service::{self, Limits};
use routing::Clock;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use store::Store;

/// Timeout that is only reached if a test fails.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A store node and the addresses that it listens on.
pub(crate) struct Node {
    pub(crate) store: Store,
    /// The address for store clients.
    pub(crate) client_addr: SocketAddr,
    /// The address for routers.
    pub(crate) fleet_addr: SocketAddr,
}

/// Starts the node with id `node` of a store. `peers` contains the addresses for raft messages of all nodes.
pub(crate) fn start_node(
    node: u64,
    peers: BTreeMap<u64, SocketAddr>,
    audit: Option<audit::Settings>,
    limits: Limits,
) -> Node {
    let settings = store::Settings { node, peers, ..store::Settings::default() };
    let store = store::start(settings, |_| ()).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client_addr = listener.local_addr().unwrap();
    store::server::listen(listener, store.clone(), Default::default()).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let fleet_addr = listener.local_addr().unwrap();
    service::start(listener, store.clone(), Clock::new(), Default::default(), audit, limits).unwrap();
    Node { store, client_addr, fleet_addr }
}

/// Free addresses. Each call uses another loopback IP address, so that no other test takes a port before the
/// nodes bind it.
pub(crate) fn reserve_addrs(count: usize) -> Vec<SocketAddr> {
    static NEXT_CALL: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let call = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
    let ip = [127, 1 + (process / 250 % 250) as u8, (process % 250) as u8, call];
    let listeners: Vec<_> =
        (0..count).map(|_| TcpListener::bind(SocketAddr::from((ip, 0))).unwrap()).collect();
    listeners.iter().map(|l| l.local_addr().unwrap()).collect()
}
