//! Router processes: started with the preloaded library, signalled, sampled and ended by their id.
use crate::history::{Micros, Sample};
use fault_control::{CONTROL_VARIABLE, ControlFile};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines kept of a process's log.
const KEPT_LINES: usize = 60;
/// Kernel ticks of processor time in a second, as Linux gives them.
const TICKS_PER_SECOND: i64 = 100;

/// The programs that a run needs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The router.
    pub router: PathBuf,
    /// The preloaded library; without it no clock is stepped and no call fails.
    pub library: Option<PathBuf>,
    /// A folder for the processes' whole logs, at the level debug.
    pub logs: Option<PathBuf>,
}

impl Programs {
    /// The router at this path, and the library where it is built beside it.
    pub fn beside(router: &Path) -> Programs {
        let folder = router.parent().unwrap_or(Path::new("."));
        let places = [folder.join("libfaults.so"), folder.join("deps").join("libfaults.so")];
        let library = places.into_iter().find(|path| path.exists());
        Programs { router: router.to_path_buf(), library, logs: None }
    }
}

/// One process of a router; it is killed where this is dropped.
pub struct Process {
    child: Child,
    log: Arc<Mutex<VecDeque<String>>>,
    ended: bool,
}

impl Process {
    /// Starts the router with these arguments and variables, and nothing of this process's environment.
    ///
    /// # Errors
    /// The system's, where it can't be started.
    pub fn start(
        programs: &Programs,
        arguments: &[&str],
        variables: &[(&str, &str)],
        control: &Path,
    ) -> io::Result<Process> {
        let mut command = Command::new(&programs.router);
        command.args(arguments).env_clear().envs(variables.iter().copied());
        if let Some(library) = &programs.library {
            command.env("LD_PRELOAD", library).env(CONTROL_VARIABLE, control);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        if programs.logs.is_some() {
            command.env("DAMSONVALE_LOG", "debug");
        }
        let mut child = command.spawn()?;
        let mut kept = match &programs.logs {
            Some(folder) => {
                let name = control.file_stem().unwrap_or_default().to_string_lossy().into_owned();
                Some(File::create(folder.join(format!("{name}-{}.log", child.id())))?)
            }
            None => None,
        };
        let log = Arc::new(Mutex::new(VecDeque::new()));
        let (own, from) = (log.clone(), child.stderr.take());
        let read = move || {
            for line in from.into_iter().flat_map(|from| BufReader::new(from).lines()).map_while(Result::ok) {
                // A log that can't be written is missing in part: the run goes on.
                kept.iter_mut().for_each(|file| _ = writeln!(file, "{line}"));
                let mut log: std::sync::MutexGuard<'_, VecDeque<String>> =
                    own.lock().unwrap_or_else(PoisonError::into_inner);
                if log.len() == KEPT_LINES {
                    log.pop_front();
                }
                log.push_back(line);
            }
        };
        let process = Process { child, log, ended: false };
        std::thread::Builder::new().name("log".into()).stack_size(256 << 10).spawn(read)?;
        Ok(process)
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal, unless it has ended.
    pub fn signal(&mut self, signal: Signal) {
        if !self.has_ended() {
            // An error means that it ended in this moment; it is waited for nowhere else, so the id is its own.
            _ = kill(Pid::from_raw(self.id() as i32), signal);
        }
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.ended = self.ended || !matches!(self.child.try_wait(), Ok(None));
        self.ended
    }

    /// Its last lines that hold one of these texts.
    pub fn lines_with(&self, texts: &[&str]) -> Vec<String> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().filter(|line| texts.iter().any(|text| line.contains(text))).cloned().collect()
    }

    /// Its last lines.
    pub fn last_lines(&self, count: usize) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let last: Vec<&str> = log.iter().rev().take(count).map(String::as_str).collect();
        last.into_iter().rev().collect::<Vec<_>>().join(" | ")
    }

    /// What it uses now.
    pub fn sample(&self, router: usize, incarnation: usize, at: Micros) -> Option<Sample> {
        let folder = PathBuf::from(format!("/proc/{}", self.id()));
        let count = |name: &str| std::fs::read_dir(folder.join(name)).ok().map(Iterator::count);
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        // Behind the name in brackets; user and system time are the 14th and 15th fields of all.
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<i64>().ok()? + fields.get(12)?.parse::<i64>().ok()?;
        Some(Sample {
            router,
            at,
            descriptors: count("fd")?,
            threads: count("task")?,
            resident_kb: resident.split_whitespace().next()?.parse().ok()?,
            cpu: ticks * 1_000_000 / TICKS_PER_SECOND,
            incarnation,
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// Sends a line to an admin address and returns the whole answer.
///
/// # Errors
/// The system's, or a time-out.
pub fn admin_call(address: SocketAddr, line: &str, timeout: Duration) -> io::Result<String> {
    let deadline = Instant::now() + timeout;
    let mut socket = TcpStream::connect_timeout(&address, timeout)?;
    socket.set_read_timeout(Some(timeout))?;
    socket.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    while Instant::now() < deadline {
        let mut bytes = [0; 8192];
        match socket.read(&mut bytes)? {
            0 => return Ok(answer),
            count => answer.push_str(&String::from_utf8_lossy(&bytes[..count])),
        }
    }
    Err(io::ErrorKind::TimedOut.into())
}

/// Whether a router answers the platform's empty query, as the platform's front asks it.
pub fn is_ready(address: SocketAddr, timeout: Duration) -> bool {
    let ask = || -> io::Result<bool> {
        let mut socket = TcpStream::connect_timeout(&address, timeout)?;
        socket.set_read_timeout(Some(timeout))?;
        socket.write_all(&crate::world::wire::startup())?;
        socket.write_all(&crate::world::wire::message(b'Q', b"\0"))?;
        let mut bytes = Vec::new();
        let mut part = [0; 1024];
        while !bytes.windows(5).any(|five| five == [b'I', 0, 0, 0, 4]) {
            match socket.read(&mut part)? {
                0 => return Ok(false),
                count => bytes.extend_from_slice(&part[..count]),
            }
        }
        Ok(true)
    };
    ask().unwrap_or(false)
}

/// Creates the control file of a process in a folder.
///
/// # Errors
/// The system's.
pub fn control_file(folder: &Path, name: &str) -> io::Result<(PathBuf, ControlFile)> {
    let path = folder.join(format!("{name}.faults"));
    let control = ControlFile::create(&path)?;
    Ok((path, control))
}
