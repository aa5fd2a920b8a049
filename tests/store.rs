//! The replicated store: three router processes on loopback as nodes, read and changed with `ctl` commands
//! and with the store's client library.
mod common;
use common::TIMEOUT;
use common::environment::{TestFolder, unused_addresses};
use common::program::{Program, Signal};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use store::Rejection;
use store::client::{Client, ClientError, Settings, UpdateOptions, WatchEvent};
use store::wire::Consistency;

/// Router processes whose stores form a cluster.
struct Cluster {
    folder: TestFolder,
    peers: Vec<SocketAddr>,
    clients: Vec<SocketAddr>,
    /// The process and the control address of each node; `None` while the node is stopped.
    nodes: Vec<Option<(Program, String)>>,
}

impl Cluster {
    fn new(n: usize) -> Cluster {
        let (peers, clients) = (unused_addresses(n), unused_addresses(n));
        let mut cluster =
            Cluster { folder: TestFolder::new(), peers, clients, nodes: (0..n).map(|_| None).collect() };
        (0..n).for_each(|i| cluster.start(i));
        cluster
    }

    fn log_path(&self, i: usize) -> std::path::PathBuf {
        self.folder.path().join(format!("node-{i}")).join("log")
    }

    fn start(&mut self, i: usize) {
        let peer = |(n, a): (usize, &SocketAddr)| format!("[[store.peer]]\nnode = {}\naddr = '{a}'\n", n + 1);
        let peers: String = self.peers.iter().enumerate().map(peer).collect();
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'stock'\nserver_user = 'r'\nprobe = 'SELECT 1'\n
[[mysql.server]]\nid = 'stock-a'\naddr = '127.0.0.1:1'\n[store]\nnode = {}\nfolder = '{}'\ncontrol = '127.0.0.1:0'\nclients = '{}'\n{peers}",
            i + 1,
            self.log_path(i).parent().unwrap().display(),
            self.clients[i]
        );
        let path = self.folder.write(&format!("node-{i}.toml"), &text);
        let mut program = Program::start(&[path.to_str().unwrap()], &[]);
        let control =
            program.wait_for_log("store control listener bound ").rsplit("addr=").next().unwrap().to_string();
        self.nodes[i] = Some((program, control));
    }

    /// A client that tries these nodes in this order.
    fn client(&self, nodes: &[usize]) -> Client {
        let addrs = nodes.iter().map(|i| self.clients[*i]).collect();
        Client::new(Settings { call_timeout: TIMEOUT, ..Settings::new(addrs, nodes[0] as u64) })
    }

    /// The index of the leader and those of the other nodes.
    fn leader(&self) -> (usize, Vec<usize>) {
        let status = self.poll_ctl(0, &["status"], |a| a.as_ref().is_ok_and(|v| v["leader"] != 0)).unwrap();
        let leader = status["leader"].as_u64().unwrap() as usize - 1;
        (leader, (0..self.nodes.len()).filter(|i| *i != leader).collect())
    }

    /// Runs a `ctl` command. Returns its response, or its error message.
    fn ctl(&self, i: usize, words: &[&str]) -> Result<Value, String> {
        let control = &self.nodes[i].as_ref().unwrap().1;
        let mut program = Program::start(&[&["ctl", control], words].concat(), &[]);
        let status = program.child.wait().unwrap();
        if status.success() {
            return Ok(serde_json::from_str(&program.wait_for_exit().1).unwrap());
        }
        Err(program.log.iter().collect::<Vec<_>>().join("\n"))
    }

    /// Repeats a `ctl` command until its result satisfies `condition`.
    fn poll_ctl(
        &self,
        i: usize,
        words: &[&str],
        condition: impl Fn(&Result<Value, String>) -> bool,
    ) -> Result<Value, String> {
        let started = Instant::now();
        loop {
            let result = self.ctl(i, words);
            if condition(&result) {
                return result;
            }
            assert!(started.elapsed() < TIMEOUT, "{words:?}: {result:?}");
        }
    }

    fn wait_for_value(&self, i: usize, key: &str, text: &str) {
        _ = self.poll_ctl(i, &["get", key], |a| a.as_ref().is_ok_and(|v| v["text"] == text));
    }
}

