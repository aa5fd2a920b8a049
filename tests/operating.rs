//! The router run by its operators: their address, its figures, instances held by hand, drains, and the process replaced
//! while it serves. Several processes of the program between stand-in clients, instances and discovery.
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

/// A primary and a replica, the platform's listening socket, and a folder that all processes of the router share.
struct Site {
    listener: TcpListener,
    addr: SocketAddr,
    discovery: Discovery,
    primary: (ScriptedInstance, Receiver<String>),
    replica: (ScriptedInstance, Receiver<String>),
    folder: TestFolder,
    /// Where the processes look for discovery.
    agent: SocketAddr,
    /// Descriptors that a process of it may hold.
    sockets: u32,
}

/// One process of the router.
struct Router {
    program: Program,
    admin: SocketAddr,
}

/// One that listens for clients at an address of its own, so that a test chooses which process it asks.
struct Apart {
    router: Router,
    addr: SocketAddr,
}

impl Site {
    fn new() -> Site {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (primary, replica) =
            (ScriptedInstance::start("primary", true), ScriptedInstance::start("replica", false));
        let discovery = Discovery::start();
        let (agent, folder) = (discovery.addr, TestFolder::new());
        Site { listener, addr, discovery, primary, replica, folder, agent, sockets: 256 }
    }

    fn config(&self, admin: SocketAddr) -> Value {
        let known = vec![self.primary.0.entry("in_service"), self.replica.0.entry("in_service")];
        let mut config = config(self.agent, known);
        config["admin_addr"] = json!(admin.to_string());
        config["limits"]["sockets"] = json!(self.sockets);
        config
    }

    fn command(&self, admin: SocketAddr, config: &Value) -> Command {
        let name = format!("config-{}.json", admin.port());
        let path = self.folder.write(&name, &config.to_string());
        let mut command = Command::new(env!("CARGO_BIN_EXE_damsonvale"));
        command.env_clear().env("BALANCER_CONFIG", path).env("TMPDIR", self.folder.path());
        command
    }

    /// Two processes that serve as one router, each at an address of its own and each counting the other.
    fn pair(&self, change: impl Fn(&mut Value)) -> [Apart; 2] {
        let start = |_| {
            let admin = unused_addresses(1)[0];
            let mut config = self.config(admin);
            change(&mut config);
            let mut program = Program::run(self.command(admin, &config));
            let addr = program.listening_address();
            Apart { router: Router { program, admin }, addr }
        };
        let mut both = [0, 1].map(start);
        for one in &mut both {
            let both = "process count of this router changed other_processes=1 other_ready_processes=1";
            let line = one.router.program.wait_for_log(both);
            assert!(line.ends_with(both), "{line}");
            // Whoever is asked has told the rest of the process.
            one.router.assert_accepted("STATUS");
        }
        both
    }

    /// Statements with such an id that have come to an instance whole.
    fn ran(&self, tag: &str) -> [usize; 2] {
        let of = |i: &ScriptedInstance| {
            i.executed.lock().unwrap().iter().filter(|s| s.contains(&format!("id={tag}"))).count()
        };
        [of(&self.primary.0), of(&self.replica.0)]
    }

    /// Starts a process that takes the platform's socket over, without waiting for it.
    fn launch(&self, admin: SocketAddr) -> Router {
        let mut command = self.command(admin, &self.config(admin));
        command.env("BALANCER_PASSED_SOCKET", "3");
        let parent_fd = self.listener.try_clone().unwrap().into();
        command.fd_mappings(vec![FdMapping { parent_fd, child_fd: 3 }]).unwrap();
        Router { program: Program::run(command), admin }
    }

    /// Starts one and waits until it says yes.
    fn start(&self) -> Router {
        let router = self.launch(unused_addresses(1)[0]);
        router.until("STATUS", "200");
        router
    }

    /// A client that waits until the replica is trusted.
    fn warm(&self) -> Client {
        let client = Client::connect(self.addr);
        client.query_until_served_by(&select("warm", 1900), "replica");
        client
    }
}

impl Router {
    /// What a call is answered; nothing where nobody listens yet.
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
        let answer = self.run_command(line);
        assert!(answer.starts_with("200"), "{line}: {answer}");
    }

    fn assert_rejected(&self, line: &str) {
        let answer = self.run_command(line);
        assert!(answer.starts_with("400"), "{line}: {answer}");
    }

    /// Asks until the answer holds this.
    fn until(&self, line: &str, holds: &str) {
        let begun = Instant::now();
        loop {
            let answer = self.run_command(line);
            if answer.contains(holds) {
                return;
            }
            assert!(begun.elapsed() < TIMEOUT, "{line}: {answer}, not {holds}");
        }
    }

    fn figures(&self) -> HashMap<String, u64> {
        let text = self.run_command("METRICS");
        assert!(text.ends_with("EOF\n"), "{text}");
        let line = |l: &str| l.split_once('=').map(|(k, v)| (k.to_string(), v.parse().unwrap()));
        text.lines().filter_map(line).collect()
    }
}

