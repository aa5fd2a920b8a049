//! Clients that leave or cancel: the real program between a stand-in client, an instance and discovery. What the router
//! has noticed is read off its log, line by line; nothing waits by sleeping.
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

/// A router whose list is told by the test.
struct Site {
    router: Program,
    addr: SocketAddr,
    lines: Sender<String>,
    version: u32,
    _discovery: Discovery,
    _folder: TestFolder,
}

impl Site {
    /// With these instances, or with none: then what is asked waits for the first.
    fn start(known: Vec<Value>) -> Site {
        Site::started(known, true)
    }

    /// The same; without probes, a connection to an instance is one for a request.
    fn started(known: Vec<Value>, probes: bool) -> Site {
        let discovery = Discovery::start();
        let folder = TestFolder::new();
        let mut config = config(discovery.addr, known);
        // Time enough for what a test does while a request waits or a connection comes up.
        config["settings"]["limits"]["dialTimeoutMs"] = json!(5000.0);
        config["settings"]["limits"]["probes"] = json!(probes);
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            (class["deadlineMs"], class["objectiveMs"]) = (json!(8000.0), json!(8000.0));
        }
        let path = folder.write("config.json", &config.to_string());
        let env = [("BALANCER_CONFIG", path.to_str().unwrap()), ("DAMSONVALE_LOG", "debug")];
        let mut router = Program::start(&[], &env);
        let addr = router.listening_address();
        let (_, lines) = discovery.next_watch();
        Site { router, addr, lines, version: 41, _discovery: discovery, _folder: folder }
    }

    /// The whole list from now on; returns when it binds.
    fn list(&mut self, entries: &[Value]) {
        self.version += 1;
        let line = json!({"version": self.version, "full": true, "servers": entries}).to_string();
        self.lines.send(line).unwrap();
        self.router.wait_for_log(&format!("endpoint list applied version={} ", self.version));
    }

    /// A client's request has come to the module; they are counted from 0 on.
    fn wait_for_request(&mut self, request: usize) {
        self.router.wait_for_log(&format!("event=RequestArrived(Request {{ id: RequestId({request}),"));
    }

    /// So many requests of some client have been given up with it.
    fn wait_for_disconnect(&mut self, requests: usize) {
        self.router.wait_for_log(&format!("client disconnected requests={requests} "));
    }

    /// Whether an attempt was ever wanted for a request. Lines come in the order in which the module decides.
    fn was_attempt_started(&mut self, request: usize) -> bool {
        let line = format!("action=Send {{ request: RequestId({request}),");
        self.router.log_lines().iter().any(|l| l.contains(&line))
    }

    /// The router ends by SIGTERM; all that it has written by then is there to be looked at.
    fn end(mut self) -> Program {
        self.router.terminate();
        self.router.wait_for_log("shutdown ended");
        self.router
    }
}

/// Whether each of its threads stands still.
fn stopped(router: &Program) -> bool {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", router.child.id())).unwrap();
    let state = |t: std::fs::DirEntry| std::fs::read_to_string(t.path().join("stat")).unwrap_or_default();
    tasks.flatten().map(state).all(|s| s.rsplit(") ").next().is_some_and(|s| s.starts_with('T')))
}

/// Resets the connection instead of ending it.
fn reset(client: Client) {
    SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).unwrap();
}

fn query(sql: &str) -> Vec<u8> {
    message(b'Q', format!("{sql}\0").as_bytes())
}

/// A primary, what reaches it, and its line of the list.
fn primary() -> (ScriptedInstance, Receiver<String>, Value) {
    let (instance, heard) = ScriptedInstance::start("primary", true);
    let entry = instance.entry("in_service");
    (instance, heard, entry)
}

