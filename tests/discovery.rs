//! The real program before an agent that falls silent, is reset, moves or is slow.
mod common;
use common::TIMEOUT;
use common::client::{Client, insert, select, served};
use common::environment::{TestFolder, unused_addresses};
use common::platform::config;
use common::program::{Program, Signal};
use common::scripted_instance::ScriptedInstance;
use serde_json::{Value, json};
use socket2::SockRef;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// An agent whose watches the test holds: each with the index it asked for, and nothing written to it yet.
struct Agent {
    addr: SocketAddr,
    watches: Receiver<(String, TcpStream)>,
}

impl Agent {
    fn start() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (to, watches) = channel();
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let (socket, mut request) = (socket.unwrap(), String::new());
                socket.set_nodelay(true).unwrap();
                let mut from = BufReader::new(socket.try_clone().unwrap());
                while !request.ends_with("\r\n\r\n") && from.read_line(&mut request).is_ok_and(|n| n > 0) {}
                let index = request.split("index=").nth(1).and_then(|r| r.split(' ').next()).unwrap_or("");
                if to.send((index.to_string(), socket)).is_err() {
                    return;
                }
            }
        });
        Agent { addr, watches }
    }

    fn next(&self) -> (String, TcpStream) {
        self.watches.recv_timeout(TIMEOUT).expect("a watch")
    }

    /// The next watch, its head written.
    fn watch(&self) -> (String, TcpStream) {
        let (index, socket) = self.next();
        (&socket).write_all(HEAD.as_bytes()).unwrap();
        (index, socket)
    }
}

fn write_chunk(mut to: &TcpStream, text: &str) {
    to.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).unwrap();
}

/// Ends a connection by a reset, now.
fn reset(socket: TcpStream) {
    SockRef::from(&socket).set_linger(Some(Duration::ZERO)).unwrap();
}

fn list_update(version: u64, full: bool, servers: &[Value]) -> String {
    json!({"version": version, "full": full, "servers": servers}).to_string() + "\n"
}

/// A router whose agent has told of a primary and a replica, version 50, and holds that watch.
struct Site {
    folder: TestFolder,
    agent: Agent,
    old: Option<TcpStream>,
    /// When the old watch was last heard.
    last: Instant,
    router: Program,
    addr: SocketAddr,
    primary: ScriptedInstance,
    replica: ScriptedInstance,
}

impl Site {
    fn start() -> Site {
        Site::start_by(|_| {}, |path| Program::start(&[], &[("BALANCER_CONFIG", path)]))
    }

    fn start_by(change: impl Fn(&mut Value), start: impl Fn(&str) -> Program) -> Site {
        let (primary, replica) =
            (ScriptedInstance::start("primary", true).0, ScriptedInstance::start("replica", false).0);
        let (agent, folder) = (Agent::start(), TestFolder::new());
        let known = vec![primary.entry("in_service"), replica.entry("in_service")];
        let mut config = config(agent.addr, vec![]);
        change(&mut config);
        let path = folder.write("config.json", &config.to_string());
        let mut router = start(path.to_str().unwrap());
        let (_, old) = agent.watch();
        write_chunk(&old, &list_update(50, true, &known));
        let last = Instant::now();
        router.wait_for_log("endpoint list applied version=50 endpoints=2 ready=2 ");
        let addr = router.listening_address();
        Client::connect(addr).query_until_served_by(&select("warm", 1900), "replica");
        Site { folder, agent, old: Some(old), last, router, addr, primary, replica }
    }

    fn old(&self) -> &TcpStream {
        self.old.as_ref().unwrap()
    }

    fn drains(&self, version: u64) -> String {
        list_update(version, false, &[self.replica.entry("terminating")])
    }

    /// From now on the replica gets nothing.
    fn drained(&mut self, version: u64) {
        self.router.wait_for_log(&format!("endpoint list applied version={version} endpoints=2 ready=1 "));
        // The line is written before the module has the news.
        let client = Client::connect(self.addr);
        client.query_until_served_by(&select(&format!("told{version}"), 1900), "primary");
        for n in 0..10 {
            let id = format!("after{version}.{n}");
            assert_eq!(client.query(&select(&id, 1900)), served("primary"));
            assert_eq!(self.replica.executions_of(&id), 0, "the drained one got something");
        }
    }

    /// The configuration names another agent from now on.
    fn moves(&mut self, to: SocketAddr) {
        let config = config(to, vec![]);
        self.folder.write("config.json", &config.to_string());
        self.router.signal(Signal::SIGHUP);
        self.router.wait_for_log(&format!("discovery watch moved addr={to}"));
    }
}

