//! Long measurements of sessions on the real program: `cargo bench --bench sessions -- PART`, where PART is `loop`,
//! `offload`, `cost` or `start`; without one, all. Each part compares its arms within the one run.
#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/instances.rs"]
mod instances;
#[path = "../tests/common/restart_loop.rs"]
mod restart_loop;

use common::LONG;
use hdrhistogram::Histogram;
use instances::{Instances, Persistence, connect, read, write};
use mysql::prelude::Queryable;
use restart_loop::{SessionPath, restart_loop};
use sessions::SessionKey;
use sessions::journal::{self, Checkpoint};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_servers::replication_group::ReplicationGroup;

const HEARTBEAT: Duration = Duration::from_millis(5);

fn lag(ms: &[u64]) -> Vec<Duration> {
    ms.iter().map(|ms| Duration::from_millis(*ms)).collect()
}

/// Kills in the middle of sessions, with everything kept and with nothing.
fn kills() {
    println!("loop: SIGKILLs while 9 sessions write and read, replicas 1 s and 2 s behind");
    println!("{:<28}{:>7}{:>9}{:>9}{:>9}{:>14}", "kept", "kills", "writes", "reads", "missed", "by replicas");
    let arms = [
        ("disk and peers, wandering", Persistence::DiskAndPeers, SessionPath::Wandering, 300),
        ("peers alone, wandering", Persistence::Peers, SessionPath::Wandering, 60),
        ("floor alone, staying", Persistence::FloorOnly, SessionPath::Staying, 60),
        ("nothing, staying", Persistence::None, SessionPath::Staying, 60),
    ];
    for (name, persistence, path, kills) in arms {
        let mut three =
            Instances::started(3, ReplicationGroup::start(&lag(&[1000, 2000]), HEARTBEAT), persistence);
        let f = restart_loop(&mut three, kills, 9, path);
        println!(
            "{name:<28}{:>7}{:>9}{:>9}{:>9}{:>14}",
            f.kills, f.writes, f.reads, f.missed_writes, f.replica_reads
        );
    }
}