#[test]
fn queued_request_of_disconnected_client_is_not_sent() {
    let (instance, _heard, entry) = primary();
    let ends: [fn(Client); 3] = [drop, reset, |client| {
        // On the wire the end of sending can't be told from a close.
        client.0.shutdown(Shutdown::Write).unwrap();
        let mut rest = Vec::new();
        _ = (&client.0).read_to_end(&mut rest);
        assert!(rest.is_empty(), "{rest:?}");
    }];
    for end in ends {
        let mut site = Site::start(vec![]);
        let client = Client::connect(site.addr);
        client.send(&insert("w1", 7900));
        site.wait_for_request(0);
        end(client);
        site.wait_for_disconnect(1);
        site.list(std::slice::from_ref(&entry));
        // The id is free again, too.
        Client::connect(site.addr).query_until_served_by(&insert("w1", 7900), "primary");
        assert!(!site.was_attempt_started(0));
    }
    assert_eq!(instance.executions_of("w1"), 3);
}

/// Two writes ahead of their answers, with this behind them, whose client ends like that: neither is sent.
fn two_go_nowhere(behind: &[u8], end: impl FnOnce(Client)) {
    let (instance, _heard, entry) = primary();
    let mut site = Site::start(vec![]);
    let client = Client::connect(site.addr);
    let both = [query(&insert("w1", 7900)), query(&insert("w2", 7900)), behind.to_vec()].concat();
    (&client.0).write_all(&both).unwrap();
    site.wait_for_request(0);
    site.wait_for_request(1);
    end(client);
    site.wait_for_disconnect(2);
    site.list(&[entry]);
    Client::connect(site.addr).query_until_served_by(&insert("w3", 7900), "primary");
    assert!(!site.was_attempt_started(0) && !site.was_attempt_started(1));
    assert_eq!(instance.executions_of("w1") + instance.executions_of("w2"), 0);
}

#[test]
fn pipelined_commands_of_disconnected_client_are_not_sent() {
    // With a writer beside the reader.
    two_go_nowhere(&[], drop);
    two_go_nowhere(&[], reset);
}

#[test]
fn simultaneous_requests_and_disconnects_leave_nothing_in_flight() {
    let (instance, _heard, entry) = primary();
    let mut site = Site::start(vec![]);
    let client = Client::connect(site.addr);
    let all: Vec<u8> = (0..20).flat_map(|n| query(&insert(&format!("w{n}"), 7900))).collect();
    (&client.0).write_all(&all).unwrap();
    drop(client);
    // However many were read before the end was seen, the rest is dropped.
    site.router.wait_for_log("client disconnected");
    site.list(&[entry]);
    Client::connect(site.addr).query_until_served_by(&insert("other", 7900), "primary");
    let ran = instance.executed.lock().unwrap().clone();
    assert!(ran.iter().all(|s| s.contains("id=other,")), "{ran:?}");
}

/// Clients that end while the process is stopped.
const CLIENTS: usize = 20;

#[test]
fn request_read_after_disconnect_is_not_accepted() {
    let mut site = Site::start(vec![]);
    let clients: Vec<Client> = (0..CLIENTS).map(|_| Client::connect(site.addr)).collect();
    // While the process stands still, requests and ends come together.
    site.router.signal(Signal::SIGSTOP);
    while !stopped(&site.router) {
        std::thread::yield_now();
    }
    for (n, client) in clients.into_iter().enumerate() {
        client.send(&insert(&format!("w{n}"), 7900));
        // The end has to be there before the process goes on. Dropping the client alone may come too late: a child process
        // that another test starts holds a copy of the socket until it runs its own program.
        client.0.shutdown(Shutdown::Both).unwrap();
    }
    site.router.signal(Signal::SIGCONT);
    let begun = Instant::now();
    let left = loop {
        let left: Vec<String> =
            site.router.log_lines().iter().filter(|l| l.contains("client disconnected")).cloned().collect();
        if left.len() == CLIENTS {
            break left;
        }
        assert!(begun.elapsed() < TIMEOUT, "{left:?}");
        std::thread::yield_now();
    };
    assert!(left.iter().all(|l| l.contains("client disconnected requests=0 ")), "{left:?}");
}

