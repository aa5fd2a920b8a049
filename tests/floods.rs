//! Many clients that send large amounts of data, stop in the middle of a message, or do not read their
//! responses. The program's memory has to stay within its limit, other clients have to be served meanwhile,
//! and the descriptors that the flood used have to be closed after it.
mod common;
use common::TIMEOUT;
use common::client::{Client, select};
use common::discovery::Discovery;
use common::environment::TestFolder;
use common::platform::config;
use common::program::Program;
use common::scripted_instance::ScriptedInstance;
use common::wire::{message, read_message};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Memory limit in the router's configuration, in MiB.
const MEMORY_LIMIT_MIB: u64 = 192;
/// Maximum response time for a client outside the flood: the request's deadline plus a margin for a busy
/// machine.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(4);
/// Number of bytes that one flooding client sends.
const FLOOD_BYTES: usize = 60 << 20;

/// Each test holds this lock, so that only one flood runs at a time: response times to other clients are
/// measured during the flood.
static FLOOD_LOCK: Mutex<()> = Mutex::new(());

struct Setup {
    router: Program,
    addr: SocketAddr,
    instances: [SocketAddr; 2],
    _discovery: Discovery,
    _folder: TestFolder,
    _flood_guard: MutexGuard<'static, ()>,
}

/// Starts a router with a primary and a replica that respond with this value.
fn start(value: &'static str) -> Setup {
    let flood_guard = FLOOD_LOCK.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let (primary, replica) =
        (ScriptedInstance::start(value, true).0, ScriptedInstance::start(value, false).0);
    let (discovery, folder) = (Discovery::start(), TestFolder::new());
    let entry = |of: &ScriptedInstance, id: &str| {
        let mut entry = of.entry("in_service");
        entry["id"] = json!(id);
        entry
    };
    let mut config = config(discovery.addr, vec![entry(&primary, "primary"), entry(&replica, "replica")]);
    config["limits"]["sockets"] = json!(1024);
    config["limits"]["memory_mb"] = json!(MEMORY_LIMIT_MIB);
    let path = folder.write("config.json", &config.to_string());
    let mut router = Program::serve_platform(&path);
    let addr = router.listening_address();
    Client::connect(addr).query_until_served_by(&select("warm", 1900), value);
    Setup {
        router,
        addr,
        instances: [primary.addr, replica.addr],
        _discovery: discovery,
        _folder: folder,
        _flood_guard: flood_guard,
    }
}

impl Setup {
    fn proc_path(&self, name: &str) -> String {
        format!("/proc/{}/{name}", self.router.child.id())
    }

    /// Number of the router's open descriptors, without its connections to instances, which stay open for a
    /// while when idle.
    fn descriptor_count(&self) -> usize {
        const ESTABLISHED: &str = "01";
        const CLOSE_WAIT: &str = "08";
        let connections = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let is_backend_connection = |line: &&str| {
            let mut fields = line.split_ascii_whitespace().skip(2);
            let (remote_address, state) = (fields.next().unwrap_or(""), fields.next().unwrap_or(""));
            let is_instance =
                self.instances.iter().any(|a| remote_address.ends_with(&format!(":{:04X}", a.port())));
            is_instance && matches!(state, ESTABLISHED | CLOSE_WAIT)
        };
        let backend_connections = connections.lines().filter(is_backend_connection).count();
        std::fs::read_dir(self.proc_path("fd")).unwrap().count().saturating_sub(backend_connections)
    }

    /// Peak resident memory of the router so far, in MiB.
    fn peak_memory_mib(&self) -> u64 {
        let status = std::fs::read_to_string(self.proc_path("status")).unwrap();
        let value = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
        value.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap() / 1024
    }

    /// Waits until the router has no more open descriptors than this.
    fn wait_until_descriptors_at_most(&self, max_descriptors: usize) {
        let started_at = Instant::now();
        while self.descriptor_count() > max_descriptors {
            let now = self.descriptor_count();
            assert!(
                now <= max_descriptors || started_at.elapsed() < TIMEOUT,
                "{now} descriptors are open, {max_descriptors} were before the flood; peak memory {} MiB",
                self.peak_memory_mib()
            );
            std::thread::yield_now();
        }
    }

