//! Long measurements of sessions on the real program: `cargo bench --bench sessions -- PART`, where PART is `loop`,
//! `offload`, `cost` or `start`; without one, all. Each part compares its arms within the one run.
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

/// Time between a primary's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(5);
/// Sessions that write and read in the loop of kills.
const LOOP_SESSIONS: usize = 9;

/// Connections that read in the measurement of offloading.
const READERS: u64 = 4;
/// Sessions that take turns on each of them: few have just written.
const SESSIONS_PER_READER: u64 = 200;
/// One in this many requests writes.
const WRITE_INTERVAL: u64 = 21;
/// How long reads are counted.
const OFFLOAD_WINDOW: Duration = Duration::from_secs(2);
/// Time beyond the replicas' lag until they have passed the floor of the first start.
const FLOOR_SLACK_MS: u64 = 500;

/// Rounds of the measurement of a write's cost, in which the arms take turns.
const COST_ROUNDS: usize = 5;
const COST_CLIENTS: u64 = 8;
const COST_WRITES: u64 = 200;
/// Pause before each write, in which connections rest: else their rest after an answer hides what is measured.
const COST_PAUSE: Duration = Duration::from_millis(12);

/// A primary and replicas that are so far behind it.
fn start_nodes(lags_ms: &[u64]) -> ReplicationGroup {
    let lags: Vec<Duration> = lags_ms.iter().map(|lag| Duration::from_millis(*lag)).collect();
    ReplicationGroup::start(&lags, HEARTBEAT)
}

/// An arm of the loop of kills.
struct KillArm {
    name: &'static str,
    persistence: Persistence,
    /// Which instances a session goes to.
    path: SessionPath,
    kills: u64,
}

/// Kills instances while sessions write and read: with everything stored, and with less.
fn measure_kills() {
    println!("loop: SIGKILLs while {LOOP_SESSIONS} sessions write and read, replicas 1 s and 2 s behind");
    println!("{:<28}{:>7}{:>9}{:>9}{:>9}{:>14}", "kept", "kills", "writes", "reads", "missed", "by replicas");
    let arms = [
        KillArm {
            name: "disk and peers, wandering",
            persistence: Persistence::DiskAndPeers,
            path: SessionPath::Wandering,
            kills: 300,
        },
        KillArm {
            name: "peers alone, wandering",
            persistence: Persistence::Peers,
            path: SessionPath::Wandering,
            kills: 60,
        },
        KillArm {
            name: "floor alone, staying",
            persistence: Persistence::FloorOnly,
            path: SessionPath::Staying,
            kills: 60,
        },
        KillArm {
            name: "nothing, staying",
            persistence: Persistence::None,
            path: SessionPath::Staying,
            kills: 60,
        },
    ];
    for KillArm { name, persistence, path, kills } in arms {
        let mut instances = Instances::started(3, start_nodes(&[1000, 2000]), persistence);
        let counts = restart_loop(&mut instances, kills, LOOP_SESSIONS, path);
        println!(
            "{name:<28}{:>7}{:>9}{:>9}{:>9}{:>14}",
            counts.kills, counts.writes, counts.reads, counts.missed_writes, counts.replica_reads
        );
    }
}

/// Reads of sessions, and how many of them replicas answered.
#[derive(Clone, Copy, Default)]
struct ReadCounts {
    reads: u64,
    by_replicas: u64,
}

impl ReadCounts {
    fn add(self, other: ReadCounts) -> ReadCounts {
        ReadCounts { reads: self.reads + other.reads, by_replicas: self.by_replicas + other.by_replicas }
    }

    fn replica_percent(self) -> f64 {
        100.0 * self.by_replicas as f64 / self.reads.max(1) as f64
    }
}