/// Asks the empty query on a connection of its own, as the platform's front does.
fn takes_clients(addr: SocketAddr) -> bool {
    Client::connect(addr).query("") == Response::Empty
}

fn waits_until(what: &str, is: impl Fn() -> bool) {
    let begun = Instant::now();
    while !is() {
        assert!(begun.elapsed() < TIMEOUT, "{what}");
        std::thread::yield_now();
    }
}

#[test]
fn metrics_count_what_clients_and_instances_observed() {
    let site = Site::new();
    let router = site.start();
    let client = site.warm();
    let before = router.figures();
    let ran =
        || site.primary.0.executed.lock().unwrap().len() + site.replica.0.executed.lock().unwrap().len();
    let ran_before = ran();
    // Refused at once: too short a time for what reads have taken so far.
    for n in 0..3 {
        let answer = client.query(&select(&format!("s{n}"), 60));
        assert!(matches!(&answer, Response::Error(c, _) if c == "53300"), "{answer:?}");
    }
    for n in 0..40 {
        assert_eq!(client.query(&select(&format!("r{n}"), 1900)), served("replica"));
        assert_eq!(client.query(&insert(&format!("w{n}"), 1900)), served("primary"));
    }
    // No time left at all, as a client's last try may say: turned away at once, and failed to its client.
    let spent = client.query(&select("spent", 0));
    assert!(matches!(&spent, Response::Error(c, _) if c == "53300"), "{spent:?}");
    // Failed: it may have run; or the answer comes when the client's time is over, whatever it says.
    site.primary.0.set_behavior(Behavior::Error("XX000"));
    (0..5)
        .for_each(|n| assert!(matches!(client.query(&insert(&format!("e{n}"), 1900)), Response::Error(..))));
    site.primary.0.set_behavior(Behavior::Error("25006"));
    for n in 0..3 {
        let answer = client.query(&insert(&format!("m{n}"), 300));
        assert!(matches!(&answer, Response::Error(c, _) if c == "53300"), "{answer:?}");
    }
    site.primary.0.set_behavior(Behavior::Serve);
    // One is under way: taken and not ended.
    while site.primary.1.try_recv().is_ok() {}
    site.primary.0.set_behavior(Behavior::Silent);
    let waiting = Client::connect(site.addr);
    waiting.send(&insert("late", 1500));
    while !site.primary.1.recv_timeout(TIMEOUT).unwrap().contains("id=late,") {}
    router.until("METRICS", "router.current=1\n");
    assert!(matches!(waiting.response(), Response::Error(..)));
    router.until("METRICS", "router.current=0\n");
    let after = router.figures();
    let of = |key: &str| {
        after[&format!("router.transactions.{key}")] - before[&format!("router.transactions.{key}")]
    };
    assert_eq!(
        [of("read.answered"), of("read.deferred"), of("read.errored"), of("read.sends")],
        [40, 3, 1, 40]
    );
    assert_eq!([of("order.answered"), of("order.deferred"), of("order.errored")], [40, 0, 9]);
    assert_eq!(of("read.sends") + of("order.sends"), (ran() - ran_before) as u64);
    assert_eq!(after["router.cluster_size"], 2);
}

