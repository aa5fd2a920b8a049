//! Clients that send much at once, stop midway or take no answers, many together: the program's memory stays within its
//! bound, others are answered meanwhile, and what the flood held is free again after it.
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

/// What the configuration allows, in MiB.
const MEMORY: u64 = 192;
/// The longest that anybody else may wait for an answer: its request's time, and what a busy machine adds.
const OTHERS: Duration = Duration::from_secs(4);
/// What one client sends at once.
const MUCH: usize = 60 << 20;

/// One flood at a time: each is held against what others get of this machine meanwhile.
static ALONE: Mutex<()> = Mutex::new(());

struct Site {
    router: Program,
    addr: SocketAddr,
    instances: [SocketAddr; 2],
    _discovery: Discovery,
    _folder: TestFolder,
    _alone: MutexGuard<'static, ()>,
}

/// Instances that answer with this value.
fn site(value: &'static str) -> Site {
    let alone = ALONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
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
    config["limits"]["memory_mb"] = json!(MEMORY);
    let path = folder.write("config.json", &config.to_string());
    let mut router = Program::serve_platform(&path);
    let addr = router.listening_address();
    Client::connect(addr).query_until_served_by(&select("warm", 1900), value);
    Site {
        router,
        addr,
        instances: [primary.addr, replica.addr],
        _discovery: discovery,
        _folder: folder,
        _alone: alone,
    }
}

impl Site {
    fn proc(&self, name: &str) -> String {
        format!("/proc/{}/{name}", self.router.child.id())
    }

    /// Descriptors that it holds, but for its links to instances: these rest for a while.
    fn descriptors(&self) -> usize {
        const ESTABLISHED: &str = "01";
        const CLOSE_WAIT: &str = "08";
        let connections = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let is_link = |line: &&str| {
            let mut fields = line.split_ascii_whitespace().skip(2);
            let (to, state) = (fields.next().unwrap_or(""), fields.next().unwrap_or(""));
            let to_instance = self.instances.iter().any(|a| to.ends_with(&format!(":{:04X}", a.port())));
            to_instance && matches!(state, ESTABLISHED | CLOSE_WAIT)
        };
        let links = connections.lines().filter(is_link).count();
        std::fs::read_dir(self.proc("fd")).unwrap().count().saturating_sub(links)
    }

    /// The most memory that it has had so far, in MiB.
    fn peak(&self) -> u64 {
        let status = std::fs::read_to_string(self.proc("status")).unwrap();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap() / 1024
    }

    /// Waits until it holds no more descriptors than this.
    fn back_to(&self, descriptors: usize) {
        let begun = Instant::now();
        while self.descriptors() > descriptors {
            let now = self.descriptors();
            assert!(
                now <= descriptors || begun.elapsed() < TIMEOUT,
                "{now} descriptors, {descriptors} before; {} MiB",
                self.peak()
            );
            std::thread::yield_now();
        }
    }

    /// A client that asks one thing after the other while this lasts.
    fn asker(&self, value: &'static str) -> Asker {
        let (addr, over) = (self.addr, Arc::new(AtomicBool::new(false)));
        let (own, (first, begun)) = (over.clone(), channel());
        let asks = std::thread::spawn(move || {
            let mut socket = connect(addr).unwrap();
            let (mut worst, mut answers, mut refused) = (Duration::ZERO, 0_u32, 0);
            while answers == 0 || !own.load(Ordering::SeqCst) {
                let (asked, sql) = (Instant::now(), select(&format!("other{answers}"), 1900));
                let answer = query(&socket, &sql).or_else(|_| {
                    // A router may close a connection between requests; the client asks once more on another.
                    socket = connect(addr)?;
                    query(&socket, &sql)
                });
                match answer.expect("an answer") {
                    (got, _) if got == value.as_bytes() => {}
                    (_, code) if code == "53300" => refused += 1,
                    (_, code) => panic!("{code} after {:?}", asked.elapsed()),
                }
                worst = worst.max(asked.elapsed());
                answers += 1;
                _ = first.send(());
            }
            // It is served again once the flood is over.
            Client::connect(addr).query_until_served_by(&select("after", 1900), value);
            assert!(refused < answers, "{refused} of {answers} refused");
            println!("{answers} answers to another client, {refused} refused, after {worst:?} at most");
            Others { refused, worst }
        });
        begun.recv_timeout(TIMEOUT).unwrap();
        Asker { over, asks }
    }

    /// Holds the flood against its bounds; `room` says that it left instances room for everybody.
    fn assert_bounds_held(&self, asker: Asker, descriptors: usize, room: bool) {
        self.back_to(descriptors);
        asker.over.store(true, Ordering::SeqCst);
        let others = asker.asks.join().expect("others are answered");
        let peak = self.peak();
        println!("at most {peak} MiB");
        assert!(others.worst < OTHERS, "{others:?}");
        assert!(!room || others.refused == 0, "{others:?}");
        assert!(peak < MEMORY, "{peak} MiB");
    }
}

