//! The time from the start of the program until it is ready, and the processor time for it, with a discovery
//! agent that sends nothing or rejects connections.
mod common;
use common::client::{Client, Response};
use common::environment::TestFolder;
use common::platform::config;
use common::program::Program;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A discovery agent that accepts connections and never sends anything.
struct SilentAgent {
    addr: SocketAddr,
    _accept_thread: JoinHandle<Vec<TcpStream>>,
}

impl SilentAgent {
    fn start() -> SilentAgent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let accept_thread = std::thread::spawn(move || listener.incoming().map_while(Result::ok).collect());
        SilentAgent { addr, _accept_thread: accept_thread }
    }
}

/// An address at which nothing listens.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A list of `n` instances in cells of four. Nothing listens at their addresses.
fn instance_list(n: usize) -> Vec<Value> {
    let addr = unused_address().to_string();
    let entry = |i: usize| {
        let mode = if i.is_multiple_of(4) { "read-write" } else { "read-only" };
        json!({"id": format!("s{i}"), "addr": addr, "zone": "a", "kind": "k", "cell": i / 4, "state": "in_service",
            "weight": 1.0, "started_ms": 0, "mode": mode})
    };
    (0..n).map(entry).collect()
}

/// Starts a router with this name and does not wait until it is ready.
fn start_router(
    folder: &TestFolder,
    name: &str,
    discovery_agent: SocketAddr,
    instance_list: Vec<Value>,
) -> Program {
    let mut config = config(discovery_agent, instance_list);
    config["name"] = Value::from(name);
    let path = folder.write(&format!("{name}.json"), &config.to_string());
    Program::serve_platform(&path)
}

/// Whether a router whose start uses this processor time would be ready in less than 6 s on a fifth of a
/// core. A start also waits twice for the endpoint list, at most 300 ms each time.
fn starts_in_time_on_a_fifth_of_a_core(used: Duration) -> bool {
    5 * used + 2 * Duration::from_millis(300) < Duration::from_secs(6)
}

/// Waits until the router has responded to the readiness probe, and returns the processor time used until
/// then.
fn wait_until_ready(router: &mut Program) -> Duration {
    let addr = router.listening_address();
    assert_eq!(Client::connect(addr).query(""), Response::Empty);
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", router.child.id())).unwrap();
    // User and system time are the 14th and 15th field, in hundredths of a second. The fields are split
    // behind the process name in parentheses, which may contain spaces.
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks: u64 = fields[11..13].iter().map(|f| f.parse::<u64>().unwrap()).sum();
    Duration::from_millis(10 * ticks)
}

#[test]
fn router_without_discovery_data_is_ready_within_two_seconds() {
    let (silent_agent, folder) = (SilentAgent::start(), TestFolder::new());
    for (name, discovery_agent, n) in [
        ("mute", silent_agent.addr, 0),
        ("refusing", unused_address(), 0),
        ("mute-long", silent_agent.addr, 10_000),
    ] {
        let list = instance_list(n);
        let started = Instant::now();
        let mut router = start_router(&folder, name, discovery_agent, list);
        let used = wait_until_ready(&mut router);
        let took = started.elapsed();
        println!("{name}, {n} instances listed: ready after {took:?}, {used:?} of processor time");
        assert!(took < Duration::from_secs(2), "{name}: {took:?}");
        assert!(starts_in_time_on_a_fifth_of_a_core(used), "{name}: {used:?} of processor time");
    }
}

#[test]
fn thirty_routers_starting_at_once_are_ready_within_ten_seconds() {
    let (silent_agent, folder) = (SilentAgent::start(), TestFolder::new());
    let list = instance_list(120);
    let started = Instant::now();
    let mut routers: Vec<Program> =
        (0..30).map(|i| start_router(&folder, &format!("n{i}"), silent_agent.addr, list.clone())).collect();
    let used: Vec<Duration> = routers.iter_mut().map(wait_until_ready).collect();
    let took = started.elapsed();
    let max_used = *used.iter().max().unwrap();
    println!("the last of 30 routers was ready after {took:?}; processor time at most {max_used:?}");
    assert!(took < Duration::from_secs(10), "{took:?}");
    assert!(starts_in_time_on_a_fifth_of_a_core(max_used), "{max_used:?} of processor time");
}
