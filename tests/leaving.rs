//! Clients that disconnect or cancel requests. The program runs between a test client, stand-in instances and
//! a stand-in discovery service. The tests wait for lines of the router's log, never by sleeping.
mod common;
use common::TIMEOUT;
use common::client::{Client, Response, insert, served};
use common::discovery::Discovery;
use common::environment::TestFolder;
use common::platform::config;
use common::program::{Program, Signal};
use common::scripted_instance::{Behavior, ScriptedInstance};
use common::wire::{message, read_bytes, read_message, row_response};
use serde_json::{Value, json};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A router whose endpoint list the test sends.
struct Setup {
    router: Program,
    addr: SocketAddr,
    list_sender: Sender<String>,
    version: u32,
    _discovery: Discovery,
    _folder: TestFolder,
}

impl Setup {
    /// Starts a router with these instances. If there are none, requests wait until `send_list` adds one.
    fn start(initial_list: Vec<Value>) -> Setup {
        Setup::start_with_probes(initial_list, true)
    }

    /// Starts a router with these instances, with or without probes. Without probes, every connection to an
    /// instance is for a request.
    fn start_with_probes(initial_list: Vec<Value>, probes: bool) -> Setup {
        let discovery = Discovery::start();
        let folder = TestFolder::new();
        let mut config = config(discovery.addr, initial_list);
        // Long timeouts, so that requests and connection attempts don't expire while the test does its
        // steps.
        config["settings"]["limits"]["dialTimeoutMs"] = json!(5000.0);
        config["settings"]["limits"]["probes"] = json!(probes);
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            (class["deadlineMs"], class["objectiveMs"]) = (json!(8000.0), json!(8000.0));
        }
        let path = folder.write("config.json", &config.to_string());
        let env = [("BALANCER_CONFIG", path.to_str().unwrap()), ("DAMSONVALE_LOG", "debug")];
        let mut router = Program::start(&[], &env);
        let addr = router.listening_address();
        let (_, list_sender) = discovery.next_watch();
        Setup { router, addr, list_sender, version: 41, _discovery: discovery, _folder: folder }
    }

    /// Sends a full endpoint list and waits until the router has applied it.
    fn send_list(&mut self, entries: &[Value]) {
        self.version += 1;
        let line = json!({"version": self.version, "full": true, "servers": entries}).to_string();
        self.list_sender.send(line).unwrap();
        self.router.wait_for_log(&format!("endpoint list applied version={} ", self.version));
    }

    /// Waits until the router's state machine has received the request with this number, counted from 0.
    fn wait_for_request(&mut self, request: usize) {
        self.router.wait_for_log(&format!("event=RequestArrived(Request {{ id: RequestId({request}),"));
    }

    /// Waits until a client has disconnected with this many requests in flight.
    fn wait_for_disconnect(&mut self, requests: usize) {
        self.router.wait_for_log(&format!("client disconnected requests={requests} "));
    }

    /// Whether an attempt was started for the request. Log lines have the order of the state machine's
    /// decisions.
    fn was_attempt_started(&mut self, request: usize) -> bool {
        let line = format!("action=Send {{ request: RequestId({request}),");
        self.router.log_lines().iter().any(|l| l.contains(&line))
    }

    /// Ends the router with SIGTERM; returns it with its complete log.
    fn terminate(mut self) -> Program {
        self.router.terminate();
        self.router.wait_for_log("shutdown ended");
        self.router
    }
}

/// Whether all threads of the process are stopped.
fn is_stopped(router: &Program) -> bool {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", router.child.id())).unwrap();
    let state = |t: std::fs::DirEntry| std::fs::read_to_string(t.path().join("stat")).unwrap_or_default();
    tasks.flatten().map(state).all(|s| s.rsplit(") ").next().is_some_and(|s| s.starts_with('T')))
}

/// Closes the connection with a TCP reset.
fn reset(client: Client) {
    SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).unwrap();
}

fn encode_query(sql: &str) -> Vec<u8> {
    message(b'Q', format!("{sql}\0").as_bytes())
}

/// Starts a primary; returns it with the statements that it receives and its entry for the endpoint list.
fn start_primary() -> (ScriptedInstance, Receiver<String>, Value) {
    let (instance, statements_received) = ScriptedInstance::start("primary", true);
    let entry = instance.entry("in_service");
    (instance, statements_received, entry)
}

