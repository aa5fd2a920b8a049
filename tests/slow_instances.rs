//! Instances that read requests or write responses slowly. A long response that still makes progress has to reach its
//! client whole if its last byte arrives by the deadline. A request that its instance does not take has to get its final
//! response at its deadline, although a write to the instance is blocked.
mod common;

use common::TIMEOUT;
use common::client::{Client, Response, insert, select};
use common::discovery::Discovery;
use common::environment::TestFolder;
use common::platform::config;
use common::program::Program;
use common::wire::{message, read_bytes, read_message, row_response};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Length of a long value, near the longest that the platform has.
const VALUE_BYTES: usize = 60_000;
/// Pieces in which a slow instance writes its response, and the pause before each.
const PIECES: usize = 24;
const PIECE_PAUSE: Duration = Duration::from_millis(50);
/// How long after its deadline a request may get its final response.
const LATE: Duration = Duration::from_millis(500);

/// How an instance treats requests; it responds to probes at once.
#[derive(Clone, Copy)]
enum Pace {
    /// Writes the response in pieces.
    WritesSlowly,
    /// Reads nothing of a request.
    ReadsNothing,
    /// Reads a few bytes of a request at a time.
    ReadsSlowly,
}

fn start_instance(pace: Pace) -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // With a small buffer, most of a request stays at the router until the instance reads it.
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(64).unwrap();
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            std::thread::spawn(move || serve(&socket, pace));
        }
    });
    addr
}

fn serve(mut socket: &TcpStream, pace: Pace) -> std::io::Result<()> {
    let length = read_bytes(socket, 4)?;
    read_bytes(socket, u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize - 4)?;
    let ready = message(b'Z', b"I");
    socket.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())?;
    loop {
        let mut start = [0; 5];
        socket.read_exact(&mut start)?;
        let length = u32::from_be_bytes([start[1], start[2], start[3], start[4]]) as usize - 4;
        let is_long = length > 10_000;
        match pace {
            Pace::ReadsNothing if is_long => std::thread::sleep(TIMEOUT),
            Pace::ReadsSlowly if is_long => read_slowly(socket, length)?,
            _ => {}
        }
        let text = String::from_utf8(read_bytes(socket, length)?).unwrap();
        if text.starts_with("SHOW stats") {
            let stats = row_response("x0=1.0,x1=1,util=0.1,queue=0");
            socket.write_all(&[stats, ready.clone()].concat())?;
            continue;
        }
        let mode = message(b'S', b"mode\0read-write\0");
        let response = [row_response(&"v".repeat(VALUE_BYTES)), mode, ready.clone()].concat();
        let pieces = if text.contains("id=slow") { PIECES } else { 1 };
        for piece in response.chunks(response.len().div_ceil(pieces)) {
            if pieces > 1 {
                std::thread::sleep(PIECE_PAUSE);
            }
            socket.write_all(piece)?;
        }
    }
}

/// Reads up to a few hundred bytes at a time, until the router closes the connection.
fn read_slowly(mut socket: &TcpStream, length: usize) -> std::io::Result<()> {
    let mut piece = [0; 256];
    for _ in 0..length / piece.len() {
        std::thread::sleep(PIECE_PAUSE);
        if socket.read(&mut piece)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

/// Starts a router with one instance, which is the primary.
fn start_router(pace: Pace) -> (Program, SocketAddr, TestFolder, Discovery) {
    let (discovery, folder) = (Discovery::start(), TestFolder::new());
    let entry = json!({"id": "primary", "addr": start_instance(pace).to_string(), "zone": "a", "kind": "k", "cell": 3,
        "state": "in_service", "weight": 1.0, "started_ms": 0, "mode": "read-write"});
    let path = folder.write("config.json", &config(discovery.addr, vec![entry]).to_string());
    let mut router = Program::serve_platform(&path);
    let addr = router.listening_address();
    Client::connect(addr).query_until_served_by(&select("warm", 1900), &"v".repeat(VALUE_BYTES));
    (router, addr, folder, discovery)
}

#[test]
fn long_response_that_makes_progress_is_complete() {
    let (_router, addr, _folder, _discovery) = start_router(Pace::WritesSlowly);
    let response = Client::connect(addr).query(&select("slow", 1900));
    assert_eq!(response, Response::Row("v".repeat(VALUE_BYTES)));
}

#[test]
fn request_that_its_instance_does_not_take_gets_its_response_at_the_deadline() {
    const DEADLINE_MS: u32 = 900;
    for pace in [Pace::ReadsNothing, Pace::ReadsSlowly] {
        let (_router, addr, _folder, _discovery) = start_router(pace);
        let client = Client::connect(addr);
        let long = insert("long", DEADLINE_MS).replace("'k1'", &format!("'{}'", "k".repeat(140_000)));
        let sent_at = Instant::now();
        client.send(&long);
        // What the response says does not matter here: the request may be rejected or fail.
        while read_message(&client.0).unwrap().0 != b'Z' {}
        let elapsed = sent_at.elapsed();
        assert!(elapsed < Duration::from_millis(u64::from(DEADLINE_MS)) + LATE, "{elapsed:?}");
    }
}