    /// Starts a client that sends one request after another until the flood has ended.
    fn start_other_client(&self, value: &'static str) -> OtherClient {
        let (addr, flood_ended) = (self.addr, Arc::new(AtomicBool::new(false)));
        let (ended, (response_sender, first_response)) = (flood_ended.clone(), channel());
        let thread = std::thread::spawn(move || {
            let mut socket = connect(addr).unwrap();
            let (mut max_response_time, mut responses, mut rejected) = (Duration::ZERO, 0_u32, 0);
            while responses == 0 || !ended.load(Ordering::SeqCst) {
                let (sent_at, sql) = (Instant::now(), select(&format!("other{responses}"), 1900));
                let response = query(&socket, &sql).or_else(|_| {
                    // A router may close a connection between requests; the client retries once on a new
                    // connection.
                    socket = connect(addr)?;
                    query(&socket, &sql)
                });
                match response.expect("the other client got no response") {
                    (value_received, _) if value_received == value.as_bytes() => {}
                    (_, code) if code == "53300" => rejected += 1,
                    (_, code) => panic!("error {code} after {:?}", sent_at.elapsed()),
                }
                max_response_time = max_response_time.max(sent_at.elapsed());
                responses += 1;
                _ = response_sender.send(());
            }
            // After the flood, requests have to be served again.
            Client::connect(addr).query_until_served_by(&select("after", 1900), value);
            assert!(rejected < responses, "{rejected} of {responses} requests rejected");
            println!(
                "other client: {responses} responses, {rejected} rejected, maximum {max_response_time:?}"
            );
            OtherClientStats { rejected, max_response_time }
        });
        first_response.recv_timeout(TIMEOUT).unwrap();
        OtherClient { flood_ended, thread }
    }

    /// Checks memory, descriptors and the other client's requests after a flood. With `has_spare_capacity`,
    /// the flood left capacity at the instances, so no request of the other client may have been rejected.
    fn assert_bounds_held(
        &self,
        other_client: OtherClient,
        max_descriptors: usize,
        has_spare_capacity: bool,
    ) {
        self.wait_until_descriptors_at_most(max_descriptors);
        other_client.flood_ended.store(true, Ordering::SeqCst);
        let stats = other_client.thread.join().expect("the other client failed");
        let peak_memory_mib = self.peak_memory_mib();
        println!("peak memory: {peak_memory_mib} MiB");
        assert!(stats.max_response_time < MAX_RESPONSE_TIME, "{stats:?}");
        assert!(!has_spare_capacity || stats.rejected == 0, "{stats:?}");
        assert!(
            peak_memory_mib < MEMORY_LIMIT_MIB,
            "peak memory {peak_memory_mib} MiB, limit {MEMORY_LIMIT_MIB} MiB"
        );
    }
}

/// Opens a connection and completes its startup.
fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let mut socket = TcpStream::connect(addr)?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    socket.write_all(&startup_message())?;
    while read_message(&socket)?.0 != b'Z' {}
    Ok(socket)
}

/// Sends a query; returns the value of the response's row and the error's SQLSTATE code, each empty where
/// there is none.
fn query(mut socket: &TcpStream, sql: &str) -> std::io::Result<(Vec<u8>, String)> {
    socket.write_all(&message(b'Q', format!("{sql}\0").as_bytes()))?;
    let (mut value, mut code) = (Vec::new(), String::new());
    loop {
        match read_message(socket)? {
            (b'D', body) => value = body[6..].to_vec(),
            (b'E', body) => {
                let text = String::from_utf8(body).unwrap();
                code = text.split('\0').find_map(|p| p.strip_prefix('C')).unwrap().to_string();
            }
            (b'Z', _) => return Ok((value, code)),
            _ => {}
        }
    }
}

struct OtherClient {
    flood_ended: Arc<AtomicBool>,
    thread: JoinHandle<OtherClientStats>,
}

/// Results of the other client's requests.
#[derive(Debug)]
struct OtherClientStats {
    rejected: u32,
    max_response_time: Duration,
}

fn startup_message() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// Sends `head`, then `piece` repeatedly until `FLOOD_BYTES` are sent or the router closes the connection.
fn send_flood(addr: SocketAddr, head: &[u8], piece: &[u8]) {
    let Ok(mut socket) = TcpStream::connect(addr) else { return };
    // The router may stop reading long before the client has sent everything; the write then times out, which
    // ends the flood.
    socket.set_write_timeout(Some(Duration::from_secs(8))).unwrap();
    let pieces = piece.repeat((1 << 16) / piece.len() + 1);
    let mut sent = 0;
    if socket.write_all(head).is_err() {
        return;
    }
    while sent < FLOOD_BYTES && socket.write_all(&pieces).is_ok() {
        sent += pieces.len();
    }
}

