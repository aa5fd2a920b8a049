//! Runs the program against a discovery service that goes silent, resets its connections, changes its
//! address, or sends endless responses.
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

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A stand-in discovery service. The test gets each watch with the index that it requested, before any
/// response is written.
struct ScriptedDiscovery {
    addr: SocketAddr,
    watches: Receiver<(String, TcpStream)>,
}

impl ScriptedDiscovery {
    fn start() -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (watch_sender, watches) = channel();
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let (socket, mut request) = (socket.unwrap(), String::new());
                socket.set_nodelay(true).unwrap();
                let mut from = BufReader::new(socket.try_clone().unwrap());
                while !request.ends_with("\r\n\r\n") && from.read_line(&mut request).is_ok_and(|n| n > 0) {}
                let index = request.split("index=").nth(1).and_then(|r| r.split(' ').next()).unwrap_or("");
                if watch_sender.send((index.to_string(), socket)).is_err() {
                    return;
                }
            }
        });
        ScriptedDiscovery { addr, watches }
    }

    /// The next watch, before anything is written to it.
    fn next_request(&self) -> (String, TcpStream) {
        self.watches.recv_timeout(TIMEOUT).expect("no watch within the timeout")
    }

    /// The next watch, after the HTTP response's head has been written to it.
    fn next_watch(&self) -> (String, TcpStream) {
        let (index, socket) = self.next_request();
        (&socket).write_all(RESPONSE_HEAD.as_bytes()).unwrap();
        (index, socket)
    }
}

fn write_chunk(mut to: &TcpStream, text: &str) {
    to.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).unwrap();
}

/// Closes a connection with a TCP reset.
fn reset(socket: TcpStream) {
    SockRef::from(&socket).set_linger(Some(Duration::ZERO)).unwrap();
}

fn list_update(version: u64, full: bool, servers: &[Value]) -> String {
    json!({"version": version, "full": full, "servers": servers}).to_string() + "\n"
}

/// A router whose discovery service has sent a list with a primary and a replica, version 50, on a watch that
/// is still open.
struct Setup {
    folder: TestFolder,
    discovery: ScriptedDiscovery,
    first_watch: Option<TcpStream>,
    /// Time at which the list was sent on the first watch.
    list_sent_at: Instant,
    router: Program,
    addr: SocketAddr,
    primary: ScriptedInstance,
    replica: ScriptedInstance,
}

impl Setup {
    fn start() -> Setup {
        Setup::start_with(|_| {}, |path| Program::start(&[], &[("BALANCER_CONFIG", path)]))
    }

    fn start_with(change: impl Fn(&mut Value), start: impl Fn(&str) -> Program) -> Setup {
        let (primary, replica) =
            (ScriptedInstance::start("primary", true).0, ScriptedInstance::start("replica", false).0);
        let (discovery, folder) = (ScriptedDiscovery::start(), TestFolder::new());
        let initial_list = vec![primary.entry("in_service"), replica.entry("in_service")];
        let mut config = config(discovery.addr, vec![]);
        change(&mut config);
        let path = folder.write("config.json", &config.to_string());
        let mut router = start(path.to_str().unwrap());
        let (_, first_watch) = discovery.next_watch();
        write_chunk(&first_watch, &list_update(50, true, &initial_list));
        let list_sent_at = Instant::now();
        router.wait_for_log("endpoint list applied version=50 endpoints=2 ready=2 ");
        let addr = router.listening_address();
        Client::connect(addr).query_until_served_by(&select("warm", 1900), "replica");
        Setup {
            folder,
            discovery,
            first_watch: Some(first_watch),
            list_sent_at,
            router,
            addr,
            primary,
            replica,
        }
    }

    fn first_watch(&self) -> &TcpStream {
        self.first_watch.as_ref().unwrap()
    }

    /// An update that drains the replica.
    fn drain_update(&self, version: u64) -> String {
        list_update(version, false, &[self.replica.entry("terminating")])
    }