#[test]
fn update_on_new_watch_binds_within_bound() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (to, last) = channel();
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for (n, socket) in listener.incoming().enumerate() {
            let mut socket = socket.unwrap();
            _ = socket.read(&mut [0; 1024]);
            // The first says its list and nothing more, three that come behind it nothing at all.
            if !(1..4).contains(&n) {
                let list = format!("{{\n \"version\": {},\n \"full\": true,\n \"servers\": []\n}}\n", 50 + n);
                _ = write!(socket, "{HEAD}{:x}\r\n{list}\r\n", list.len());
                _ = to.send(Instant::now());
            }
            held.push(socket);
        }
    });
    let folder = TestFolder::new();
    let path = folder.write("config.json", &config(addr, vec![]).to_string());
    let mut router = Program::start(&[], &[("BALANCER_CONFIG", path.to_str().unwrap())]);
    router.wait_for_log("endpoint list applied version=50 ");
    let last = last.recv_timeout(TIMEOUT).unwrap();
    router.wait_for_log("discovery watch stale, opening another silent=2.6s");
    router.wait_for_log("endpoint list applied version=54 ");
    assert!(last.elapsed() < Duration::from_secs(5), "{:?}", last.elapsed());
}

#[test]
fn drain_on_new_watch_binds_while_old_watch_hangs() {
    let mut site = Site::start();
    // The first new one hangs with its head, the second in half of a line.
    let (index, _head) = site.agent.watch();
    assert_eq!(index, "50");
    let (_, half) = site.agent.watch();
    write_chunk(&half, &site.drains(51)[..30]);
    let (index, new) = site.agent.watch();
    assert_eq!(index, "50");
    write_chunk(&new, &site.drains(51));
    site.router.wait_for_log("endpoint list applied version=51 ");
    assert!(site.last.elapsed() < Duration::from_secs(6), "{:?}", site.last.elapsed());
    site.drained(51);
    // The old one speaks again too late: what it says now is another watch's business.
    _ = site.old().write_all(b"1\r\n\n\r\n");
    site.drained(51);
}

#[test]
fn update_missed_by_old_watch_arrives_on_new_watch() {
    let mut site = Site::start();
    let (_, _mute) = site.agent.next();
    // Version 51 never comes on the old one: the replica drains. 52 does.
    write_chunk(site.old(), &list_update(52, false, &[site.primary.entry("in_service")]));
    site.router.wait_for_log("endpoint list applied version=52 endpoints=2 ready=2 ");
    // One that was opened before may have asked before.
    _ = site.agent.next();
    let (index, new) = site.agent.watch();
    assert_eq!(index, "50", "what the old watch missed is asked for");
    write_chunk(
        &new,
        &list_update(52, false, &[site.replica.entry("terminating"), site.primary.entry("in_service")]),
    );
    site.drained(52);
}

#[test]
fn reset_during_change_loses_no_update() {
    let mut site = Site::start();
    let change = site.drains(51);
    write_chunk(site.old(), &change[..change.len() / 2]);
    reset(site.old.take().unwrap());
    // The same under a head alone, under the first byte of the line and under its last but one.
    for cut in [0, 1, change.len() - 2] {
        let (index, socket) = site.agent.watch();
        assert_eq!(index, "50", "half a change is none");
        if cut > 0 {
            write_chunk(&socket, &change[..cut]);
        }
        reset(socket);
    }
    let (index, new) = site.agent.watch();
    assert_eq!(index, "50");
    write_chunk(&new, &change);
    site.drained(51);
}

#[test]
fn sighup_during_silence_moves_watch_at_once() {
    let mut site = Site::start();
    let (_, _mute) = site.agent.next();
    site.router.wait_for_log("discovery watch stale, opening another silent=2.6s");
    let new = Agent::start();
    site.moves(new.addr);
    let moved = Instant::now();
    // The new agent's first is mute as well.
    let (index, _mute) = new.next();
    assert_eq!(index, "50");
    let (index, socket) = new.watch();
    assert_eq!(index, "50");
    write_chunk(&socket, &site.drains(51));
    site.router.wait_for_log("endpoint list applied version=51 ");
    assert!(moved.elapsed() < Duration::from_secs(4), "{:?}", moved.elapsed());
    site.drained(51);
}

#[test]
fn sighup_to_refusing_address_keeps_old_watch() {
    let mut site = Site::start();
    site.moves(unused_addresses(1)[0]);
    site.router.wait_for_log("discovery watch broken");
    write_chunk(site.old(), &site.drains(51));
    site.drained(51);
    let up = list_update(52, false, &[site.replica.entry("in_service")]);
    write_chunk(site.old(), &up);
    site.router.wait_for_log("endpoint list applied version=52 endpoints=2 ready=2 ");
    let new = Agent::start();
    site.moves(new.addr);
    let (index, socket) = new.watch();
    assert_eq!(index, "52");
    write_chunk(&socket, &site.drains(53));
    site.drained(53);
}

