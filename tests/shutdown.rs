//! How the program ends under clients that go on: whatever a client sent is answered whole, or it never reached an
//! instance and the client's connection has ended.
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

/// A router with one instance, a primary.
struct Site {
    router: Program,
    addr: SocketAddr,
    _discovery: Discovery,
    instance: (ScriptedInstance, Receiver<String>),
    folder: TestFolder,
}

impl Site {
    fn start() -> Site {
        let instance = ScriptedInstance::start("primary", true);
        let (discovery, folder) = (Discovery::start(), TestFolder::new());
        let text = config(discovery.addr, vec![instance.0.entry("in_service")]).to_string();
        let path = folder.write("config.json", &text);
        let mut router = Program::serve_platform(&path);
        let addr = router.listening_address();
        Client::connect(addr).query_until_served_by(&insert("warm", 1900), "primary");
        while instance.1.try_recv().is_ok() {}
        Site { router, addr, _discovery: discovery, instance, folder }
    }

    fn ran(&self, id: &str) -> usize {
        self.instance.0.executions_of(id)
    }

    /// The process ends by itself, and says that all went well.
    fn ends(self) {
        assert_eq!(self.router.wait_for_exit().0, Some(0));
    }
}

/// The next answer; `None` at an orderly end between two answers.
fn next(client: &Client) -> Option<Response> {
    let mut byte = [0];
    match client.0.peek(&mut byte) {
        Ok(0) => None,
        Ok(_) => Some(client.response()),
        Err(e) => panic!("no orderly end: {e}"),
    }
}

/// The client's connection has ended in order, not by a reset.
fn ended_in_order(client: &Client) {
    let mut byte = [0];
    assert_eq!((&client.0).read(&mut byte).unwrap(), 0, "the end");
    assert!(client.0.take_error().unwrap().is_none(), "no reset");
}

#[test]
fn request_at_shutdown_is_answered_and_runs_once() {
    for before in [true, false] {
        let site = Site::start();
        let client = Client::connect(site.addr);
        if before {
            client.send(&insert("beside", 1900));
        }
        site.router.terminate();
        if !before {
            client.send(&insert("beside", 1900));
        }
        assert_eq!(next(&client), Some(served("primary")), "{before}");
        ended_in_order(&client);
        assert_eq!(site.ran("beside"), 1);
        drop(client);
        site.ends();
    }
}

#[test]
fn client_in_lockstep_loses_nothing_at_shutdown() {
    let site = Site::start();
    let client = Client::connect(site.addr);
    site.router.terminate();
    let mut asked = 0;
    loop {
        client.send(&insert(&format!("loop{asked}"), 1900));
        let answer = next(&client);
        if answer.is_none() {
            break;
        }
        assert_eq!(answer, Some(served("primary")));
        asked += 1;
        // The end comes with the last answer: whoever has that knows.
        if client.0.set_nonblocking(true).is_ok() && client.0.peek(&mut [0]).is_ok_and(|n| n == 0) {
            break;
        }
        client.0.set_nonblocking(false).unwrap();
    }
    client.0.set_nonblocking(false).unwrap();
    ended_in_order(&client);
    assert!(asked > 0);
    assert!((0..asked).all(|n| site.ran(&format!("loop{n}")) == 1));
    assert_eq!(site.ran(&format!("loop{asked}")), 0, "one that was not answered has run");
    drop(client);
    site.ends();
}

#[test]
fn pipelining_client_gets_one_response_for_each_executed_command() {
    let site = Site::start();
    let client = Client::connect(site.addr);
    let id = |n: usize| format!("ahead{n}");
    (0..4).for_each(|n| client.send(&insert(&id(n), 1900)));
    site.router.terminate();
    let (mut asked, mut answered) = (4, 0);
    while let Some(answer) = next(&client) {
        assert_eq!(answer, served("primary"));
        answered += 1;
        // One more comes with every answer: four are under way until the end, it is never quiet.
        let more = message(b'Q', format!("{}\0", insert(&id(asked), 1900)).as_bytes());
        _ = (&client.0).write_all(&more);
        asked += 1;
    }
    assert!(client.0.take_error().unwrap().is_none(), "no reset");
    for n in 0..asked {
        assert_eq!(site.ran(&id(n)), usize::from(n < answered), "{} of {answered} answers", id(n));
    }
    drop(client);
    site.ends();
}

