//! How the program ends under clients that go on: whatever a client sent is answered whole, or it never reached an
//! instance and the client's connection has ended.
mod common;
use common::front::*;
use common::{Discovery, Folder, LONG, Program, Signal, ports};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::mpsc::Receiver;

/// A router with one instance, a primary.
struct Site {
    router: Program,
    addr: SocketAddr,
    _discovery: Discovery,
    instance: (Instance, Receiver<String>),
    folder: Folder,
}

impl Site {
    fn start() -> Site {
        let instance = Instance::start("primary", true);
        let (discovery, folder) = (Discovery::start(), Folder::new());
        let text = config(discovery.addr, vec![instance.0.entry("in_service")]).to_string();
        let path = folder.write("config.json", &text);
        let mut router = Program::start(&[], &[("BALANCER_CONFIG", path.to_str().unwrap())]);
        let addr = router.listening();
        Client::connect(addr).until(&insert("warm", 1900), "primary");
        while instance.1.try_recv().is_ok() {}
        Site { router, addr, _discovery: discovery, instance, folder }
    }

    fn ran(&self, id: &str) -> usize {
        self.instance.0.ran(id)
    }

    /// The process ends by itself, and says that all went well.
    fn ends(self) {
        assert_eq!(self.router.ended().0, Some(0));
    }
}

/// The next answer; `None` at an orderly end between two answers.
fn next(client: &Client) -> Option<Answer> {
    let mut byte = [0];
    match client.0.peek(&mut byte) {
        Ok(0) => None,
        Ok(_) => Some(client.answer()),
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
fn a_second_signal_to_end_changes_nothing() {
    let site = Site::start();
    let client = Client::connect(site.addr);
    site.instance.0.act(Act::Silent);
    client.write(&insert("slow", 900));
    site.instance.1.recv_timeout(LONG).unwrap();
    site.router.terminate();
    site.router.terminate();
    assert!(matches!(next(&client), Some(Answer::Error(code, None)) if code == "57014"));
    site.router.signal(Signal::SIGINT);
    ended_in_order(&client);
    drop(client);
    site.ends();
}

#[test]
fn a_signal_to_end_right_behind_a_reload_ends_with_a_good_and_with_a_faulty_file() {
    for faulty in [false, true] {
        let site = Site::start();
        let next_one = Discovery::start();
        let text = config(next_one.addr, vec![site.instance.0.entry("in_service")]).to_string();
        site.folder.write("config.json", if faulty { "{" } else { &text });
        site.router.signal(Signal::SIGHUP);
        site.router.terminate();
        let client = Client::connect(site.addr);
        assert_eq!(client.ask(&insert("after", 1900)), served("primary"));
        drop(client);
        site.ends();
    }
}

#[test]
fn a_file_that_is_never_read_to_its_end_holds_up_no_signal_to_end() {
    let mut site = Site::start();
    let path = site.folder.path().join("config.json");
    std::fs::remove_file(&path).unwrap();
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    site.router.signal(Signal::SIGHUP);
    // Opened for writing, which waits for a reader: the router waits in its read now.
    let writer = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    site.router.terminate();
    site.router.logged("shutdown: taking requests");
    let client = Client::connect(site.addr);
    assert_eq!(client.ask(&insert("after", 1900)), served("primary"));
    drop(client);
    let mut child = site.router;
    assert_eq!(child.child.wait().unwrap().code(), Some(0));
    drop(writer);
}

#[test]
fn a_signal_to_end_before_clients_are_taken_ends_in_order() {
    let instance = Instance::start("primary", true);
    // Accepted and mute: the start waits for news.
    let mute = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Folder::new();
    let text = config(mute.local_addr().unwrap(), vec![instance.0.entry("in_service")]).to_string();
    let path = folder.write("config.json", &text);
    let mut router = Program::start(&[], &[("BALANCER_CONFIG", path.to_str().unwrap())]);
    let watch = mute.accept().unwrap();
    assert!(router.so_far().iter().all(|l| !l.contains("listening on")), "before clients are taken");
    router.terminate();
    router.logged("shutdown: taking requests");
    assert_eq!(router.ended().0, Some(0));
    drop(watch);
}

#[test]
fn an_end_finds_a_way_where_every_descriptor_is_taken() {
    let instance = Instance::start("primary", true);
    let (discovery, folder) = (Discovery::start(), Folder::new());
    let text = config(discovery.addr, vec![instance.0.entry("in_service")]).to_string();
    let path = folder.write("config.json", &text);
    let program = env!("CARGO_BIN_EXE_damsonvale");
    // So few that clients take them all, though the settings would let more in.
    let line = format!("ulimit -n 40; BALANCER_CONFIG='{}' exec '{program}'", path.display());
    let mut router = Program::shell(&line);
    let addr = router.listening();
    let idle: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(addr).unwrap()).collect();
    router.logged("cannot accept");
    router.terminate();
    router.logged("shutdown: taking requests");
    router.logged("shutdown: ended");
    assert_eq!(router.ended().0, Some(0));
    drop((idle, discovery));
}

#[test]
fn a_signal_to_end_is_not_lost_behind_the_operators_calls_of_a_start() {
    let instance = Instance::start("primary", true);
    let mute = TcpListener::bind("127.0.0.1:0").unwrap();
    let (door, folder) = (ports(1)[0], Folder::new());
    let mut text = config(mute.local_addr().unwrap(), vec![instance.0.entry("in_service")]);
    text["admin_addr"] = json!(door.to_string());
    let path = folder.write("config.json", &text.to_string());
    let env = [("BALANCER_CONFIG", path.to_str().unwrap()), ("TMPDIR", folder.path().to_str().unwrap())];
    let mut router = Program::start(&[], &env);
    // The watch opens behind the door: calls are answered, clients are not taken yet.
    let watch = mute.accept().unwrap();
    for line in ["PAUSE", "RESUME"].iter().cycle().take(64) {
        let mut call = TcpStream::connect(door).unwrap();
        call.set_read_timeout(Some(LONG)).unwrap();
        call.write_all(format!("{line}\n").as_bytes()).unwrap();
        let mut answer = String::new();
        call.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("200"), "{line}: {answer}");
    }
    router.terminate();
    router.logged("shutdown: taking requests");
    assert_eq!(router.ended().0, Some(0));
    drop(watch);
}
