//! Starts the real program as a process, and acts as its discovery. Nothing here waits by sleeping: each wait is
//! for a message, with a bound that only a failure reaches.
#![allow(dead_code)]
pub mod front;
pub mod installation;
pub use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Reached only by a failure.
pub const LONG: Duration = Duration::from_secs(20);

/// A folder of this test's own, removed at its end.
pub struct Folder(TempDir);

impl Folder {
    pub fn new() -> Folder {
        Folder(TempDir::with_prefix("damsonvale-").unwrap())
    }

    pub fn path(&self) -> &Path {
        self.0.path()
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

/// Addresses that nobody else listens on: on a loopback address of this call's own, so that they stay free between the
/// asking and the using, whatever ports other processes and outgoing connections take meanwhile.
pub fn ports(n: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (id, call) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let ip = [127, 1 + (id / 250 % 250) as u8, (id % 250) as u8, 1 + (call % 250) as u8];
    let held: Vec<TcpListener> =
        (0..n).map(|_| TcpListener::bind(SocketAddr::from((ip, 0))).unwrap()).collect();
    held.iter().map(|l| l.local_addr().unwrap()).collect()
}

/// A running process of the program.
pub struct Program {
    pub child: Child,
    pub log: Receiver<String>,
    seen: Vec<String>,
}

impl Program {
    /// Starts it; nothing of this process's environment but what is given reaches it.
    pub fn start(arguments: &[&str], env: &[(&str, &str)]) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_damsonvale"));
        command.args(arguments).env_clear().envs(env.iter().copied());
        Program::run(command)
    }

    /// Starts it by a line of the shell.
    pub fn shell(line: &str) -> Program {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", line]);
        Program::run(command)
    }

    /// Starts it by this command, its log read from now on.
    pub fn run(mut command: Command) -> Program {
        let mut child = command.stderr(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
        let (to, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).all(|l| to.send(l).is_ok()));
        Program { child, log, seen: Vec::new() }
    }

    /// Waits for a log line that holds this text; one that came earlier counts.
    pub fn logged(&mut self, text: &str) -> String {
        if let Some(line) = self.seen.iter().find(|l| l.contains(text)) {
            return line.clone();
        }
        let until = Instant::now() + LONG;
        loop {
            let Ok(line) = self.log.recv_timeout(until.saturating_duration_since(Instant::now())) else {
                panic!("no line with '{text}' in the log: {:#?}", self.seen);
            };
            self.seen.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    /// The lines that it has written so far.
    pub fn so_far(&mut self) -> &[String] {
        self.seen.extend(self.log.try_iter());
        &self.seen
    }

    /// Where it says that it listens.
    pub fn listening(&mut self) -> SocketAddr {
        let line = self.logged("client listener bound ");
        line.rsplit("addr=").next().unwrap().trim().parse().unwrap()
    }

    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Waits for a log line that comes from now on.
    pub fn logs_next(&mut self, text: &str) -> String {
        self.seen.clear();
        self.logged(text)
    }

    /// Its exit code; its standard output is read to the end.
    pub fn ended(mut self) -> (Option<i32>, String) {
        let mut out = String::new();
        self.child.stdout.take().unwrap().read_to_string(&mut out).unwrap();
        (self.child.wait().unwrap().code(), out)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// Discovery: each watch gets the lines that the test sends, from the first on.
pub struct Discovery {
    pub addr: SocketAddr,
    /// The index that each watch asked for, with the sender of its lines; dropping that ends the watch.
    pub watches: Receiver<(String, Sender<String>)>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (to, watches) = channel();
        std::thread::spawn(move || {
            for socket in listener.incoming() {
                let mut socket = socket.unwrap();
                let mut line = String::new();
                let mut reader = BufReader::new(socket.try_clone().unwrap());
                _ = reader.read_line(&mut line);
                let index = line.split("index=").nth(1).and_then(|r| r.split(' ').next()).unwrap_or("");
                let (lines, pushed) = channel::<String>();
                _ = to.send((index.to_string(), lines));
                std::thread::spawn(move || {
                    _ = socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    let mut next = Ok(String::new());
                    loop {
                        // Nothing new is said by an empty line, at first and then each 2 s.
                        let l = match next {
                            Ok(l) => l,
                            Err(RecvTimeoutError::Timeout) => String::new(),
                            Err(RecvTimeoutError::Disconnected) => break,
                        };
                        let chunk = format!("{:x}\r\n{l}\n\r\n", l.len() + 1);
                        if socket.write_all(chunk.as_bytes()).is_err() {
                            return;
                        }
                        next = pushed.recv_timeout(Duration::from_secs(2));
                    }
                    _ = socket.write_all(b"0\r\n\r\n");
                });
            }
        });
        Discovery { addr, watches }
    }

    pub fn watch(&self) -> (String, Sender<String>) {
        self.watches.recv_timeout(LONG).expect("a watch")
    }
}

/// Reads exactly this many bytes.
pub fn take(mut from: &TcpStream, n: usize) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; n];
    from.read_exact(&mut bytes)?;
    Ok(bytes)
}
