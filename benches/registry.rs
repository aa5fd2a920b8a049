//! Long measurements of the registry client on the real program: `cargo bench --bench registry -- PART`, where PART is
//! `drain` or `size`; without one, both. Each part compares its arms within the one run.
#[path = "../tests/common/mod.rs"]
mod common;

use common::{Folder, LONG, Program};
use hdrhistogram::Histogram;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_servers::registry::Registry;
use test_servers::replication_group::ReplicationGroup;

const PREFIX: &str = "/damsonvale/shop/";

fn file(folder: &Folder, registry: &Registry, kind: &str) -> String {
    let endpoints: Vec<String> = registry.addrs().iter().map(|a| format!("'{a}'")).collect();
    let text = format!(
        "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'shop'\nserver_user = 'router'\nprobe = 'SELECT probe'\n\
         [[mysql.user]]\nname = 'till'\npassword = 'secret'\n\
         [[mysql.class]]\nname = 'any'\nfreshness = 'any'\neffect = 'safe'\naim_ms = 2000\ndeadline_ms = 4000\n\
         [registry]\nkind = '{kind}'\nprefix = '{PREFIX}'\nendpoints = [{}]\n",
        endpoints.join(", ")
    );
    folder.write("router.toml", &text).to_str().expect("a plain path").to_string()
}

fn node(addr: SocketAddr, group: usize, state: &str, weight: f64) -> String {
    format!("{{\"addr\":\"{addr}\",\"group\":{group},\"state\":\"{state}\",\"weight\":{weight}}}")
}

fn connect(addr: SocketAddr) -> mysql::Result<Conn> {
    let at = OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(addr.port()).prefer_socket(false);
    Conn::new(at.user(Some("till")).pass(Some("secret")).db_name(Some("shop")))
}

fn by(client: &mut Conn) -> Option<String> {
    let row = client.query_first::<(String, String), _>("SELECT n FROM basket WHERE k = 'x' /* c=any */");
    row.ok().flatten().map(|r| r.1)
}

/// From the registry's word to the last byte that a drained node was sent.
fn drain() {
    const ROUNDS: usize = 60;
    println!(
        "drain: milliseconds from the registry's write to the node's last request, limit 250, {ROUNDS} rounds"
    );
    println!("{:<34}{:>8}{:>8}{:>8}{:>8}", "", "p50", "p90", "p99", "max");
    for kind in ["etcd", "consul"] {
        let registry = Registry::start(1, None);
        let fleet = ReplicationGroup::start(&[Duration::ZERO; 2], Duration::from_millis(5));
        let set = |s: usize, state: &str| {
            let (name, addr) = fleet.servers()[s].clone();
            registry.put(&format!("{PREFIX}nodes/{name}"), &node(addr, 0, state, 1.0));
        };
        (0..3).for_each(|s| set(s, "in_service"));
        let folder = Folder::new();
        let mut router = Program::start(&["serve", &file(&folder, &registry, kind)], &[]);
        let addr = router.listening();
        let done = Arc::new(AtomicBool::new(false));
        let reader = |_| {
            let done = done.clone();
            std::thread::spawn(move || {
                let mut client = connect(addr).expect("a router");
                while !done.load(Ordering::Relaxed) {
                    _ = by(&mut client);
                }
            })
        };
        let threads: Vec<_> = (0..8).map(reader).collect();
        for breaks in [false, true] {
            let mut histogram: Histogram<u64> = Histogram::new(3).expect("three digits");
            for _ in 0..ROUNDS {
                set(1, "in_service");
                let (begun, before) = (Instant::now(), fleet.counts(1).reads);
                while fleet.counts(1).reads < before + 20 {
                    assert!(begun.elapsed() < LONG);
                }
                if breaks {
                    registry.update_faults(0, |f| f.down = true);
                    registry.break_connections(0);
                    std::thread::sleep(Duration::from_millis(30));
                }
                set(1, "draining");
                if breaks {
                    registry.compact();
                    // The router can know from its next connection on.
                    let seen = registry.watch_count(0) + registry.read_count();
                    registry.update_faults(0, |f| f.down = false);
                    while registry.watch_count(0) + registry.read_count() == seen {
                        assert!(begun.elapsed() < LONG);
                    }
                }
                let told = Instant::now();
                std::thread::sleep(Duration::from_millis(400));
                let last = fleet.last_read(1).map_or(Duration::ZERO, |at| at.saturating_duration_since(told));
                histogram.record(last.as_micros() as u64).expect("in range");
            }
            let ms = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
            let name = format!("{kind}, {}", if breaks { "over a break" } else { "without a break" });
            println!("{name:<34}{:>8.2}{:>8.2}{:>8.2}{:>8.2}", ms(0.5), ms(0.9), ms(0.99), ms(1.0));
        }
        done.store(true, Ordering::Relaxed);
        threads.into_iter().for_each(|t| _ = t.join());
    }
}

