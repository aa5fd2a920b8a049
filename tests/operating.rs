//! Operation of the router: the admin address, metrics, instances in maintenance, draining, and replacement
//! of the process while it serves. The tests run several processes of the program with test clients, scripted
//! instances and a test discovery server.
mod common;
use command_fds::{CommandFdExt, FdMapping};
use common::TIMEOUT;
use common::client::{Client, Response, insert, select, served};
use common::discovery::Discovery;
use common::environment::{TestFolder, unused_addresses};
use common::platform::config;
use common::program::{Program, Signal};
use common::scripted_instance::{Behavior, ScriptedInstance};
use common::wire::{message, read_message};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// A primary, a replica, a test discovery server, the platform's listening socket, and the folder that all
/// processes of the router share.
struct TestSetup {
    listener: TcpListener,
    addr: SocketAddr,
    discovery: Discovery,
    primary: (ScriptedInstance, Receiver<String>),
    replica: (ScriptedInstance, Receiver<String>),
    folder: TestFolder,
    /// Discovery address in the configuration of the processes.
    discovery_addr: SocketAddr,
    /// The value of `limits.sockets`: how many file descriptors a router process may have open.
    socket_limit: u32,
}

/// One process of the router, and its admin address.
struct Router {
    program: Program,
    admin: SocketAddr,
}

/// A router process that listens for clients at an address of its own, so that a test can choose the process
/// that receives a request.
struct SeparateRouter {
    router: Router,
    addr: SocketAddr,
}

impl TestSetup {
    fn new() -> TestSetup {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (primary, replica) =
            (ScriptedInstance::start("primary", true), ScriptedInstance::start("replica", false));
        let discovery = Discovery::start();
        let (discovery_addr, folder) = (discovery.addr, TestFolder::new());
        TestSetup { listener, addr, discovery, primary, replica, folder, discovery_addr, socket_limit: 256 }
    }

    fn config(&self, admin: SocketAddr) -> Value {
        let known = vec![self.primary.0.entry("in_service"), self.replica.0.entry("in_service")];
        let mut config = config(self.discovery_addr, known);
        config["admin_addr"] = json!(admin.to_string());
        config["limits"]["sockets"] = json!(self.socket_limit);
        config
    }

    fn command(&self, admin: SocketAddr, config: &Value) -> Command {
        let name = format!("config-{}.json", admin.port());
        let path = self.folder.write(&name, &config.to_string());
        let mut command = Command::new(env!("CARGO_BIN_EXE_damsonvale"));
        command.env_clear().env("BALANCER_CONFIG", path).env("TMPDIR", self.folder.path());
        command
    }

    /// Starts two processes that serve as one router, each at an address of its own, and waits until each
    /// process has counted the other one.
    fn start_pair(&self, change: impl Fn(&mut Value)) -> [SeparateRouter; 2] {
        let start = |_| {
            let admin = unused_addresses(1)[0];
            let mut config = self.config(admin);
            change(&mut config);
            let mut program = Program::run(self.command(admin, &config));
            let addr = program.listening_address();
            SeparateRouter { router: Router { program, admin }, addr }
        };
        let mut routers = [0, 1].map(start);
        for one in &mut routers {
            let expected = "process count of this router changed other_processes=1 other_ready_processes=1";
            let line = one.router.program.wait_for_log(expected);
            assert!(line.ends_with(expected), "{line}");
            // A process that responds on its admin address has applied the new process count everywhere.
            one.router.assert_accepted("STATUS");
        }
        routers
    }

    /// How many complete statements whose id starts with `tag` the primary and the replica have received.
    fn execution_counts(&self, tag: &str) -> [usize; 2] {
        let count = |i: &ScriptedInstance| {
            i.executed.lock().unwrap().iter().filter(|s| s.contains(&format!("id={tag}"))).count()
        };
        [count(&self.primary.0), count(&self.replica.0)]
    }

    /// Starts a process that inherits the platform's listening socket, without waiting for it to be ready.
    fn launch(&self, admin: SocketAddr) -> Router {
        let mut command = self.command(admin, &self.config(admin));
        command.env("BALANCER_PASSED_SOCKET", "3");
        let parent_fd = self.listener.try_clone().unwrap().into();
        command.fd_mappings(vec![FdMapping { parent_fd, child_fd: 3 }]).unwrap();
        Router { program: Program::run(command), admin }
    }

    /// Starts a process that inherits the listening socket, and waits until `STATUS` returns 200.
    fn start(&self) -> Router {
        let router = self.launch(unused_addresses(1)[0]);
        router.wait_for_response("STATUS", "200");
        router
    }

    /// Connects a client and repeats a read until the replica serves it: the replica has been probed by then.
    fn connect_when_replica_serves(&self) -> Client {
        let client = Client::connect(self.addr);
        client.query_until_served_by(&select("warm", 1900), "replica");
        client
    }
}

impl Router {
    /// The response to an admin command; empty if nothing listens at the admin address yet.
    fn run_command(&self, line: &str) -> String {
        let mut text = String::new();
        if let Ok(mut socket) = TcpStream::connect(self.admin) {
            socket.set_read_timeout(Some(TIMEOUT)).unwrap();
            socket.write_all(format!("{line}\n").as_bytes()).unwrap();
            _ = socket.read_to_string(&mut text);
        }
        text
    }

