//! Graceful shutdown while clients keep sending: each request either gets a complete response, or it never
//! reaches an instance and the client's connection is closed without a reset.
mod common;
use common::TIMEOUT;
use common::client::{Client, Response, insert, served};
use common::discovery::Discovery;
use common::environment::{TestFolder, unused_addresses};
use common::platform::config;
use common::program::{Program, Signal};
use common::scripted_instance::{Behavior, ScriptedInstance};
use common::wire::{message, read_message};
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::mpsc::Receiver;
use std::time::Instant;

/// A router with a primary as its only instance.
struct TestSetup {
    router: Program,
    addr: SocketAddr,
    _discovery: Discovery,
    instance: (ScriptedInstance, Receiver<String>),
    folder: TestFolder,
}

impl TestSetup {
    fn start() -> TestSetup {
        let instance = ScriptedInstance::start("primary", true);
        let (discovery, folder) = (Discovery::start(), TestFolder::new());
        let text = config(discovery.addr, vec![instance.0.entry("in_service")]).to_string();
        let path = folder.write("config.json", &text);
        let mut router = Program::serve_platform(&path);
        let addr = router.listening_address();
        Client::connect(addr).query_until_served_by(&insert("warm", 1900), "primary");
        while instance.1.try_recv().is_ok() {}
        TestSetup { router, addr, _discovery: discovery, instance, folder }
    }

    fn execution_count(&self, id: &str) -> usize {
        self.instance.0.executions_of(id)
    }

    /// Waits until the process exits by itself, and asserts that its exit code is 0.
    fn assert_clean_exit(self) {
        assert_eq!(self.router.wait_for_exit().0, Some(0));
    }
}

/// The next response; `None` if the connection is closed without a reset between two responses.
fn next_response(client: &Client) -> Option<Response> {
    let mut byte = [0];
    match client.0.peek(&mut byte) {
        Ok(0) => None,
        Ok(_) => Some(client.response()),
        Err(e) => panic!("connection not closed cleanly: {e}"),
    }
}

/// Asserts that the client's connection is closed without a reset.
fn assert_closed_without_reset(client: &Client) {
    let mut byte = [0];
    assert_eq!((&client.0).read(&mut byte).unwrap(), 0, "expected the end of the connection");
    assert!(client.0.take_error().unwrap().is_none(), "the connection was reset");
}

#[test]
fn request_at_shutdown_gets_its_response_and_runs_once() {
    for sent_before in [true, false] {
        let setup = TestSetup::start();
        let client = Client::connect(setup.addr);
        if sent_before {
            client.send(&insert("beside", 1900));
        }
        setup.router.terminate();
        if !sent_before {
            client.send(&insert("beside", 1900));
        }
        assert_eq!(next_response(&client), Some(served("primary")), "{sent_before}");
        assert_closed_without_reset(&client);
        assert_eq!(setup.execution_count("beside"), 1);
        drop(client);
        setup.assert_clean_exit();
    }
}

#[test]
fn sequential_client_loses_no_request_at_shutdown() {
    let setup = TestSetup::start();
    let client = Client::connect(setup.addr);
    setup.router.terminate();
    let mut request_count = 0;
    loop {
        client.send(&insert(&format!("loop{request_count}"), 1900));
        let response = next_response(&client);
        if response.is_none() {
            break;
        }
        assert_eq!(response, Some(served("primary")));
        request_count += 1;
        // The router closes the connection with the last response, so a client that has received it can see
        // the close before its next request.
        if client.0.set_nonblocking(true).is_ok() && client.0.peek(&mut [0]).is_ok_and(|n| n == 0) {
            break;
        }
        client.0.set_nonblocking(false).unwrap();
    }
    client.0.set_nonblocking(false).unwrap();
    assert_closed_without_reset(&client);
    assert!(request_count > 0);
    assert!((0..request_count).all(|n| setup.execution_count(&format!("loop{n}")) == 1));
    assert_eq!(
        setup.execution_count(&format!("loop{request_count}")),
        0,
        "a request without a response was executed"
    );
    drop(client);
    setup.assert_clean_exit();
}

#[test]
fn pipelining_client_gets_one_response_for_each_executed_command() {
    let setup = TestSetup::start();
    let client = Client::connect(setup.addr);
    let id = |n: usize| format!("ahead{n}");
    (0..4).for_each(|n| client.send(&insert(&id(n), 1900)));
    setup.router.terminate();
    let (mut request_count, mut response_count) = (4, 0);
    while let Some(response) = next_response(&client) {
        assert_eq!(response, served("primary"));
        response_count += 1;
        // One more request follows each response: four are in progress until the connection is closed.
        let more = message(b'Q', format!("{}\0", insert(&id(request_count), 1900)).as_bytes());
        _ = (&client.0).write_all(&more);
        request_count += 1;
    }
    assert!(client.0.take_error().unwrap().is_none(), "the connection was reset");
    for n in 0..request_count {
        assert_eq!(
            setup.execution_count(&id(n)),
            usize::from(n < response_count),
            "{} with {response_count} responses",
            id(n)
        );
    }
    drop(client);
    setup.assert_clean_exit();
}

