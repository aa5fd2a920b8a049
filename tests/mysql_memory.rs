//! The memory of a router with the `MySQL` front under hundreds of slow clients: long commands, very many short fields,
//! prepared statements, long parameters, cursors and long responses. Each of them is held for a client until it goes on,
//! and the process would be killed where the sum passes its memory limit.
mod common;

use common::TIMEOUT;
use common::crowd::{ClientPlan, start_crowd};
use common::environment::TestFolder;
use common::mysql_login::till_login;
use common::process_memory::peak_mib;
use common::program::Program;
use mysql::prelude::Queryable;
use mysql::{Conn, OptsBuilder};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use test_servers::wire::{self, EOF, OK, column, packets, row};

/// Memory limit of the router, in MiB.
const MEMORY_LIMIT_MIB: f64 = 32.0;
const CLIENTS: usize = 300;
const DURATION: Duration = Duration::from_secs(5);
/// More bytes than any request has.
const UNLIMITED: usize = 1 << 30;
const ROW_BYTES: usize = 60_000;
const ROWS: usize = 40;
/// Length of a long command's text.
const LONG_TEXT_BYTES: usize = 300_000;

/// Each test holds this lock, so that only one crowd runs at a time.
static CROWD_LOCK: Mutex<()> = Mutex::new(());

/// Starts a primary that responds to each SELECT, as text and prepared, with long rows.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            std::thread::spawn(move || serve(&socket));
        }
    });
    addr
}

fn serve(mut socket: &TcpStream) -> std::io::Result<()> {
    const PREPARE: u8 = 22;
    const EXECUTE: u8 = 23;
    wire::greet(socket)?;
    loop {
        let command = wire::read(socket)?;
        let response = match command.split_first() {
            Some((&wire::COMMAND_QUERY, b"SELECT probe")) => row(&["0", "1"]),
            Some((&wire::COMMAND_QUERY, text)) if text.starts_with(b"select long") => long_rows(),
            Some((&PREPARE, _)) => {
                packets(1, &[&[0, 1, 0, 0, 0, 1, 0, 1, 0, 0, 0, 0], &column("?"), EOF, &column("c"), EOF])
            }
            Some((&EXECUTE, _)) => long_rows(),
            // Long parameters and the end of a statement have no response.
            Some((24 | 25, _)) => continue,
            _ => packets(1, &[OK]),
        };
        socket.write_all(&response)?;
    }
}

fn long_rows() -> Vec<u8> {
    let length = (ROW_BYTES as u16).to_le_bytes();
    let long_row = [&[0xfc][..], &length, &vec![b'v'; ROW_BYTES]].concat();
    let definition = column("c");
    let mut payloads: Vec<&[u8]> = vec![&[1], &definition, EOF];
    payloads.extend(std::iter::repeat_n(&long_row[..], ROWS));
    payloads.push(EOF);
    packets(1, &payloads)
}

struct Setup {
    router: Program,
    addr: SocketAddr,
    _folder: TestFolder,
    _crowd_guard: MutexGuard<'static, ()>,
}

impl Setup {
    fn start() -> Setup {
        let crowd_guard = CROWD_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let folder = TestFolder::new();
        let text = format!(
            "[mysql]\nlisten = '127.0.0.1:0'\ndatabase = 'stock'\nserver_user = 'router'\nprobe = 'SELECT probe'
memory_mb = {MEMORY_LIMIT_MIB:.0}\nsockets = 1024
[[mysql.user]]\nname = 'till'\npassword = ''
[[mysql.class]]\nname = 'check'\nfreshness = 'fresh'\neffect = 'safe'\naim_ms = 1500\ndeadline_ms = 2000
[[mysql.rule]]\nstarts = 'select'\nclass = 'check'
[[mysql.server]]\nid = 'stock-a'\naddr = '{}'\n",
            start_server()
        );
        let mut router = Program::serve(&folder.write("mysql.toml", &text));
        let addr = router.listening_address();
        let setup = Setup { router, addr, _folder: folder, _crowd_guard: crowd_guard };
        setup.assert_serves();
        setup
    }

    /// Checks that a client which reads its responses gets a long one as a whole.
    fn assert_serves(&self) {
        let options = || {
            let options = OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(self.addr.port());
            options.prefer_socket(false).user(Some("till"))
        };
        let started_at = Instant::now();
        loop {
            let rows = Conn::new(options()).and_then(|mut client| client.query::<String, _>("select long"));
            match rows {
                Ok(rows) => {
                    return assert!(rows.len() == ROWS && rows.iter().all(|row| row.len() == ROW_BYTES));
                }
                Err(error) => assert!(started_at.elapsed() < TIMEOUT, "{error}"),
            }
        }
    }