    fn assert_accepted(&self, line: &str) {
        let response = self.run_command(line);
        assert!(response.starts_with("200"), "{line}: {response}");
    }

    fn assert_rejected(&self, line: &str) {
        let response = self.run_command(line);
        assert!(response.starts_with("400"), "{line}: {response}");
    }

    /// Repeats an admin command until its response contains `expected`.
    fn wait_for_response(&self, line: &str, expected: &str) {
        let started = Instant::now();
        loop {
            let response = self.run_command(line);
            if response.contains(expected) {
                return;
            }
            assert!(started.elapsed() < TIMEOUT, "{line}: {response}, expected {expected}");
        }
    }

    fn metrics(&self) -> HashMap<String, u64> {
        let text = self.run_command("METRICS");
        assert!(text.ends_with("EOF\n"), "{text}");
        let line = |l: &str| l.split_once('=').map(|(k, v)| (k.to_string(), v.parse().unwrap()));
        text.lines().filter_map(line).collect()
    }
}

/// Whether an empty query on a new connection succeeds. The platform's front probes readiness in this way.
fn serves_empty_query(addr: SocketAddr) -> bool {
    Client::connect(addr).query("") == Response::Empty
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "{what}");
        std::thread::yield_now();
    }
}

#[test]
fn metrics_count_what_clients_and_instances_observed() {
    let setup = TestSetup::new();
    let router = setup.start();
    let client = setup.connect_when_replica_serves();
    let before = router.metrics();
    let executed_count =
        || setup.primary.0.executed.lock().unwrap().len() + setup.replica.0.executed.lock().unwrap().len();
    let executed_before = executed_count();
    // Reads with a deadline of 60 ms are rejected at once, because reads have taken longer so far.
    for n in 0..3 {
        let response = client.query(&select(&format!("s{n}"), 60));
        assert!(matches!(&response, Response::Error(c, _) if c == "53300"), "{response:?}");
    }
    for n in 0..40 {
        assert_eq!(client.query(&select(&format!("r{n}"), 1900)), served("replica"));
        assert_eq!(client.query(&insert(&format!("w{n}"), 1900)), served("primary"));
    }
    // A deadline of 0 ms, as the last retry of a client may have: the request is rejected at once and is
    // counted as failed.
    let expired = client.query(&select("spent", 0));
    assert!(matches!(&expired, Response::Error(c, _) if c == "53300"), "{expired:?}");
    // A write that may have run, and a response that is received after the client's deadline, are counted as
    // failed.
    setup.primary.0.set_behavior(Behavior::Error("XX000"));
    (0..5)
        .for_each(|n| assert!(matches!(client.query(&insert(&format!("e{n}"), 1900)), Response::Error(..))));
    setup.primary.0.set_behavior(Behavior::Error("25006"));
    for n in 0..3 {
        let response = client.query(&insert(&format!("m{n}"), 300));
        assert!(matches!(&response, Response::Error(c, _) if c == "53300"), "{response:?}");
    }
    setup.primary.0.set_behavior(Behavior::Serve);
    // One request is in progress.
    while setup.primary.1.try_recv().is_ok() {}
    setup.primary.0.set_behavior(Behavior::Silent);
    let waiting = Client::connect(setup.addr);
    waiting.send(&insert("late", 1500));
    while !setup.primary.1.recv_timeout(TIMEOUT).unwrap().contains("id=late,") {}
    router.wait_for_response("METRICS", "router.current=1\n");
    assert!(matches!(waiting.response(), Response::Error(..)));
    router.wait_for_response("METRICS", "router.current=0\n");
    let after = router.metrics();
    let increase = |key: &str| {
        after[&format!("router.transactions.{key}")] - before[&format!("router.transactions.{key}")]
    };
    assert_eq!(
        [
            increase("read.answered"),
            increase("read.deferred"),
            increase("read.errored"),
            increase("read.sends")
        ],
        [40, 3, 1, 40]
    );
    assert_eq!(
        [increase("order.answered"), increase("order.deferred"), increase("order.errored")],
        [40, 0, 9]
    );
    assert_eq!(increase("read.sends") + increase("order.sends"), (executed_count() - executed_before) as u64);
    assert_eq!(after["router.cluster_size"], 2);
}

