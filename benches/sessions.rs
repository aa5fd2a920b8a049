//! Benchmarks of sessions, run on the real program: `cargo bench --bench sessions -- PART`, where PART is
//! `loop`, `offload`, `cost` or `start`; without an argument, all run. All variants that are compared with
//! each other run in one invocation.
#[path = "../tests/common/mod.rs"]
mod common;
mod support;

use common::TIMEOUT;
use common::instances::{Instances, Persistence, connect, read, write};
use common::restart_loop::{SessionPath, restart_loop};
use hdrhistogram::Histogram;
use mysql::prelude::Queryable;
use sessions::SessionKey;
use sessions::journal::{self, Checkpoint};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use support::{Part, process_status, run_parts};
use test_servers::replication_group::ReplicationGroup;

/// Interval between a primary's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(5);
/// Number of sessions that write and read while instances are killed.
const LOOP_SESSIONS: usize = 9;

/// Number of connections that read in the `offload` benchmark.
const READERS: u64 = 4;
/// Number of sessions that take turns on each connection; so many that few of them have just written.
const SESSIONS_PER_READER: u64 = 200;
/// One in this many requests is a write; all others are reads.
const REQUESTS_PER_WRITE: u64 = 21;
/// Time during which reads are counted.
const OFFLOAD_WINDOW: Duration = Duration::from_secs(2);
/// Additional time, after the replicas' lag, until the replicas have passed the floor position of the first
/// start.
const FLOOR_MARGIN_MS: u64 = 500;

/// Number of rounds of the `cost` benchmark; all variants run in each round.
const COST_ROUNDS: usize = 5;
const COST_CLIENTS: u64 = 8;
const COST_WRITES: u64 = 200;
/// Pause before each write, in which connections become idle. Without it, their idle time after a response
/// would mask the latency that is measured.
const COST_PAUSE: Duration = Duration::from_millis(12);

/// Starts a primary and replicas with the given replication lags.
fn start_nodes(lags_ms: &[u64]) -> ReplicationGroup {
    let lags: Vec<Duration> = lags_ms.iter().map(|lag| Duration::from_millis(*lag)).collect();
    ReplicationGroup::start(&lags, HEARTBEAT_INTERVAL)
}

/// A variant of the `loop` benchmark, which kills instances.
struct KillVariant {
    name: &'static str,
    persistence: Persistence,
    /// How the instance for each request of a session is chosen.
    path: SessionPath,
    kills: u64,
}

/// Kills instances while sessions write and read, with different parts of the session state stored.
fn measure_kills() {
    println!("loop: SIGKILLs while {LOOP_SESSIONS} sessions write and read, replicas lag by 1 s and 2 s");
    println!("{:<28}{:>7}{:>9}{:>9}{:>9}{:>14}", "kept", "kills", "writes", "reads", "missed", "by replicas");
    let variants = [
        KillVariant {
            name: "disk, peers, all instances",
            persistence: Persistence::DiskAndPeers,
            path: SessionPath::Wandering,
            kills: 300,
        },
        KillVariant {
            name: "peers only, all instances",
            persistence: Persistence::Peers,
            path: SessionPath::Wandering,
            kills: 60,
        },
        KillVariant {
            name: "floor only, one instance",
            persistence: Persistence::FloorOnly,
            path: SessionPath::Staying,
            kills: 60,
        },
        KillVariant {
            name: "nothing, one instance",
            persistence: Persistence::None,
            path: SessionPath::Staying,
            kills: 60,
        },
    ];
    for KillVariant { name, persistence, path, kills } in variants {
        let mut instances = Instances::started(3, start_nodes(&[1000, 2000]), persistence);
        let counts = restart_loop(&mut instances, kills, LOOP_SESSIONS, path);
        println!(
            "{name:<28}{:>7}{:>9}{:>9}{:>9}{:>14}",
            counts.kills, counts.writes, counts.reads, counts.missed_writes, counts.replica_reads
        );
    }
}

/// Number of reads of sessions, and how many of them replicas served.
#[derive(Clone, Copy, Default)]
struct ReadCounts {
    reads: u64,
    replica_reads: u64,
}

impl ReadCounts {
    fn add(self, other: ReadCounts) -> ReadCounts {
        ReadCounts {
            reads: self.reads + other.reads,
            replica_reads: self.replica_reads + other.replica_reads,
        }
    }

    fn replica_percent(self) -> f64 {
        100.0 * self.replica_reads as f64 / self.reads.max(1) as f64
    }
}