/// Reads, and writes now and then, on one connection until `done`.
fn read_sessions(router: SocketAddr, class: &str, reader: u64, done: &AtomicBool) -> ReadCounts {
    let mut counts = ReadCounts::default();
    let Ok(mut client) = connect(router) else { return counts };
    let mut request = 0u64;
    while !done.load(Ordering::Relaxed) {
        request += 1;
        let key = format!("member-{}", reader * SESSIONS_PER_READER + request % SESSIONS_PER_READER);
        if request.is_multiple_of(WRITE_INTERVAL) {
            _ = write(&mut client, &key, request);
            continue;
        }
        let sql = format!("SELECT n FROM basket WHERE k = '{key}' /* c={class},s={key} */");
        if let Ok(Some((_, server))) = client.query_first::<(String, String), _>(sql) {
            counts.reads += 1;
            counts.by_replicas += u64::from(server != "primary");
        }
    }
    counts
}

/// Reads with sessions of a class for a while.
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

/// An arm of the measurement of offloading.
struct OffloadArm {
    name: &'static str,
    persistence: Persistence,
    /// The class of reads after the restart.
    class: &'static str,
}

/// Measures the share of session reads that replicas answer right after a restart, and later on.
fn measure_offload() {
    println!("offload: share of session reads that replicas answer (20 reads for each write)");
    println!("{:<44}{:>14}{:>14}{:>12}", "policy", "2 s after", "steady", "reads/s");
    for (lags, text) in [([20, 50], "20 and 50 ms behind"), ([1000, 3000], "1 and 3 s behind")] {
        let arms = [
            OffloadArm {
                name: "all to the primary until warm",
                persistence: Persistence::FloorOnly,
                class: "basket-fresh",
            },
            OffloadArm {
                name: "floor after the start",
                persistence: Persistence::FloorOnly,
                class: "basket-read",
            },
            OffloadArm { name: "journal, alone", persistence: Persistence::Disk, class: "basket-read" },
            OffloadArm {
                name: "journal and two peers",
                persistence: Persistence::DiskAndPeers,
                class: "basket-read",
            },
        ];
        for arm in arms {
            measure_offload_arm(&arm, lags, text);
        }
    }
}

fn measure_offload_arm(arm: &OffloadArm, lags_ms: [u64; 2], lag_text: &str) {
    let count = if arm.persistence == Persistence::DiskAndPeers { 3 } else { 1 };
    let mut instances = Instances::new(count, start_nodes(&lags_ms), arm.persistence);
    for keys in &mut instances.extra_keys {
        keys.mysql = "[[mysql.class]]\nname = 'basket-fresh'\nfreshness = 'fresh'\neffect = 'safe'\n\
                  aim_ms = 2000\ndeadline_ms = 4000\n"
            .into();
    }
    (0..count).for_each(|instance| instances.start(instance));
    (0..count).for_each(|instance| instances.wait_for_peers(instance));
    // The replicas have to pass the floor of the very first start.
    std::thread::sleep(Duration::from_millis(lags_ms[1] + FLOOR_SLACK_MS));
    // The steady state is that of the same class in all arms.
    let steady = count_reads(instances.address(0), "basket-read");
    instances.kill(0);
    instances.start(0);
    let restarted = count_reads(instances.address(0), arm.class);
    println!(
        "{:<44}{:>13.1}%{:>13.1}%{:>12}",
        format!("{}, {lag_text}", arm.name),
        restarted.replica_percent(),
        steady.replica_percent(),
        steady.reads / OFFLOAD_WINDOW.as_secs()
    );
}

/// An arm of the measurement of a write's cost, with the latencies of its writes in microseconds.
struct CostArm {
    name: &'static str,
    instances: Instances,
    latencies: Histogram<u64>,
}

impl CostArm {
    fn start(name: &'static str, persistence: Persistence, count: usize) -> CostArm {
        let instances = Instances::started(count, start_nodes(&[20]), persistence);
        CostArm { name, instances, latencies: Histogram::new(3).expect("three digits are allowed") }
    }

