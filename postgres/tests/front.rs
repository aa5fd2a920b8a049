//! The front with limits that the program never has: no poll of its clients, no thread for a response writer.
use client_listener::{ClientListener, ClientServer};
use crossbeam_channel::{Sender, bounded};
use decision::{Class, Freshness, Idempotency};
use postgres::backend::Postgres;
use postgres::front::Front;
use routing::{Clock, Metrics, RouterBuilder, Settings};
use settings::Limits;
use settings::limits::{ProcessResources, RequestTimes};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longer than any test takes; reached only by a failure.
const TIMEOUT: Duration = Duration::from_secs(20);

fn settings() -> Settings {
    let classes = vec![Class {
        freshness: Freshness::Write,
        idempotency: Idempotency::NotIdempotent,
        latency_objective: 10_000_000,
        deadline: 10_000_000,
        priority_weight: 1.0,
        late_weight_share: 1.0,
    }];
    let mysql = settings::operator::read(include_str!("../../deploy/mysql.toml")).unwrap().settings;
    Settings { classes, min_event_interval: 1_000, ..mysql }
}

/// A running front without instances: requests wait.
struct TestFront {
    addr: SocketAddr,
    metrics: Arc<Metrics>,
    _commands: Sender<client_listener::ServerCommand>,
}

impl TestFront {
    /// Starts it; only the front gets the changed limits.
    fn start(change: impl FnOnce(&mut Limits)) -> TestFront {
        let seconds = Duration::from_secs;
        let limits = Limits::new(
            ProcessResources { descriptors: 4096, memory_bytes: 64 << 20 },
            RequestTimes {
                connect_timeout: Duration::from_millis(250),
                backend_keepalive: seconds(60),
                longest_deadline: seconds(10),
            },
        );
        let mut front_limits = limits.clone();
        change(&mut front_limits);
        let (limits, front_limits) = (Arc::new(limits), Arc::new(front_limits));
        let names = ["order".to_string()];
        let metrics = Metrics::new(&names).unwrap();
        let builder = RouterBuilder {
            protocol: Postgres::new(limits.clone(), Clock::new()),
            settings: settings(),
            seed: 7,
            limits: limits.clone(),
            clock: Clock::new(),
            responded: None,
            metrics: Some(metrics.clone()),
            placement: None,
        };
        let (handle, _endpoints) = builder.start().unwrap();
        let front = Front::new(handle, front_limits, &names, &settings());
        let server = ClientServer::new(front, limits, None);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (command_sender, commands) = bounded(1);
        std::thread::spawn(move || server.serve(ClientListener::Exclusive(listener), &commands).unwrap());
        TestFront { addr, metrics, _commands: command_sender }
    }

    /// Waits until so many requests are in progress.
    fn wait_for_requests(&self, count: i64) {
        let started = Instant::now();
        while self.metrics.requests_in_progress.get() != count {
            let in_progress = self.metrics.requests_in_progress.get();
            assert!(started.elapsed() < TIMEOUT, "{in_progress} requests are in progress");
            std::thread::yield_now();
        }
    }
}

fn read_message(socket: &TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let (mut head, mut from) = ([0; 5], socket);
    from.read_exact(&mut head)?;
    let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
    from.read_exact(&mut body)?;
    Ok((head[0], body))
}

fn connect(addr: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(addr).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    (&socket).write_all(b"\0\0\0\x13\0\x03\0\0user\0till\0\0").unwrap();
    while read_message(&socket).unwrap().0 != b'Z' {}
    socket
}

fn query(id: &str, wait: u32) -> Vec<u8> {
    let sql = format!("INSERT INTO objects VALUES ('k') /* id={id},c=order,d={wait},cluster=3 */\0");
    [b"Q", &(sql.len() as u32 + 4).to_be_bytes()[..], sql.as_bytes()].concat()
}

/// The code of the next response, which is an error.
fn read_error_code(socket: &TcpStream) -> String {
    let (tag, body) = read_message(socket).unwrap();
    assert_eq!((tag, read_message(socket).unwrap().0), (b'E', b'Z'));
    let text = String::from_utf8(body).unwrap();
    text.split('\0').find_map(|f| f.strip_prefix('C')).unwrap().to_string()
}

#[test]
fn disconnect_is_noticed_without_polling_the_client() {
    let front = TestFront::start(|limits| limits.client_poll_interval = Duration::from_secs(3600));
    let socket = connect(front.addr);
    (&socket).write_all(&query("w1", 9000)).unwrap();
    front.wait_for_requests(1);
    let started = Instant::now();
    drop(socket);
    front.wait_for_requests(0);
    assert!(started.elapsed() < Duration::from_secs(5), "abandoned with its client, not at its deadline");
}

#[test]
fn pipelined_requests_are_answered_in_order_without_a_writer_thread() {
    let front = TestFront::start(|limits| limits.socket_thread_stack_bytes = usize::MAX >> 2);
    let socket = connect(front.addr);
    (&socket).write_all(&[query("w1", 300), query("w2", 300), query("w3", 300)].concat()).unwrap();
    for _ in 0..3 {
        assert_eq!(read_error_code(&socket), "53300");
    }
    // The connection goes on.
    (&socket).write_all(&query("w4", 100)).unwrap();
    assert_eq!(read_error_code(&socket), "53300");
    front.wait_for_requests(0);
}