/// Sends reads, and writes at intervals, on one connection until `done` is set.
fn read_sessions(router: SocketAddr, class: &str, reader: u64, done: &AtomicBool) -> ReadCounts {
    let mut counts = ReadCounts::default();
    let Ok(mut client) = connect(router) else { return counts };
    let mut request = 0u64;
    while !done.load(Ordering::Relaxed) {
        request += 1;
        let key = format!("member-{}", reader * SESSIONS_PER_READER + request % SESSIONS_PER_READER);
        if request.is_multiple_of(REQUESTS_PER_WRITE) {
            _ = write(&mut client, &key, request);
            continue;
        }
        let sql = format!("SELECT n FROM basket WHERE k = '{key}' /* c={class},s={key} */");
        if let Ok(Some((_, server))) = client.query_first::<(String, String), _>(sql) {
            counts.reads += 1;
            counts.replica_reads += u64::from(server != "primary");
        }
    }
    counts
}

/// Counts the reads of a class's sessions during the measurement window.
fn count_reads(router: SocketAddr, class: &'static str) -> ReadCounts {
    let done = Arc::new(AtomicBool::new(false));
    let start_reader = |reader| {
        let done = done.clone();
        std::thread::spawn(move || read_sessions(router, class, reader, &done))
    };
    let readers: Vec<JoinHandle<ReadCounts>> = (0..READERS).map(start_reader).collect();
    std::thread::sleep(OFFLOAD_WINDOW);
    done.store(true, Ordering::Relaxed);
    let counts = readers.into_iter().filter_map(|reader| reader.join().ok());
    counts.fold(ReadCounts::default(), ReadCounts::add)
}

/// A variant of the `offload` benchmark.
struct OffloadVariant {
    name: &'static str,
    persistence: Persistence,
    /// Request class of the reads after the restart.
    class: &'static str,
}

/// Measures the share of session reads that replicas serve right after a restart, and in the steady state.
fn measure_offload() {
    println!("offload: share of session reads that replicas serve in 2 s (20 reads for each write)");
    println!("{:<44}{:>14}{:>14}{:>12}", "policy", "after restart", "steady", "reads/s");
    for (lags, text) in [([20, 50], "lag 20 and 50 ms"), ([1000, 3000], "lag 1 and 3 s")] {
        let variants = [
            OffloadVariant {
                name: "all reads to the primary",
                persistence: Persistence::FloorOnly,
                class: "basket-fresh",
            },
            OffloadVariant { name: "floor only", persistence: Persistence::FloorOnly, class: "basket-read" },
            OffloadVariant { name: "journal only", persistence: Persistence::Disk, class: "basket-read" },
            OffloadVariant {
                name: "journal and two peers",
                persistence: Persistence::DiskAndPeers,
                class: "basket-read",
            },
        ];
        for variant in variants {
            measure_offload_variant(&variant, lags, text);
        }
    }
}

fn measure_offload_variant(variant: &OffloadVariant, lags_ms: [u64; 2], lag_text: &str) {
    let count = if variant.persistence == Persistence::DiskAndPeers { 3 } else { 1 };
    let mut instances = Instances::new(count, start_nodes(&lags_ms), variant.persistence);
    for keys in &mut instances.extra_keys {
        keys.mysql = "[[mysql.class]]\nname = 'basket-fresh'\nfreshness = 'fresh'\neffect = 'safe'\n\
                  aim_ms = 2000\ndeadline_ms = 4000\n"
            .into();
    }
    (0..count).for_each(|instance| instances.start(instance));
    (0..count).for_each(|instance| instances.wait_for_peers(instance));
    // The replicas must have passed the floor position of the very first start.
    std::thread::sleep(Duration::from_millis(lags_ms[1] + FLOOR_MARGIN_MS));
    // The steady state is measured with the same class in all variants.
    let steady = count_reads(instances.address(0), "basket-read");
    instances.kill(0);
    instances.start(0);
    let restarted = count_reads(instances.address(0), variant.class);
    println!(
        "{:<44}{:>13.1}%{:>13.1}%{:>12}",
        format!("{}, {lag_text}", variant.name),
        restarted.replica_percent(),
        steady.replica_percent(),
        steady.reads / OFFLOAD_WINDOW.as_secs()
    );
}

/// A variant of the `cost` benchmark, with the latencies of its writes in microseconds.
struct CostVariant {
    name: &'static str,
    instances: Instances,
    latencies: Histogram<u64>,
}

impl CostVariant {
    fn start(name: &'static str, persistence: Persistence, count: usize) -> CostVariant {
        let instances = Instances::started(count, start_nodes(&[20]), persistence);
        CostVariant {
            name,
            instances,
            latencies: Histogram::new(3).expect("histograms support 3 significant digits"),
        }
    }