#[test]
fn suspended_instance_gets_nothing_until_restored() {
    let setup = TestSetup::new();
    let router = setup.start();
    let client = setup.connect_when_replica_serves();
    let (_, lines) = setup.discovery.next_watch();
    router.assert_rejected("SUSPEND nobody");
    router.assert_rejected("RESTORE replica");
    router.assert_accepted("SUSPEND replica");
    router.assert_accepted("SUSPEND replica");
    router.wait_for_response("METRICS", "router.cluster_unhealthy=1\n");
    while setup.replica.1.try_recv().is_ok() {}
    let connections = || setup.replica.0.connections.load(Ordering::SeqCst);
    let connections_before = connections();
    let reads = |from: u32, n: u32| {
        (from..from + n)
            .for_each(|k| assert_eq!(client.query(&select(&format!("h{k}"), 1900)), served("primary")));
    };
    reads(0, 20);
    // Discovery lists the replica as restarted and in service, then drops it from the list, then lists it
    // again.
    let update = |version: u32, full: bool, servers: Value| {
        lines.send(json!({"version": version, "full": full, "servers": servers}).to_string()).unwrap();
    };
    let mut restarted = setup.replica.0.entry("in_service");
    restarted["started_ms"] = json!(1_700_000_000_000u64);
    update(42, false, json!([restarted]));
    router.wait_for_response("METRICS", "router.cluster_size=2\n");
    reads(20, 20);
    update(43, true, json!([setup.primary.0.entry("in_service")]));
    router.wait_for_response("METRICS", "router.cluster_size=1\n");
    router.assert_accepted("SUSPEND replica");
    update(44, false, json!([restarted]));
    router.wait_for_response("METRICS", "router.cluster_size=2\n");
    reads(40, 20);
    assert_eq!(
        (connections(), setup.replica.1.try_recv().ok()),
        (connections_before, None),
        "the suspended replica received something"
    );
    // SUSPEND is idempotent: one RESTORE undoes every SUSPEND, and a second RESTORE is rejected.
    router.assert_accepted("RESTORE replica");
    router.assert_rejected("RESTORE replica");
    // The replica may have been restarted in the meantime. It is treated as cold: it soon gets reads, but
    // only a share of them.
    let executed_before = setup.replica.0.executed.lock().unwrap().len();
    let restored_at = Instant::now();
    let mut n = 100;
    while setup.replica.1.try_recv().is_err() {
        assert!(restored_at.elapsed() < Duration::from_secs(5), "no read within 5 s after RESTORE");
        assert!(matches!(client.query(&select(&format!("b{n}"), 1900)), Response::Row(_)));
        n += 1;
    }
    while n < 200 && restored_at.elapsed() < Duration::from_secs(2) {
        assert!(matches!(client.query(&select(&format!("b{n}"), 1900)), Response::Row(_)));
        n += 1;
    }
    let share = setup.replica.0.executed.lock().unwrap().len() - executed_before;
    assert!(
        share <= 60.max((n as usize - 100) / 2),
        "{share} of {} reads is more than a cold replica may get",
        n - 100
    );
}

#[test]
fn writes_to_suspended_primary_are_rejected_with_retry_after() {
    let setup = TestSetup::new();
    let router = setup.start();
    let client = setup.connect_when_replica_serves();
    assert_eq!(client.query(&insert("before", 1900)), served("primary"));
    router.assert_accepted("SUSPEND primary");
    router.assert_accepted("SUSPEND replica");
    router.wait_for_response("METRICS", "router.cluster_unhealthy=2\n");
    // No instance can serve the request, and waiting does not change that, so the request is
    // rejected before its deadline.
    for sql in [insert("w1", 1900), select("r1", 1900)] {
        let started = Instant::now();
        let response = client.query(&sql);
        assert!(matches!(&response, Response::Error(c, Some(_)) if c == "53300"), "{response:?}");
        assert!(started.elapsed() < Duration::from_millis(700));
    }
    assert_eq!(
        setup.primary.0.executions_of("w1")
            + setup.replica.0.executions_of("w1")
            + setup.replica.0.executions_of("r1"),
        0
    );
    router.assert_accepted("RESTORE primary");
    client.query_until_served_by(&insert("after", 1900), "primary");
}

#[test]
fn maintenance_survives_upgrade_and_applies_to_both_processes() {
    let setup = TestSetup::new();
    let old = setup.start();
    setup.connect_when_replica_serves();
    old.assert_accepted("SUSPEND replica");
    let mut new = setup.launch(unused_addresses(1)[0]);
    // An instance is suspended at the old process while the new one starts and is not ready yet.
    old.assert_accepted("SUSPEND primary");
    new.program.wait_for_log("maintenance mask applied");
    new.wait_for_response("STATUS", "200");
    old.wait_for_response("STATUS", "2 instances held");
    new.wait_for_response("STATUS", "2 instances held");
    // Both instances are restored at the new process.
    new.assert_accepted("RESTORE replica");
    new.assert_accepted("RESTORE primary");
    old.wait_for_response("STATUS", "0 instances held");
    old.assert_accepted("SUSPEND primary");
    let since = Instant::now();
    new.wait_for_response("STATUS", "1 instances held");
    assert!(since.elapsed() < Duration::from_millis(250), "{:?}", since.elapsed());
    old.program.terminate();
    assert_eq!(old.program.wait_for_exit().0, Some(0));
    while setup.primary.1.try_recv().is_ok() {}
    let client = Client::connect(setup.addr);
    assert!(matches!(client.query(&insert("w1", 500)), Response::Error(c, _) if c == "53300"));
    assert_eq!(setup.primary.0.executions_of("w1"), 0);
    new.assert_accepted("RESTORE primary");
    client.query_until_served_by(&insert("w2", 1900), "primary");
}

#[test]
fn suspension_just_before_readiness_applies_in_new_process() {
    let setup = TestSetup::new();
    let old = setup.start();
    setup.connect_when_replica_serves();
    let new = setup.launch(unused_addresses(1)[0]);
    let started = Instant::now();
    // The replica is suspended and restored repeatedly until the new process is ready, so that the last
    // SUSPEND is received immediately before the process is ready.
    loop {
        old.assert_accepted("SUSPEND replica");
        if new.run_command("STATUS").starts_with("200") {
            break;
        }
        old.assert_accepted("RESTORE replica");
        assert!(started.elapsed() < TIMEOUT);
    }
    let since = Instant::now();
    new.wait_for_response("STATUS", "1 instances held");
    assert!(since.elapsed() < Duration::from_millis(250), "{:?}", since.elapsed());
    new.assert_accepted("RESTORE replica");
    new.assert_rejected("RESTORE replica");
}