#[test]
fn disconnect_after_malformed_command_is_noticed() {
    // Its reader reads no more: it waits until what is owed has been written.
    two_go_nowhere(b"Q\0\0\0\x01", drop);
}

#[test]
fn client_gets_all_responses_after_malformed_command() {
    let (_instance, _heard, entry) = primary();
    let mut site = Site::start(vec![]);
    let client = Client::connect(site.addr);
    let broken = b"Q\0\0\0\x01".to_vec();
    (&client.0)
        .write_all(&[query(&insert("w1", 7900)), query(&insert("w2", 7900)), broken].concat())
        .unwrap();
    site.wait_for_request(1);
    site.list(&[entry]);
    assert_eq!([client.response(), client.response()], [served("primary"), served("primary")]);
    let (tag, why) = read_message(&client.0).unwrap();
    assert!(tag == b'E' && String::from_utf8_lossy(&why).contains("08P01"));
    assert!(read_message(&client.0).is_err());
}

#[test]
fn disconnect_is_noticed_during_shutdown() {
    let mut site = Site::start(vec![]);
    let (witness, stays, leaves) =
        (Client::connect(site.addr), Client::connect(site.addr), Client::connect(site.addr));
    assert_eq!(witness.query(""), Response::Empty);
    leaves.send(&insert("w1", 7900));
    site.wait_for_request(0);
    stays.send(&insert("w2", 7900));
    site.wait_for_request(1);
    site.router.terminate();
    site.router.wait_for_log("shutdown started");
    // Half a command keeps its connection until nothing more is read of anybody.
    (&witness.0).write_all(b"Q\0\x02\0\0SELECT").unwrap();
    while read_message(&witness.0).is_ok() {}
    drop(leaves);
    site.wait_for_disconnect(1);
    assert!(!site.was_attempt_started(0));
    // Nobody can take it: it is refused when its time is up, and not before.
    assert!(matches!(stays.response(), Response::Error(code, _) if code == "53300"));
    site.router.wait_for_log("shutdown ended connections=0");
}

/// An instance whose connections come up when the test says so.
struct Withheld {
    addr: SocketAddr,
    /// A connection has come and its startup was read; a word to this lets it come up.
    dialled: Receiver<Sender<()>>,
    /// What was read of each connection, at its end.
    ended: Receiver<Vec<String>>,
    /// Connections that have come.
    came: Arc<AtomicUsize>,
}