    /// Waits until the update of this version takes effect, and checks that the replica gets no further
    /// request.
    fn assert_drained(&mut self, version: u64) {
        self.router.wait_for_log(&format!("endpoint list applied version={version} endpoints=2 ready=1 "));
        // The line is logged before the router's state machine receives the list, so the first requests may
        // still go to the replica.
        let client = Client::connect(self.addr);
        client.query_until_served_by(&select(&format!("told{version}"), 1900), "primary");
        for n in 0..10 {
            let id = format!("after{version}.{n}");
            assert_eq!(client.query(&select(&id, 1900)), served("primary"));
            assert_eq!(self.replica.executions_of(&id), 0, "the drained replica executed a request");
        }
    }

    /// Reloads the configuration with another discovery address, and waits until the watch moves.
    fn move_discovery_to(&mut self, to: SocketAddr) {
        let config = config(to, vec![]);
        self.folder.write("config.json", &config.to_string());
        self.router.signal(Signal::SIGHUP);
        self.router.wait_for_log(&format!("discovery watch moved addr={to}"));
    }
}

#[test]
fn update_on_new_watch_takes_effect_within_5_s() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sent_at_sender, list_sent_at) = channel();
    std::thread::spawn(move || {
        let mut open_sockets = Vec::new();
        for (n, socket) in listener.incoming().enumerate() {
            let mut socket = socket.unwrap();
            _ = socket.read(&mut [0; 1024]);
            // The first watch gets a list and then nothing; the next three watches get no response at all.
            if !(1..4).contains(&n) {
                let list = format!("{{\n \"version\": {},\n \"full\": true,\n \"servers\": []\n}}\n", 50 + n);
                _ = write!(socket, "{RESPONSE_HEAD}{:x}\r\n{list}\r\n", list.len());
                _ = sent_at_sender.send(Instant::now());
            }
            open_sockets.push(socket);
        }
    });
    let folder = TestFolder::new();
    let path = folder.write("config.json", &config(addr, vec![]).to_string());
    let mut router = Program::start(&[], &[("BALANCER_CONFIG", path.to_str().unwrap())]);
    router.wait_for_log("endpoint list applied version=50 ");
    let list_sent_at = list_sent_at.recv_timeout(TIMEOUT).unwrap();
    router.wait_for_log("discovery watch stale, opening another silent=2.6s");
    router.wait_for_log("endpoint list applied version=54 ");
    assert!(list_sent_at.elapsed() < Duration::from_secs(5), "{:?}", list_sent_at.elapsed());
}

#[test]
fn drain_on_new_watch_takes_effect_while_old_watch_hangs() {
    let mut setup = Setup::start();
    // The first new watch hangs after the response's head, the second in the middle of a line.
    let (index, _head) = setup.discovery.next_watch();
    assert_eq!(index, "50");
    let (_, incomplete_watch) = setup.discovery.next_watch();
    write_chunk(&incomplete_watch, &setup.drain_update(51)[..30]);
    let (index, new_watch) = setup.discovery.next_watch();
    assert_eq!(index, "50");
    write_chunk(&new_watch, &setup.drain_update(51));
    setup.router.wait_for_log("endpoint list applied version=51 ");
    assert!(setup.list_sent_at.elapsed() < Duration::from_secs(6), "{:?}", setup.list_sent_at.elapsed());
    setup.assert_drained(51);
    // Data on the old watch has no effect once a new watch has replaced it.
    _ = setup.first_watch().write_all(b"1\r\n\n\r\n");
    setup.assert_drained(51);
}

#[test]
fn update_missed_by_old_watch_arrives_on_new_watch() {
    let mut setup = Setup::start();
    let (_, _unanswered) = setup.discovery.next_request();
    // Version 51, which drains the replica, is never sent on the old watch; version 52 is.
    write_chunk(setup.first_watch(), &list_update(52, false, &[setup.primary.entry("in_service")]));
    setup.router.wait_for_log("endpoint list applied version=52 endpoints=2 ready=2 ");
    // This watch may have been opened before version 52 was received.
    _ = setup.discovery.next_request();
    let (index, new_watch) = setup.discovery.next_watch();
    assert_eq!(index, "50", "the new watch must request the versions that the old one missed");
    write_chunk(
        &new_watch,
        &list_update(52, false, &[setup.replica.entry("terminating"), setup.primary.entry("in_service")]),
    );
    setup.assert_drained(52);
}