#[test]
fn paused_router_reports_draining_and_serves_again_after_resume() {
    let setup = TestSetup::new();
    let mut router = setup.start();
    let idle = setup.connect_when_replica_serves();
    assert!(serves_empty_query(setup.addr));
    // One client waits for the response to a request; another one pipelines requests without a pause.
    while setup.primary.1.try_recv().is_ok() {}
    setup.primary.0.set_behavior(Behavior::Silent);
    let waiting = Client::connect(setup.addr);
    waiting.send(&insert("slow", 1900));
    while !setup.primary.1.recv_timeout(TIMEOUT).unwrap().contains("id=slow,") {}
    let started = Instant::now();
    router.assert_accepted("PAUSE");
    router.assert_accepted("PAUSE");
    assert!(!serves_empty_query(setup.addr));
    let (sent, addr) = (Arc::new(AtomicUsize::new(0)), setup.addr);
    let pipelined = std::thread::spawn(move || send_pipelined(addr, &sent, started));
    assert!(read_message(&idle.0).is_err(), "an idle connection is closed");
    assert!(started.elapsed() < Duration::from_secs(4));
    assert!(
        matches!(waiting.response(), Response::Error(c, _) if c == "57014"),
        "a request accepted before PAUSE gets its response"
    );
    assert!(read_message(&waiting.0).is_err());
    let (responses, last) = pipelined.join().unwrap();
    assert!(responses > 0, "a pipelining client gets responses to the requests that were read");
    assert!(
        last < Duration::from_secs(4),
        "the pipelining client's connection was closed only after {last:?}"
    );
    router.program.signal(Signal::SIGHUP);
    router.program.wait_for_log("configuration reloaded");
    assert!(!serves_empty_query(setup.addr), "a new client is still rejected after the reload");
    router.assert_accepted("RESUME");
    router.assert_accepted("RESUME");
    wait_until("clients are served again", || serves_empty_query(setup.addr));
    assert!(started.elapsed() < Duration::from_secs(10));
    setup.primary.0.set_behavior(Behavior::Serve);
    Client::connect(setup.addr).query_until_served_by(&insert("again", 1900), "primary");
    // SIGTERM while the router is draining ends the process cleanly.
    router.assert_accepted("PAUSE");
    router.program.terminate();
    assert_eq!(router.program.wait_for_exit().0, Some(0));
}

/// Pipelines requests without waiting for responses until the connection is closed. Returns the number of
/// responses and the time from `started` to the close of the connection.
fn send_pipelined(addr: SocketAddr, sent: &AtomicUsize, started: Instant) -> (usize, Duration) {
    let client = Client::connect(addr);
    let writer = client.0.try_clone().unwrap();
    let mut responses = 0;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            // The writer does not wait for responses, only for space in the socket's send buffer.
            loop {
                let n = sent.fetch_add(1, Ordering::SeqCst);
                let text = format!("{}\0", select(&format!("p{n}"), 1900));
                if (&writer).write_all(&message(b'Q', text.as_bytes())).is_err() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        while let Ok((tag, _)) = read_message(&client.0) {
            responses += usize::from(tag == b'Z');
        }
        let last = started.elapsed();
        _ = client.0.shutdown(Shutdown::Both);
        (responses, last)
    })
}

#[test]
fn sigterm_completes_received_requests_and_drops_unread_ones() {
    let setup = TestSetup::new();
    let mut router = setup.start();
    let idle = setup.connect_when_replica_serves();
    let (completed_late, never_completed) = (Client::connect(setup.addr), Client::connect(setup.addr));
    let complete = message(b'Q', format!("{}\0", select("halves", 1900)).as_bytes());
    for client in [&completed_late, &never_completed] {
        assert!(matches!(client.query(&select("first", 1900)), Response::Row(_)));
        (&client.0).write_all(&complete[..40]).unwrap();
    }
    let (started, addr) = (Instant::now(), setup.addr);
    router.program.terminate();
    router.program.wait_for_log("shutdown started, requests are taken for the grace time grace=500ms");
    // One client pipelines requests without a pause; another one sends the next request after each response,
    // on the same connection.
    let pipelined = std::thread::spawn(move || send_pipelined(addr, &AtomicUsize::new(0), started));
    let sequential = std::thread::spawn(move || {
        let (client, mut responses) = (Client::connect(addr), 0);
        while let Some(Response::Row(_)) = try_query(&client, &select(&format!("e{responses}"), 1900)) {
            responses += 1;
        }
        responses
    });
    assert!(read_message(&idle.0).is_err(), "an idle connection is closed when the drain of clients begins");
    // A command whose second half is received only now gets its response; then its connection is closed.
    (&completed_late.0).write_all(&complete[40..]).unwrap();
    assert!(matches!(completed_late.response(), Response::Row(_)));
    assert!(read_message(&completed_late.0).is_err());
    assert!(
        read_message(&never_completed.0).is_err(),
        "shutdown does not wait for the second half of a command that is never sent"
    );
    assert!(sequential.join().unwrap() > 0);
    assert!(pipelined.join().unwrap().0 > 0);
    router.program.wait_for_log("shutdown ended connections=0");
    assert_eq!(router.program.wait_for_exit().0, Some(0));
    assert!(started.elapsed() < Duration::from_millis(3700), "{:?}", started.elapsed());
}