    /// Runs a crowd for each plan at once, and checks the peak of the process's memory.
    fn assert_memory_limit_holds(mut self, plans: &[ClientPlan]) {
        println!("before: {} MiB", peak_mib(&self.router));
        let deadline = Instant::now() + DURATION;
        let clients = CLIENTS / plans.len();
        let crowds: Vec<_> =
            plans.iter().map(|plan| start_crowd(self.addr, clients, plan, deadline)).collect();
        crowds.into_iter().flatten().for_each(|thread| thread.join().unwrap());
        self.assert_serves();
        let peak = peak_mib(&self.router);
        println!("peak: {peak} MiB");
        assert_eq!(self.router.child.try_wait().unwrap(), None, "the router has ended");
        assert!(peak < MEMORY_LIMIT_MIB, "peak {peak} MiB, limit {MEMORY_LIMIT_MIB} MiB");
    }
}

fn command(parts: &[&[u8]]) -> Vec<u8> {
    packets(0, &[&parts.concat()])
}

/// A client that reads what it is sent and waits for each response.
fn patient() -> ClientPlan {
    ClientPlan {
        login: till_login(),
        request: Vec::new(),
        sent_at_once: UNLIMITED,
        sent_per_tick: UNLIMITED,
        read_per_tick: 1 << 16,
        response_bytes: 1,
    }
}

fn long_query() -> Vec<u8> {
    let padding = "f".repeat(LONG_TEXT_BYTES);
    command(&[&[wire::COMMAND_QUERY], b"insert into notes values ('", padding.as_bytes(), b"')"])
}

fn writes_slowly() -> ClientPlan {
    ClientPlan { request: long_query(), sent_at_once: 100_000, sent_per_tick: 400, ..patient() }
}

fn stops_in_the_middle() -> ClientPlan {
    ClientPlan { request: long_query(), sent_at_once: 200_000, sent_per_tick: 0, ..patient() }
}

fn sends_commands_ahead() -> ClientPlan {
    ClientPlan { request: long_query().repeat(4), response_bytes: 0, ..patient() }
}

fn sends_many_short_fields() -> ClientPlan {
    let fields = "a=b,".repeat(LONG_TEXT_BYTES / 4);
    let request = command(&[&[wire::COMMAND_QUERY], b"select 1 /* ", fields.as_bytes(), b" */"]);
    ClientPlan { request, ..patient() }
}

fn prepare(text: &[u8]) -> Vec<u8> {
    command(&[&[22], text])
}

fn prepares_many_statements() -> ClientPlan {
    let request = prepare(format!("select ? /* {} */", "f".repeat(20_000)).as_bytes());
    ClientPlan { request, ..patient() }
}

fn sends_long_parameters() -> ClientPlan {
    let statements = prepare(b"select long ?").repeat(20);
    let part = |id: u8| command(&[&[24, id, 0, 0, 0, 0, 0], &vec![b'p'; 100_000]]);
    let request: Vec<u8> = (1..=20).flat_map(part).collect();
    ClientPlan { login: [till_login(), statements].concat(), request, response_bytes: 0, ..patient() }
}

fn opens_cursors() -> ClientPlan {
    let statements = prepare(b"select long ?").repeat(20);
    let execute = |id: u8| command(&[&[23, id, 0, 0, 0, 1, 1, 0, 0, 0, 0, 1, 0xfd, 0, 1, b'p']]);
    let request: Vec<u8> = (1..=20).flat_map(execute).collect();
    ClientPlan { login: [till_login(), statements].concat(), request, response_bytes: 0, ..patient() }
}

fn reads_slowly() -> ClientPlan {
    let request = command(&[&[wire::COMMAND_QUERY], b"select long"]);
    ClientPlan { request, read_per_tick: 512, response_bytes: ROWS * ROW_BYTES, ..patient() }
}

#[test]
fn clients_that_write_slowly_stay_within_the_memory_limit() {
    Setup::start().assert_memory_limit_holds(&[writes_slowly(), stops_in_the_middle()]);
}

#[test]
fn clients_that_send_commands_ahead_stay_within_the_memory_limit() {
    Setup::start().assert_memory_limit_holds(&[sends_commands_ahead()]);
}

#[test]
fn clients_that_send_many_short_fields_stay_within_the_memory_limit() {
    Setup::start().assert_memory_limit_holds(&[sends_many_short_fields()]);
}

#[test]
fn prepared_statements_and_long_parameters_stay_within_the_memory_limit() {
    Setup::start().assert_memory_limit_holds(&[prepares_many_statements(), sends_long_parameters()]);
}

#[test]
fn cursors_and_long_responses_stay_within_the_memory_limit() {
    Setup::start().assert_memory_limit_holds(&[opens_cursors(), reads_slowly()]);
}

#[test]
fn slow_clients_of_all_kinds_stay_within_the_memory_limit() {
    Setup::start().assert_memory_limit_holds(&[
        writes_slowly(),
        stops_in_the_middle(),
        sends_commands_ahead(),
        sends_many_short_fields(),
        prepares_many_statements(),
        sends_long_parameters(),
        opens_cursors(),
        reads_slowly(),
    ]);
}