#[test]
fn queued_request_of_disconnected_client_is_not_sent() {
    let (instance, _statements_received, entry) = start_primary();
    let disconnect_methods: [fn(Client); 3] = [drop, reset, |client| {
        // The router can't tell a half-closed connection from a closed one.
        client.0.shutdown(Shutdown::Write).unwrap();
        let mut received = Vec::new();
        _ = (&client.0).read_to_end(&mut received);
        assert!(received.is_empty(), "{received:?}");
    }];
    for disconnect in disconnect_methods {
        let mut setup = Setup::start(vec![]);
        let client = Client::connect(setup.addr);
        client.send(&insert("w1", 7900));
        setup.wait_for_request(0);
        disconnect(client);
        setup.wait_for_disconnect(1);
        setup.send_list(std::slice::from_ref(&entry));
        // The id of the disconnected client's request can be used again.
        Client::connect(setup.addr).query_until_served_by(&insert("w1", 7900), "primary");
        assert!(!setup.was_attempt_started(0));
    }
    assert_eq!(instance.executions_of("w1"), 3);
}

/// Checks that neither of two pipelined writes, followed by `following_bytes`, is sent to an instance after
/// `end` has closed the client's connection.
fn check_pipelined_writes_are_not_sent(following_bytes: &[u8], end: impl FnOnce(Client)) {
    let (instance, _statements_received, entry) = start_primary();
    let mut setup = Setup::start(vec![]);
    let client = Client::connect(setup.addr);
    let commands =
        [encode_query(&insert("w1", 7900)), encode_query(&insert("w2", 7900)), following_bytes.to_vec()]
            .concat();
    (&client.0).write_all(&commands).unwrap();
    setup.wait_for_request(0);
    setup.wait_for_request(1);
    end(client);
    setup.wait_for_disconnect(2);
    setup.send_list(&[entry]);
    Client::connect(setup.addr).query_until_served_by(&insert("w3", 7900), "primary");
    assert!(!setup.was_attempt_started(0) && !setup.was_attempt_started(1));
    assert_eq!(instance.executions_of("w1") + instance.executions_of("w2"), 0);
}

#[test]
fn pipelined_commands_of_disconnected_client_are_not_sent() {
    // For pipelined commands the router uses a writer thread beside the connection's reader.
    check_pipelined_writes_are_not_sent(&[], drop);
    check_pipelined_writes_are_not_sent(&[], reset);
}

#[test]
fn simultaneous_requests_and_disconnects_leave_nothing_in_flight() {
    let (instance, _statements_received, entry) = start_primary();
    let mut setup = Setup::start(vec![]);
    let client = Client::connect(setup.addr);
    let commands: Vec<u8> = (0..20).flat_map(|n| encode_query(&insert(&format!("w{n}"), 7900))).collect();
    (&client.0).write_all(&commands).unwrap();
    drop(client);
    // The router drops all requests, however many it read before it noticed the disconnect.
    setup.router.wait_for_log("client disconnected");
    setup.send_list(&[entry]);
    Client::connect(setup.addr).query_until_served_by(&insert("other", 7900), "primary");
    let executed = instance.executed.lock().unwrap().clone();
    assert!(executed.iter().all(|s| s.contains("id=other,")), "{executed:?}");
}

/// Number of clients that disconnect while the router is stopped.
const CLIENT_COUNT: usize = 20;

#[test]
fn request_read_after_disconnect_is_not_accepted() {
    let mut setup = Setup::start(vec![]);
    let clients: Vec<Client> = (0..CLIENT_COUNT).map(|_| Client::connect(setup.addr)).collect();
    // While the router is stopped, each connection receives both a request and its end.
    setup.router.signal(Signal::SIGSTOP);
    while !is_stopped(&setup.router) {
        std::thread::yield_now();
    }
    for (n, client) in clients.into_iter().enumerate() {
        client.send(&insert(&format!("w{n}"), 7900));
        // The connection has to be closed before the router resumes. Dropping the client may close it too
        // late: a child process that another test starts has a copy of the socket until it runs its own
        // program.
        client.0.shutdown(Shutdown::Both).unwrap();
    }
    setup.router.signal(Signal::SIGCONT);
    let started_at = Instant::now();
    let disconnects = loop {
        let disconnects: Vec<String> =
            setup.router.log_lines().iter().filter(|l| l.contains("client disconnected")).cloned().collect();
        if disconnects.len() == CLIENT_COUNT {
            break disconnects;
        }
        assert!(started_at.elapsed() < TIMEOUT, "{disconnects:?}");
        std::thread::yield_now();
    };
    assert!(disconnects.iter().all(|l| l.contains("client disconnected requests=0 ")), "{disconnects:?}");
}

