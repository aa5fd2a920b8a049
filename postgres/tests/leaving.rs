//! The front with bounds that the program never has: no look at its clients, no thread for a writer.
use client_listener::{ClientListener, ClientServer};
use crossbeam_channel::{Sender, bounded};
use decision::{Class, Freshness, Idempotency};
use postgres::front::Front;
use postgres::link::Postgres;
use routing::{Clock, Metrics, RouterBuilder, Settings};
use settings::Limits;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Reached only by a failure.
const PATIENCE: Duration = Duration::from_secs(20);

fn settings() -> Settings {
    let (aim, deadline) = (10_000_000, 10_000_000);
    let (freshness, effect) = (Freshness::Write, Idempotency::NotIdempotent);
    let classes = vec![Class {
        freshness,
        idempotency: effect,
        latency_objective: aim,
        deadline,
        priority_weight: 1.0,
        late_weight_share: 1.0,
    }];
    let mysql = settings::operator::read(include_str!("../../deploy/mysql.toml")).unwrap().settings;
    Settings { classes, min_event_interval: 1_000, ..mysql }
}

/// A front that knows no instance: what is asked waits.
struct Running {
    addr: SocketAddr,
    figures: Arc<Metrics>,
    _orders: Sender<client_listener::ServerCommand>,
}

impl Running {
    /// Its front goes by bounds of its own.
    fn start(change: impl FnOnce(&mut Limits)) -> Running {
        let seconds = Duration::from_secs;
        let limits = Limits::new(4096, 64 << 20, Duration::from_millis(250), seconds(60), seconds(10));
        let mut own = limits.clone();
        change(&mut own);
        let (limits, own) = (Arc::new(limits), Arc::new(own));
        let names = ["order".to_string()];
        let figures = Metrics::new(&names).unwrap();
        let start = RouterBuilder {
            protocol: Postgres::new(limits.clone(), Clock::new()),
            settings: settings(),
            seed: 7,
            limits: limits.clone(),
            clock: Clock::new(),
            responded: None,
            metrics: Some(figures.clone()),
            placement: None,
        };
        let (handle, _list) = start.start().unwrap();
        let front = Front::new(handle, own, &names, &settings());
        let clients = ClientServer::new(front, limits, None);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (to, orders) = bounded(1);
        std::thread::spawn(move || clients.serve(ClientListener::Exclusive(listener), &orders).unwrap());
        Running { addr, figures, _orders: to }
    }

    /// Waits until so many requests are open.
    fn open(&self, n: i64) {
        let begun = Instant::now();
        while self.figures.requests_in_progress.get() != n {
            assert!(begun.elapsed() < PATIENCE, "{} are open", self.figures.requests_in_progress.get());
            std::thread::yield_now();
        }
    }
}

fn message(socket: &TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let (mut head, mut from) = ([0; 5], socket);
    from.read_exact(&mut head)?;
    let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
    from.read_exact(&mut body)?;
    Ok((head[0], body))
}

fn connect(addr: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(addr).unwrap();
    socket.set_read_timeout(Some(PATIENCE)).unwrap();
    (&socket).write_all(b"\0\0\0\x13\0\x03\0\0user\0till\0\0").unwrap();
    while message(&socket).unwrap().0 != b'Z' {}
    socket
}

fn query(id: &str, wait: u32) -> Vec<u8> {
    let sql = format!("INSERT INTO objects VALUES ('k') /* id={id},c=order,d={wait},cluster=3 */\0");
    [b"Q", &(sql.len() as u32 + 4).to_be_bytes()[..], sql.as_bytes()].concat()
}

/// The code of the next answer.
fn refusal(socket: &TcpStream) -> String {
    let (tag, body) = message(socket).unwrap();
    assert_eq!((tag, message(socket).unwrap().0), (b'E', b'Z'));
    let text = String::from_utf8(body).unwrap();
    text.split('\0').find_map(|f| f.strip_prefix('C')).unwrap().to_string()
}

#[test]
fn a_client_that_leaves_is_noticed_without_a_look_at_it() {
    let front = Running::start(|limits| limits.client_poll_interval = Duration::from_secs(3600));
    let socket = connect(front.addr);
    (&socket).write_all(&query("w1", 9000)).unwrap();
    front.open(1);
    let begun = Instant::now();
    drop(socket);
    front.open(0);
    assert!(begun.elapsed() < Duration::from_secs(5), "it was given up with its client, not at its time");
}

#[test]
fn without_a_thread_for_a_writer_what_was_taken_is_answered_in_order() {
    let front = Running::start(|limits| limits.socket_thread_stack_bytes = usize::MAX >> 2);
    let socket = connect(front.addr);
    (&socket).write_all(&[query("w1", 300), query("w2", 300), query("w3", 300)].concat()).unwrap();
    for _ in 0..3 {
        assert_eq!(refusal(&socket), "53300");
    }
    // The connection goes on.
    (&socket).write_all(&query("w4", 100)).unwrap();
    assert_eq!(refusal(&socket), "53300");
    front.open(0);
}
