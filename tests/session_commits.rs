//! Sessions while the router's process is replaced: a read through one process sees the writes of its session that
//! another process has served. The replica lags far behind, so a read that does not know of the write gets old data
//! from it.
mod common;
use common::client::{Client, insert, select, served};
use common::discovery::Discovery;
use common::environment::{TestFolder, unused_addresses};
use common::platform::config;
use common::program::{Program, Signal};
use common::scripted_instance::ScriptedInstance;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// How far the replica lags behind the primary, in milliseconds.
const LAG_MS: u32 = 600_000;

/// A primary, a replica, and the folder that all processes of the router share.
struct TestSetup {
    primary: ScriptedInstance,
    replica: ScriptedInstance,
    discovery: Discovery,
    folder: TestFolder,
}

/// A process of the router with a listening address of its own, so that a test can choose the process.
struct Router {
    program: Program,
    addr: SocketAddr,
}

impl TestSetup {
    fn new(lag_ms: u32) -> TestSetup {
        let (primary, _) = ScriptedInstance::start("primary", true);
        let (replica, _) = ScriptedInstance::start("replica", false);
        replica.lag_ms.store(lag_ms, Ordering::SeqCst);
        TestSetup { primary, replica, discovery: Discovery::start(), folder: TestFolder::new() }
    }

    /// Configuration of a router that remembers the commits of sessions, with a class `session` whose reads must see
    /// their session's writes.
    fn config(&self, admin: SocketAddr) -> Value {
        let known = vec![self.primary.entry("in_service"), self.replica.entry("in_service")];
        let mut config = config(self.discovery.addr, known);
        config["admin_addr"] = json!(admin.to_string());
        let mut session_class = config["settings"]["classes"][0].clone();
        session_class["name"] = json!("session");
        config["settings"]["classes"].as_array_mut().unwrap().push(session_class);
        let extra = &mut config["settings"]["extra"];
        extra["freshness"] = json!(["eventual", "mutate", "causal"]);
        extra["oldestDataMs"] = json!([0.0, 0.0, 0.0]);
        extra["whenBehind"] = json!("silent");
        extra["writeMarks"] = json!("kept");
        config
    }

    /// Starts a process and waits until it has probed the replica.
    fn start(&self) -> Router {
        let admin = unused_addresses(1)[0];
        let path =
            self.folder.write(&format!("config-{}.json", admin.port()), &self.config(admin).to_string());
        let env =
            [("BALANCER_CONFIG", path.to_str().unwrap()), ("TMPDIR", self.folder.path().to_str().unwrap())];
        let mut program = Program::start(&[], &env);
        let addr = program.listening_address();
        Client::connect(addr).query_until_served_by(&select("warm", 1900), "replica");
        Router { program, addr }
    }
}

impl Router {
    /// Waits until this process knows that there are this many others.
    fn wait_for_others(&mut self, count: usize) {
        self.program.wait_for_log(&format!("process count of this router changed other_processes={count} "));
    }
}

fn session_read(id: &str) -> String {
    select(id, 1900).replace("c=read", "c=session")
}

/// Writes through one process and reads the same key through another one; the read must go to the primary.
fn assert_read_sees_write(write_through: &Router, read_through: &Router, tag: &str) {
    let (writer, reader) = (Client::connect(write_through.addr), Client::connect(read_through.addr));
    writer.query_until_served_by(&insert(&format!("{tag}-write"), 1900), "primary");
    for n in 0..5 {
        let response = reader.query(&session_read(&format!("{tag}-read{n}")));
        assert_eq!(response, served("primary"), "{tag}, read {n}");
    }
}

/// Guards against a session that misses its own write, because its read goes through the new process and its write
/// went through the old one, or the other way round.
#[test]
fn session_read_sees_write_through_another_process() {
    let setup = TestSetup::new(LAG_MS);
    let mut old = setup.start();
    Client::connect(old.addr).query_until_served_by(&session_read("before"), "replica");
    let new = setup.start();
    old.wait_for_others(1);
    assert_read_sees_write(&old, &new, "forward");
    assert_read_sees_write(&new, &old, "back");
    // The old process ends, and a third one replaces the second.
    old.program.terminate();
    assert_eq!(old.program.wait_for_exit().0, Some(0));
    let third = setup.start();
    assert_read_sees_write(&new, &third, "third");
}

/// Guards against a session that misses its own write after the process has ended and another one has started.
#[test]
fn session_read_sees_write_from_before_a_kill() {
    let setup = TestSetup::new(LAG_MS);
    let old = setup.start();
    Client::connect(old.addr).query_until_served_by(&insert("write", 1900), "primary");
    old.program.signal(Signal::SIGKILL);
    drop(old);
    let new = setup.start();
    let response = Client::connect(new.addr).query(&session_read("read"));
    assert_eq!(response, served("primary"));
}

/// Guards against a replacement that sends all reads of sessions to the primary for as long as two processes run.
#[test]
fn reads_of_sessions_go_to_the_replica_while_two_processes_run() {
    let setup = TestSetup::new(0);
    let mut old = setup.start();
    Client::connect(old.addr).query_until_served_by(&insert("write", 1900), "primary");
    let new = setup.start();
    old.wait_for_others(1);
    for router in [&old, &new] {
        let client = Client::connect(router.addr);
        client.query_until_served_by(&session_read("fresh"), "replica");
        client.query_until_served_by(&session_read("again"), "replica");
    }
}
