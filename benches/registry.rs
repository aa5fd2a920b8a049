//! Benchmarks of the registry client, run on the real program: `cargo bench --bench registry -- PART`, where
//! PART is `drain` or `size`; without an argument, both run. All variants that are compared with each other
//! run in one invocation.
#[path = "../tests/common/mod.rs"]
mod common;
mod support;

use common::TIMEOUT;
use common::environment::TestFolder;
use common::program::Program;
use hdrhistogram::Histogram;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use support::{Part, process_status, run_parts};
use test_servers::registry::Registry;
use test_servers::replication_group::ReplicationGroup;

const PREFIX: &str = "/damsonvale/shop/";
/// Interval between a primary's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(5);

/// Number of drains that are measured for each variant.
const DRAINS: usize = 60;
/// Number of clients that read continuously while nodes drain.
const READERS: usize = 8;
/// Number of reads that a node must have served before it is drained.
const READS_BEFORE_DRAIN: usize = 20;
/// Time that the registry is down before a drain whose watch is broken.
const REGISTRY_OUTAGE: Duration = Duration::from_millis(30);
/// Time to wait after a drain until the node certainly receives no more requests.
const DRAIN_SETTLE_TIME: Duration = Duration::from_millis(400);

/// Number of changes made to a list, one per millisecond.
const CHANGES: usize = 5000;
/// Distance between the indices of nodes changed one after the other; prime, so that every node is changed.
const CHANGE_STEP: usize = 7919;
/// Length of a clock tick of the operating system, in microseconds.
const CLOCK_TICK_MICROSECONDS: f64 = 10_000.0;

fn write_settings(folder: &TestFolder, registry: &Registry, kind: &str) -> String {
    let endpoints: Vec<String> = registry.addresses().iter().map(|address| format!("'{address}'")).collect();
    let text = format!(
        "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
         [[mysql.user]]\nname = 'till'\npassword = 'secret'\n\
         [[mysql.class]]\nname = 'any'\nfreshness = 'any'\neffect = 'safe'\naim_ms = 2000\ndeadline_ms = 4000\n\
         [registry]\nkind = '{kind}'\nprefix = '{PREFIX}'\nendpoints = [{}]\n",
        endpoints.join(", ")
    );
    folder.write("router.toml", &text).to_str().expect("the path is UTF-8").to_string()
}

fn start_router(folder: &TestFolder, registry: &Registry, kind: &str) -> (Program, SocketAddr) {
    let mut router = Program::start(&["serve", &write_settings(folder, registry, kind)], &[]);
    let address = router.listening_address();
    (router, address)
}

fn node_key(name: &str) -> String {
    format!("{PREFIX}nodes/{name}")
}

fn node_value(address: SocketAddr, group: usize, state: &str, weight: f64) -> String {
    format!("{{\"addr\":\"{address}\",\"group\":{group},\"state\":\"{state}\",\"weight\":{weight}}}")
}

fn connect(router: SocketAddr) -> mysql::Result<Conn> {
    let options = OptsBuilder::new()
        .ip_or_hostname(Some("127.0.0.1"))
        .tcp_port(router.port())
        .prefer_socket(false)
        .user(Some("till"))
        .pass(Some("secret"))
        .db_name(Some("shop"));
    Conn::new(options)
}

/// Sends a read, and returns whether a node responded.
fn read(client: &mut Conn) -> bool {
    let row = client.query_first::<(String, String), _>("SELECT n FROM basket WHERE k = 'x' /* c=any */");
    row.is_ok_and(|row| row.is_some())
}

/// State of the router's registry watch when a node is drained.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WatchState {
    Connected,
    Broken,
}

impl WatchState {
    fn label(self) -> &'static str {
        match self {
            WatchState::Connected => "watch connected",
            WatchState::Broken => "watch broken",
        }
    }
}

/// A registry with three nodes, one of which is drained repeatedly.
struct DrainBench {
    registry: Registry,
    nodes: ReplicationGroup,
}

impl DrainBench {
    /// Index of the node that is drained.
    const DRAINED_NODE: usize = 1;