#[test]
fn half_received_command_at_shutdown_is_not_executed() {
    let site = Site::start();
    let client = Client::connect(site.addr);
    assert_eq!(client.query(&insert("whole", 1900)), served("primary"));
    let halved = message(b'Q', format!("{}\0", insert("halved", 1900)).as_bytes());
    (&client.0).write_all(&halved[..30]).unwrap();
    site.router.terminate();
    // Its connection ends over the half of it.
    ended_in_order(&client);
    (&client.0).write_all(&halved[30..]).unwrap();
    ended_in_order(&client);
    let instance = site.instance.0.clone();
    drop(client);
    site.ends();
    assert_eq!((instance.executions_of("whole"), instance.executions_of("halved")), (1, 0));
}

#[test]
fn idle_client_sees_close_without_reset() {
    let site = Site::start();
    let client = Client::connect(site.addr);
    assert_eq!(client.query(&insert("before", 1900)), served("primary"));
    site.router.terminate();
    ended_in_order(&client);
    client.send(&insert("into", 1900));
    ended_in_order(&client);
    let instance = site.instance.0.clone();
    // It never ends its own side: the process does not wait for it.
    site.ends();
    assert_eq!(instance.executions_of("into"), 0);
}

#[test]
fn pending_response_is_sent_before_close() {
    let site = Site::start();
    let client = Client::connect(site.addr);
    site.instance.0.set_behavior(Behavior::Silent);
    client.send(&insert("slow", 1200));
    site.instance.1.recv_timeout(TIMEOUT).unwrap();
    let idle = Client::connect(site.addr);
    assert_eq!(idle.query(""), Response::Empty);
    site.router.terminate();
    // Once those that rest have ended, a half comes behind it.
    ended_in_order(&idle);
    (&client.0).write_all(b"Q\0\0\0\x40SELECT").unwrap();
    assert!(matches!(next(&client), Some(Response::Error(code, None)) if code == "57014"));
    ended_in_order(&client);
    assert_eq!(site.ran("slow"), 1);
    drop((client, idle));
    site.ends();
}

