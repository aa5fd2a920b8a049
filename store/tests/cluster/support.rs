//! A cluster of nodes, and helpers for its tests.
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use store::change_log::RetentionLimits;
use store::client::{Client, Settings, UpdateOptions, Watch, WatchEvent};
use store::server::Limits;
use store::wire::WatchPosition;
use store::{Store, Value};
use test_servers::proxy::Proxy;

/// Timeout that is only reached if a test fails.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) struct Cluster {
    pub(crate) nodes: Vec<Store>,
    /// The address where each node listens for clients.
    pub(crate) clients: Vec<SocketAddr>,
    /// The proxy for messages from one node to another, keyed by their ids.
    links: BTreeMap<(u64, u64), Proxy>,
}

/// Free addresses. Each call uses another loopback IP address, so that no other test takes a port before the
/// nodes bind it.
fn free_addrs(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (process, call) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let ip = [127, 1 + (process / 250 % 250) as u8, (process % 250) as u8, call];
    let bind = |_| TcpListener::bind(SocketAddr::from((ip, 0))).unwrap();
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap()).collect()
}

impl Cluster {
    pub(crate) fn new(count: u64, retention: RetentionLimits) -> Cluster {
        let addrs: BTreeMap<u64, SocketAddr> = (1..=count).zip(free_addrs(count as usize)).collect();
        let mut cluster = Cluster { nodes: vec![], clients: vec![], links: BTreeMap::new() };
        for node in 1..=count {
            let mut peers = addrs.clone();
            for (other, addr) in peers.iter_mut().filter(|(other, _)| **other != node) {
                let link = Proxy::start(*addr);
                *addr = link.addr;
                cluster.links.insert((node, *other), link);
            }
            let settings = store::Settings { node, peers, retention, ..store::Settings::default() };
            let store = store::start(settings, |_| ()).unwrap();
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            cluster.clients.push(listener.local_addr().unwrap());
            let limits = Limits { message_timeout: Duration::from_millis(300), ..Limits::default() };
            store::server::listen(listener, store.clone(), limits).unwrap();
            cluster.nodes.push(store);
        }
        cluster
    }

    /// A client that tries the node at index `first` first and then the store's other nodes.
    pub(crate) fn client(&self, first: usize) -> Client {
        let count = self.clients.len();
        let nodes = (0..count).map(|i| self.clients[(first + i) % count]).collect();
        Client::new(Settings { call_timeout: TEST_TIMEOUT, ..Settings::new(nodes, first as u64) })
    }

    /// A client that only tries this node, with a short timeout.
    pub(crate) fn short_timeout_client(&self, node: usize) -> Client {
        let call_timeout = Duration::from_millis(100);
        Client::new(Settings { call_timeout, ..Settings::new(vec![self.clients[node]], 1) })
    }

    /// Waits until some node believes that it is the leader, and returns its index.
    pub(crate) fn leader(&self) -> usize {
        let started = Instant::now();
        loop {
            for (i, store) in self.nodes.iter().enumerate() {
                if store.known_leader().leader == Some(i as u64 + 1) {
                    return i;
                }
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "no leader was elected");
            std::thread::yield_now();
        }
    }

    pub(crate) fn others(&self, node: usize) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(move |i| *i != node)
    }

    /// Cuts the connections between a node and all others, in both directions.
    pub(crate) fn partition(&self, node: usize) {
        self.links_of(node).for_each(Proxy::cut);
    }

    pub(crate) fn heal(&self, node: usize) {
        self.links_of(node).for_each(Proxy::heal);
    }

    fn links_of(&self, node: usize) -> impl Iterator<Item = &Proxy> {
        let id = node as u64 + 1;
        let is_end = move |((from, to), _): &(&(u64, u64), &Proxy)| *from == id || *to == id;
        self.links.iter().filter(is_end).map(|(_, link)| link)
    }
}

/// Options for an update of a key that must have this version.
pub(crate) fn at_version(version: u64) -> UpdateOptions {
    UpdateOptions { expected_version: Some(version), ..UpdateOptions::default() }
}

pub(crate) fn unconditional() -> UpdateOptions {
    UpdateOptions::default()
}

fn next_event(watch: &Watch) -> WatchEvent {
    watch.events.recv_timeout(TEST_TIMEOUT).expect("expected an event of the watch")
}

/// Waits for the next change and returns its revision, and the keys with their texts.
pub(crate) fn next_changes(watch: &Watch) -> (u64, Vec<(String, Option<String>)>) {
    match next_event(watch) {
        WatchEvent::Changes(set) => {
            let changes = set.changes.into_iter().map(|change| (change.key, change.value.map(|v| v.text)));
            (set.revision, changes.collect())
        }
        other => panic!("{other:?}"),
    }
}

pub(crate) struct KeySnapshot {
    pub(crate) position: WatchPosition,
    pub(crate) compacted: bool,
    pub(crate) entries: Vec<(String, Value)>,
}

pub(crate) fn next_snapshot(watch: &Watch) -> KeySnapshot {
    match next_event(watch) {
        WatchEvent::Snapshot { position, compacted, entries } => KeySnapshot { position, compacted, entries },
        other => panic!("{other:?}"),
    }
}