/// Clients that send requests until they are stopped, each on one connection for as long as it stays open. A
/// request whose connection was closed before the first byte of a response is sent again, as PROTOCOL allows.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Counts>>,
}

#[derive(Default, Debug)]
struct Counts {
    served: usize,
    rejected: usize,
    failed: usize,
    /// Requests sent again because the connection was closed before the first byte of a response.
    resent: usize,
}

impl Load {
    fn start(addr: SocketAddr, clients: usize, tag: &str) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |c: usize| {
            let (stop, tag) = (stop.clone(), format!("{tag}{c}"));
            std::thread::spawn(move || {
                let (mut counts, mut n, mut open) = (Counts::default(), 0, None);
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    let sql = match n % 4 {
                        0 => insert(&format!("{tag}.{n}"), 1900),
                        _ => select(&format!("{tag}.{n}"), 1900),
                    };
                    loop {
                        let client = open.take().unwrap_or_else(|| Client::connect(addr));
                        match try_query(&client, &sql) {
                            Some(Response::Row(_)) => counts.served += 1,
                            Some(Response::Error(c, _)) if c == "53300" => counts.rejected += 1,
                            // The connection was closed between two requests.
                            Some(Response::Empty) => continue,
                            Some(_) => counts.failed += 1,
                            None => {
                                counts.resent += 1;
                                continue;
                            }
                        }
                        open = Some(client);
                        break;
                    }
                }
                counts
            })
        };
        Load { threads: (0..clients).map(client).collect(), stop }
    }

    fn stop_and_count(self) -> Counts {
        self.stop.store(true, Ordering::SeqCst);
        let mut all = Counts::default();
        for t in self.threads {
            let c = t.join().unwrap();
            all.served += c.served;
            all.rejected += c.rejected;
            all.failed += c.failed;
            all.resent += c.resent;
        }
        all
    }
}

/// Sends a query. `None` if the connection is closed before the first byte of the response, and
/// `Response::Empty` if it was closed before the query was sent. Panics if it is closed within a response.
fn try_query(client: &Client, sql: &str) -> Option<Response> {
    let mut first = [0];
    // Connection pools also check whether a connection is closed before they use it.
    client.0.set_nonblocking(true).unwrap();
    let ended = client.0.peek(&mut first).is_ok();
    client.0.set_nonblocking(false).unwrap();
    if ended {
        return Some(Response::Empty);
    }
    if (&client.0).write_all(&message(b'Q', format!("{sql}\0").as_bytes())).is_err() {
        return None;
    }
    match client.0.peek(&mut first) {
        Ok(n) if n > 0 => Some(client.response()),
        _ => None,
    }
}

#[test]
fn process_is_replaced_under_load_without_lost_request() {
    let setup = TestSetup::new();
    let old = setup.start();
    setup.connect_when_replica_serves();
    let load = Load::start(setup.addr, 12, "u");
    let started = Instant::now();
    let mut new = setup.launch(unused_addresses(1)[0]);
    new.wait_for_response("STATUS", "200");
    assert!(started.elapsed() < Duration::from_secs(6));
    new.wait_for_response("METRICS", "router.transactions.read.answered=");
    let mut old = old;
    old.program.wait_for_log("other_ready_processes=1");
    new.program.wait_for_log("process count of this router changed other_processes=1 ");
    old.program.terminate();
    assert_eq!(old.program.wait_for_exit().0, Some(0));
    new.program.wait_for_log("process count of this router changed other_processes=0 ");
    // The new process serves all requests now.
    let served_by_new = || new.metrics()["router.transactions.read.answered"];
    let reads_at_handover = served_by_new();
    wait_until("the new process has served 50 more reads", || served_by_new() > reads_at_handover + 50);
    let counts = load.stop_and_count();
    assert!(counts.served > 100 && counts.failed == 0, "{counts:?}");
    // The close of an idle connection may cross a request on the wire that is then never read. This is rare.
    assert!(counts.resent <= 3, "{counts:?}");
    for instance in [&setup.primary.0, &setup.replica.0] {
        let executed = instance.executed.lock().unwrap();
        let writes: Vec<&String> = executed.iter().filter(|s| s.starts_with("INSERT")).collect();
        let ids: std::collections::HashSet<&str> =
            writes.iter().map(|s| s.split("id=").nth(1).unwrap().split(',').next().unwrap()).collect();
        assert_eq!(ids.len(), writes.len(), "a write ran twice");
    }
}