/// The floods: a name, the bytes sent first, and the bytes sent repeatedly. The router closes the connection
/// of each but the last three, which are valid commands that it executes.
fn flood_cases() -> Vec<(&'static str, Vec<u8>, Vec<u8>)> {
    let statement = |id: &str, filler: usize| {
        let text = format!(
            "SELECT body FROM objects WHERE oid = '{}' /* id={id},c=read,d=1900,cluster=3 */\0",
            "f".repeat(filler)
        );
        message(b'Q', text.as_bytes())
    };
    vec![
        ("statements", startup_message(), statement("flood", 8)),
        ("long statements", startup_message(), statement("flood", 150_000)),
        (
            "message above the length limit",
            [startup_message(), b"Q\x03\xc0\0\0".to_vec()].concat(),
            vec![b'x'; 4096],
        ),
        (
            "message near the length limit",
            [startup_message(), b"Q\0\x02\x7f\0".to_vec()].concat(),
            vec![b'x'; 4096],
        ),
        ("noise", startup_message(), (0..=255_u8).rev().collect()),
        ("noise from the first byte", vec![], (0..=255_u8).collect()),
        ("startups", vec![], startup_message()),
        ("statements without a class", startup_message(), message(b'Q', b"SELECT 1\0")),
        ("syncs", startup_message(), message(b'S', b"")),
        ("empty queries", startup_message(), message(b'Q', b"\0")),
    ]
}

#[test]
fn flooding_client_barely_delays_others_and_leaves_nothing_open() {
    let setup = start("value");
    let other_client = setup.start_other_client("value");
    let before = setup.descriptor_count();
    for (name, head, piece) in flood_cases() {
        let started_at = Instant::now();
        send_flood(setup.addr, &head, &piece);
        println!("{name}: {:?}, {} MiB", started_at.elapsed(), setup.peak_memory_mib());
    }
    setup.assert_bounds_held(other_client, before, true);
}

#[test]
fn hundreds_of_flooding_clients_stay_within_memory_limit() {
    let setup = start("value");
    let other_client = setup.start_other_client("value");
    let before = setup.descriptor_count();
    std::thread::scope(|s| {
        for _ in 0..30 {
            for (_, head, piece) in flood_cases().into_iter().take(7) {
                let addr = setup.addr;
                s.spawn(move || send_flood(addr, &head, &piece));
            }
        }
    });
    setup.assert_bounds_held(other_client, before, false);
}

#[test]
fn incomplete_messages_time_out_and_connections_are_closed() {
    let setup = start("value");
    let other_client = setup.start_other_client("value");
    let before = setup.descriptor_count();
    let incomplete_message = [startup_message(), b"Q\0\x02\x7f\0".to_vec(), vec![b'x'; 120_000]].concat();
    let sockets: Vec<TcpStream> = (0..300)
        .map(|_| {
            let mut socket = TcpStream::connect(setup.addr).unwrap();
            socket.set_read_timeout(Some(TIMEOUT)).unwrap();
            // The router may already have closed the connection if it is short of memory.
            _ = socket.write_all(&incomplete_message);
            socket
        })
        .collect();
    for mut socket in sockets {
        // The router sends its greeting and an error and closes the connection, or resets it.
        if let Err(e) = socket.read_to_end(&mut Vec::new()) {
            assert_ne!(e.kind(), std::io::ErrorKind::WouldBlock, "the router did not close the connection");
        }
    }
    setup.assert_bounds_held(other_client, before, true);
}

#[test]
fn clients_that_do_not_read_use_bounded_memory_and_are_closed() {
    const VALUE: usize = 60_000;
    let value: &str = "v".repeat(VALUE).leak();
    let setup = start(value);
    let other_client = setup.start_other_client(value);
    let before = setup.descriptor_count();
    // 60 clients request 3.6 MB each at the same time: 216 MB of responses.
    let sockets: Vec<TcpStream> = (0..60)
        .map(|n| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_recv_buffer_size(4096).unwrap();
            socket.connect(&setup.addr.into()).unwrap();
            let mut socket = TcpStream::from(socket);
            let encode_query =
                |i| message(b'Q', format!("{}\0", select(&format!("n{n}i{i}"), 1900)).as_bytes());
            let queries: Vec<u8> = (0..60).flat_map(encode_query).collect();
            socket.write_all(&[startup_message(), queries].concat()).unwrap();
            socket
        })
        .collect();
    // The router closes the connections although the clients have read nothing.
    setup.assert_bounds_held(other_client, before, false);
    drop(sockets);
}
