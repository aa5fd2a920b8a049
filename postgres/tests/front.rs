//! The front with limits that the program itself never sets: no polling of clients, no thread for a response
//! writer. Also checks the bytes sent to clients against `fixtures/exchanges.txt`, which was recorded before
//! the front was split into modules.
use client_listener::{ClientListener, ClientServer, ServerCommand};
use crossbeam_channel::{Receiver, Sender, bounded};
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

/// A timeout that passes only if a test fails.
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

/// A running front without database instances, so that requests wait until their deadline.
struct TestFront {
    addr: SocketAddr,
    metrics: Arc<Metrics>,
    commands: Sender<ServerCommand>,
    /// Receives a message when the server has stopped.
    stopped: Receiver<()>,
}

impl TestFront {
    /// Starts a front. Only the front gets the changed limits, not the router.
    fn start(adjust_limits: impl FnOnce(&mut Limits)) -> TestFront {
        let limits = TestFront::default_limits();
        let mut front_limits = limits.clone();
        adjust_limits(&mut front_limits);
        TestFront::start_with(limits, front_limits)
    }

    fn default_limits() -> Limits {
        let seconds = Duration::from_secs;
        Limits::new(
            ProcessResources { descriptors: 4096, memory_bytes: 64 << 20 },
            RequestTimes {
                connect_timeout: Duration::from_millis(250),
                backend_keepalive: seconds(60),
                longest_deadline: seconds(10),
            },
        )
    }

    fn start_with(limits: Limits, front_limits: Limits) -> TestFront {
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
            commit_sharing: None,
            placement: None,
        };
        let (handle, _endpoints) = builder.start().unwrap();
        let front = Front::new(handle, front_limits, &names, &settings());
        let server = ClientServer::new(front, limits, None);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (command_sender, commands) = bounded(1);
        let (stopping, stopped) = bounded(1);
        std::thread::spawn(move || {
            server.serve(ClientListener::Exclusive(listener), &commands).unwrap();
            _ = stopping.send(());
        });
        TestFront { addr, metrics, commands: command_sender, stopped }
    }

    /// Waits until this many requests are in progress.
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
    let (mut header, mut from) = ([0; 5], socket);
    from.read_exact(&mut header)?;
    let mut body = vec![0; u32::from_be_bytes(header[1..].try_into().unwrap()) as usize - 4];
    from.read_exact(&mut body)?;
    Ok((header[0], body))
}

fn connect(addr: SocketAddr) -> TcpStream {
    open_session(addr).0
}

fn query(id: &str, wait: u32) -> Vec<u8> {
    let sql = format!("INSERT INTO objects VALUES ('k') /* id={id},c=order,d={wait},cluster=3 */\0");
    message(b'Q', sql.as_bytes())
}

/// Reads the next response, which has to be an error, and returns its code.
fn read_error_code(socket: &TcpStream) -> String {
    let (tag, body) = read_message(socket).unwrap();
    assert_eq!((tag, read_message(socket).unwrap().0), (b'E', b'Z'));
    let text = String::from_utf8(body).unwrap();
    text.split('\0').find_map(|f| f.strip_prefix('C')).unwrap().to_string()
}

#[test]
fn disconnect_is_detected_without_polling_the_client() {
    let front = TestFront::start(|limits| limits.client_poll_interval = Duration::from_hours(1));
    let socket = connect(front.addr);
    (&socket).write_all(&query("w1", 9000)).unwrap();
    front.wait_for_requests(1);
    let started = Instant::now();
    drop(socket);
    front.wait_for_requests(0);
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "the request is abandoned at the disconnect, not at its deadline"
    );
}

#[test]
fn pipelined_requests_get_responses_in_order_without_a_writer_thread() {
    let front = TestFront::start(|limits| limits.socket_thread_stack_bytes = usize::MAX >> 2);
    let socket = connect(front.addr);
    (&socket).write_all(&[query("w1", 300), query("w2", 300), query("w3", 300)].concat()).unwrap();
    for _ in 0..3 {
        assert_eq!(read_error_code(&socket), "53300");
    }
    // The connection remains usable.
    (&socket).write_all(&query("w4", 100)).unwrap();
    assert_eq!(read_error_code(&socket), "53300");
    front.wait_for_requests(0);
}