#[test]
fn killed_process_leaves_the_other_serving() {
    let setup = TestSetup::new();
    let mut old = setup.start();
    setup.connect_when_replica_serves();
    // The new process is killed while it starts, and another one after it has become ready.
    let early = setup.launch(unused_addresses(1)[0]);
    drop(early);
    let new = setup.start();
    old.program.wait_for_log("other_ready_processes=1");
    drop(new);
    old.program.wait_for_log("process count of this router changed other_processes=0 ");
    let client = Client::connect(setup.addr);
    client.query_until_served_by(&insert("w1", 1900), "primary");
    drop(client);
    // The old process is stopped while a new one starts, and is killed after that.
    old.program.signal(Signal::SIGSTOP);
    let mut new = setup.start();
    // Connections accepted by the stopped process are lost with it; the new one accepts those that follow.
    new.program.wait_for_log("process count of this router changed other_processes=1 ");
    drop(old);
    new.program.wait_for_log("process count of this router changed other_processes=0 ");
    Client::connect(setup.addr).query_until_served_by(&insert("w2", 1900), "primary");
    // Locks that the killed processes held in the shared folder do not block the new one.
    new.assert_accepted("SUSPEND replica");
    new.assert_accepted("RESTORE replica");
}

#[test]
fn failed_start_of_new_process_leaves_old_one_unchanged() {
    let setup = TestSetup::new();
    let old = setup.start();
    let client = setup.connect_when_replica_serves();
    old.assert_accepted("SUSPEND replica");
    let mut same_address = setup.launch(old.admin);
    same_address.program.wait_for_log("admin_addr: ");
    assert_eq!(same_address.program.wait_for_exit().0, Some(1));
    let path = setup.folder.write("no.json", &setup.config(unused_addresses(1)[0]).to_string());
    let (path, tmp) = (path.to_str().unwrap(), setup.folder.path().to_str().unwrap());
    for (fd, expected) in [("1", "descriptor above 2"), ("77", "descriptor 77 is no listening TCP socket")] {
        let env = [("BALANCER_CONFIG", path), ("TMPDIR", tmp), ("BALANCER_PASSED_SOCKET", fd)];
        let mut program = Program::start(&[], &env);
        program.wait_for_log(expected);
        assert_eq!(program.wait_for_exit().0, Some(1));
    }
    old.wait_for_response("STATUS", "200 taking clients, 1 instances held");
    assert_eq!(client.query(&insert("w1", 1900)), served("primary"));
}

#[test]
fn upgrade_during_drain_stays_drained_despite_silent_discovery() {
    let mut setup = TestSetup::new();
    let old = setup.start();
    old.assert_accepted("PAUSE");
    // Discovery accepts connections and sends nothing, not even a response header: the new process uses the
    // endpoint list of its configuration.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    setup.discovery_addr = silent.local_addr().unwrap();
    let started = Instant::now();
    let new = setup.start();
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
    assert!(!serves_empty_query(setup.addr));
    old.program.terminate();
    assert_eq!(old.program.wait_for_exit().0, Some(0));
    assert!(!serves_empty_query(setup.addr), "the router stays drained until RESUME");
    new.assert_accepted("RESUME");
    wait_until("clients are served again", || serves_empty_query(setup.addr));
    Client::connect(setup.addr).query_until_served_by(&insert("w1", 1900), "primary");
}

#[test]
fn drain_reload_and_shutdown_work_in_any_order() {
    let orders = ["PAUSE TERM HUP", "TERM PAUSE HUP", "HUP PAUSE TERM", "PAUSE HUP TERM", "TERM HUP PAUSE"];
    std::thread::scope(|scope| orders.iter().for_each(|order| _ = scope.spawn(|| run_in_order(order))));
}

/// Runs the steps of `order` and asserts that the process exits with code 0.
fn run_in_order(order: &str) {
    let setup = TestSetup::new();
    let mut router = setup.start();
    let mut ends = false;
    for step in order.split(' ') {
        match step {
            // After SIGTERM the process may have exited already.
            "PAUSE" if ends => _ = router.run_command("PAUSE"),
            "PAUSE" => router.assert_accepted("PAUSE"),
            "HUP" => {
                router.program.signal(Signal::SIGHUP);
                if !ends {
                    router.program.wait_for_log("configuration reloaded");
                }
            }
            _ => {
                router.program.terminate();
                ends = true;
            }
        }
    }
    assert_eq!(router.program.wait_for_exit().0, Some(0), "{order}");
}

#[test]
fn stalled_admin_connections_delay_no_command_under_load() {
    let setup = TestSetup::new();
    let router = setup.start();
    setup.connect_when_replica_serves();
    let before = router.metrics();
    let executed_count = || {
        let count =
            |i: &ScriptedInstance| i.executed.lock().unwrap().iter().filter(|s| !s.is_empty()).count() as u64;
        count(&setup.primary.0) + count(&setup.replica.0)
    };
    let executed_before = executed_count();
    let load = Load::start(setup.addr, 8, "s");
    let mut stalled_callers: Vec<TcpStream> = Vec::new();
    for _ in 0..200 {
        let mut socket = TcpStream::connect(router.admin).unwrap();
        _ = socket.write_all(b"STAT");
        stalled_callers.push(socket);
        if stalled_callers.len().is_multiple_of(20) {
            let started = Instant::now();
            router.assert_accepted("STATUS");
            assert!(router.metrics()["router.cluster_size"] == 2);
            assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
        }
    }
    let counts = load.stop_and_count();
    assert!(counts.served > 0 && counts.failed + counts.resent == 0, "{counts:?}");
    // The metrics equal what the clients and the instances counted, also across a drain.
    router.assert_accepted("PAUSE");
    router.assert_accepted("RESUME");
    wait_until("clients are served again", || serves_empty_query(setup.addr));
    let client = Client::connect(setup.addr);
    (0..20).for_each(|n| assert!(matches!(client.query(&select(&format!("z{n}"), 1900)), Response::Row(_))));
    let after = router.metrics();
    let increase = |key: &str| {
        let sum = |f: &HashMap<String, u64>| {
            ["read", "order"].map(|c| f[&format!("router.transactions.{c}.{key}")])
        };
        sum(&after).iter().sum::<u64>() - sum(&before).iter().sum::<u64>()
    };
    assert_eq!(
        (increase("answered"), increase("deferred")),
        (counts.served as u64 + 20, counts.rejected as u64)
    );
    assert_eq!(increase("sends"), executed_count() - executed_before);
}

