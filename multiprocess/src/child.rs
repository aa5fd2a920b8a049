//! Processes of the program: started, signalled and ended by their id, their logs kept up to a bound.
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Lines kept of each process's log.
const LINES: usize = 200;

/// Why a process is of no use.
#[derive(Debug, Error)]
pub enum ChildError {
    /// It can't be started.
    #[error(
        "{program}: cannot be started ({error}); name the program's path, and look at the bound on processes"
    )]
    Start {
        /// The program.
        program: String,
        /// Why.
        error: io::Error,
    },
    /// The line did not come.
    #[error("{name} wrote no line with '{text}' within {} s; its last lines: {last}", patience.as_secs())]
    Quiet {
        /// The process.
        name: String,
        /// What was waited for.
        text: String,
        /// For so long.
        patience: Duration,
        /// Its log's end.
        last: String,
    },
    /// A command ended badly.
    #[error("'{what}' failed: {said}")]
    Command {
        /// The command's words.
        what: String,
        /// What it wrote.
        said: String,
    },
    /// It can't be signalled.
    #[error("{name} cannot be signalled: {error}")]
    Signal {
        /// The process.
        name: String,
        /// Why.
        error: nix::Error,
    },
}

#[derive(Default)]
struct Log {
    lines: VecDeque<String>,
    ended: bool,
}

/// A running process; it is killed where this is dropped.
pub struct Child {
    /// What it is called in messages.
    pub name: String,
    process: std::process::Child,
    log: Arc<(Mutex<Log>, Condvar)>,
}

impl Child {
    /// Starts it with nothing of this process's environment.
    ///
    /// # Errors
    /// [`ChildError::Start`].
    pub fn start(program: &Path, name: &str, arguments: &[&str]) -> Result<Child, ChildError> {
        let failed = |error| ChildError::Start { program: program.display().to_string(), error };
        let mut command = Command::new(program);
        command.args(arguments).env_clear().stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut process = command.spawn().map_err(failed)?;
        let log = Arc::new((Mutex::new(Log::default()), Condvar::new()));
        let (own, from) = (log.clone(), process.stderr.take());
        let read = move || {
            let lines = from.into_iter().flat_map(|f| BufReader::with_capacity(1024, f).lines());
            for line in lines.map_while(Result::ok) {
                let mut log = own.0.lock().unwrap_or_else(PoisonError::into_inner);
                if log.lines.len() == LINES {
                    log.lines.pop_front();
                }
                log.lines.push_back(line);
                own.1.notify_all();
            }
            own.0.lock().unwrap_or_else(PoisonError::into_inner).ended = true;
            own.1.notify_all();
        };
        let reader = std::thread::Builder::new().name("log".into()).stack_size(128 << 10).spawn(read);
        let child = Child { name: name.into(), process, log };
        // Dropped, it ends the process.
        reader.map_err(failed)?;
        Ok(child)
    }

    /// Waits for a log line that holds this text, and gives what follows it.
    ///
    /// # Errors
    /// [`ChildError::Quiet`] where the line is missing when the time is over or the process has ended.
    pub fn logged(&self, text: &str, patience: Duration) -> Result<String, ChildError> {
        let until = Instant::now() + patience;
        let mut log = self.log.0.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some((_, after)) = log.lines.iter().find_map(|l| l.split_once(text)) {
                return Ok(after.trim().to_string());
            }
            let left = until.saturating_duration_since(Instant::now());
            if log.ended || left.is_zero() {
                let last = log.lines.iter().rev().take(5).cloned().collect::<Vec<_>>().join(" | ");
                let (name, text) = (self.name.clone(), text.to_string());
                return Err(ChildError::Quiet { name, text, patience, last });
            }
            log = self.log.1.wait_timeout(log, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// The lines kept.
    pub fn lines(&self) -> Vec<String> {
        self.log.0.lock().unwrap_or_else(PoisonError::into_inner).lines.iter().cloned().collect()
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Sends it a signal. Its id can't be another's: it is waited for only where this is dropped.
    ///
    /// # Errors
    /// [`ChildError::Signal`].
    pub fn signal(&self, signal: Signal) -> Result<(), ChildError> {
        let error = |error| ChildError::Signal { name: self.name.clone(), error };
        kill(Pid::from_raw(self.id() as i32), signal).map_err(error)
    }

    /// Whether it has ended by itself. Its id may be another's after that: it is signalled no more.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }

    /// What it costs.
    pub fn cost(&self) -> Option<Cost> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let of = |key: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(key))?;
            line.trim_start_matches(':').split_whitespace().next()?.parse().ok()
        };
        Some(Cost { threads: of("Threads")?, resident_kb: of("VmRSS")?, own_kb: of("RssAnon")? })
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        _ = self.process.kill();
        _ = self.process.wait();
    }
}

/// What a process costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Threads.
    pub threads: u64,
    /// Resident memory, the program's shared pages included, in KiB.
    pub resident_kb: u64,
    /// Resident memory that is its alone, in KiB.
    pub own_kb: u64,
}

/// Runs one of the program's commands to its end, and gives its output.
///
/// # Errors
/// Where it can't be started, or ends badly.
pub fn command(program: &Path, arguments: &[&str]) -> Result<String, ChildError> {
    let failed = |error| ChildError::Start { program: program.display().to_string(), error };
    let out = Command::new(program).args(arguments).env_clear().output().map_err(failed)?;
    if out.status.success() {
        return Ok(String::from_utf8_lossy(&out.stdout).into_owned());
    }
    let said = String::from_utf8_lossy(&out.stderr).trim().to_string();
    Err(ChildError::Command { what: arguments.join(" "), said })
}

/// Addresses that nobody else listens on: on a loopback address of this call's own, so that they stay free between the
/// asking and the using, whatever ports other processes and outgoing connections take meanwhile.
///
/// # Errors
/// Where the system has no port.
pub fn ports(n: usize) -> io::Result<Vec<SocketAddr>> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (id, call) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    // The last part keeps off what the root's tests take.
    let ip = [127, 1 + (id / 250 % 250) as u8, (id % 250) as u8, 200 + (call % 50) as u8];
    let held =
        (0..n).map(|_| TcpListener::bind(SocketAddr::from((ip, 0)))).collect::<io::Result<Vec<_>>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}