fn status(id: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with(field)).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// CPU time of a process, in clock ticks of a hundredth of a second.
fn ticks(id: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let behind = stat.rsplit(')').next().unwrap_or("");
    behind.split_whitespace().skip(11).take(2).filter_map(|n| n.parse::<u64>().ok()).sum()
}

/// How a long list costs: the first answer, memory, threads, CPU for each change.
fn size() {
    const CHANGES: usize = 5000;
    println!("size: a list of so many nodes in groups of three, {CHANGES} changes at 1,000 a second");
    println!(
        "{:<10}{:>14}{:>10}{:>10}{:>16}{:>14}",
        "nodes", "first ms", "RSS MB", "threads", "us a change", "behind ms"
    );
    for nodes in [100usize, 1000, 10_000] {
        let registry = Registry::start(1, None);
        let fleet = ReplicationGroup::start(&[Duration::ZERO; 2], Duration::from_millis(5));
        let key = |n: usize| format!("{PREFIX}nodes/extra-{n:05}");
        // Ports from a range that nothing listens on here: nobody asks those groups for anything.
        let other = |n: usize, weight: f64| {
            let addr = ([127, 1, (n / 250) as u8, (n % 250) as u8 + 1], 3306).into();
            node(addr, 1 + n / 3, "in_service", weight)
        };
        registry.apply_together(|c| {
            for (name, addr) in fleet.servers() {
                c.put(&format!("{PREFIX}nodes/{name}"), node(addr, 0, "in_service", 1.0).into_bytes(), None);
            }
            (3..nodes).for_each(|n| _ = c.put(&key(n), other(n, 1.0).into_bytes(), None));
        });
        let folder = Folder::new();
        let begun = Instant::now();
        let mut router = Program::start(&["serve", &file(&folder, &registry, "etcd")], &[]);
        let addr = router.listening();
        let mut client = connect(addr).expect("a router");
        while by(&mut client).is_none() {
            assert!(begun.elapsed() < LONG);
        }
        let first = begun.elapsed().as_millis();
        router.logged(&format!("endpoints={nodes} "));
        let id = router.child.id();
        let before = ticks(id);
        let begun = Instant::now();
        for c in 0..CHANGES {
            let n = 3 + c * 7919 % (nodes - 3);
            registry.put(&key(n), &other(n, 1.0 + c as f64 / 1000.0));
            let due = begun + Duration::from_millis(c as u64 + 1);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        // The last one: a drain, whose line tells when everything before it has been acted on.
        let wrote = Instant::now();
        registry.put(&key(3), &other(3, 1.0).replace("in_service", "draining"));
        router.logged(&format!("endpoints={nodes} ready={} ", nodes - 1));
        let behind = wrote.elapsed();
        let us = (ticks(id) - before) as f64 * 10_000.0 / CHANGES as f64;
        println!(
            "{nodes:<10}{first:>14}{:>10.1}{:>10}{us:>16.0}{:>14.1}",
            status(id, "VmRSS:") as f64 / 1024.0,
            status(id, "Threads:"),
            behind.as_secs_f64() * 1000.0
        );
    }
}

fn main() {
    let asked: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let parts: [(&str, fn()); 2] = [("drain", drain), ("size", size)];
    for (name, part) in parts {
        if asked.is_empty() || asked.iter().any(|a| a == name) {
            part();
            println!();
        }
    }
}