#[test]
fn suspended_instance_gets_nothing_until_restored() {
    let site = Site::new();
    let router = site.start();
    let client = site.warm();
    let (_, lines) = site.discovery.next_watch();
    router.assert_rejected("SUSPEND nobody");
    router.assert_rejected("RESTORE replica");
    router.assert_accepted("SUSPEND replica");
    router.assert_accepted("SUSPEND replica");
    router.until("METRICS", "router.cluster_unhealthy=1\n");
    while site.replica.1.try_recv().is_ok() {}
    let connections = || site.replica.0.connections.load(Ordering::SeqCst);
    let held_at = connections();
    let reads = |from: u32, n: u32| {
        (from..from + n)
            .for_each(|k| assert_eq!(client.query(&select(&format!("h{k}"), 1900)), served("primary")));
    };
    reads(0, 20);
    // The list names it in service, restarted; forgets it; names it again.
    let news = |version: u32, full: bool, servers: Value| {
        lines.send(json!({"version": version, "full": full, "servers": servers}).to_string()).unwrap();
    };
    let mut restarted = site.replica.0.entry("in_service");
    restarted["started_ms"] = json!(1_700_000_000_000u64);
    news(42, false, json!([restarted]));
    router.until("METRICS", "router.cluster_size=2\n");
    reads(20, 20);
    news(43, true, json!([site.primary.0.entry("in_service")]));
    router.until("METRICS", "router.cluster_size=1\n");
    router.assert_accepted("SUSPEND replica");
    news(44, false, json!([restarted]));
    router.until("METRICS", "router.cluster_size=2\n");
    reads(40, 20);
    assert_eq!((connections(), site.replica.1.try_recv().ok()), (held_at, None), "nothing went there");
    // Two calls out, one back.
    router.assert_accepted("RESTORE replica");
    router.assert_rejected("RESTORE replica");
    // It may have been restarted: cold from now on, it gets a part of the reads, and soon.
    let ran_before = site.replica.0.executed.lock().unwrap().len();
    let back = Instant::now();
    let mut n = 100;
    while site.replica.1.try_recv().is_err() {
        assert!(back.elapsed() < Duration::from_secs(5), "nothing in the 5 s after it was given back");
        assert!(matches!(client.query(&select(&format!("b{n}"), 1900)), Response::Row(_)));
        n += 1;
    }
    while n < 200 && back.elapsed() < Duration::from_secs(2) {
        assert!(matches!(client.query(&select(&format!("b{n}"), 1900)), Response::Row(_)));
        n += 1;
    }
    let share = site.replica.0.executed.lock().unwrap().len() - ran_before;
    assert!(share <= 60.max((n as usize - 100) / 2), "{share} of {} reads: not as a cold one", n - 100);
}

#[test]
fn suspended_primary_leaves_writes_rejected_with_retry_after() {
    let site = Site::new();
    let router = site.start();
    let client = site.warm();
    assert_eq!(client.query(&insert("before", 1900)), served("primary"));
    router.assert_accepted("SUSPEND primary");
    router.assert_accepted("SUSPEND replica");
    router.until("METRICS", "router.cluster_unhealthy=2\n");
    // Nobody can take it, and that will not change by waiting.
    for sql in [insert("w1", 1900), select("r1", 1900)] {
        let begun = Instant::now();
        let answer = client.query(&sql);
        assert!(matches!(&answer, Response::Error(c, Some(_)) if c == "53300"), "{answer:?}");
        assert!(begun.elapsed() < Duration::from_millis(700));
    }
    assert_eq!(
        site.primary.0.executions_of("w1")
            + site.replica.0.executions_of("w1")
            + site.replica.0.executions_of("r1"),
        0
    );
    router.assert_accepted("RESTORE primary");
    client.query_until_served_by(&insert("after", 1900), "primary");
}

#[test]
fn maintenance_survives_upgrade_and_binds_both_processes() {
    let site = Site::new();
    let old = site.start();
    site.warm();
    old.assert_accepted("SUSPEND replica");
    let mut new = site.launch(unused_addresses(1)[0]);
    // A hold taken from the old process while the new one comes up, before that has said yes.
    old.assert_accepted("SUSPEND primary");
    new.program.wait_for_log("maintenance mask applied");
    new.until("STATUS", "200");
    old.until("STATUS", "2 instances held");
    new.until("STATUS", "2 instances held");
    // And both given back at the new one.
    new.assert_accepted("RESTORE replica");
    new.assert_accepted("RESTORE primary");
    old.until("STATUS", "0 instances held");
    old.assert_accepted("SUSPEND primary");
    let since = Instant::now();
    new.until("STATUS", "1 instances held");
    assert!(since.elapsed() < Duration::from_millis(250), "{:?}", since.elapsed());
    old.program.terminate();
    assert_eq!(old.program.wait_for_exit().0, Some(0));
    while site.primary.1.try_recv().is_ok() {}
    let client = Client::connect(site.addr);
    assert!(matches!(client.query(&insert("w1", 500)), Response::Error(c, _) if c == "53300"));
    assert_eq!(site.primary.0.executions_of("w1"), 0);
    new.assert_accepted("RESTORE primary");
    client.query_until_served_by(&insert("w2", 1900), "primary");
}