/// Idle clients that come again whenever they are let go.
struct Crowd {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Crowd {
    fn start(addr: SocketAddr, n: usize) -> Crowd {
        let stop = Arc::new(AtomicBool::new(false));
        let one = |_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let Ok(mut socket) = TcpStream::connect(addr) else { continue };
                    _ = socket.write_all(b"\0\0\0\x26\0\x03\0\0user\0worker\0database\0catalog\0\0");
                    _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
                    while !stop.load(Ordering::SeqCst)
                        && match socket.read(&mut [0; 256]) {
                            Ok(n) => n > 0,
                            Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
                        }
                    {}
                }
            })
        };
        let threads = (0..n).map(one).collect();
        Crowd { stop, threads }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|t| t.join().unwrap());
    }
}

/// How many descriptors a process holds.
fn open_descriptors(of: &Program) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", of.child.id())).unwrap().count()
}

#[test]
fn idle_clients_do_not_block_watch_or_sighup() {
    crowded(&|_| {});
}

#[test]
fn stuck_admin_callers_do_not_block_watch_or_sighup() {
    let door = unused_addresses(1)[0];
    crowded(&|config| config["admin_addr"] = json!(door.to_string()));
}

/// A router that may hold 64 descriptors, its clients' places and its door full, before an agent that falls silent.
fn crowded(change: &dyn Fn(&mut Value)) {
    let (program, kept) = (env!("CARGO_BIN_EXE_damsonvale"), TestFolder::new());
    let (tmp, least) = (kept.path().display().to_string(), json!(64));
    let change = |config: &mut Value| {
        config["limits"]["sockets"] = least.clone();
        change(config);
    };
    let mut site = Site::start_by(change, |path| {
        let line = format!("ulimit -n 64; TMPDIR='{tmp}' BALANCER_CONFIG='{path}' exec {program}");
        Program::shell(&line)
    });
    let mut now = config(site.agent.addr, vec![]);
    change(&mut now);
    let door = now["admin_addr"].as_str().map(|at| at.parse::<SocketAddr>().unwrap());
    let callers: Vec<TcpStream> =
        door.iter().flat_map(|door| (0..40).map(move |_| TcpStream::connect(door).unwrap())).collect();
    let before = open_descriptors(&site.router);
    let crowd = Crowd::start(site.addr, 60);
    let begun = Instant::now();
    while open_descriptors(&site.router) < before + 12 {
        assert!(begun.elapsed() < TIMEOUT, "clients do not fill their places");
    }
    // The agent falls silent; what it takes stays mute. Ten are opened one after another, six at a time.
    let mute: Vec<_> = (0..10).map(|_| site.agent.next()).collect();
    assert!(mute.iter().all(|(index, _)| index == "50"));
    let (_, new) = site.agent.watch();
    write_chunk(&new, &site.drains(51));
    site.drained(51);
    let next = Agent::start();
    let mut moved = config(next.addr, vec![]);
    change(&mut moved);
    site.folder.write("config.json", &moved.to_string());
    site.router.signal(Signal::SIGHUP);
    let (index, socket) = next.watch();
    assert_eq!(index, "51");
    write_chunk(&socket, &list_update(52, false, &[site.replica.entry("in_service")]));
    site.router.wait_for_log("endpoint list applied version=52 endpoints=2 ready=2 ");
    Client::connect(site.addr).query_until_served_by(&select("back", 1900), "replica");
    assert_eq!(Client::connect(site.addr).query(&insert("w1", 1900)), served("primary"));
    drop((crowd, callers));
    let short = |l: &&String| l.contains("open files");
    assert_eq!(site.router.log_lines().iter().find(short), None);
}

#[test]
fn endless_lists_are_bounded_in_memory() {
    let loud = |path: &str| [("BALANCER_CONFIG", path.to_string()), ("DAMSONVALE_LOG", "debug".to_string())];
    let mut site = Site::start_by(
        |_| {},
        |path| Program::start(&[], &loud(path).each_ref().map(|(name, value)| (*name, value.as_str()))),
    );
    site.old = None;
    let bytes = format!("{:x}\r\n{}\r\n", 1 << 16, "a".repeat(1 << 16));
    let peak = |of: &Program| {
        let status = std::fs::read_to_string(format!("/proc/{}/status", of.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() / 1024
    };
    let before = peak(&site.router);
    for _ in 0..5 {
        let (index, mut socket) = site.agent.watch();
        assert_eq!(index, "50");
        write_chunk(&socket, "{\"version\":51,\"x\":\"");
        while socket.write_all(bytes.as_bytes()).is_ok() {}
    }
    site.router.wait_for_log("longer than 4194304 bytes");
    let (_, socket) = site.agent.watch();
    write_chunk(&socket, &site.drains(51));
    site.drained(51);
    let grown = peak(&site.router) - before;
    assert!(grown < 64, "{grown} MiB more");
}
