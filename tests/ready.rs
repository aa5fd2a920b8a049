//! How soon the program is ready after its start, whatever its agent does, and what that costs the processor.
mod common;
use common::client::{Client, Response};
use common::environment::TestFolder;
use common::platform::config;
use common::program::Program;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// An agent that accepts and says nothing, whoever comes.
struct Mute {
    addr: SocketAddr,
    _accepts: JoinHandle<Vec<TcpStream>>,
}

impl Mute {
    fn start() -> Mute {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let accepts = std::thread::spawn(move || listener.incoming().map_while(Result::ok).collect());
        Mute { addr, _accepts: accepts }
    }
}

/// An address where nobody listens.
fn refusing() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A list of this many instances, four to a cell; nobody listens at any of them.
fn known(n: usize) -> Vec<Value> {
    let at = refusing().to_string();
    let entry = |i: usize| {
        let mode = if i.is_multiple_of(4) { "read-write" } else { "read-only" };
        json!({"id": format!("s{i}"), "addr": at, "zone": "a", "kind": "k", "cell": i / 4, "state": "in_service",
            "weight": 1.0, "started_ms": 0, "mode": mode})
    };
    (0..n).map(entry).collect()
}

/// A router of this name, from its start on.
fn begin(folder: &TestFolder, name: &str, agent: SocketAddr, known: Vec<Value>) -> Program {
    let mut config = config(agent, known);
    config["name"] = Value::from(name);
    let path = folder.write(&format!("{name}.json"), &config.to_string());
    Program::serve_platform(&path)
}

/// The bound on short days, on a fifth of a core: processor time, and the two waits of a start for its list.
fn in_time_on_a_fifth_of_a_core(used: Duration) -> bool {
    5 * used + 2 * Duration::from_millis(300) < Duration::from_secs(6)
}

/// Waits until it has answered the readiness probe, and says what processor time it has used by then.
fn answered(router: &mut Program) -> Duration {
    let addr = router.listening_address();
    assert_eq!(Client::connect(addr).query(""), Response::Empty);
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", router.child.id())).unwrap();
    // Behind the name in brackets; user and system time are the 14th and 15th field, in hundredths of a second.
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks: u64 = fields[11..13].iter().map(|f| f.parse::<u64>().unwrap()).sum();
    Duration::from_millis(10 * ticks)
}

#[test]
fn router_with_mute_agent_is_ready_within_two_seconds() {
    let (mute, folder) = (Mute::start(), TestFolder::new());
    for (name, agent, n) in
        [("mute", mute.addr, 0), ("refusing", refusing(), 0), ("mute-long", mute.addr, 10_000)]
    {
        let list = known(n);
        let begun = Instant::now();
        let mut router = begin(&folder, name, agent, list);
        let used = answered(&mut router);
        let took = begun.elapsed();
        println!("{name}, {n} instances known: ready after {took:?}, {used:?} of processor time");
        assert!(took < Duration::from_secs(2), "{name}: {took:?}");
        assert!(in_time_on_a_fifth_of_a_core(used), "{name}: {used:?} of processor time");
    }
}

#[test]
fn thirty_routers_starting_at_once_are_ready_within_ten_seconds() {
    let (mute, folder) = (Mute::start(), TestFolder::new());
    let list = known(120);
    let begun = Instant::now();
    let mut routers: Vec<Program> =
        (0..30).map(|i| begin(&folder, &format!("n{i}"), mute.addr, list.clone())).collect();
    let used: Vec<Duration> = routers.iter_mut().map(answered).collect();
    let took = begun.elapsed();
    let most = *used.iter().max().unwrap();
    println!("the last of thirty was ready after {took:?}; processor time at most {most:?}");
    assert!(took < Duration::from_secs(10), "{took:?}");
    assert!(in_time_on_a_fifth_of_a_core(most), "{most:?} of processor time");
}
