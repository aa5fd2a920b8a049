//! Hundreds of clients at once that write slowly, stop in the middle of a large request, send very many short fields or
//! read long responses slowly. Each of them holds memory of the router: buffers, threads, parsed statements, responses. The
//! process would be killed where the sum passes its memory limit, although each kind of memory is bounded by itself. The
//! tests start the process with the least memory that an operator may give it and read its peak.
mod common;

use common::client::{Client, select};
use common::crowd::{ClientPlan, ID_PLACEHOLDER, start_crowd};
use common::discovery::Discovery;
use common::environment::TestFolder;
use common::platform::config;
use common::process_memory::peak_mib;
use common::program::Program;
use common::scripted_instance::ScriptedInstance;
use common::wire::message;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The least memory limit of a router, in MiB.
const MEMORY_LIMIT_MIB: u64 = 32;
/// The most descriptors of a router.
const DESCRIPTORS: u64 = 1024;
/// Number of clients; as many as the router has descriptors for.
const CLIENTS: usize = 700;
/// Time for which the clients go on.
const DURATION: Duration = Duration::from_secs(6);
/// Length of a response's value, near the longest that the platform has.
const VALUE_BYTES: usize = 64_000;

/// More bytes than any request has.
const UNLIMITED: usize = 1 << 30;

/// Each test holds this lock, so that only one crowd runs at a time.
static CROWD_LOCK: Mutex<()> = Mutex::new(());

struct Setup {
    router: Program,
    addr: SocketAddr,
    value: &'static str,
    _discovery: Discovery,
    _folder: TestFolder,
    _crowd_guard: MutexGuard<'static, ()>,
}

impl Setup {
    fn start() -> Setup {
        let crowd_guard = CROWD_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let value: &'static str = "v".repeat(VALUE_BYTES).leak();
        let instances = [ScriptedInstance::start(value, true).0, ScriptedInstance::start(value, false).0];
        let (discovery, folder) = (Discovery::start(), TestFolder::new());
        let entries = instances.iter().zip(["primary", "replica"]).map(|(instance, id)| {
            let mut entry = instance.entry("in_service");
            entry["id"] = json!(id);
            entry
        });
        let mut config = config(discovery.addr, entries.collect());
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_LIMIT_MIB, "sockets": DESCRIPTORS});
        let mut router = Program::serve_platform(&folder.write("config.json", &config.to_string()));
        let addr = router.listening_address();
        Client::connect(addr).query_until_served_by(&select("warm", 1900), value);
        Setup { router, addr, value, _discovery: discovery, _folder: folder, _crowd_guard: crowd_guard }
    }

    /// Runs a crowd for each plan at once, and checks the peak of the process's memory.
    fn assert_memory_limit_holds(mut self, plans: &[ClientPlan]) {
        println!("before: {} MiB", peak_mib(&self.router));
        let deadline = Instant::now() + DURATION;
        let clients = CLIENTS / plans.len();
        let crowds: Vec<_> =
            plans.iter().map(|plan| start_crowd(self.addr, clients, plan, deadline)).collect();
        crowds.into_iter().flatten().for_each(|thread| thread.join().unwrap());
        let peak = peak_mib(&self.router);
        println!("peak: {peak} MiB");
        // The router serves clients again once the crowd has left.
        Client::connect(self.addr).query_until_served_by(&select("after", 1900), self.value);
        assert_eq!(self.router.child.try_wait().unwrap(), None, "the router has ended");
        assert!(peak < MEMORY_LIMIT_MIB as f64, "peak {peak} MiB, limit {MEMORY_LIMIT_MIB} MiB");
    }
}

fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// A query of this class whose statement is padded to this length.
fn padded_query(class: &str, padding: &str) -> Vec<u8> {
    let text = format!(
        "SELECT body FROM objects WHERE oid = '{padding}' /* id={ID_PLACEHOLDER},c={class},d=1900,cluster=3 */\0"
    );
    message(b'Q', text.as_bytes())
}

/// A client that reads what it is sent and waits for each response.
fn patient() -> ClientPlan {
    ClientPlan {
        login: startup(),
        request: Vec::new(),
        sent_at_once: UNLIMITED,
        sent_per_tick: UNLIMITED,
        read_per_tick: 1 << 16,
        response_bytes: 1,
    }
}

fn writes_slowly() -> ClientPlan {
    let request = padded_query("read", &"f".repeat(150_000));
    ClientPlan { request, sent_at_once: 12_000, sent_per_tick: 400, ..patient() }
}

fn stops_in_the_middle() -> ClientPlan {
    let request = padded_query("read", &"f".repeat(150_000));
    ClientPlan { request, sent_at_once: 16_000, sent_per_tick: 0, ..patient() }
}

fn sends_many_short_fields() -> ClientPlan {
    let fields = "a=b,".repeat(30_000);
    let text =
        format!("SELECT body FROM objects /* {fields} id={ID_PLACEHOLDER},c=read,d=1900,cluster=3 */\0");
    ClientPlan { request: message(b'Q', text.as_bytes()), ..patient() }
}

fn reads_slowly() -> ClientPlan {
    ClientPlan {
        request: padded_query("read", "k"),
        read_per_tick: 512,
        response_bytes: VALUE_BYTES,
        ..patient()
    }
}

fn asks_ahead_and_reads_slowly() -> ClientPlan {
    ClientPlan { request: padded_query("read", "k"), read_per_tick: 512, response_bytes: 0, ..patient() }
}

#[test]
fn clients_that_write_slowly_stay_within_the_memory_limit() {
    Setup::start().assert_memory_limit_holds(&[writes_slowly()]);
}

#[test]
fn clients_that_stop_in_the_middle_stay_within_the_memory_limit() {
    Setup::start().assert_memory_limit_holds(&[stops_in_the_middle()]);
}

#[test]
fn clients_that_send_many_short_fields_stay_within_the_memory_limit() {
    Setup::start().assert_memory_limit_holds(&[sends_many_short_fields()]);
}

#[test]
fn clients_that_read_slowly_stay_within_the_memory_limit() {
    Setup::start().assert_memory_limit_holds(&[reads_slowly()]);
}

#[test]
fn clients_that_ask_ahead_and_read_slowly_stay_within_the_memory_limit() {
    Setup::start().assert_memory_limit_holds(&[asks_ahead_and_reads_slowly()]);
}

#[test]
fn slow_clients_of_all_kinds_stay_within_the_memory_limit() {
    Setup::start().assert_memory_limit_holds(&[
        writes_slowly(),
        stops_in_the_middle(),
        sends_many_short_fields(),
        reads_slowly(),
        asks_ahead_and_reads_slowly(),
    ]);
}