#[test]
fn reset_during_update_loses_nothing() {
    let mut setup = Setup::start();
    let update = setup.drain_update(51);
    write_chunk(setup.first_watch(), &update[..update.len() / 2]);
    reset(setup.first_watch.take().unwrap());
    // The next watches are reset after the response's head, after the first byte of the update, and before
    // the last two bytes of the update.
    for length in [0, 1, update.len() - 2] {
        let (index, socket) = setup.discovery.next_watch();
        assert_eq!(index, "50", "an incomplete update must not be applied");
        if length > 0 {
            write_chunk(&socket, &update[..length]);
        }
        reset(socket);
    }
    let (index, new_watch) = setup.discovery.next_watch();
    assert_eq!(index, "50");
    write_chunk(&new_watch, &update);
    setup.assert_drained(51);
}

#[test]
fn sighup_during_silence_moves_watch_at_once() {
    let mut setup = Setup::start();
    let (_, _unanswered) = setup.discovery.next_request();
    setup.router.wait_for_log("discovery watch stale, opening another silent=2.6s");
    let new_discovery = ScriptedDiscovery::start();
    setup.move_discovery_to(new_discovery.addr);
    let moved_at = Instant::now();
    // The first watch at the new address gets no response either.
    let (index, _unanswered) = new_discovery.next_request();
    assert_eq!(index, "50");
    let (index, socket) = new_discovery.next_watch();
    assert_eq!(index, "50");
    write_chunk(&socket, &setup.drain_update(51));
    setup.router.wait_for_log("endpoint list applied version=51 ");
    assert!(moved_at.elapsed() < Duration::from_secs(4), "{:?}", moved_at.elapsed());
    setup.assert_drained(51);
}

#[test]
fn sighup_to_address_that_refuses_connections_keeps_old_watch() {
    let mut setup = Setup::start();
    setup.move_discovery_to(unused_addresses(1)[0]);
    setup.router.wait_for_log("discovery watch broken");
    write_chunk(setup.first_watch(), &setup.drain_update(51));
    setup.assert_drained(51);
    let update = list_update(52, false, &[setup.replica.entry("in_service")]);
    write_chunk(setup.first_watch(), &update);
    setup.router.wait_for_log("endpoint list applied version=52 endpoints=2 ready=2 ");
    let new_discovery = ScriptedDiscovery::start();
    setup.move_discovery_to(new_discovery.addr);
    let (index, socket) = new_discovery.next_watch();
    assert_eq!(index, "52");
    write_chunk(&socket, &setup.drain_update(53));
    setup.assert_drained(53);
}

/// Idle clients that reconnect whenever the router closes their connection.
struct IdleClients {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl IdleClients {
    fn start(addr: SocketAddr, n: usize) -> IdleClients {
        let stop = Arc::new(AtomicBool::new(false));
        let start_client = |_| {
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
        let threads = (0..n).map(start_client).collect();
        IdleClients { stop, threads }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|t| t.join().unwrap());
    }
}

/// Number of open descriptors of a process.
fn open_descriptors(of: &Program) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", of.child.id())).unwrap().count()
}

#[test]
fn idle_clients_do_not_block_watch_or_sighup() {
    check_with_descriptors_exhausted(&|_| {});
}

#[test]
fn stuck_admin_connections_do_not_block_watch_or_sighup() {
    let admin_address = unused_addresses(1)[0];
    check_with_descriptors_exhausted(&|config| config["admin_addr"] = json!(admin_address.to_string()));
}