/// Reads messages until the end of a response or of the connection.
fn read_response(socket: &TcpStream) -> Vec<u8> {
    let mut response = Vec::new();
    while let Ok((tag, body)) = read_message(socket) {
        response.push(tag);
        response.extend((body.len() as u32 + 4).to_be_bytes());
        response.extend(body);
        if tag == b'Z' {
            break;
        }
    }
    response
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Sends bytes on a socket and appends them and the response to the transcript.
fn exchange(transcript: &mut String, socket: &TcpStream, sent: &[u8]) {
    // If the front has closed the connection, the response is empty.
    let mut to = socket;
    _ = to.write_all(sent);
    let response = read_response(socket);
    transcript.push_str(&format!("> {}\n< {}\n", sent.escape_ascii(), response.escape_ascii()));
}

/// Opens a session. Returns its socket, the cancel key from the startup response, and the startup response
/// with the key replaced by zeros.
fn open_session(addr: SocketAddr) -> (TcpStream, [u8; 8], Vec<u8>) {
    const KEY_MESSAGE: &[u8] = b"K\0\0\0\x0c";
    let socket = TcpStream::connect(addr).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    (&socket).write_all(b"\0\0\0\x13\0\x03\0\0user\0till\0\0").unwrap();
    let mut startup_response = read_response(&socket);
    assert!(startup_response.ends_with(b"Z\0\0\0\x05I"), "{}", startup_response.escape_ascii());
    let at = startup_response.windows(KEY_MESSAGE.len()).position(|w| w == KEY_MESSAGE).unwrap()
        + KEY_MESSAGE.len();
    let key = startup_response[at..at + 8].try_into().unwrap();
    startup_response[at..at + 8].fill(0);
    (socket, key, startup_response)
}

/// Guards against a first request that is read late in a shutdown, and whose deadline lies beyond the end of the
/// process: it has to get its final response before the server stops.
#[test]
fn late_first_request_in_shutdown_is_answered_before_the_server_stops() {
    let mut limits = TestFront::default_limits();
    // From the start of the shutdown on, only connections without a command are read.
    (limits.shutdown_grace_period, limits.shutdown_read_timeout) = (Duration::ZERO, Duration::ZERO);
    limits.draining_first_request_timeout = TIMEOUT;
    // Longer than the usual latency of a request, a quarter of its objective, so that it waits for a server.
    limits.shutdown_late_response_timeout = Duration::from_millis(2900);
    limits.shutdown_timeout = Duration::from_millis(3500);
    let front = TestFront::start_with(limits.clone(), limits);
    let (newcomer, idle) = (connect(front.addr), connect(front.addr));
    (&idle).write_all(&message(b'Q', b"\0")).unwrap();
    read_response(&idle);
    front.commands.send(ServerCommand::Shutdown).unwrap();
    // The idle connection is closed once the shutdown has reached the connections.
    assert_eq!(read_response(&idle), b"");
    (&newcomer).write_all(&query("w1", 9000)).unwrap();
    front.wait_for_requests(1);
    assert_eq!(read_error_code(&newcomer), "53300");
    assert!(front.stopped.try_recv().is_err(), "the server stopped with a request in progress");
    drop((newcomer, idle));
    front.stopped.recv_timeout(TIMEOUT).unwrap();
}

#[test]
fn exchanges_with_clients_match_the_recorded_bytes() {
    let front = TestFront::start(|_| {});
    let mut transcript = String::new();
    let (socket, key, startup_response) = open_session(front.addr);
    transcript.push_str(&format!("< {}\n", startup_response.escape_ascii()));
    for sql in [
        "",
        " ; ",
        "SET x = 1",
        "reset all",
        "DISCARD ALL",
        "SELECT 1",
        "SELECT 1 */",
        "SELECT 1 /* */",
        "SELECT 1 /* id=a,id=b */",
        "SELECT 1 /* id=a */",
        "SELECT 1 /* id=a,d=x */",
        "SELECT 1 /* id=a,d=1 */",
        "SELECT 1 /* id=a,d=1,cluster=1,after=x */",
        "SELECT 1 /* id=a,d=1,cluster=1 */",
        "SELECT 1 /* id=a,d=1,cluster=1,c=unknown */",
        "SELECT 1\0 /* id=a,d=1,cluster=1,c=order */",
    ] {
        exchange(&mut transcript, &socket, &message(b'Q', format!("{sql}\0").as_bytes()));
    }
    // After an error in the extended query protocol, messages are skipped until Sync; Flush has no response.
    for (tag, body) in [(b'F', &b""[..]), (b'S', b""), (b'?', b"x")] {
        exchange(&mut transcript, &socket, &message(tag, body));
    }
    let extended =
        [message(b'P', b"\0SELECT 1\0\0\0"), message(b'B', b""), message(b'H', b""), message(b'S', b"")];
    exchange(&mut transcript, &socket, &extended.concat());
    // A request that is in progress, a second one with the same id, and the cancellation of the first.
    (&socket).write_all(&query("w1", 9000)).unwrap();
    front.wait_for_requests(1);
    let (second_client, _, _) = open_session(front.addr);
    exchange(&mut transcript, &second_client, &query("w1", 9000));
    let cancel = [&b"\0\0\0\x10\x04\xd2\x16\x2e"[..], &key].concat();
    (&TcpStream::connect(front.addr).unwrap()).write_all(&cancel).unwrap();
    transcript.push_str(&format!("< {}\n", read_response(&socket).escape_ascii()));
    front.wait_for_requests(0);
    exchange(&mut transcript, &socket, b"Q\0\0\0\x03");
    exchange(&mut transcript, &second_client, b"Q\x7f\0\0\0");
    let before_startup = TcpStream::connect(front.addr).unwrap();
    before_startup.set_read_timeout(Some(TIMEOUT)).unwrap();
    (&before_startup).write_all(b"\0\0\0\x08\x04\xd2\x16\x2f").unwrap();
    let mut declined = [0];
    (&before_startup).read_exact(&mut declined).unwrap();
    transcript.push_str(&format!("< {}\n", declined.escape_ascii()));
    exchange(&mut transcript, &before_startup, b"\0\0\0\x07\0\x03\0\0");
    assert_eq!(transcript, include_str!("fixtures/exchanges.txt"));
}