#[test]
fn changes_need_majority_and_survive_restarts() {
    let mut cluster = Cluster::new(3);
    // The store is seeded once, and every node receives the data.
    (0..3).for_each(|i| _ = cluster.poll_ctl(i, &["get", "seeded"], Result::is_ok));
    assert_eq!(cluster.poll_ctl(0, &["set", "a", "1"], Result::is_ok).unwrap()["version"], 1);
    (0..3).for_each(|i| cluster.wait_for_value(i, "a", "1"));
    // An expected version rejects a write if the key has changed in the meantime.
    assert!(cluster.ctl(1, &["set", "a", "x", "7"]).unwrap_err().contains("at version 1"));
    assert_eq!(cluster.poll_ctl(1, &["set", "a", "2", "1"], Result::is_ok).unwrap()["version"], 2);
    // One node of three, the leader, is lost: the others continue.
    let leader = cluster.ctl(0, &["status"]).unwrap()["leader"].as_u64().unwrap() as usize - 1;
    cluster.nodes[leader] = None;
    let live: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
    _ = cluster.poll_ctl(live[0], &["set", "b", "1"], Result::is_ok);
    cluster.wait_for_value(live[1], "b", "1");
    // Without a majority changes are rejected, and the last committed values stay readable.
    cluster.nodes[live[1]] = None;
    _ = cluster
        .poll_ctl(live[0], &["set", "c", "1"], |a| a.as_ref().is_err_and(|e| e.contains("no majority")));
    assert_eq!(cluster.ctl(live[0], &["get", "b"]).unwrap()["text"], "1");
    // All nodes restart from their stored logs, one of them with a torn tail.
    cluster.nodes[live[0]] = None;
    let log = cluster.log_path(live[1]);
    let stored = std::fs::read(&log).unwrap();
    std::fs::write(&log, [&stored[..], b"\x50\0\0\0torn off"].concat()).unwrap();
    (0..3).for_each(|i| cluster.start(i));
    cluster.nodes[live[1]]
        .as_mut()
        .unwrap()
        .0
        .wait_for_log("torn tail of the store log cut off torn_bytes=12");
    for i in 0..3 {
        cluster.wait_for_value(i, "a", "2");
        cluster.wait_for_value(i, "b", "1");
    }
}

#[test]
fn drain_reaches_every_router_of_the_store() {
    let mut cluster = Cluster::new(3);
    _ = cluster.poll_ctl(0, &["drain", "stock-a"], Result::is_ok);
    for i in 0..3 {
        cluster.nodes[i].as_mut().unwrap().0.wait_for_log("endpoints=1 ready=0 ");
    }
    _ = cluster.poll_ctl(2, &["undrain", "stock-a"], Result::is_ok);
    assert!(cluster.ctl(0, &["drain", "none"]).unwrap_err().contains("no server 'none'"));
    assert!(cluster.ctl(0, &["get", "none"]).unwrap_err().contains("no key 'none'"));
    assert!(cluster.ctl(0, &["fly"]).unwrap_err().to_lowercase().contains("usage"));
}

#[test]
fn malformed_control_requests_do_not_affect_a_node() {
    let cluster = Cluster::new(1);
    let control = &cluster.nodes[0].as_ref().unwrap().1;
    _ = cluster.poll_ctl(0, &["set", "a", "1"], Result::is_ok);
    for bytes in [&b"\n"[..], b"{}\n", b"[1,2\n", b"{\"do\":7}\n", b"{\"do\":\"set\",\"key\":1}\n"] {
        let mut socket = TcpStream::connect(control).unwrap();
        std::io::Write::write_all(&mut socket, bytes).unwrap();
        let mut line = String::new();
        std::io::BufRead::read_line(&mut std::io::BufReader::new(socket), &mut line).unwrap();
        assert!(line.contains("error"), "{line}");
    }
    cluster.wait_for_value(0, "a", "1");
}