    fn run_round(&mut self) {
        let router = self.instances.address(0);
        let start_client = |client| std::thread::spawn(move || time_writes(router, client));
        let clients: Vec<_> = (0..COST_CLIENTS).map(start_client).collect();
        for client in clients {
            for microseconds in client.join().expect("the client has not panicked") {
                self.latencies.record(microseconds).expect("the histogram resizes");
            }
        }
    }
}

/// Sends writes with a pause before each, and returns their latencies in microseconds.
fn time_writes(router: SocketAddr, client: u64) -> Vec<u64> {
    let mut connection = connect(router).expect("the router accepts clients");
    let time_write = |number| {
        std::thread::sleep(COST_PAUSE);
        let begin = Instant::now();
        write(&mut connection, &format!("member-{client}"), number).expect("the write succeeds");
        begin.elapsed().as_micros() as u64
    };
    (0..COST_WRITES).map(time_write).collect()
}

/// Measures the latency of a write with a journal, with peers and with both.
fn measure_cost() {
    println!(
        "cost: microseconds per write, {COST_CLIENTS} clients with 12 ms between writes, variants in turns"
    );
    let mut variants = [
        CostVariant::start("nothing stored", Persistence::None, 1),
        CostVariant::start("peers", Persistence::Peers, 3),
        CostVariant::start("journal", Persistence::Disk, 1),
        CostVariant::start("journal and peers", Persistence::DiskAndPeers, 3),
    ];
    for _ in 0..COST_ROUNDS {
        variants.iter_mut().for_each(CostVariant::run_round);
    }
    println!("{:<22}{:>9}{:>9}{:>9}{:>9}", "kept", "p50", "p99", "max", "p50 x");
    let baseline = variants[0].latencies.value_at_quantile(0.5) as f64;
    for CostVariant { name, latencies, .. } in &variants {
        let (p50, p99) = (latencies.value_at_quantile(0.5), latencies.value_at_quantile(0.99));
        println!("{name:<22}{p50:>9}{p99:>9}{:>9}{:>9.2}", latencies.max(), p50 as f64 / baseline);
    }
    let journal = variants[2].instances.status(0);
    println!("journal: {} commits in {} syncs", journal["commits"], journal["syncs"]);
}

/// Measures the time to start with many sessions stored, and the time until a peer has received them.
fn measure_start() {
    println!("start: time until the router listens, and resident memory");
    println!("{:<16}{:>12}{:>12}{:>16}{:>14}", "sessions", "start ms", "RSS MB", "bytes/session", "peer ms");
    let mut baseline_kb = 0;
    for sessions in [0, 10_000, 100_000, 1_000_000] {
        let mut instances = Instances::new(2, start_nodes(&[20]), Persistence::DiskAndPeers);
        write_journal(&instances, sessions);
        let begin = Instant::now();
        instances.start(0);
        let start_ms = begin.elapsed().as_millis();
        instances.wait_for_peers(0);
        let resident_kb = process_status(instances.program(0).child.id(), "VmRSS:");
        let begin = Instant::now();
        instances.start(1);
        instances.wait_for_status(1, |status| {
            status["sessions"].as_u64() >= Some(sessions) && status["relies_on_all"] == true
        });
        let peer_ms = begin.elapsed().as_millis();
        if sessions == 0 {
            baseline_kb = resident_kb;
        }
        let session_bytes =
            (resident_kb.saturating_sub(baseline_kb) * 1024).checked_div(sessions).unwrap_or(0);
        let resident_mb = resident_kb as f64 / 1024.0;
        println!("{sessions:<16}{start_ms:>12}{resident_mb:>12.1}{session_bytes:>16}{peer_ms:>14}");
        assert!(begin.elapsed() < TIMEOUT);
        _ = read(&mut instances.client(0), "member-0");
    }
}

/// Writes a journal with this number of sessions for the first instance.
fn write_journal(instances: &Instances, sessions: u64) {
    let entry = |id: u64| (SessionKey(id.wrapping_mul(0x9e37_79b9_7f4a_7c15)), decision::Time(id as i64 + 1));
    let entries: Vec<(SessionKey, decision::Time)> = (0..sessions).map(entry).collect();
    let checkpoint =
        Checkpoint { instance: 1, incarnation: 1, entries: &entries, floor: None, incomplete: false };
    let opened = journal::open(&instances.journal_folder(0), 1).expect("the journal folder is writable");
    drop(opened.create_journal(&checkpoint).expect("the journal folder is writable"));
}

fn main() {
    run_parts(&[
        Part { name: "loop", run: measure_kills },
        Part { name: "offload", run: measure_offload },
        Part { name: "cost", run: measure_cost },
        Part { name: "start", run: measure_start },
    ]);
}