#[test]
fn half_received_command_at_shutdown_is_not_executed() {
    let setup = TestSetup::start();
    let client = Client::connect(setup.addr);
    assert_eq!(client.query(&insert("whole", 1900)), served("primary"));
    let command = message(b'Q', format!("{}\0", insert("halved", 1900)).as_bytes());
    (&client.0).write_all(&command[..30]).unwrap();
    setup.router.terminate();
    // The router closes the connection although it has received half of a command.
    assert_closed_without_reset(&client);
    (&client.0).write_all(&command[30..]).unwrap();
    assert_closed_without_reset(&client);
    let instance = setup.instance.0.clone();
    drop(client);
    setup.assert_clean_exit();
    assert_eq!((instance.executions_of("whole"), instance.executions_of("halved")), (1, 0));
}

#[test]
fn idle_client_sees_close_without_reset() {
    let setup = TestSetup::start();
    let client = Client::connect(setup.addr);
    assert_eq!(client.query(&insert("before", 1900)), served("primary"));
    setup.router.terminate();
    assert_closed_without_reset(&client);
    client.send(&insert("into", 1900));
    assert_closed_without_reset(&client);
    let instance = setup.instance.0.clone();
    // The client never closes its side of the connection: the process exits without waiting for that.
    setup.assert_clean_exit();
    assert_eq!(instance.executions_of("into"), 0);
}

#[test]
fn pending_response_is_sent_before_close() {
    let setup = TestSetup::start();
    let client = Client::connect(setup.addr);
    setup.instance.0.set_behavior(Behavior::Silent);
    client.send(&insert("slow", 1200));
    setup.instance.1.recv_timeout(TIMEOUT).unwrap();
    let idle = Client::connect(setup.addr);
    assert_eq!(idle.query(""), Response::Empty);
    setup.router.terminate();
    // Once idle connections have been closed, half a command follows the pending request.
    assert_closed_without_reset(&idle);
    (&client.0).write_all(b"Q\0\0\0\x40SELECT").unwrap();
    assert!(matches!(next_response(&client), Some(Response::Error(code, None)) if code == "57014"));
    assert_closed_without_reset(&client);
    assert_eq!(setup.execution_count("slow"), 1);
    drop((client, idle));
    setup.assert_clean_exit();
}