/// Checks that a new watch and a SIGHUP work while idle clients, and admin connections where there is an
/// admin address, use up the descriptors of a router that is limited to 64, and its discovery service goes
/// silent.
fn check_with_descriptors_exhausted(change: &dyn Fn(&mut Value)) {
    let (program, temp_folder) = (env!("CARGO_BIN_EXE_damsonvale"), TestFolder::new());
    let (tmp, socket_limit) = (temp_folder.path().display().to_string(), json!(64));
    let change = |config: &mut Value| {
        config["limits"]["sockets"] = socket_limit.clone();
        change(config);
    };
    let mut setup = Setup::start_with(change, |path| {
        let line = format!("ulimit -n 64; TMPDIR='{tmp}' BALANCER_CONFIG='{path}' exec {program}");
        Program::shell(&line)
    });
    let mut initial_config = config(setup.discovery.addr, vec![]);
    change(&mut initial_config);
    let admin_address = initial_config["admin_addr"].as_str().map(|at| at.parse::<SocketAddr>().unwrap());
    let admin_connections: Vec<TcpStream> = admin_address
        .iter()
        .flat_map(|admin_address| (0..40).map(move |_| TcpStream::connect(admin_address).unwrap()))
        .collect();
    let before = open_descriptors(&setup.router);
    let idle_clients = IdleClients::start(setup.addr, 60);
    let started_at = Instant::now();
    while open_descriptors(&setup.router) < before + 12 {
        assert!(started_at.elapsed() < TIMEOUT, "idle clients do not use up the descriptors for clients");
    }
    // The discovery service goes silent and sends no response on new watches. Ten are opened in sequence, at
    // most six at a time.
    let unanswered: Vec<_> = (0..10).map(|_| setup.discovery.next_request()).collect();
    assert!(unanswered.iter().all(|(index, _)| index == "50"));
    let (_, watch) = setup.discovery.next_watch();
    write_chunk(&watch, &setup.drain_update(51));
    setup.assert_drained(51);
    let new_discovery = ScriptedDiscovery::start();
    let mut moved_config = config(new_discovery.addr, vec![]);
    change(&mut moved_config);
    setup.folder.write("config.json", &moved_config.to_string());
    setup.router.signal(Signal::SIGHUP);
    let (index, socket) = new_discovery.next_watch();
    assert_eq!(index, "51");
    write_chunk(&socket, &list_update(52, false, &[setup.replica.entry("in_service")]));
    setup.router.wait_for_log("endpoint list applied version=52 endpoints=2 ready=2 ");
    Client::connect(setup.addr).query_until_served_by(&select("back", 1900), "replica");
    assert_eq!(Client::connect(setup.addr).query(&insert("w1", 1900)), served("primary"));
    drop((idle_clients, admin_connections));
    let out_of_descriptors = |l: &&String| l.contains("open files");
    assert_eq!(setup.router.log_lines().iter().find(out_of_descriptors), None);
}

#[test]
fn endless_list_uses_bounded_memory() {
    let debug_env =
        |path: &str| [("BALANCER_CONFIG", path.to_string()), ("DAMSONVALE_LOG", "debug".to_string())];
    let mut setup = Setup::start_with(
        |_| {},
        |path| Program::start(&[], &debug_env(path).each_ref().map(|(name, value)| (*name, value.as_str()))),
    );
    setup.first_watch = None;
    let bytes = format!("{:x}\r\n{}\r\n", 1 << 16, "a".repeat(1 << 16));
    let peak_memory_mib = |of: &Program| {
        let status = std::fs::read_to_string(format!("/proc/{}/status", of.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() / 1024
    };
    let before = peak_memory_mib(&setup.router);
    for _ in 0..5 {
        let (index, mut socket) = setup.discovery.next_watch();
        assert_eq!(index, "50");
        write_chunk(&socket, "{\"version\":51,\"x\":\"");
        while socket.write_all(bytes.as_bytes()).is_ok() {}
    }
    setup.router.wait_for_log("longer than 4194304 bytes");
    let (_, socket) = setup.discovery.next_watch();
    write_chunk(&socket, &setup.drain_update(51));
    setup.assert_drained(51);
    let growth_mib = peak_memory_mib(&setup.router) - before;
    assert!(growth_mib < 64, "memory grew by {growth_mib} MiB");
}
