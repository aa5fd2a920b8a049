//! What the cases of this review share: a record, processes of the project, and small stand-ins for MySQL clients
//! and servers. Only the standard library is used. Every address is a loopback address.
#![allow(dead_code)]
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Whether the disruption is played: not with `TROUBLE=0`.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Repeats `check` until it returns true or the time is over. Returns whether it returned true.
pub fn wait_until(timeout: Duration, mut check: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    loop {
        if check() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        sleep_ms(50);
    }
}

/// The temporary folder of the case; the record names it `FOLDER`.
static FOLDER: OnceLock<String> = OnceLock::new();

/// The file `record.txt` of a case: what was sent, answered and run, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    /// The folder of the case is the first argument of the program.
    pub fn create() -> Arc<Record> {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
        let path = Path::new(&folder).join("record.txt");
        match File::create(&path) {
            Ok(file) => Arc::new(Record { file: Mutex::new(file), start: Instant::now() }),
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                std::process::exit(CANNOT_RUN);
            }
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_millis();
        let mut line = format!("{at:>7} ms  {}\n", text.as_ref());
        if let Some(folder) = FOLDER.get() {
            line = line.replace(folder.as_str(), "FOLDER");
        }
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        _ = file.write_all(line.as_bytes());
        _ = file.flush();
    }

    /// Writes the verdict and returns the exit code.
    pub fn verdict(&self, code: i32, text: &str) -> i32 {
        let word = match code {
            HELD => "rule held",
            BROKEN => "RULE BROKEN",
            _ => "could not run",
        };
        self.line(format!("{word}: {text}"));
        println!("{word}: {text}");
        code
    }
}

/// Runs a case with a temporary folder, and ends the program with the case's exit code.
pub fn run_case(case: impl FnOnce(&Arc<Record>, &Path) -> Result<i32, String>) -> ! {
    let record = Record::create();
    record.line(format!("disruption: {}", if with_trouble() { "yes" } else { "no (TROUBLE=0)" }));
    let folder = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms()));
    _ = FOLDER.set(folder.to_string_lossy().into_owned());
    let result = std::fs::create_dir_all(&folder).map_err(|error| error.to_string());
    let code = match result.and_then(|()| case(&record, &folder)) {
        Ok(code) => code,
        Err(error) => record.verdict(CANNOT_RUN, &error),
    };
    _ = std::fs::remove_dir_all(&folder);
    std::process::exit(code);
}

/// Finds free ports on loopback. All are held until all are found, so that they differ.
pub fn free_ports(count: usize) -> Result<Vec<u16>, String> {
    let listeners: Result<Vec<TcpListener>, io::Error> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    let listeners = listeners.map_err(|error| error.to_string())?;
    listeners.iter().map(|l| l.local_addr().map(|a| a.port()).map_err(|error| error.to_string())).collect()
}

pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl`: the signal that a process receives when the thread that started it ends.
const SET_SIGNAL_OF_PARENT_DEATH: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// The program as the deploy file's build leaves it.
pub fn program() -> PathBuf {
    std::env::var_os("DAMSONVALE").map_or_else(|| PathBuf::from("target/release/damsonvale"), PathBuf::from)
}

/// A process of the project, which ends with this value at the latest.
pub struct Process {
    child: Child,
    name: String,
    record: Arc<Record>,
}

impl Process {
    pub fn start(
        record: &Arc<Record>,
        name: &str,
        arguments: &[&str],
        environment: &[(&str, &str)],
        log: &Path,
    ) -> Result<Process, String> {
        let program = program();
        let log = File::create(log).map_err(|error| error.to_string())?;
        let log_2 = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(&program);
        // A case that is stopped leaves no process behind.
        let end_with_case = || match unsafe { prctl(SET_SIGNAL_OF_PARENT_DEATH, SIGKILL as u64) } {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        };
        // SAFETY: the call between fork and exec is a system call that uses no memory of the program.
        unsafe { command.pre_exec(end_with_case) };
        let child = command
            .args(arguments)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(log_2)
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        record.line(format!("{name}: started, process {}", child.id()));
        Ok(Process { child, name: name.into(), record: record.clone() })
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(format!("{}: signal {signal}", self.name));
        // SAFETY: the process was started by this program and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process; after the timeout it is killed.
    pub fn wait(&mut self, timeout: Duration) {
        if !wait_until(timeout, || !self.is_running()) {
            self.signal(SIGKILL);
        }
        _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// Runs one command of the project to its end and returns its output.
pub fn run_command(record: &Record, arguments: &[&str]) -> Result<String, String> {
    let output = Command::new(program()).args(arguments).output().map_err(|error| error.to_string())?;
    let text = String::from_utf8_lossy(&output.stdout).trim().to_string()
        + String::from_utf8_lossy(&output.stderr).trim();
    record.line(format!("damsonvale {}: {text}", arguments.join(" ")));
    Ok(text)
}

// ---- MySQL protocol ----

const LONG_PASSWORD: u32 = 1;
const LONG_FLAG: u32 = 1 << 2;
const CONNECT_WITH_DB: u32 = 1 << 3;
const PROTOCOL_41: u32 = 1 << 9;
const TRANSACTIONS: u32 = 1 << 13;
const SECURE_CONNECTION: u32 = 1 << 15;
const MULTI_RESULTS: u32 = 1 << 17;
const PLUGIN_AUTH: u32 = 1 << 19;
const CAPABILITIES: u32 = LONG_PASSWORD
    | LONG_FLAG
    | CONNECT_WITH_DB
    | PROTOCOL_41
    | TRANSACTIONS
    | SECURE_CONNECTION
    | MULTI_RESULTS
    | PLUGIN_AUTH;
const PLUGIN: &[u8] = b"mysql_native_password\0";
const NONCE: &[u8; 20] = b"abcdefghijklmnopqrst";

fn write_packet(mut to: &TcpStream, sequence: u8, payload: &[u8]) -> io::Result<()> {
    let mut bytes = (payload.len() as u32).to_le_bytes()[..3].to_vec();
    bytes.push(sequence);
    bytes.extend_from_slice(payload);
    to.write_all(&bytes)
}

fn read_packet(mut from: &TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; 4];
    from.read_exact(&mut header)?;
    let mut payload = vec![0; u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize];
    from.read_exact(&mut payload)?;
    Ok((header[3], payload))
}

fn push_text(to: &mut Vec<u8>, text: &[u8]) {
    if text.len() < 251 {
        to.push(text.len() as u8);
    } else {
        to.push(0xfc);
        to.extend_from_slice(&(text.len() as u16).to_le_bytes());
    }
    to.extend_from_slice(text);
}

fn take_number(bytes: &mut &[u8]) -> Option<u64> {
    let (first, rest) = bytes.split_first()?;
    let size = match first {
        0..=250 => {
            *bytes = rest;
            return Some(u64::from(*first));
        }
        0xfc => 2,
        0xfd => 3,
        _ => 8,
    };
    let (number, rest) = rest.split_at_checked(size)?;
    *bytes = rest;
    Some(number.iter().rev().fold(0, |n, b| n << 8 | u64::from(*b)))
}

/// What a MySQL server of a case answers to a statement.
#[derive(Clone, Debug)]
pub enum Reply {
    Ok { last_insert_id: u64 },
    Rows { columns: Vec<String>, rows: Vec<Vec<Option<String>>> },
    Error { code: u16, state: &'static str, text: String },
}

impl Reply {
    pub fn one(column: &str, value: impl ToString) -> Reply {
        Reply::Rows { columns: vec![column.into()], rows: vec![vec![Some(value.to_string())]] }
    }

    pub fn done() -> Reply {
        Reply::Ok { last_insert_id: 0 }
    }

    /// Writes the reply. The status flags say whether the session is in autocommit mode and in a transaction.
    fn write(&self, to: &TcpStream, session: &ServerSession) -> io::Result<()> {
        let in_transaction = session.in_transaction || !session.uncommitted.is_empty();
        let status = 2 * u8::from(session.autocommit) + u8::from(in_transaction);
        match self {
            Reply::Ok { last_insert_id } => {
                write_packet(to, 1, &[0, 1, *last_insert_id as u8, status, 0, 0, 0])
            }
            Reply::Error { code, state, text } => {
                let mut payload = vec![0xff];
                payload.extend_from_slice(&code.to_le_bytes());
                payload.push(b'#');
                payload.extend_from_slice(state.as_bytes());
                payload.extend_from_slice(text.as_bytes());
                write_packet(to, 1, &payload)
            }
            Reply::Rows { columns, rows } => {
                write_packet(to, 1, &[columns.len() as u8])?;
                let mut sequence = 1u8;
                let mut next = || {
                    sequence = sequence.wrapping_add(1);
                    sequence
                };
                for column in columns {
                    let mut definition = Vec::new();
                    for part in ["def", "", "", "", column.as_str(), ""] {
                        push_text(&mut definition, part.as_bytes());
                    }
                    definition.extend_from_slice(&[0x0c, 45, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0x1f, 0, 0]);
                    write_packet(to, next(), &definition)?;
                }
                write_packet(to, next(), &[0xfe, 0, 0, status, 0])?;
                for row in rows {
                    let mut payload = Vec::new();
                    for cell in row {
                        match cell {
                            Some(text) => push_text(&mut payload, text.as_bytes()),
                            None => payload.push(0xfb),
                        }
                    }
                    write_packet(to, next(), &payload)?;
                }
                write_packet(to, next(), &[0xfe, 0, 0, status, 0])
            }
        }
    }
}

/// The state of one session at a server, as MySQL's manual describes it.
pub struct ServerSession {
    pub thread: u32,
    pub autocommit: bool,
    /// Whether a transaction was started that has not ended yet.
    pub in_transaction: bool,
    /// Writes of a transaction that is not committed yet.
    pub uncommitted: Vec<String>,
    pub last_insert_id: u64,
    pub warnings: Vec<String>,
}

/// What a server of a case does with statements, and at the end of a session.
pub trait Behaviour: Send + Sync + 'static {
    fn statement(&self, session: &mut ServerSession, text: &str) -> Reply;
    fn closed(&self, _session: &mut ServerSession) {}
}

static NEXT_THREAD: AtomicU32 = AtomicU32::new(1);

/// Starts a MySQL server on this port.
pub fn start_mysql_server(port: u16, behaviour: Arc<dyn Behaviour>) -> Result<(), String> {
    let listener = TcpListener::bind(loopback(port)).map_err(|error| error.to_string())?;
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let behaviour = behaviour.clone();
            std::thread::spawn(move || {
                let mut session = ServerSession {
                    thread: NEXT_THREAD.fetch_add(1, Ordering::Relaxed),
                    autocommit: true,
                    in_transaction: false,
                    uncommitted: Vec::new(),
                    last_insert_id: 0,
                    warnings: Vec::new(),
                };
                _ = serve_mysql(&socket, &*behaviour, &mut session);
                behaviour.closed(&mut session);
            });
        }
    });
    Ok(())
}

fn serve_mysql(socket: &TcpStream, behaviour: &dyn Behaviour, session: &mut ServerSession) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let mut greeting = vec![10];
    greeting.extend_from_slice(b"8.0.36\0");
    greeting.extend_from_slice(&session.thread.to_le_bytes());
    greeting.extend_from_slice(&NONCE[..8]);
    greeting.push(0);
    greeting.extend_from_slice(&CAPABILITIES.to_le_bytes()[..2]);
    greeting.extend_from_slice(&[45, 2, 0]);
    greeting.extend_from_slice(&CAPABILITIES.to_le_bytes()[2..]);
    greeting.push(21);
    greeting.extend_from_slice(&[0; 10]);
    greeting.extend_from_slice(&NONCE[8..]);
    greeting.push(0);
    greeting.extend_from_slice(PLUGIN);
    write_packet(socket, 0, &greeting)?;
    let (sequence, _response) = read_packet(socket)?;
    write_packet(socket, sequence + 1, &[0, 0, 0, 2, 0, 0, 0])?;
    loop {
        let (_, payload) = read_packet(socket)?;
        match payload.split_first() {
            Some((1, _)) | None => return Ok(()),
            Some((3, text)) => {
                let text = String::from_utf8_lossy(text).into_owned();
                behaviour.statement(session, &text).write(socket, session)?;
            }
            Some((14, _)) => Reply::done().write(socket, session)?,
            Some((code, _)) => {
                let text = format!("command {code} is not played by this stand-in");
                Reply::Error { code: 1047, state: "08S01", text }.write(socket, session)?;
            }
        }
    }
}

/// The statement as MySQL 8.0.36 runs it: comments are left out, and the contents of `/*!NNNNN ... */` stay if the
/// server's version is NNNNN or later.
pub fn effective_text(text: &str) -> String {
    let (mut result, mut rest) = (String::new(), text);
    while let Some(start) = rest.find("/*") {
        result.push_str(&rest[..start]);
        let end = rest[start..].find("*/").map_or(rest.len(), |offset| start + offset);
        let inner = &rest[start + 2..end];
        if let Some(executable) = inner.strip_prefix('!') {
            let digits = executable.bytes().take_while(u8::is_ascii_digit).take(5).count();
            let version: u32 = executable[..digits].parse().unwrap_or(0);
            if version <= 80036 {
                result.push_str(&executable[digits..]);
            }
        }
        result.push(' ');
        rest = rest.get(end + 2..).unwrap_or("");
    }
    result.push_str(rest);
    let words: Vec<&str> = result.split_whitespace().collect();
    words.join(" ").trim_end_matches([';', ' ']).to_string()
}

/// What a client receives for a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Ok { last_insert_id: u64 },
    Rows(Vec<Vec<Option<String>>>),
    Error(u16, String),
    Broken(String),
}

pub struct MysqlClient {
    socket: TcpStream,
}

impl MysqlClient {
    pub fn connect(addr: SocketAddr, user: &str, database: &str) -> Result<MysqlClient, String> {
        let connected = TcpStream::connect_timeout(&addr, Duration::from_secs(2));
        let socket = connected.map_err(|error| error.to_string())?;
        MysqlClient::log_in(&socket, user, database).map_err(|error| error.to_string())?;
        Ok(MysqlClient { socket })
    }

    fn log_in(socket: &TcpStream, user: &str, database: &str) -> io::Result<()> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_secs(15)))?;
        let (sequence, greeting) = read_packet(socket)?;
        if greeting.first() != Some(&10) {
            return Err(io::Error::other(format!("no greeting: {greeting:?}")));
        }
        let mut response = CAPABILITIES.to_le_bytes().to_vec();
        response.extend_from_slice(&(1u32 << 24).to_le_bytes());
        response.push(45);
        response.extend_from_slice(&[0; 23]);
        response.extend_from_slice(user.as_bytes());
        // The user has an empty password, for which the answer to the nonce is empty.
        response.extend_from_slice(&[0, 0]);
        response.extend_from_slice(database.as_bytes());
        response.push(0);
        response.extend_from_slice(PLUGIN);
        write_packet(socket, sequence + 1, &response)?;
        let (_, last) = read_packet(socket)?;
        if last.first() == Some(&0) { Ok(()) } else { Err(io::Error::other(format!("login: {last:?}"))) }
    }

    pub fn query(&mut self, text: &str) -> Answer {
        let payload = [&[3], text.as_bytes()].concat();
        write_packet(&self.socket, 0, &payload)
            .and_then(|()| self.read_answer())
            .unwrap_or_else(|error| Answer::Broken(error.to_string()))
    }

    fn read_answer(&self) -> io::Result<Answer> {
        let (_, first) = read_packet(&self.socket)?;
        match first.split_first() {
            Some((0, rest)) => {
                let mut rest = rest;
                _ = take_number(&mut rest);
                return Ok(Answer::Ok { last_insert_id: take_number(&mut rest).unwrap_or(0) });
            }
            Some((0xff, rest)) if rest.len() >= 2 => {
                let code = u16::from_le_bytes([rest[0], rest[1]]);
                let text = rest.get(8..).unwrap_or_default();
                return Ok(Answer::Error(code, String::from_utf8_lossy(text).into_owned()));
            }
            _ => {}
        }
        let columns = first.first().copied().unwrap_or(0);
        for _ in 0..=columns {
            read_packet(&self.socket)?;
        }
        let mut rows = Vec::new();
        loop {
            let (_, payload) = read_packet(&self.socket)?;
            if payload.first() == Some(&0xfe) && payload.len() == 5 {
                return Ok(Answer::Rows(rows));
            }
            let (mut rest, mut row) = (&payload[..], Vec::new());
            while !rest.is_empty() {
                if rest[0] == 0xfb {
                    rest = &rest[1..];
                    row.push(None);
                    continue;
                }
                let length = take_number(&mut rest).unwrap_or(0) as usize;
                let (cell, after) = rest.split_at(length.min(rest.len()));
                row.push(Some(String::from_utf8_lossy(cell).into_owned()));
                rest = after;
            }
            rows.push(row);
        }
    }
}

/// Connects to a router as soon as it accepts clients.
pub fn connect_when_ready(port: u16, database: &str, timeout: Duration) -> Result<MysqlClient, String> {
    let mut last = String::from("not tried");
    let mut client = None;
    wait_until(timeout, || match MysqlClient::connect(loopback(port), "till", database) {
        Ok(connected) => {
            client = Some(connected);
            true
        }
        Err(error) => {
            last = error;
            false
        }
    });
    client.ok_or_else(|| format!("no connection to the router: {last}"))
}