#[test]
fn disconnect_after_malformed_command_is_noticed() {
    // After a malformed command, the reader stops reading and waits until the pending responses have been
    // written.
    check_pipelined_writes_are_not_sent(b"Q\0\0\0\x01", drop);
}

#[test]
fn client_gets_all_responses_after_malformed_command() {
    let (_instance, _statements_received, entry) = start_primary();
    let mut setup = Setup::start(vec![]);
    let client = Client::connect(setup.addr);
    let malformed = b"Q\0\0\0\x01".to_vec();
    (&client.0)
        .write_all(
            &[encode_query(&insert("w1", 7900)), encode_query(&insert("w2", 7900)), malformed].concat(),
        )
        .unwrap();
    setup.wait_for_request(1);
    setup.send_list(&[entry]);
    assert_eq!([client.response(), client.response()], [served("primary"), served("primary")]);
    let (tag, error) = read_message(&client.0).unwrap();
    assert!(tag == b'E' && String::from_utf8_lossy(&error).contains("08P01"));
    assert!(read_message(&client.0).is_err());
}

#[test]
fn disconnect_is_noticed_during_shutdown() {
    let mut setup = Setup::start(vec![]);
    let (incomplete_client, waiting_client, leaving_client) =
        (Client::connect(setup.addr), Client::connect(setup.addr), Client::connect(setup.addr));
    assert_eq!(incomplete_client.query(""), Response::Empty);
    leaving_client.send(&insert("w1", 7900));
    setup.wait_for_request(0);
    waiting_client.send(&insert("w2", 7900));
    setup.wait_for_request(1);
    setup.router.terminate();
    setup.router.wait_for_log("shutdown started");
    // A connection with an incomplete command stays open until the router stops reading from all clients.
    (&incomplete_client.0).write_all(b"Q\0\x02\0\0SELECT").unwrap();
    while read_message(&incomplete_client.0).is_ok() {}
    drop(leaving_client);
    setup.wait_for_disconnect(1);
    assert!(!setup.was_attempt_started(0));
    // No instance can serve the request: it is rejected at its deadline, not earlier.
    assert!(matches!(waiting_client.response(), Response::Error(code, _) if code == "53300"));
    setup.router.wait_for_log("shutdown ended connections=0");
}

/// An instance that completes the startup of each connection only when the test releases it.
struct DelayedInstance {
    addr: SocketAddr,
    /// For each connection whose startup message has been read, a sender that releases it.
    pending_connections: Receiver<Sender<()>>,
    /// For each connection that has ended, the statements that were read from it.
    closed_connections: Receiver<Vec<String>>,
    /// Number of connections accepted.
    connection_count: Arc<AtomicUsize>,
}

impl DelayedInstance {
    fn start() -> DelayedInstance {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (pending_sender, pending_connections) = channel();
        let (closed_sender, closed_connections) = channel();
        let connection_count = Arc::new(AtomicUsize::new(0));
        let count = connection_count.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                count.fetch_add(1, Ordering::SeqCst);
                let (socket, pending_sender, closed_sender) =
                    (socket.unwrap(), pending_sender.clone(), closed_sender.clone());
                std::thread::spawn(move || {
                    let mut statements = Vec::new();
                    DelayedInstance::serve_connection(&socket, &pending_sender, &mut statements);
                    _ = closed_sender.send(statements);
                });
            }
        });
        DelayedInstance { addr, pending_connections, closed_connections, connection_count }
    }

    fn serve_connection(
        socket: &TcpStream,
        pending_sender: &Sender<Sender<()>>,
        statements: &mut Vec<String>,
    ) -> Option<()> {
        let length = read_bytes(socket, 4).ok()?;
        read_bytes(socket, u32::from_be_bytes(length.try_into().ok()?) as usize - 4).ok()?;
        let (release, released) = channel();
        pending_sender.send(release).ok()?;
        released.recv().ok()?;
        let mut out = socket;
        out.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat()).ok()?;
        loop {
            let (_, body) = read_message(socket).ok()?;
            let sql = String::from_utf8(body).ok()?;
            statements.push(sql.trim_end_matches('\0').to_string());
            let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_secs_f64();
            let report = format!("x0={now},x1=1,util=0.1,queue=0");
            out.write_all(&[row_response(&report), message(b'Z', b"I")].concat()).ok()?;
        }
    }
}