impl Withheld {
    fn start() -> Withheld {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (dials, dialled) = channel();
        let (to, ended) = channel();
        let came = Arc::new(AtomicUsize::new(0));
        let count = came.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                count.fetch_add(1, Ordering::SeqCst);
                let (socket, dials, to) = (socket.unwrap(), dials.clone(), to.clone());
                std::thread::spawn(move || {
                    let mut read = Vec::new();
                    Withheld::talk(&socket, &dials, &mut read);
                    _ = to.send(read);
                });
            }
        });
        Withheld { addr, dialled, ended, came }
    }

    fn talk(socket: &TcpStream, dials: &Sender<Sender<()>>, statements: &mut Vec<String>) -> Option<()> {
        let length = read_bytes(socket, 4).ok()?;
        read_bytes(socket, u32::from_be_bytes(length.try_into().ok()?) as usize - 4).ok()?;
        let (release, released) = channel();
        dials.send(release).ok()?;
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

/// Ends a request whose attempt waits for its connection, lets that come up, and shows that nothing was written on it.
fn ends_while_it_dials(end: impl FnOnce(&mut Site, Client, CancelKey)) {
    let Withheld { addr, dialled, ended, came } = Withheld::start();
    let slow = json!({"id": "slow", "addr": addr.to_string(), "zone": "a", "kind": "k", "cell": 3, "state": "in_service",
        "weight": 1.0, "started_ms": 0, "mode": "read-write"});
    let mut site = Site::started(vec![slow], false);
    let (client, key) = keyed(site.addr);
    client.send(&insert("w1", 7900));
    let release = dialled.recv_timeout(TIMEOUT).unwrap();
    end(&mut site, client, key);
    site.router.wait_for_log("event=ClientDisconnected { request: RequestId(0) }");
    // What goes to the instance goes in order: with the next attempt, the end of the first one has come there.
    let other = Client::connect(site.addr);
    other.send(&insert("w2", 7900));
    let next = dialled.recv_timeout(TIMEOUT).unwrap();
    release.send(()).unwrap();
    site.router.wait_for_log("event=AttemptEnded { request: RequestId(0), attempt: 0,");
    next.send(()).unwrap();
    assert!(matches!(other.response(), Response::Row(_)));
    // With the router gone, the instance has all that it will ever get.
    assert_eq!(site.end().wait_for_exit().0, Some(0));
    for _ in 0..came.load(Ordering::SeqCst) {
        let read = ended.recv_timeout(TIMEOUT).unwrap();
        assert!(read.iter().all(|s| s.is_empty() || s.contains("id=w2,")), "{read:?}");
    }
}

#[test]
fn connecting_attempt_of_disconnected_client_writes_nothing() {
    ends_while_it_dials(|site, client, _| {
        drop(client);
        site.wait_for_disconnect(1);
    });
}

#[test]
fn excess_pipelining_closes_connection_after_responses() {
    let (_instance, _heard, entry) = primary();
    let mut site = Site::start(vec![]);
    let client = Client::connect(site.addr);
    for n in 0..64 {
        client.send(&insert(&format!("w{n}"), 7900));
        site.wait_for_request(n);
    }
    // The writer has the first and 63 wait behind it: of these two, one has a place yet.
    (&client.0).write_all(&[query(&insert("x1", 7900)), query(&insert("x2", 7900))].concat()).unwrap();
    site.router.wait_for_log("too many commands ahead");
    site.list(&[entry]);
    let mut answers = 0;
    let end = loop {
        let (tag, body) = read_message(&client.0).unwrap();
        match tag {
            b'Z' => answers += 1,
            b'E' if String::from_utf8_lossy(&body).contains("08P01") => break body,
            _ => {}
        }
    };
    assert!(String::from_utf8_lossy(&end).contains("too many commands"));
    assert!(read_message(&client.0).is_err());
    let mut router = site.end();
    let requests = router.log_lines().iter().filter(|l| l.contains("event=RequestArrived(")).count();
    assert_eq!(answers, requests, "each that was taken has its answer");
}

type CancelKey = [u8; 8];

/// A client, and the key that it was told.
fn keyed(addr: SocketAddr) -> (Client, CancelKey) {
    let socket = TcpStream::connect(addr).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    (&socket).write_all(&[&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()).unwrap();
    let mut key = None;
    loop {
        match read_message(&socket).unwrap() {
            (b'K', body) => key = Some(body.try_into().unwrap()),
            (b'Z', _) => return (Client(socket), key.expect("a key")),
            _ => {}
        }
    }
}

/// Sends a `CancelRequest` of this length; returns when the router has closed its connection, which it does without a
/// word.
fn cancel_with(addr: SocketAddr, length: u32, body: &[u8]) {
    let socket = TcpStream::connect(addr).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    let code = 80_877_102_u32.to_be_bytes();
    (&socket).write_all(&[&length.to_be_bytes()[..], &code, body].concat()).unwrap();
    let mut rest = Vec::new();
    _ = (&socket).read_to_end(&mut rest);
    assert!(rest.is_empty(), "{rest:?}");
}

fn cancel(addr: SocketAddr, key: CancelKey) {
    cancel_with(addr, 16, &key);
}

/// The answer to what was cancelled: a request whose time is up has the same code, but other words.
fn hears_of_the_cancel(client: &Client) {
    let (tag, body) = read_message(&client.0).unwrap();
    let text = String::from_utf8(body).unwrap();
    let right = text.contains("C57014\0") && text.contains("Mcanceling statement due to user request\0");
    assert!(tag == b'E' && right, "{text}");
    assert_eq!(read_message(&client.0).unwrap().0, b'Z');
}

#[test]
fn each_connection_gets_its_own_cancel_key() {
    let site = Site::start(vec![]);
    let keys: std::collections::HashSet<CancelKey> = (0..40).map(|_| keyed(site.addr).1).collect();
    assert_eq!(keys.len(), 40);
    assert!(!keys.contains(&[0; 8]));
}

#[test]
fn cancelled_queued_request_is_not_sent() {
    let (instance, _heard, entry) = primary();
    let mut site = Site::start(vec![]);
    let (client, key) = keyed(site.addr);
    client.send(&insert("w1", 7900));
    site.wait_for_request(0);
    cancel(site.addr, key);
    hears_of_the_cancel(&client);
    site.list(&[entry]);
    // One answer only, and the id is free.
    assert_eq!(client.query(&insert("w1", 7900)), served("primary"));
    assert!(!site.was_attempt_started(0));
    assert_eq!(instance.executions_of("w1"), 1);
}

#[test]
fn cancelled_connecting_request_writes_nothing() {
    ends_while_it_dials(|site, client, key| {
        cancel(site.addr, key);
        hears_of_the_cancel(&client);
    });
}

#[test]
fn cancelled_sent_request_is_answered_at_once() {
    let (instance, heard, entry) = primary();
    let site = Site::start(vec![entry]);
    let (client, key) = keyed(site.addr);
    client.query_until_served_by(&insert("warm", 7900), "primary");
    while heard.try_recv().is_ok() {}
    instance.set_behavior(Behavior::Silent);
    client.send(&insert("w1", 7900));
    assert!(heard.recv_timeout(TIMEOUT).unwrap().contains("id=w1,"));
    cancel(site.addr, key);
    hears_of_the_cancel(&client);
    instance.set_behavior(Behavior::Serve);
    client.query_until_served_by(&insert("w2", 7900), "primary");
    assert_eq!(instance.executions_of("w1"), 1);
}

#[test]
fn cancel_applies_to_oldest_pipelined_command() {
    let (instance, _heard, entry) = primary();
    let mut site = Site::start(vec![]);
    let (client, key) = keyed(site.addr);
    (&client.0).write_all(&[query(&insert("w1", 7900)), query(&insert("w2", 7900))].concat()).unwrap();
    site.wait_for_request(0);
    site.wait_for_request(1);
    cancel(site.addr, key);
    hears_of_the_cancel(&client);
    site.list(&[entry]);
    assert_eq!(client.response(), served("primary"));
    assert_eq!([instance.executions_of("w1"), instance.executions_of("w2")], [0, 1]);
}

#[test]
fn late_or_unknown_cancel_changes_nothing() {
    let (instance, _heard, entry) = primary();
    let mut site = Site::start(vec![]);
    let (client, key) = keyed(site.addr);
    let (gone, of_another) = keyed(site.addr);
    drop(gone);
    site.wait_for_disconnect(0);
    client.send(&insert("w1", 7900));
    site.wait_for_request(0);
    let mut wrong = key;
    wrong[7] ^= 1;
    cancel(site.addr, wrong);
    cancel(site.addr, of_another);
    cancel(site.addr, [0; 8]);
    // Keys of other lengths, and none.
    cancel_with(site.addr, 12, &key[..4]);
    cancel_with(site.addr, 8, &[]);
    cancel_with(site.addr, 20, &[&key[..], &[0; 4]].concat());
    site.list(&[entry]);
    assert_eq!(client.response(), served("primary"));
    // It has its answer: nothing is open, and what comes next is not cancelled.
    cancel(site.addr, key);
    assert_eq!(client.query(&insert("w2", 7900)), served("primary"));
    assert_eq!([instance.executions_of("w1"), instance.executions_of("w2")], [1, 1]);
}