    fn start() -> DrainBench {
        let registry = Registry::start(1, None);
        let nodes = ReplicationGroup::start(&[Duration::ZERO; 2], HEARTBEAT_INTERVAL);
        let bench = DrainBench { registry, nodes };
        (0..3).for_each(|node| bench.register(node, "in_service"));
        bench
    }

    fn register(&self, node: usize, state: &str) {
        let (name, address) = self.nodes.servers()[node].clone();
        self.registry.put(&node_key(&name), &node_value(address, 0, state, 1.0));
    }

    fn wait_until_served(&self) {
        let (begin, before) = (Instant::now(), self.nodes.counts(Self::DRAINED_NODE).reads);
        while self.nodes.counts(Self::DRAINED_NODE).reads < before + READS_BEFORE_DRAIN {
            assert!(begin.elapsed() < TIMEOUT);
        }
    }

    fn break_watch(&self) {
        self.registry.update_faults(0, |faults| faults.down = true);
        self.registry.break_connections(0);
        std::thread::sleep(REGISTRY_OUTAGE);
    }

    /// Ends the registry's outage and waits for the router's next request to it, from which on the router can
    /// learn of the drain.
    fn restore_watch(&self) {
        self.registry.compact();
        let requests = || self.registry.watch_count(0) + self.registry.read_count();
        let before = requests();
        self.registry.update_faults(0, |faults| faults.down = false);
        let begin = Instant::now();
        while requests() == before {
            assert!(begin.elapsed() < TIMEOUT);
        }
    }

    /// Drains the node, and returns the time until the last read that it received.
    fn drain(&self, watch: WatchState) -> Duration {
        self.register(Self::DRAINED_NODE, "in_service");
        self.wait_until_served();
        if watch == WatchState::Broken {
            self.break_watch();
        }
        self.register(Self::DRAINED_NODE, "draining");
        if watch == WatchState::Broken {
            self.restore_watch();
        }
        let drained_at = Instant::now();
        std::thread::sleep(DRAIN_SETTLE_TIME);
        let last_read = self.nodes.last_read(Self::DRAINED_NODE);
        last_read.map_or(Duration::ZERO, |at| at.saturating_duration_since(drained_at))
    }
}

fn start_readers(router: SocketAddr, done: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let start_reader = |_| {
        let done = done.clone();
        std::thread::spawn(move || {
            let mut client = connect(router).expect("the router accepts clients");
            while !done.load(Ordering::Relaxed) {
                _ = read(&mut client);
            }
        })
    };
    (0..READERS).map(start_reader).collect()
}

/// Measures the time from the write to the registry until the last request that a drained node receives.
fn measure_drain() {
    println!(
        "drain: milliseconds from the registry write to the node's last request, limit 250, {DRAINS} rounds"
    );
    println!("{:<34}{:>8}{:>8}{:>8}{:>8}", "", "p50", "p90", "p99", "max");
    for kind in ["etcd", "consul"] {
        let bench = DrainBench::start();
        let folder = TestFolder::new();
        let (_router, address) = start_router(&folder, &bench.registry, kind);
        let done = Arc::new(AtomicBool::new(false));
        let readers = start_readers(address, &done);
        for watch in [WatchState::Connected, WatchState::Broken] {
            let mut histogram: Histogram<u64> =
                Histogram::new(3).expect("histograms support 3 significant digits");
            for _ in 0..DRAINS {
                histogram.record(bench.drain(watch).as_micros() as u64).expect("the histogram resizes");
            }
            print_latencies(&format!("{kind}, {}", watch.label()), &histogram);
        }
        done.store(true, Ordering::Relaxed);
        readers.into_iter().for_each(|reader| _ = reader.join());
    }
}

fn print_latencies(name: &str, microseconds: &Histogram<u64>) {
    let milliseconds = |quantile| microseconds.value_at_quantile(quantile) as f64 / 1000.0;
    let [p50, p90, p99, max] = [0.5, 0.9, 0.99, 1.0].map(milliseconds);
    println!("{name:<34}{p50:>8.2}{p90:>8.2}{p99:>8.2}{max:>8.2}");
}