/// Ends a request while its attempt waits for a backend connection, then completes that connection's startup,
/// and checks that the request was not written to it.
fn check_request_ended_while_connecting(end: impl FnOnce(&mut Setup, Client, CancelKey)) {
    let DelayedInstance { addr, pending_connections, closed_connections, connection_count } =
        DelayedInstance::start();
    let entry = json!({"id": "slow", "addr": addr.to_string(), "zone": "a", "kind": "k", "cell": 3,
        "state": "in_service", "weight": 1.0, "started_ms": 0, "mode": "read-write"});
    let mut setup = Setup::start_with_probes(vec![entry], false);
    let (client, key) = connect_with_cancel_key(setup.addr);
    client.send(&insert("w1", 7900));
    let release = pending_connections.recv_timeout(TIMEOUT).unwrap();
    end(&mut setup, client, key);
    setup.router.wait_for_log("event=ClientDisconnected { request: RequestId(0) }");
    // Actions for one instance are executed in order: once the next attempt connects, the end of the first
    // attempt has been processed.
    let other = Client::connect(setup.addr);
    other.send(&insert("w2", 7900));
    let next_release = pending_connections.recv_timeout(TIMEOUT).unwrap();
    release.send(()).unwrap();
    setup.router.wait_for_log("event=AttemptEnded { request: RequestId(0), attempt: 0,");
    next_release.send(()).unwrap();
    assert!(matches!(other.response(), Response::Row(_)));
    // After the router has ended, the instance receives nothing more.
    assert_eq!(setup.terminate().wait_for_exit().0, Some(0));
    for _ in 0..connection_count.load(Ordering::SeqCst) {
        let statements = closed_connections.recv_timeout(TIMEOUT).unwrap();
        assert!(statements.iter().all(|s| s.is_empty() || s.contains("id=w2,")), "{statements:?}");
    }
}

#[test]
fn connecting_attempt_of_disconnected_client_writes_nothing() {
    check_request_ended_while_connecting(|setup, client, _| {
        drop(client);
        setup.wait_for_disconnect(1);
    });
}

#[test]
fn excess_pipelining_closes_connection_after_responses() {
    let (_instance, _statements_received, entry) = start_primary();
    let mut setup = Setup::start(vec![]);
    let client = Client::connect(setup.addr);
    for n in 0..64 {
        client.send(&insert(&format!("w{n}"), 7900));
        setup.wait_for_request(n);
    }
    // The writer has the first request and 63 are queued behind it; the queue has space for one of the next
    // two.
    (&client.0)
        .write_all(&[encode_query(&insert("x1", 7900)), encode_query(&insert("x2", 7900))].concat())
        .unwrap();
    setup.router.wait_for_log("too many commands ahead");
    setup.send_list(&[entry]);
    let mut response_count = 0;
    let error = loop {
        let (tag, body) = read_message(&client.0).unwrap();
        match tag {
            b'Z' => response_count += 1,
            b'E' if String::from_utf8_lossy(&body).contains("08P01") => break body,
            _ => {}
        }
    };
    assert!(String::from_utf8_lossy(&error).contains("too many commands"));
    assert!(read_message(&client.0).is_err());
    let mut router = setup.terminate();
    let requests = router.log_lines().iter().filter(|l| l.contains("event=RequestArrived(")).count();
    assert_eq!(response_count, requests, "every accepted request must get a response");
}

type CancelKey = [u8; 8];