/// A connection that has been greeted.
fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let mut socket = TcpStream::connect(addr)?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    socket.write_all(&startup())?;
    while read_message(&socket)?.0 != b'Z' {}
    Ok(socket)
}

/// The value or the code of an error that comes back.
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

struct Asker {
    over: Arc<AtomicBool>,
    asks: JoinHandle<Others>,
}

/// What came of another client's requests.
#[derive(Debug)]
struct Others {
    refused: u32,
    worst: Duration,
}

fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// Sends this piece over and over, `MUCH` in all or until the router has ended the connection, and goes.
fn send_much(addr: SocketAddr, head: &[u8], piece: &[u8]) {
    let Ok(mut socket) = TcpStream::connect(addr) else { return };
    // One that the router holds up by not reading has been sent far less than it wants; it goes in the end.
    socket.set_write_timeout(Some(Duration::from_secs(8))).unwrap();
    let pieces = piece.repeat((1 << 16) / piece.len() + 1);
    let mut sent = 0;
    if socket.write_all(head).is_err() {
        return;
    }
    while sent < MUCH && socket.write_all(&pieces).is_ok() {
        sent += pieces.len();
    }
}

/// What is ended for what it is; the last three are commands like others, and are carried out.
fn floods() -> Vec<(&'static str, Vec<u8>, Vec<u8>)> {
    let statement = |id: &str, filler: usize| {
        let text = format!(
            "SELECT body FROM objects WHERE oid = '{}' /* id={id},c=read,d=1900,cluster=3 */\0",
            "f".repeat(filler)
        );
        message(b'Q', text.as_bytes())
    };
    vec![
        ("statements", startup(), statement("flood", 8)),
        ("long statements", startup(), statement("flood", 150_000)),
        ("one long message", [startup(), b"Q\x03\xc0\0\0".to_vec()].concat(), vec![b'x'; 4096]),
        ("a longest message", [startup(), b"Q\0\x02\x7f\0".to_vec()].concat(), vec![b'x'; 4096]),
        ("noise", startup(), (0..=255_u8).rev().collect()),
        ("noise from the first byte", vec![], (0..=255_u8).collect()),
        ("startups", vec![], startup()),
        ("statements of no class", startup(), message(b'Q', b"SELECT 1\0")),
        ("syncs", startup(), message(b'S', b"")),
        ("empty queries", startup(), message(b'Q', b"\0")),
    ]
}

#[test]
fn burst_clients_delay_others_little_and_leave_no_memory() {
    let site = site("value");
    let asker = site.asker("value");
    let before = site.descriptors();
    for (name, head, piece) in floods() {
        let begun = Instant::now();
        send_much(site.addr, &head, &piece);
        println!("{name}: {:?}, {} MiB", begun.elapsed(), site.peak());
    }
    site.assert_bounds_held(asker, before, true);
}

#[test]
fn hundreds_of_burst_clients_stay_within_memory() {
    let site = site("value");
    let asker = site.asker("value");
    let before = site.descriptors();
    std::thread::scope(|s| {
        for _ in 0..30 {
            for (_, head, piece) in floods().into_iter().take(7) {
                let addr = site.addr;
                s.spawn(move || send_much(addr, &head, &piece));
            }
        }
    });
    site.assert_bounds_held(asker, before, false);
}

#[test]
fn incomplete_messages_time_out_and_free_memory() {
    let site = site("value");
    let asker = site.asker("value");
    let before = site.descriptors();
    let half = [startup(), b"Q\0\x02\x7f\0".to_vec(), vec![b'x'; 120_000]].concat();
    let all: Vec<TcpStream> = (0..300)
        .map(|_| {
            let mut socket = TcpStream::connect(site.addr).unwrap();
            socket.set_read_timeout(Some(TIMEOUT)).unwrap();
            // Ended already where memory is short.
            _ = socket.write_all(&half);
            socket
        })
        .collect();
    for mut socket in all {
        // Greeted, told and ended, or reset.
        if let Err(e) = socket.read_to_end(&mut Vec::new()) {
            assert_ne!(e.kind(), std::io::ErrorKind::WouldBlock, "it is not let go");
        }
    }
    site.assert_bounds_held(asker, before, true);
}

#[test]
fn clients_that_do_not_read_are_bounded_and_closed() {
    const VALUE: usize = 60_000;
    let value: &str = "v".repeat(VALUE).leak();
    let site = site(value);
    let asker = site.asker(value);
    let before = site.descriptors();
    // 60 of them ask for 3.6 MB each, all at once: 216 MB of answers.
    let all: Vec<TcpStream> = (0..60)
        .map(|n| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_recv_buffer_size(4096).unwrap();
            socket.connect(&site.addr.into()).unwrap();
            let mut socket = TcpStream::from(socket);
            let ask = |i| message(b'Q', format!("{}\0", select(&format!("n{n}i{i}"), 1900)).as_bytes());
            let asks: Vec<u8> = (0..60).flat_map(ask).collect();
            socket.write_all(&[startup(), asks].concat()).unwrap();
            socket
        })
        .collect();
    // Ended by the router, with nothing read.
    site.assert_bounds_held(asker, before, false);
    drop(all);
}