#[test]
fn suspension_just_before_readiness_binds_in_new_process() {
    let site = Site::new();
    let old = site.start();
    site.warm();
    let new = site.launch(unused_addresses(1)[0]);
    let begun = Instant::now();
    // Held and given back all the time until the new one says yes: the last call came right before that.
    loop {
        old.assert_accepted("SUSPEND replica");
        if new.run_command("STATUS").starts_with("200") {
            break;
        }
        old.assert_accepted("RESTORE replica");
        assert!(begun.elapsed() < TIMEOUT);
    }
    let since = Instant::now();
    new.until("STATUS", "1 instances held");
    assert!(since.elapsed() < Duration::from_millis(250), "{:?}", since.elapsed());
    new.assert_accepted("RESTORE replica");
    new.assert_rejected("RESTORE replica");
}

#[test]
fn paused_router_reports_draining_and_serves_again_after_resume() {
    let site = Site::new();
    let mut router = site.start();
    let idle = site.warm();
    assert!(takes_clients(site.addr));
    // One client has a request out; one asks ahead without a pause.
    while site.primary.1.try_recv().is_ok() {}
    site.primary.0.set_behavior(Behavior::Silent);
    let waiting = Client::connect(site.addr);
    waiting.send(&insert("slow", 1900));
    while !site.primary.1.recv_timeout(TIMEOUT).unwrap().contains("id=slow,") {}
    let begun = Instant::now();
    router.assert_accepted("PAUSE");
    router.assert_accepted("PAUSE");
    assert!(!takes_clients(site.addr));
    let (sent, addr) = (Arc::new(AtomicUsize::new(0)), site.addr);
    let busy = std::thread::spawn(move || pipeline(addr, &sent, begun));
    assert!(read_message(&idle.0).is_err(), "an idle connection is ended");
    assert!(begun.elapsed() < Duration::from_secs(4));
    assert!(
        matches!(waiting.response(), Response::Error(c, _) if c == "57014"),
        "what was taken is answered"
    );
    assert!(read_message(&waiting.0).is_err());
    let (answered, last) = busy.join().unwrap();
    assert!(answered > 0, "a client that never pauses is answered what was read");
    assert!(last < Duration::from_secs(4), "and read no further: its connection ended after {last:?}");
    router.program.signal(Signal::SIGHUP);
    router.program.wait_for_log("configuration reloaded");
    assert!(!takes_clients(site.addr), "a newcomer still hears the no");
    router.assert_accepted("RESUME");
    router.assert_accepted("RESUME");
    waits_until("yes again", || takes_clients(site.addr));
    assert!(begun.elapsed() < Duration::from_secs(10));
    site.primary.0.set_behavior(Behavior::Serve);
    Client::connect(site.addr).query_until_served_by(&insert("again", 1900), "primary");
    // A drain and SIGTERM in any order end cleanly.
    router.assert_accepted("PAUSE");
    router.program.terminate();
    assert_eq!(router.program.wait_for_exit().0, Some(0));
}

/// A client that writes requests ahead of its answers without a pause until its connection ends. Every answer that it
/// gets is whole and in order; how many, and when the connection ended.
fn pipeline(addr: SocketAddr, sent: &AtomicUsize, begun: Instant) -> (usize, Duration) {
    let client = Client::connect(addr);
    let writer = client.0.try_clone().unwrap();
    let mut answered = 0;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            // Never far ahead: it pauses for no answer, only for room.
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
            answered += usize::from(tag == b'Z');
        }
        let last = begun.elapsed();
        _ = client.0.shutdown(Shutdown::Both);
        (answered, last)
    })
}

#[test]
fn sigterm_answers_read_requests_and_drops_unread_ones() {
    let site = Site::new();
    let mut router = site.start();
    let idle = site.warm();
    let (halves, half) = (Client::connect(site.addr), Client::connect(site.addr));
    let whole = message(b'Q', format!("{}\0", select("halves", 1900)).as_bytes());
    for client in [&halves, &half] {
        assert!(matches!(client.query(&select("first", 1900)), Response::Row(_)));
        (&client.0).write_all(&whole[..40]).unwrap();
    }
    let (begun, addr) = (Instant::now(), site.addr);
    router.program.terminate();
    router.program.wait_for_log("shutdown started, requests are taken for the grace time grace=500ms");
    // One asks ahead without a pause, one asks again with each answer, on the connection that it has.
    let ahead = std::thread::spawn(move || pipeline(addr, &AtomicUsize::new(0), begun));
    let eager = std::thread::spawn(move || {
        let (client, mut answered) = (Client::connect(addr), 0);
        while let Some(Response::Row(_)) = try_ask(&client, &select(&format!("e{answered}"), 1900)) {
            answered += 1;
        }
        answered
    });
    assert!(read_message(&idle.0).is_err(), "an idle connection ends as soon as clients are let go");
    // A command whose second half comes only now was on its way: it is answered, and then its connection ends.
    (&halves.0).write_all(&whole[40..]).unwrap();
    assert!(matches!(halves.response(), Response::Row(_)));
    assert!(read_message(&halves.0).is_err());
    assert!(read_message(&half.0).is_err(), "one whose second half never comes is not waited for");
    assert!(eager.join().unwrap() > 0);
    assert!(ahead.join().unwrap().0 > 0);
    router.program.wait_for_log("shutdown ended connections=0");
    assert_eq!(router.program.wait_for_exit().0, Some(0));
    assert!(begun.elapsed() < Duration::from_millis(3700), "{:?}", begun.elapsed());
}