#[test]
fn connections_in_the_accept_queue_are_served() {
    let site = Site::start();
    site.router.signal(Signal::SIGSTOP);
    let mut socket = TcpStream::connect(site.addr).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    socket.write_all(&[&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()).unwrap();
    site.router.terminate();
    site.router.signal(Signal::SIGCONT);
    while read_message(&socket).unwrap().0 != b'Z' {}
    let client = Client(socket);
    assert_eq!(client.query(&insert("late", 1900)), served("primary"));
    ended_in_order(&client);
    assert_eq!(site.ran("late"), 1);
    drop(client);
    site.ends();
}

#[test]
fn excess_pipelining_is_answered_and_named() {
    let site = Site::start();
    let client = Client::connect(site.addr);
    site.instance.0.set_behavior(Behavior::Silent);
    let ahead: Vec<u8> = (0..300)
        .flat_map(|n| message(b'Q', format!("{}\0", insert(&format!("m{n}"), 600)).as_bytes()))
        .collect();
    (&client.0).write_all(&ahead).unwrap();
    let mut last = None;
    let end = loop {
        match read_message(&client.0) {
            Ok(message) => last = Some(message),
            Err(e) => break e.kind(),
        }
    };
    assert_eq!(end, ErrorKind::UnexpectedEof, "ended in order over what was not read");
    let (tag, text) = last.expect("an answer");
    assert!(tag == b'E' && String::from_utf8_lossy(&text).contains("too many commands ahead"), "{text:?}");
}

#[test]
fn second_sigterm_changes_nothing() {
    let site = Site::start();
    let client = Client::connect(site.addr);
    site.instance.0.set_behavior(Behavior::Silent);
    client.send(&insert("slow", 900));
    site.instance.1.recv_timeout(TIMEOUT).unwrap();
    site.router.terminate();
    site.router.terminate();
    assert!(matches!(next(&client), Some(Response::Error(code, None)) if code == "57014"));
    site.router.signal(Signal::SIGINT);
    ended_in_order(&client);
    drop(client);
    site.ends();
}

#[test]
fn sigterm_right_after_sighup_ends_with_good_and_faulty_file() {
    for faulty in [false, true] {
        let site = Site::start();
        let next_one = Discovery::start();
        let text = config(next_one.addr, vec![site.instance.0.entry("in_service")]).to_string();
        site.folder.write("config.json", if faulty { "{" } else { &text });
        site.router.signal(Signal::SIGHUP);
        site.router.terminate();
        let client = Client::connect(site.addr);
        assert_eq!(client.query(&insert("after", 1900)), served("primary"));
        drop(client);
        site.ends();
    }
}

#[test]
fn unreadable_reload_file_does_not_block_sigterm() {
    let mut site = Site::start();
    let path = site.folder.path().join("config.json");
    std::fs::remove_file(&path).unwrap();
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    site.router.signal(Signal::SIGHUP);
    // Opened for writing, which waits for a reader: the router waits in its read now.
    let writer = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    site.router.terminate();
    site.router.wait_for_log("shutdown started");
    let client = Client::connect(site.addr);
    assert_eq!(client.query(&insert("after", 1900)), served("primary"));
    drop(client);
    let mut child = site.router;
    assert_eq!(child.child.wait().unwrap().code(), Some(0));
    drop(writer);
}

#[test]
fn sigterm_before_clients_are_accepted_ends_cleanly() {
    let instance = ScriptedInstance::start("primary", true);
    // Accepted and mute: the start waits for news.
    let mute = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = TestFolder::new();
    let text = config(mute.local_addr().unwrap(), vec![instance.0.entry("in_service")]).to_string();
    let path = folder.write("config.json", &text);
    let mut router = Program::serve_platform(&path);
    let watch = mute.accept().unwrap();
    assert!(
        router.log_lines().iter().all(|l| !l.contains("client listener bound")),
        "before clients are taken"
    );
    router.terminate();
    router.wait_for_log("shutdown started");
    assert_eq!(router.wait_for_exit().0, Some(0));
    drop(watch);
}

#[test]
fn descriptor_exhaustion_leaves_room_for_clients_and_shutdown() {
    let instance = ScriptedInstance::start("primary", true);
    let (discovery, folder) = (Discovery::start(), TestFolder::new());
    let text = config(discovery.addr, vec![instance.0.entry("in_service")]).to_string();
    let path = folder.write("config.json", &text);
    let program = env!("CARGO_BIN_EXE_damsonvale");
    // So few that clients take them all, though the settings would let more in.
    let line = format!("ulimit -n 40; BALANCER_CONFIG='{}' exec '{program}'", path.display());
    let mut router = Program::shell(&line);
    let addr = router.listening_address();
    let idle: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(addr).unwrap()).collect();
    let begun = Instant::now();
    router.wait_for_log("client connection not accepted");
    // Those that say nothing give way long before their time is up.
    assert_eq!(Client::connect(addr).query(""), Response::Empty);
    assert!(begun.elapsed().as_millis() < 1500, "{:?}", begun.elapsed());
    router.terminate();
    router.wait_for_log("shutdown started");
    router.wait_for_log("shutdown ended");
    assert_eq!(router.wait_for_exit().0, Some(0));
    drop((idle, discovery));
}

#[test]
fn sigterm_is_not_lost_behind_admin_commands_at_startup() {
    let instance = ScriptedInstance::start("primary", true);
    let mute = TcpListener::bind("127.0.0.1:0").unwrap();
    let (door, folder) = (unused_addresses(1)[0], TestFolder::new());
    let mut text = config(mute.local_addr().unwrap(), vec![instance.0.entry("in_service")]);
    text["admin_addr"] = json!(door.to_string());
    let path = folder.write("config.json", &text.to_string());
    let env = [("BALANCER_CONFIG", path.to_str().unwrap()), ("TMPDIR", folder.path().to_str().unwrap())];
    let mut router = Program::start(&[], &env);
    // The watch opens behind the door: calls are answered, clients are not taken yet.
    let watch = mute.accept().unwrap();
    for line in ["PAUSE", "RESUME"].iter().cycle().take(64) {
        let mut call = TcpStream::connect(door).unwrap();
        call.set_read_timeout(Some(TIMEOUT)).unwrap();
        call.write_all(format!("{line}\n").as_bytes()).unwrap();
        let mut answer = String::new();
        call.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("200"), "{line}: {answer}");
    }
    router.terminate();
    router.wait_for_log("shutdown started");
    assert_eq!(router.wait_for_exit().0, Some(0));
    drop(watch);
}