    fn run_round(&mut self) {
        let router = self.instances.address(0);
        let start_client = |client| std::thread::spawn(move || time_writes(router, client));
        let clients: Vec<_> = (0..COST_CLIENTS).map(start_client).collect();
        for client in clients {
            for microseconds in client.join().expect("the client has not panicked") {
                self.latencies.record(microseconds).expect("the histogram grows");
            }
        }
    }
}

/// Writes with a pause before each: their latencies in microseconds.
fn time_writes(router: SocketAddr, client: u64) -> Vec<u64> {
    let mut connection = connect(router).expect("the router accepts clients");
    let time_write = |number| {
        std::thread::sleep(COST_PAUSE);
        let begin = Instant::now();
        write(&mut connection, &format!("member-{client}"), number).expect("the write is answered");
        begin.elapsed().as_micros() as u64
    };
    (0..COST_WRITES).map(time_write).collect()
}

/// Measures what a write costs with a journal, with peers and with both.
fn measure_cost() {
    println!(
        "cost: microseconds of a write, {COST_CLIENTS} clients with 12 ms between writes, arms in turns"
    );
    let mut arms = [
        CostArm::start("nothing kept", Persistence::None, 1),
        CostArm::start("peers", Persistence::Peers, 3),
        CostArm::start("journal", Persistence::Disk, 1),
        CostArm::start("journal and peers", Persistence::DiskAndPeers, 3),
    ];
    for _ in 0..COST_ROUNDS {
        arms.iter_mut().for_each(CostArm::run_round);
    }
    println!("{:<22}{:>9}{:>9}{:>9}{:>9}", "kept", "p50", "p99", "max", "p50 x");
    let baseline = arms[0].latencies.value_at_quantile(0.5) as f64;
    for CostArm { name, latencies, .. } in &arms {
        let (p50, p99) = (latencies.value_at_quantile(0.5), latencies.value_at_quantile(0.99));
        println!("{name:<22}{p50:>9}{p99:>9}{:>9}{:>9.2}", latencies.max(), p50 as f64 / baseline);
    }
    let journal = arms[2].instances.status(0);
    println!("journal: {} commits in {} syncs", journal["commits"], journal["syncs"]);
}

/// Measures a start with many sessions, and the time until a peer has them.
fn measure_start() {
    println!("start: time to listening, resident memory");
    println!("{:<16}{:>12}{:>12}{:>16}{:>14}", "sessions", "start ms", "RSS MB", "bytes/session", "peer ms");
    let mut empty_kb = 0;
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
        instances.wait_for_status(1, |shown| {
            shown["sessions"].as_u64() >= Some(sessions) && shown["relies_on_all"] == true
        });
        let peer_ms = begin.elapsed().as_millis();
        if sessions == 0 {
            empty_kb = resident_kb;
        }
        let session_bytes = (resident_kb.saturating_sub(empty_kb) * 1024).checked_div(sessions).unwrap_or(0);
        let resident_mb = resident_kb as f64 / 1024.0;
        println!("{sessions:<16}{start_ms:>12}{resident_mb:>12.1}{session_bytes:>16}{peer_ms:>14}");
        assert!(begin.elapsed() < TIMEOUT);
        _ = read(&mut instances.client(0), "member-0");
    }
}

/// Writes a journal with so many sessions for the first instance.
fn write_journal(instances: &Instances, sessions: u64) {
    let entry = |n: u64| (SessionKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)), decision::Time(n as i64 + 1));
    let entries: Vec<(SessionKey, decision::Time)> = (0..sessions).map(entry).collect();
    let checkpoint =
        Checkpoint { instance: 1, incarnation: 1, entries: &entries, floor: None, incomplete: false };
    let opened = journal::open(&instances.journal_folder(0), 1).expect("the folder is writable");
    drop(opened.create_journal(&checkpoint).expect("the folder is writable"));
}

fn main() {
    run_parts(&[
        Part { name: "loop", run: measure_kills },
        Part { name: "offload", run: measure_offload },
        Part { name: "cost", run: measure_cost },
        Part { name: "start", run: measure_start },
    ]);
}