/// Clients that ask without end, each on one connection for as long as that stays open. A request whose connection
/// ended without a byte of an answer goes out once more, as PROTOCOL has it.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Counts>>,
}

#[derive(Default, Debug)]
struct Counts {
    served: usize,
    refused: usize,
    failed: usize,
    /// Turned back unheard: the connection ended under them.
    again: usize,
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
                        match try_ask(&client, &sql) {
                            Some(Response::Row(_)) => counts.served += 1,
                            Some(Response::Error(c, _)) if c == "53300" => counts.refused += 1,
                            // It had ended between two requests.
                            Some(Response::Empty) => continue,
                            Some(_) => counts.failed += 1,
                            None => {
                                counts.again += 1;
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

    fn ended(self) -> Counts {
        self.stop.store(true, Ordering::SeqCst);
        let mut all = Counts::default();
        for t in self.threads {
            let c = t.join().unwrap();
            all.served += c.served;
            all.refused += c.refused;
            all.failed += c.failed;
            all.again += c.again;
        }
        all
    }
}

/// Asks; `None` where the connection ended before the first byte of an answer. A cut in the middle of one panics.
fn try_ask(client: &Client, sql: &str) -> Option<Response> {
    let mut first = [0];
    // As any pool does, it looks first whether the connection has ended.
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
    let site = Site::new();
    let old = site.start();
    site.warm();
    let load = Load::start(site.addr, 12, "u");
    let begun = Instant::now();
    let mut new = site.launch(unused_addresses(1)[0]);
    new.until("STATUS", "200");
    assert!(begun.elapsed() < Duration::from_secs(6));
    new.until("METRICS", "router.transactions.read.answered=");
    let mut old = old;
    old.program.wait_for_log("other_ready_processes=1");
    new.program.wait_for_log("process count of this router changed other_processes=1 ");
    old.program.terminate();
    assert_eq!(old.program.wait_for_exit().0, Some(0));
    new.program.wait_for_log("process count of this router changed other_processes=0 ");
    // The new one serves alone.
    let served_by_new = || new.figures()["router.transactions.read.answered"];
    let at_end = served_by_new();
    waits_until("the new process serves on", || served_by_new() > at_end + 50);
    let counts = load.ended();
    assert!(counts.served > 100 && counts.failed == 0, "{counts:?}");
    // A connection that is let go may cross a request that nobody has read: it is the exception.
    assert!(counts.again <= 3, "{counts:?}");
    for instance in [&site.primary.0, &site.replica.0] {
        let ran = instance.executed.lock().unwrap();
        let writes: Vec<&String> = ran.iter().filter(|s| s.starts_with("INSERT")).collect();
        let ids: std::collections::HashSet<&str> =
            writes.iter().map(|s| s.split("id=").nth(1).unwrap().split(',').next().unwrap()).collect();
        assert_eq!(ids.len(), writes.len(), "a write ran twice");
    }
}

#[test]
fn killed_process_leaves_the_other_serving() {
    let site = Site::new();
    let mut old = site.start();
    site.warm();
    // The new one is killed as it comes up, and once more when it has said yes.
    let early = site.launch(unused_addresses(1)[0]);
    drop(early);
    let new = site.start();
    old.program.wait_for_log("other_ready_processes=1");
    drop(new);
    old.program.wait_for_log("process count of this router changed other_processes=0 ");
    let client = Client::connect(site.addr);
    client.query_until_served_by(&insert("w1", 1900), "primary");
    drop(client);
    // The old one stalls while the new one comes up, and is killed then.
    old.program.signal(Signal::SIGSTOP);
    let mut new = site.start();
    // What the stalled one had taken is lost with it; the new one takes what comes.
    new.program.wait_for_log("process count of this router changed other_processes=1 ");
    drop(old);
    new.program.wait_for_log("process count of this router changed other_processes=0 ");
    Client::connect(site.addr).query_until_served_by(&insert("w2", 1900), "primary");
    // What the dead held in the shared folder hinders nobody.
    new.assert_accepted("SUSPEND replica");
    new.assert_accepted("RESTORE replica");
}

#[test]
fn failed_start_of_new_process_leaves_old_one_unchanged() {
    let site = Site::new();
    let old = site.start();
    let client = site.warm();
    old.assert_accepted("SUSPEND replica");
    let mut twin = site.launch(old.admin);
    twin.program.wait_for_log("admin_addr: ");
    assert_eq!(twin.program.wait_for_exit().0, Some(1));
    let path = site.folder.write("no.json", &site.config(unused_addresses(1)[0]).to_string());
    let (path, tmp) = (path.to_str().unwrap(), site.folder.path().to_str().unwrap());
    for (fd, says) in [("1", "descriptor above 2"), ("77", "descriptor 77 is no listening TCP socket")] {
        let env = [("BALANCER_CONFIG", path), ("TMPDIR", tmp), ("BALANCER_PASSED_SOCKET", fd)];
        let mut program = Program::start(&[], &env);
        program.wait_for_log(says);
        assert_eq!(program.wait_for_exit().0, Some(1));
    }
    old.until("STATUS", "200 taking clients, 1 instances held");
    assert_eq!(client.query(&insert("w1", 1900)), served("primary"));
}

#[test]
fn upgrade_during_drain_stays_drained_despite_silent_discovery() {
    let mut site = Site::new();
    let old = site.start();
    old.assert_accepted("PAUSE");
    // Discovery is connected to and says nothing, not even a header: the new process goes by the list it was given.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    site.agent = silent.local_addr().unwrap();
    let begun = Instant::now();
    let new = site.start();
    assert!(begun.elapsed() < Duration::from_secs(6), "{:?}", begun.elapsed());
    assert!(!takes_clients(site.addr));
    old.program.terminate();
    assert_eq!(old.program.wait_for_exit().0, Some(0));
    assert!(!takes_clients(site.addr), "the drain lasts until it is called back");
    new.assert_accepted("RESUME");
    waits_until("yes again", || takes_clients(site.addr));
    Client::connect(site.addr).query_until_served_by(&insert("w1", 1900), "primary");
}

#[test]
fn drain_reload_and_shutdown_work_in_any_order() {
    let orders = ["PAUSE TERM HUP", "TERM PAUSE HUP", "HUP PAUSE TERM", "PAUSE HUP TERM", "TERM HUP PAUSE"];
    std::thread::scope(|scope| orders.iter().for_each(|order| _ = scope.spawn(|| ends_in_order(order))));
}

fn ends_in_order(order: &str) {
    let site = Site::new();
    let mut router = site.start();
    let mut ends = false;
    for step in order.split(' ') {
        match step {
            // On its way out it may be gone already.
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
fn stuck_admin_callers_delay_no_command_under_load() {
    let site = Site::new();
    let router = site.start();
    site.warm();
    let before = router.figures();
    let ran = || {
        let of =
            |i: &ScriptedInstance| i.executed.lock().unwrap().iter().filter(|s| !s.is_empty()).count() as u64;
        of(&site.primary.0) + of(&site.replica.0)
    };
    let ran_before = ran();
    let load = Load::start(site.addr, 8, "s");
    let mut stuck: Vec<TcpStream> = Vec::new();
    for _ in 0..200 {
        let mut socket = TcpStream::connect(router.admin).unwrap();
        _ = socket.write_all(b"STAT");
        stuck.push(socket);
        if stuck.len().is_multiple_of(20) {
            let begun = Instant::now();
            router.assert_accepted("STATUS");
            assert!(router.figures()["router.cluster_size"] == 2);
            assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
        }
    }
    let counts = load.ended();
    assert!(counts.served > 0 && counts.failed + counts.again == 0, "{counts:?}");
    // The figures are what the clients and the instances counted, across a drain too.
    router.assert_accepted("PAUSE");
    router.assert_accepted("RESUME");
    waits_until("yes again", || takes_clients(site.addr));
    let client = Client::connect(site.addr);
    (0..20).for_each(|n| assert!(matches!(client.query(&select(&format!("z{n}"), 1900)), Response::Row(_))));
    let after = router.figures();
    let of = |key: &str| {
        let sum = |f: &HashMap<String, u64>| {
            ["read", "order"].map(|c| f[&format!("router.transactions.{c}.{key}")])
        };
        sum(&after).iter().sum::<u64>() - sum(&before).iter().sum::<u64>()
    };
    assert_eq!((of("answered"), of("deferred")), (counts.served as u64 + 20, counts.refused as u64));
    assert_eq!(of("sends"), ran() - ran_before);
}

#[test]
fn damaged_or_foreign_maintenance_file_is_named_and_ignored() {
    let site = Site::new();
    let file = site.folder.path().join("damsonvale-n1").join("damsonvale-holds");
    let first = site.start();
    first.assert_accepted("SUSPEND replica");
    drop(first);
    let whole = std::fs::read(&file).unwrap();
    for (text, held) in [(&whole[..], 1), (&whole[..whole.len() - 3], 0), (b"another program's", 0)] {
        std::fs::write(&file, text).unwrap();
        let mut router = site.start();
        router.until("STATUS", &format!("{held} instances held"));
        if held == 0 {
            router.program.wait_for_log("damsonvale-holds.refused");
            router.assert_accepted("SUSPEND replica");
        }
    }
}

/// Clients that each ask one thing and do not wait for it.
fn ask_all(addr: SocketAddr, texts: &[String]) -> Vec<Client> {
    let ask = |sql: &String| {
        let client = Client::connect(addr);
        client.send(sql);
        client
    };
    texts.iter().map(ask).collect()
}

fn texts(tag: &str, n: usize, sql: fn(&str, u32) -> String) -> Vec<String> {
    (0..n).map(|k| sql(&format!("{tag}{k}"), 1200)).collect()
}

#[test]
fn two_processes_share_slots_of_warm_and_cold_instances() {
    let site = Site::new();
    let both = site.pair(|_| {});
    both.iter()
        .for_each(|one| Client::connect(one.addr).query_until_served_by(&select("warm", 1900), "replica"));
    // The replica restarted some while ago: half warm. The third one only tells that the news has been taken.
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut half_warm = site.replica.0.entry("in_service");
    half_warm["started_ms"] = json!(now - 8000);
    let mut third = site.replica.0.entry("terminating");
    third["id"] = json!("third");
    let mut watches = Vec::new();
    for _ in 0..2 {
        let news = json!({"version": 42, "full": false, "servers": [half_warm, third]});
        let (_, lines) = site.discovery.next_watch();
        lines.send(news.to_string()).unwrap();
        // A watch lasts as long as its sender.
        watches.push(lines);
    }
    both.iter().for_each(|one| one.router.until("METRICS", "router.cluster_unhealthy=1\n"));
    // All that is sent to a silent instance stays there for its whole time: what came is what was there at once.
    site.replica.0.set_behavior(Behavior::Silent);
    let mut clients = Vec::new();
    for (n, one) in both.iter().enumerate() {
        clients.extend(ask_all(one.addr, &texts(&format!("cold{n}."), 20, select)));
    }
    clients.drain(..).for_each(|c| _ = c.response());
    let cold = site.ran("cold")[1];
    // One router: 8 places, of these half.
    assert!((2..=4).contains(&cold), "{cold} at the half warm replica");
    site.primary.0.set_behavior(Behavior::Silent);
    for (n, one) in both.iter().enumerate() {
        clients.extend(ask_all(one.addr, &texts(&format!("full{n}."), 20, insert)));
    }
    clients.drain(..).for_each(|c| _ = c.response());
    assert_eq!(site.ran("full")[0], 8);
}

#[test]
fn survivor_of_killed_process_gets_all_slots_back() {
    let site = Site::new();
    let [mut one, other] = site.pair(|_| {});
    Client::connect(one.addr).query_until_served_by(&insert("first", 1900), "primary");
    drop(other);
    one.router.program.wait_for_log("process count of this router changed other_processes=0 ");
    one.router.assert_accepted("STATUS");
    site.primary.0.set_behavior(Behavior::Silent);
    ask_all(one.addr, &texts("alone", 20, insert)).into_iter().for_each(|c| _ = c.response());
    assert_eq!(site.ran("alone")[0], 8);
}

#[test]
fn two_processes_share_backend_connections_of_one_router() {
    // One router with its operators' address: 30 clients and 6 connections to instances.
    let site = Site { sockets: 88, ..Site::new() };
    let both = site.pair(|_| {});
    both.iter()
        .for_each(|one| Client::connect(one.addr).query_until_served_by(&select("warm", 1900), "replica"));
    site.primary.0.set_behavior(Behavior::Silent);
    site.replica.0.set_behavior(Behavior::Silent);
    let mut clients = Vec::new();
    for (n, one) in both.iter().enumerate() {
        clients.extend(ask_all(one.addr, &texts(&format!("link{n}."), 4, insert)));
        clients.extend(ask_all(one.addr, &texts(&format!("link{n}.r"), 4, select)));
    }
    clients.drain(..).for_each(|c| _ = c.response());
    let links: usize = site.ran("link").iter().sum();
    assert!((3..=6).contains(&links), "{links} connections were at work at once");
}

/// The most requests that these had taken at once, watched from `least` on until there are fewer again.
fn most_taken(routers: &[&Router], least: u64) -> u64 {
    let (begun, mut most) = (Instant::now(), 0);
    loop {
        let taken = routers.iter().map(|r| r.figures()["router.current"]).sum::<u64>();
        most = most.max(taken);
        if most >= least && taken < least {
            return most;
        }
        assert!(begun.elapsed() < TIMEOUT, "{most}");
    }
}

/// Connects and asks in one go: at the bound on clients nobody is greeted at once.
fn ask_unseen(addr: SocketAddr, sql: &str) -> TcpStream {
    let startup = b"\0\0\0\x26\0\x03\0\0user\0worker\0database\0catalog\0\0";
    let mut socket = TcpStream::connect(addr).unwrap();
    // Where it is not taken, its connection may end in the middle of it.
    _ = socket.write_all(&[&startup[..], &message(b'Q', format!("{sql}\0").as_bytes())].concat());
    socket
}

#[test]
fn two_processes_share_clients_of_one_router() {
    let site = Site { sockets: 74, ..Site::new() };
    let both = site.pair(|_| {});
    site.primary.0.set_behavior(Behavior::Silent);
    let ask = |n: usize| ask_unseen(both[n % 2].addr, &insert(&format!("c{n}"), 900));
    let _sockets: Vec<TcpStream> = (0..40).map(ask).collect();
    assert_eq!(most_taken(&both.each_ref().map(|one| &one.router), 18), 18);
}

#[test]
fn process_uses_its_share_from_its_first_client_on() {
    let site = Site { sockets: 74, ..Site::new() };
    let old = site.start();
    site.primary.0.set_behavior(Behavior::Silent);
    // The old one stalls: whoever comes waits for the new one and is there at its first moment.
    old.program.signal(Signal::SIGSTOP);
    let ask = |n: usize| ask_unseen(site.addr, &insert(&format!("c{n}"), 900));
    let _sockets: Vec<TcpStream> = (0..20).map(ask).collect();
    let new = site.start();
    assert_eq!(most_taken(&[&new], 9), 9);
}

#[test]
fn two_processes_share_request_memory_of_one_router() {
    let site = Site::new();
    let both = site.pair(|config| config["limits"]["memory_mb"] = json!(16));
    site.primary.0.set_behavior(Behavior::Silent);
    // A quarter of the memory for one router: 17 such statements, each in its connection and in its request.
    let long = |n: usize| insert(&format!("m{n}"), 1900).replace("x9f", &format!("x{}", "9f".repeat(60_000)));
    let _sockets: Vec<TcpStream> = (0..60).map(|n| ask_unseen(both[n % 2].addr, &long(n))).collect();
    let most = most_taken(&both.each_ref().map(|one| &one.router), 8);
    assert!(most <= 17, "{most} of 17");
}

#[test]
fn two_processes_probe_no_more_often_than_one() {
    let site = Site::new();
    // Reads want a replica that is fresh to the second, proved by probes; this one is never quite.
    let both = site.pair(|config| {
        let extra = &mut config["settings"]["extra"];
        extra["whenBehind"] = json!("silent");
        extra["freshness"] = json!(["lag_bound", "mutate"]);
        extra["oldestDataMs"] = json!([1000.0, 0.0]);
    });
    site.replica.0.lag_ms.store(1100, Ordering::SeqCst);
    let clients = [0, 1].map(|n: usize| Client::connect(both[n].addr));
    clients.iter().for_each(|c| c.query_until_served_by(&select("warm", 1900), "primary"));
    let probes = || site.replica.0.probes.load(Ordering::SeqCst);
    let (before, begun, window) = (probes(), Instant::now(), Duration::from_secs(3));
    std::thread::scope(|scope| {
        for client in &clients {
            scope.spawn(move || {
                while begun.elapsed() < window {
                    assert!(matches!(client.query(&select("p", 1900)), Response::Row(_)));
                }
            });
        }
    });
    // One router asks each 100 ms at most.
    let (asked, one) = (probes() - before, begun.elapsed().as_millis() as u32 / 100);
    assert!(asked > one / 4 && asked <= one + 3, "{asked} probes in the time of {one}");
}