/// Sessions that read twenty times for each write, on one instance, until told to stop: reads, and those by replicas.
fn readers(
    addr: SocketAddr,
    class: &'static str,
    done: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<(u64, u64)>> {
    let reader = |s: u64| {
        let done = done.clone();
        std::thread::spawn(move || {
            let (mut reads, mut by_replicas, mut n) = (0, 0, 0u64);
            let Ok(mut conn) = connect(addr) else { return (0, 0) };
            while !done.load(Ordering::Relaxed) {
                n += 1;
                // Two hundred sessions take turns on each connection: few have just written.
                let key = format!("member-{}", s * 200 + n % 200);
                if n.is_multiple_of(21) {
                    _ = write(&mut conn, &key, n);
                    continue;
                }
                let sql = format!("SELECT n FROM basket WHERE k = '{key}' /* c={class},s={key} */");
                if let Ok(Some((_, by))) = conn.query_first::<(String, String), _>(sql) {
                    reads += 1;
                    by_replicas += u64::from(by != "primary");
                }
            }
            (reads, by_replicas)
        })
    };
    (0..4).map(reader).collect()
}

fn share(addr: SocketAddr, class: &'static str, for_time: Duration) -> (u64, f64) {
    let done = Arc::new(AtomicBool::new(false));
    let threads = readers(addr, class, &done);
    std::thread::sleep(for_time);
    done.store(true, Ordering::Relaxed);
    let sums = threads.into_iter().filter_map(|t| t.join().ok());
    let (reads, by) = sums.fold((0, 0), |(a, b), (x, y)| (a + x, b + y));
    (reads, by as f64 / reads.max(1) as f64)
}

/// What replicas take of session reads right after a restart and later on.
fn offload() {
    const WINDOW: Duration = Duration::from_secs(2);
    println!("offload: share of session reads that replicas answer (20 reads for each write)");
    println!("{:<44}{:>14}{:>14}{:>12}", "policy", "2 s after", "steady", "reads/s");
    for (lags, text) in [(vec![20, 50], "20 and 50 ms behind"), (vec![1000, 3000], "1 and 3 s behind")] {
        let arms = [
            ("all to the primary until warm", Persistence::FloorOnly, "basket-fresh"),
            ("floor after the start", Persistence::FloorOnly, "basket-read"),
            ("journal, alone", Persistence::Disk, "basket-read"),
            ("journal and two peers", Persistence::DiskAndPeers, "basket-read"),
        ];
        for (name, persistence, class) in arms {
            let n = if persistence == Persistence::DiskAndPeers { 3 } else { 1 };
            let mut all = Instances::new(n, ReplicationGroup::start(&lag(&lags), HEARTBEAT), persistence);
            for m in &mut all.extra_keys {
                m.mysql = "[[mysql.class]]\nname = 'basket-fresh'\nfreshness = 'fresh'\neffect = 'safe'\n\
                       aim_ms = 2000\ndeadline_ms = 4000\n"
                    .into();
            }
            all.start_all();
            // The floor of the very first start has to be passed by the replicas.
            std::thread::sleep(Duration::from_millis(lags[1] + 500));
            // The plain policy's steady state is that of the others.
            let (reads, steady) = share(all.address(0), "basket-read", WINDOW);
            all.kill(0);
            all.start(0);
            let (_, after) = share(all.address(0), class, WINDOW);
            let name = format!("{name}, {text}");
            println!("{name:<44}{:>13.1}%{:>13.1}%{:>12}", 100.0 * after, 100.0 * steady, reads / 2);
        }
    }
}

/// What a write costs.
fn cost() {
    const ROUNDS: usize = 5;
    const WRITES: u64 = 200;
    const CLIENTS: u64 = 8;
    const PACE: Duration = Duration::from_millis(12);
    println!("cost: microseconds of a write, {CLIENTS} clients with 12 ms between writes, arms in turns");
    let arms = [
        ("nothing kept", Persistence::None, 1),
        ("peers", Persistence::Peers, 3),
        ("journal", Persistence::Disk, 1),
        ("journal and peers", Persistence::DiskAndPeers, 3),
    ];
    let mut running: Vec<(&str, Instances, Histogram<u64>)> = arms
        .into_iter()
        .map(|(name, persistence, n)| {
            let all = Instances::started(n, ReplicationGroup::start(&lag(&[20]), HEARTBEAT), persistence);
            (name, all, Histogram::new(3).expect("three digits"))
        })
        .collect();
    for _ in 0..ROUNDS {
        for (_, all, histogram) in &mut running {
            let addr = all.address(0);
            let client = move |c: u64| {
                std::thread::spawn(move || {
                    let mut conn = connect(addr).expect("a router");
                    let mut write = |n| {
                        let begun = Instant::now();
                        write(&mut conn, &format!("member-{c}"), n).expect("a write");
                        begun.elapsed().as_micros() as u64
                    };
                    // Paced, so that links have rested: else their rest after an answer hides what is measured.
                    let paced = |n| {
                        std::thread::sleep(PACE);
                        write(n)
                    };
                    (0..WRITES).map(paced).collect::<Vec<u64>>()
                })
            };
            let threads: Vec<_> = (0..CLIENTS).map(client).collect();
            for t in threads {
                t.join()
                    .expect("a client")
                    .into_iter()
                    .for_each(|us| histogram.record(us).expect("in range"));
            }
        }
    }
    println!("{:<22}{:>9}{:>9}{:>9}{:>9}", "kept", "p50", "p99", "max", "p50 x");
    let base = running[0].2.value_at_quantile(0.5) as f64;
    for (name, _, h) in &running {
        let (p50, p99) = (h.value_at_quantile(0.5), h.value_at_quantile(0.99));
        println!("{name:<22}{p50:>9}{p99:>9}{:>9}{:>9.2}", h.max(), p50 as f64 / base);
    }
    let syncs = running[2].1.status(0);
    println!("journal: {} commits in {} syncs", syncs["commits"], syncs["syncs"]);
}

fn resident_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// A start with a million sessions, and what a peer takes of them.
fn start() {
    println!("start: time to listening, resident memory");
    println!("{:<16}{:>12}{:>12}{:>16}{:>14}", "sessions", "start ms", "RSS MB", "bytes/session", "peer ms");
    let mut empty = 0;
    for sessions in [0u64, 10_000, 100_000, 1_000_000] {
        let mut two =
            Instances::new(2, ReplicationGroup::start(&lag(&[20]), HEARTBEAT), Persistence::DiskAndPeers);
        let entries: Vec<(SessionKey, decision::Time)> = (0..sessions)
            .map(|n| (SessionKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)), decision::Time(n as i64 + 1)))
            .collect();
        let whole =
            Checkpoint { instance: 1, incarnation: 1, entries: &entries, floor: None, incomplete: false };
        drop(journal::open(&two.journal_folder(0), 1).expect("a folder").begin(&whole).expect("a folder"));
        let begun = Instant::now();
        two.start(0);
        let ms = begun.elapsed().as_millis();
        two.wait_for_peers(0);
        let rss = resident_kb(two.program(0).child.id());
        let begun = Instant::now();
        two.start(1);
        two.wait_for_status(1, |s| s["sessions"].as_u64() >= Some(sessions) && s["relies_on_all"] == true);
        let peer = begun.elapsed().as_millis();
        if sessions == 0 {
            empty = rss;
        }
        let each = (rss.saturating_sub(empty) * 1024).checked_div(sessions).unwrap_or(0);
        println!("{sessions:<16}{ms:>12}{:>12.1}{each:>16}{peer:>14}", rss as f64 / 1024.0);
        assert!(begun.elapsed() < LONG);
        _ = read(&mut two.client(0), "member-0");
    }
}

fn main() {
    let asked: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let parts: [(&str, fn()); 4] = [("loop", kills), ("offload", offload), ("cost", cost), ("start", start)];
    for (name, part) in parts {
        if asked.is_empty() || asked.iter().any(|a| a == name) {
            part();
            println!();
        }
    }
}