#[test]
fn connections_in_the_accept_queue_are_served() {
    let setup = TestSetup::start();
    setup.router.signal(Signal::SIGSTOP);
    let mut socket = TcpStream::connect(setup.addr).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    socket.write_all(&[&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()).unwrap();
    setup.router.terminate();
    setup.router.signal(Signal::SIGCONT);
    while read_message(&socket).unwrap().0 != b'Z' {}
    let client = Client(socket);
    assert_eq!(client.query(&insert("late", 1900)), served("primary"));
    assert_closed_without_reset(&client);
    assert_eq!(setup.execution_count("late"), 1);
    drop(client);
    setup.assert_clean_exit();
}

#[test]
fn excess_pipelining_gets_an_error_response_before_close() {
    let setup = TestSetup::start();
    let client = Client::connect(setup.addr);
    setup.instance.0.set_behavior(Behavior::Silent);
    let ahead: Vec<u8> = (0..300)
        .flat_map(|n| message(b'Q', format!("{}\0", insert(&format!("m{n}"), 600)).as_bytes()))
        .collect();
    (&client.0).write_all(&ahead).unwrap();
    let mut last = None;
    let close_error = loop {
        match read_message(&client.0) {
            Ok(message) => last = Some(message),
            Err(e) => break e.kind(),
        }
    };
    assert_eq!(
        close_error,
        ErrorKind::UnexpectedEof,
        "expected a close without a reset despite unread commands"
    );
    let (tag, text) = last.expect("a response before the close");
    assert!(tag == b'E' && String::from_utf8_lossy(&text).contains("too many commands ahead"), "{text:?}");
}

#[test]
fn second_sigterm_changes_nothing() {
    let setup = TestSetup::start();
    let client = Client::connect(setup.addr);
    setup.instance.0.set_behavior(Behavior::Silent);
    client.send(&insert("slow", 900));
    setup.instance.1.recv_timeout(TIMEOUT).unwrap();
    setup.router.terminate();
    setup.router.terminate();
    assert!(matches!(next_response(&client), Some(Response::Error(code, None)) if code == "57014"));
    setup.router.signal(Signal::SIGINT);
    assert_closed_without_reset(&client);
    drop(client);
    setup.assert_clean_exit();
}

#[test]
fn sigterm_right_after_sighup_ends_with_valid_and_invalid_file() {
    for faulty in [false, true] {
        let setup = TestSetup::start();
        let new_discovery = Discovery::start();
        let text = config(new_discovery.addr, vec![setup.instance.0.entry("in_service")]).to_string();
        setup.folder.write("config.json", if faulty { "{" } else { &text });
        setup.router.signal(Signal::SIGHUP);
        setup.router.terminate();
        let client = Client::connect(setup.addr);
        assert_eq!(client.query(&insert("after", 1900)), served("primary"));
        drop(client);
        setup.assert_clean_exit();
    }
}

#[test]
fn unreadable_reload_file_does_not_block_sigterm() {
    let mut setup = TestSetup::start();
    let path = setup.folder.path().join("config.json");
    std::fs::remove_file(&path).unwrap();
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    setup.router.signal(Signal::SIGHUP);
    // Opening the FIFO for writing blocks until there is a reader: after that the router blocks in its read.
    let writer = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    setup.router.terminate();
    setup.router.wait_for_log("shutdown started");
    let client = Client::connect(setup.addr);
    assert_eq!(client.query(&insert("after", 1900)), served("primary"));
    drop(client);
    let mut child = setup.router;
    assert_eq!(child.child.wait().unwrap().code(), Some(0));
    drop(writer);
}

#[test]
fn sigterm_before_clients_are_accepted_ends_cleanly() {
    let instance = ScriptedInstance::start("primary", true);
    // Discovery accepts the connection and sends nothing, so the startup waits for the endpoint list.
    let silent_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = TestFolder::new();
    let text =
        config(silent_discovery.local_addr().unwrap(), vec![instance.0.entry("in_service")]).to_string();
    let path = folder.write("config.json", &text);
    let mut router = Program::serve_platform(&path);
    let watch = silent_discovery.accept().unwrap();
    assert!(
        router.log_lines().iter().all(|l| !l.contains("client listener bound")),
        "SIGTERM has to be sent before clients are accepted"
    );
    router.terminate();
    router.wait_for_log("shutdown started");
    assert_eq!(router.wait_for_exit().0, Some(0));
    drop(watch);
}

#[test]
fn descriptor_exhaustion_blocks_neither_clients_nor_shutdown() {
    let instance = ScriptedInstance::start("primary", true);
    let (discovery, folder) = (Discovery::start(), TestFolder::new());
    let text = config(discovery.addr, vec![instance.0.entry("in_service")]).to_string();
    let path = folder.write("config.json", &text);
    let program = env!("CARGO_BIN_EXE_damsonvale");
    // 40 descriptors are so few that clients use them up, although the settings allow more clients.
    let line = format!("ulimit -n 40; BALANCER_CONFIG='{}' exec '{program}'", path.display());
    let mut router = Program::shell(&line);
    let addr = router.listening_address();
    let idle: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(addr).unwrap()).collect();
    let started = Instant::now();
    router.wait_for_log("client connection not accepted");
    // Connections that send nothing are closed long before their timeout so that others can be accepted.
    assert_eq!(Client::connect(addr).query(""), Response::Empty);
    assert!(started.elapsed().as_millis() < 1500, "{:?}", started.elapsed());
    router.terminate();
    router.wait_for_log("shutdown started");
    router.wait_for_log("shutdown ended");
    assert_eq!(router.wait_for_exit().0, Some(0));
    drop((idle, discovery));
}

#[test]
fn sigterm_is_not_lost_behind_admin_commands_at_startup() {
    let instance = ScriptedInstance::start("primary", true);
    let silent_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (admin_addr, folder) = (unused_addresses(1)[0], TestFolder::new());
    let mut text = config(silent_discovery.local_addr().unwrap(), vec![instance.0.entry("in_service")]);
    text["admin_addr"] = json!(admin_addr.to_string());
    let path = folder.write("config.json", &text.to_string());
    let env = [("BALANCER_CONFIG", path.to_str().unwrap()), ("TMPDIR", folder.path().to_str().unwrap())];
    let mut router = Program::start(&[], &env);
    // The router opens the discovery watch after the admin listener: it responds to admin commands now, but
    // does not accept clients yet.
    let watch = silent_discovery.accept().unwrap();
    for line in ["PAUSE", "RESUME"].iter().cycle().take(64) {
        let mut connection = TcpStream::connect(admin_addr).unwrap();
        connection.set_read_timeout(Some(TIMEOUT)).unwrap();
        connection.write_all(format!("{line}\n").as_bytes()).unwrap();
        let mut response = String::new();
        connection.read_to_string(&mut response).unwrap();
        assert!(response.starts_with("200"), "{line}: {response}");
    }
    router.terminate();
    router.wait_for_log("shutdown started");
    assert_eq!(router.wait_for_exit().0, Some(0));
    drop(watch);
}