#[test]
fn damaged_or_foreign_maintenance_file_is_logged_and_ignored() {
    let setup = TestSetup::new();
    let file = setup.folder.path().join("damsonvale-n1").join("damsonvale-holds");
    let first = setup.start();
    first.assert_accepted("SUSPEND replica");
    drop(first);
    let complete = std::fs::read(&file).unwrap();
    for (text, held) in [(&complete[..], 1), (&complete[..complete.len() - 3], 0), (b"another program's", 0)]
    {
        std::fs::write(&file, text).unwrap();
        let mut router = setup.start();
        router.wait_for_response("STATUS", &format!("{held} instances held"));
        if held == 0 {
            router.program.wait_for_log("damsonvale-holds.refused");
            router.assert_accepted("SUSPEND replica");
        }
    }
}

/// Opens a connection for each statement and sends it without waiting for the response.
fn send_all(addr: SocketAddr, statements: &[String]) -> Vec<Client> {
    let send = |sql: &String| {
        let client = Client::connect(addr);
        client.send(sql);
        client
    };
    statements.iter().map(send).collect()
}

fn statements(tag: &str, n: usize, sql: fn(&str, u32) -> String) -> Vec<String> {
    (0..n).map(|k| sql(&format!("{tag}{k}"), 1200)).collect()
}

#[test]
fn two_processes_share_slots_of_warm_and_cold_instances() {
    let setup = TestSetup::new();
    let routers = setup.start_pair(|_| {});
    routers
        .iter()
        .for_each(|one| Client::connect(one.addr).query_until_served_by(&select("warm", 1900), "replica"));
    // The replica was restarted 8 s ago and is half warm. The third instance is in the update only so that
    // the metrics show when the update has been applied.
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut half_warm = setup.replica.0.entry("in_service");
    half_warm["started_ms"] = json!(now - 8000);
    let mut third = setup.replica.0.entry("terminating");
    third["id"] = json!("third");
    let mut watches = Vec::new();
    for _ in 0..2 {
        let update = json!({"version": 42, "full": false, "servers": [half_warm, third]});
        let (_, lines) = setup.discovery.next_watch();
        lines.send(update.to_string()).unwrap();
        // A watch stays open as long as its sender exists.
        watches.push(lines);
    }
    routers.iter().for_each(|one| one.router.wait_for_response("METRICS", "router.cluster_unhealthy=1\n"));
    // A silent instance holds each request until its deadline, so the number of requests that it received is
    // the number that were in progress at once.
    setup.replica.0.set_behavior(Behavior::Silent);
    let mut clients = Vec::new();
    for (n, one) in routers.iter().enumerate() {
        clients.extend(send_all(one.addr, &statements(&format!("cold{n}."), 20, select)));
    }
    clients.drain(..).for_each(|c| _ = c.response());
    let cold = setup.execution_counts("cold")[1];
    // One router has 8 slots at an instance; a half-warm instance gets half of them.
    assert!((2..=4).contains(&cold), "{cold} requests at the half-warm replica");
    setup.primary.0.set_behavior(Behavior::Silent);
    for (n, one) in routers.iter().enumerate() {
        clients.extend(send_all(one.addr, &statements(&format!("full{n}."), 20, insert)));
    }
    clients.drain(..).for_each(|c| _ = c.response());
    assert_eq!(setup.execution_counts("full")[0], 8);
}

#[test]
fn remaining_process_gets_all_slots_after_other_is_killed() {
    let setup = TestSetup::new();
    let [mut one, other] = setup.start_pair(|_| {});
    Client::connect(one.addr).query_until_served_by(&insert("first", 1900), "primary");
    drop(other);
    one.router.program.wait_for_log("process count of this router changed other_processes=0 ");
    one.router.assert_accepted("STATUS");
    setup.primary.0.set_behavior(Behavior::Silent);
    send_all(one.addr, &statements("alone", 20, insert)).into_iter().for_each(|c| _ = c.response());
    assert_eq!(setup.execution_counts("alone")[0], 8);
}

#[test]
fn two_processes_share_backend_connections_of_one_router() {
    // With 88 descriptors, one router with an admin address may have 30 clients and 6 backend connections.
    let setup = TestSetup { socket_limit: 88, ..TestSetup::new() };
    let routers = setup.start_pair(|_| {});
    routers
        .iter()
        .for_each(|one| Client::connect(one.addr).query_until_served_by(&select("warm", 1900), "replica"));
    setup.primary.0.set_behavior(Behavior::Silent);
    setup.replica.0.set_behavior(Behavior::Silent);
    let mut clients = Vec::new();
    for (n, one) in routers.iter().enumerate() {
        clients.extend(send_all(one.addr, &statements(&format!("link{n}."), 4, insert)));
        clients.extend(send_all(one.addr, &statements(&format!("link{n}.r"), 4, select)));
    }
    clients.drain(..).for_each(|c| _ = c.response());
    let connections_in_use: usize = setup.execution_counts("link").iter().sum();
    assert!(
        (3..=6).contains(&connections_in_use),
        "{connections_in_use} backend connections were in use at once"
    );
}

