//! What the reset of a server session between two requests costs: `cargo bench --bench session_reset -- PROGRAM...`
//! measures the routers of these programs by turns; without an argument, the router of this build.
//!
//! One client sends a statement at a time, and then several at once, as text and prepared, against a server that
//! answers at once.
#[path = "../tests/common/mod.rs"]
mod common;

use common::TIMEOUT;
use common::environment::TestFolder;
use common::program::Program;
use hdrhistogram::Histogram;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};
use test_servers::session_server::{SessionServer, SessionServerSettings};

/// Number of rounds; all programs run in each round.
const ROUNDS: usize = 5;
/// Time during which statements are counted.
const WINDOW: Duration = Duration::from_secs(2);
/// Numbers of clients that send statements at once.
const CLIENTS: [usize; 2] = [1, 16];
const STATEMENT: &str = "insert into orders values ('x')";

/// How a client sends its statements.
#[derive(Clone, Copy, Debug)]
enum Form {
    Text,
    Prepared,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).filter(|argument| argument != "--bench").collect();
    let built = env!("CARGO_BIN_EXE_damsonvale").to_string();
    let programs = if arguments.is_empty() { vec![built] } else { arguments };
    for round in 1..=ROUNDS {
        for program in &programs {
            for form in [Form::Text, Form::Prepared] {
                for clients in CLIENTS {
                    let latencies = measure(Path::new(program), form, clients);
                    println!(
                        "round {round} {program} {form:?} clients {clients}: {} statements/s, median {} us, 99 % {} us",
                        latencies.len() / WINDOW.as_secs(),
                        latencies.value_at_quantile(0.5),
                        latencies.value_at_quantile(0.99),
                    );
                }
            }
        }
    }
}

/// Starts a server and a router, and returns the latencies of the statements of one window, in microseconds.
fn measure(program: &Path, form: Form, clients: usize) -> Histogram<u64> {
    let settings = SessionServerSettings { default_autocommit: true, knows_reset: true };
    let server = SessionServer::start(settings).unwrap();
    let folder = TestFolder::new();
    let text = format!(
        "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'stock'\nserver_user = 'router'\nprobe = 'SELECT probe'
[[mysql.user]]\nname = 'till'\npassword = ''
[[mysql.class]]\nname = 'order'\nfreshness = 'write'\neffect = 'unsafe'\naim_ms = 1500\ndeadline_ms = 2000
[[mysql.rule]]\nstarts = 'insert into orders'\nclass = 'order'
[[mysql.server]]\nid = 'stock-a'\naddr = '{}'\n",
        server.addr
    );
    let mut command = Command::new(program);
    command.arg("serve").arg(folder.write("mysql.toml", &text)).env_clear();
    let mut router = Program::run(command);
    let addr = router.listening_address();
    let threads: Vec<_> =
        (0..clients).map(|_| std::thread::spawn(move || send_statements(addr, form))).collect();
    let mut latencies = Histogram::new(3).unwrap();
    threads.into_iter().for_each(|thread| latencies.add(thread.join().unwrap()).unwrap());
    latencies
}

fn send_statements(addr: SocketAddr, form: Form) -> Histogram<u64> {
    let options = OptsBuilder::new()
        .ip_or_hostname(Some("127.0.0.1"))
        .tcp_port(addr.port())
        .prefer_socket(false)
        .user(Some("till"));
    let mut client = Conn::new(options).unwrap();
    let started_at = Instant::now();
    while client.query_drop(STATEMENT).is_err() {
        assert!(started_at.elapsed() < TIMEOUT);
    }
    let prepared = client.prep(STATEMENT).unwrap();
    let mut latencies = Histogram::new(3).unwrap();
    let started_at = Instant::now();
    while started_at.elapsed() < WINDOW {
        let sent_at = Instant::now();
        match form {
            Form::Text => client.query_drop(STATEMENT).unwrap(),
            Form::Prepared => client.exec_drop(&prepared, ()).unwrap(),
        }
        latencies.record(sent_at.elapsed().as_micros() as u64).unwrap();
    }
    latencies
}