/// Returns the CPU time of a process, in clock ticks.
fn cpu_ticks(process: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The program's name, in parentheses, may contain spaces.
    let fields = stat.rsplit(')').next().unwrap_or("");
    fields.split_whitespace().skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum()
}

/// A registry with a long list: three nodes with running servers, and stub nodes, whose addresses nothing
/// listens on.
struct LongList {
    registry: Registry,
    /// Running servers of the first three nodes.
    _running: ReplicationGroup,
    nodes: usize,
}

impl LongList {
    fn start(nodes: usize) -> LongList {
        let registry = Registry::start(1, None);
        let running = ReplicationGroup::start(&[Duration::ZERO; 2], HEARTBEAT_INTERVAL);
        registry.apply_together(|content| {
            for (name, address) in running.servers() {
                content.put(&node_key(&name), node_value(address, 0, "in_service", 1.0).into_bytes(), None);
            }
            for node in 3..nodes {
                content.put(&stub_key(node), stub_value(node, "in_service", 1.0).into_bytes(), None);
            }
        });
        LongList { registry, _running: running, nodes }
    }

    /// Changes the weights of nodes, one node per millisecond.
    fn change_weights(&self) {
        let begin = Instant::now();
        for change in 0..CHANGES {
            let node = 3 + change * CHANGE_STEP % (self.nodes - 3);
            let weight = 1.0 + change as f64 / 1000.0;
            self.registry.put(&stub_key(node), &stub_value(node, "in_service", weight));
            let due = begin + Duration::from_millis(change as u64 + 1);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }
}

fn stub_key(node: usize) -> String {
    node_key(&format!("extra-{node:05}"))
}

/// Returns the value of a stub node: one without a server, in a group that no client sends requests to.
fn stub_value(node: usize, state: &str, weight: f64) -> String {
    let address = ([127, 1, (node / 250) as u8, (node % 250) as u8 + 1], 3306).into();
    node_value(address, 1 + node / 3, state, weight)
}

/// Measures the cost of a long list: the time to the first response, memory, threads, and the CPU time per
/// change.
fn measure_size() {
    println!(
        "size: cost of a list by number of nodes, in groups of three, {CHANGES} changes at 1,000 per second"
    );
    println!(
        "{:<10}{:>14}{:>10}{:>10}{:>16}{:>14}",
        "nodes", "response ms", "RSS MB", "threads", "us per change", "lag ms"
    );
    for nodes in [100, 1000, 10_000] {
        measure_list(nodes);
    }
}

fn measure_list(nodes: usize) {
    let list = LongList::start(nodes);
    let folder = TestFolder::new();
    let begin = Instant::now();
    let (mut router, address) = start_router(&folder, &list.registry, "etcd");
    let mut client = connect(address).expect("the router accepts clients");
    while !read(&mut client) {
        assert!(begin.elapsed() < TIMEOUT);
    }
    let first_response = begin.elapsed().as_millis();
    router.wait_for_log(&format!("endpoints={nodes} "));
    let process = router.child.id();
    let ticks_before = cpu_ticks(process);
    list.change_weights();
    // The last change is a drain; the router's log line on it shows that all earlier changes have been
    // applied.
    let written_at = Instant::now();
    list.registry.put(&stub_key(3), &stub_value(3, "draining", 1.0));
    router.wait_for_log(&format!("endpoints={nodes} ready={} ", nodes - 1));
    let lag_ms = written_at.elapsed().as_secs_f64() * 1000.0;
    let change_us = (cpu_ticks(process) - ticks_before) as f64 * CLOCK_TICK_MICROSECONDS / CHANGES as f64;
    let resident_mb = process_status(process, "VmRSS:") as f64 / 1024.0;
    let threads = process_status(process, "Threads:");
    println!(
        "{nodes:<10}{first_response:>14}{resident_mb:>10.1}{threads:>10}{change_us:>16.0}{lag_ms:>14.1}"
    );
}

fn main() {
    run_parts(&[Part { name: "drain", run: measure_drain }, Part { name: "size", run: measure_size }]);
}