/// The highest number of requests that these routers had accepted at the same time. Polls the metrics until
/// the number has reached `min_peak` and has fallen below it again.
fn peak_current_requests(routers: &[&Router], min_peak: u64) -> u64 {
    let (started, mut peak) = (Instant::now(), 0);
    loop {
        let current = routers.iter().map(|r| r.metrics()["router.current"]).sum::<u64>();
        peak = peak.max(current);
        if peak >= min_peak && current < min_peak {
            return peak;
        }
        assert!(started.elapsed() < TIMEOUT, "{peak}");
    }
}

/// Connects and sends the startup message and a query without waiting for a response: at the limit on
/// clients, the router does not respond to the startup message at once.
fn connect_and_send(addr: SocketAddr, sql: &str) -> TcpStream {
    let startup = b"\0\0\0\x26\0\x03\0\0user\0worker\0database\0catalog\0\0";
    let mut socket = TcpStream::connect(addr).unwrap();
    // If the connection is not accepted, it may be closed during the write.
    _ = socket.write_all(&[&startup[..], &message(b'Q', format!("{sql}\0").as_bytes())].concat());
    socket
}

#[test]
fn two_processes_share_clients_of_one_router() {
    let setup = TestSetup { socket_limit: 74, ..TestSetup::new() };
    let routers = setup.start_pair(|_| {});
    setup.primary.0.set_behavior(Behavior::Silent);
    let send = |n: usize| connect_and_send(routers[n % 2].addr, &insert(&format!("c{n}"), 900));
    let _sockets: Vec<TcpStream> = (0..40).map(send).collect();
    assert_eq!(peak_current_requests(&routers.each_ref().map(|one| &one.router), 18), 18);
}

#[test]
fn process_uses_its_share_from_its_first_client_on() {
    let setup = TestSetup { socket_limit: 74, ..TestSetup::new() };
    let old = setup.start();
    setup.primary.0.set_behavior(Behavior::Silent);
    // The old process is stopped: clients wait in the accept queue and are there when the new process starts
    // to accept.
    old.program.signal(Signal::SIGSTOP);
    let send = |n: usize| connect_and_send(setup.addr, &insert(&format!("c{n}"), 900));
    let _sockets: Vec<TcpStream> = (0..20).map(send).collect();
    let new = setup.start();
    assert_eq!(peak_current_requests(&[&new], 9), 9);
}

#[test]
fn two_processes_share_request_memory_of_one_router() {
    let setup = TestSetup::new();
    let routers = setup.start_pair(|config| config["limits"]["memory_mb"] = json!(26));
    setup.primary.0.set_behavior(Behavior::Silent);
    // One router may use 4 MiB for requests, a quarter of what the program itself leaves. 17 such statements fit, because each is stored
    // twice: in the buffer of its connection and in its request.
    let long = |n: usize| insert(&format!("m{n}"), 1900).replace("x9f", &format!("x{}", "9f".repeat(60_000)));
    let _sockets: Vec<TcpStream> = (0..60).map(|n| connect_and_send(routers[n % 2].addr, &long(n))).collect();
    let peak = peak_current_requests(&routers.each_ref().map(|one| &one.router), 8);
    assert!(peak <= 17, "{peak} requests accepted at once, at most 17 allowed");
}

#[test]
fn two_processes_probe_no_more_often_than_one() {
    let setup = TestSetup::new();
    // Reads need a replica with a staleness of at most 1 s, as probes measure it; this replica lags by 1.1 s.
    let routers = setup.start_pair(|config| {
        let extra = &mut config["settings"]["extra"];
        extra["whenBehind"] = json!("silent");
        extra["freshness"] = json!(["lag_bound", "mutate"]);
        extra["oldestDataMs"] = json!([1000.0, 0.0]);
    });
    setup.replica.0.lag_ms.store(1100, Ordering::SeqCst);
    let clients = [0, 1].map(|n: usize| Client::connect(routers[n].addr));
    clients.iter().for_each(|c| c.query_until_served_by(&select("warm", 1900), "primary"));
    let probes = || setup.replica.0.probes.load(Ordering::SeqCst);
    let (before, started, window) = (probes(), Instant::now(), Duration::from_secs(3));
    std::thread::scope(|scope| {
        for client in &clients {
            scope.spawn(move || {
                while started.elapsed() < window {
                    assert!(matches!(client.query(&select("p", 1900)), Response::Row(_)));
                }
            });
        }
    });
    // One router probes an instance at most every 100 ms.
    let (probe_count, max_expected) = (probes() - before, started.elapsed().as_millis() as u32 / 100);
    assert!(
        probe_count > max_expected / 4 && probe_count <= max_expected + 3,
        "{probe_count} probes, one router sends at most {max_expected} in that time"
    );
}