/// Connects a client; returns it with the cancel key that the router sent.
fn connect_with_cancel_key(addr: SocketAddr) -> (Client, CancelKey) {
    let socket = TcpStream::connect(addr).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    (&socket).write_all(&[&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()).unwrap();
    let mut key = None;
    loop {
        match read_message(&socket).unwrap() {
            (b'K', body) => key = Some(body.try_into().unwrap()),
            (b'Z', _) => return (Client(socket), key.expect("no cancel key before ReadyForQuery")),
            _ => {}
        }
    }
}

/// Sends a `CancelRequest` with this length field and body; returns when the router has closed the
/// connection, which it does without a response.
fn send_cancel_request(addr: SocketAddr, length: u32, body: &[u8]) {
    let socket = TcpStream::connect(addr).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    let code = 80_877_102_u32.to_be_bytes();
    (&socket).write_all(&[&length.to_be_bytes()[..], &code, body].concat()).unwrap();
    let mut received = Vec::new();
    _ = (&socket).read_to_end(&mut received);
    assert!(received.is_empty(), "{received:?}");
}

fn cancel(addr: SocketAddr, key: CancelKey) {
    send_cancel_request(addr, 16, &key);
}

/// Reads the response to a cancelled request. A request that reaches its deadline has the same code, but
/// another message.
fn expect_cancel_error(client: &Client) {
    let (tag, body) = read_message(&client.0).unwrap();
    let text = String::from_utf8(body).unwrap();
    let is_cancel_error =
        text.contains("C57014\0") && text.contains("Mcanceling statement due to user request\0");
    assert!(tag == b'E' && is_cancel_error, "{text}");
    assert_eq!(read_message(&client.0).unwrap().0, b'Z');
}

#[test]
fn each_connection_gets_its_own_cancel_key() {
    let setup = Setup::start(vec![]);
    let keys: std::collections::HashSet<CancelKey> =
        (0..40).map(|_| connect_with_cancel_key(setup.addr).1).collect();
    assert_eq!(keys.len(), 40);
    assert!(!keys.contains(&[0; 8]));
}

#[test]
fn cancelled_queued_request_is_not_sent() {
    let (instance, _statements_received, entry) = start_primary();
    let mut setup = Setup::start(vec![]);
    let (client, key) = connect_with_cancel_key(setup.addr);
    client.send(&insert("w1", 7900));
    setup.wait_for_request(0);
    cancel(setup.addr, key);
    expect_cancel_error(&client);
    setup.send_list(&[entry]);
    // There was only one response, and the request's id can be used again.
    assert_eq!(client.query(&insert("w1", 7900)), served("primary"));
    assert!(!setup.was_attempt_started(0));
    assert_eq!(instance.executions_of("w1"), 1);
}

#[test]
fn cancelled_connecting_request_writes_nothing() {
    check_request_ended_while_connecting(|setup, client, key| {
        cancel(setup.addr, key);
        expect_cancel_error(&client);
    });
}

#[test]
fn cancelled_sent_request_gets_response_at_once() {
    let (instance, statements_received, entry) = start_primary();
    let setup = Setup::start(vec![entry]);
    let (client, key) = connect_with_cancel_key(setup.addr);
    client.query_until_served_by(&insert("warm", 7900), "primary");
    while statements_received.try_recv().is_ok() {}
    instance.set_behavior(Behavior::Silent);
    client.send(&insert("w1", 7900));
    assert!(statements_received.recv_timeout(TIMEOUT).unwrap().contains("id=w1,"));
    cancel(setup.addr, key);
    expect_cancel_error(&client);
    instance.set_behavior(Behavior::Serve);
    client.query_until_served_by(&insert("w2", 7900), "primary");
    assert_eq!(instance.executions_of("w1"), 1);
}

#[test]
fn cancel_applies_to_oldest_pipelined_command() {
    let (instance, _statements_received, entry) = start_primary();
    let mut setup = Setup::start(vec![]);
    let (client, key) = connect_with_cancel_key(setup.addr);
    (&client.0)
        .write_all(&[encode_query(&insert("w1", 7900)), encode_query(&insert("w2", 7900))].concat())
        .unwrap();
    setup.wait_for_request(0);
    setup.wait_for_request(1);
    cancel(setup.addr, key);
    expect_cancel_error(&client);
    setup.send_list(&[entry]);
    assert_eq!(client.response(), served("primary"));
    assert_eq!([instance.executions_of("w1"), instance.executions_of("w2")], [0, 1]);
}

#[test]
fn late_or_unknown_cancel_changes_nothing() {
    let (instance, _statements_received, entry) = start_primary();
    let mut setup = Setup::start(vec![]);
    let (client, key) = connect_with_cancel_key(setup.addr);
    let (closed_client, key_of_closed_connection) = connect_with_cancel_key(setup.addr);
    drop(closed_client);
    setup.wait_for_disconnect(0);
    client.send(&insert("w1", 7900));
    setup.wait_for_request(0);
    let mut wrong = key;
    wrong[7] ^= 1;
    cancel(setup.addr, wrong);
    cancel(setup.addr, key_of_closed_connection);
    cancel(setup.addr, [0; 8]);
    // Keys of invalid lengths, and an empty one.
    send_cancel_request(setup.addr, 12, &key[..4]);
    send_cancel_request(setup.addr, 8, &[]);
    send_cancel_request(setup.addr, 20, &[&key[..], &[0; 4]].concat());
    setup.send_list(&[entry]);
    assert_eq!(client.response(), served("primary"));
    // The request has its response: none is in flight, and the cancel does not apply to the next one.
    cancel(setup.addr, key);
    assert_eq!(client.query(&insert("w2", 7900)), served("primary"));
    assert_eq!([instance.executions_of("w1"), instance.executions_of("w2")], [1, 1]);
}