#[test]
fn leader_kill_loses_no_acknowledged_write_or_watch_event() {
    const CLIENTS: usize = 50;
    const WRITES: u64 = 10;
    let mut cluster = Cluster::new(3);
    let (leader, others) = cluster.leader();
    let (write_count, total_writes) = (AtomicUsize::new(0), CLIENTS * WRITES as usize);
    let client = |i: usize| cluster.client(&[i % 3, (i + 1) % 3, (i + 2) % 3]);
    let clients: Vec<Client> = (0..CLIENTS).map(client).collect();
    let killed = cluster.nodes[leader].take().unwrap();
    let (written, watched) = std::thread::scope(|scope| {
        let write = |(i, client): (usize, &Client)| {
            let (client, write_count) = (client.clone(), &write_count);
            scope.spawn(move || {
                let write = |n| {
                    // Because of the expected version, each write can be applied at most once.
                    let options = UpdateOptions { expected_version: Some(n), ..UpdateOptions::default() };
                    let changed = client.put(&format!("c/{i:02}"), &n.to_string(), options).unwrap();
                    write_count.fetch_add(1, Ordering::Relaxed);
                    (changed.revision, (format!("c/{i:02}"), changed.version))
                };
                (0..WRITES).map(write).collect::<Vec<_>>()
            })
        };
        let watch = |client: &Client| {
            let watch = client.watch("c/", None).unwrap();
            scope.spawn(move || {
                let (mut from, mut in_snapshot, mut changes) = (0, 0, Vec::new());
                while in_snapshot + changes.len() < total_writes {
                    match watch.events.recv_timeout(TIMEOUT).expect("a watch event within the timeout") {
                        WatchEvent::Snapshot { position, compacted, entries } => {
                            assert!(!compacted && changes.is_empty());
                            from = position.revision;
                            in_snapshot = entries.iter().map(|(_, v)| v.version as usize).sum();
                        }
                        WatchEvent::Changes(c) => {
                            let key = |change: store::command::KeyChange| {
                                (change.key, change.value.unwrap().version)
                            };
                            changes.extend(c.changes.into_iter().map(|k| (c.revision, key(k))));
                        }
                    }
                }
                (from, changes)
            })
        };
        let writers: Vec<_> = clients.iter().enumerate().map(write).collect();
        let watchers: Vec<_> = clients.iter().map(watch).collect();
        while write_count.load(Ordering::Relaxed) < total_writes / 3 {
            assert!(!writers.iter().any(|w| w.is_finished() && write_count.load(Ordering::Relaxed) == 0));
            std::thread::yield_now();
        }
        drop(killed);
        let written: BTreeMap<_, _> = writers.into_iter().flat_map(|w| w.join().unwrap()).collect();
        (written, watchers.into_iter().map(|w| w.join().unwrap()).collect::<Vec<_>>())
    });
    assert_eq!(written.len(), total_writes);
    for (from, changes) in watched {
        let expected: Vec<_> = written.range(from + 1..).map(|(r, k)| (*r, k.clone())).collect();
        assert_eq!(changes, expected);
    }
    let versions = |client: &Client, consistency| -> Vec<u64> {
        client.list("c/", consistency).unwrap().value.iter().map(|(_, v)| v.version).collect()
    };
    assert_eq!(versions(&cluster.client(&others), Consistency::Linearizable), [WRITES; CLIENTS]);
    // The killed node has all writes after its restart.
    cluster.start(leader);
    assert_eq!(versions(&cluster.client(&[leader]), Consistency::Linearizable), [WRITES; CLIENTS]);
    assert_eq!(versions(&cluster.client(&[leader]), Consistency::Local), [WRITES; CLIENTS]);
}

#[test]
fn paused_leader_serves_no_stale_read_and_its_leases_expire() {
    let cluster = Cluster::new(3);
    let (leader, others) = cluster.leader();
    let ttl = Duration::from_millis(800);
    let old = cluster.client(&[leader]);
    old.put("a", "1", UpdateOptions::default()).unwrap();
    let lease = old.grant("shard", ttl).unwrap();
    let fenced_options = UpdateOptions {
        fencing_token: Some(lease.token.clone()),
        lease_epoch: Some(lease.token.epoch),
        ..UpdateOptions::default()
    };
    old.put("owner", "old", fenced_options.clone()).unwrap();
    let addrs = vec![cluster.clients[leader]];
    let reader =
        Client::new(Settings { attempt_timeout: TIMEOUT, call_timeout: TIMEOUT, ..Settings::new(addrs, 9) });
    reader.get("a", Consistency::Linearizable).unwrap();
    let stopped = &cluster.nodes[leader].as_ref().unwrap().0;
    stopped.signal(Signal::SIGSTOP);
    let new = cluster.client(&others);
    new.put("a", "2", UpdateOptions::default()).unwrap();
    // The read is sent to the stopped leader, which still considers itself the leader when it resumes.
    let pending_read = std::thread::spawn(move || reader.get("a", Consistency::Linearizable).unwrap());
    let new_lease = loop {
        match new.grant("shard", ttl) {
            Ok(new_lease) => break new_lease,
            Err(e) => assert!(matches!(e, ClientError::Rejected(Rejection::LeaseHeld { .. })), "{e}"),
        }
    };
    assert!(!lease.is_valid(Instant::now()));
    stopped.signal(Signal::SIGCONT);
    assert_eq!(pending_read.join().unwrap().value.unwrap().text, "2");
    let rejected = old.put("owner", "old", fenced_options);
    assert!(
        matches!(rejected, Err(ClientError::Rejected(Rejection::Fenced { highest_epoch })) if highest_epoch == new_lease.token.epoch)
    );
    assert_eq!(old.get("owner", Consistency::Linearizable).unwrap().value, None);
}
