//! Router processes: started with the preloaded library, signalled, sampled and ended by their id.
use crate::history::Sample;
use crate::time::{Micros, SECOND};
use fault_control::CONTROL_VARIABLE;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Lines of a process's log that stay in memory.
const MAX_LINES: usize = 60;
/// Kernel ticks of processor time in a second, as Linux gives them.
const TICKS_PER_SECOND: i64 = 100;
/// Stack of a thread that reads a log.
const LOG_THREAD_STACK: usize = 256 << 10;
/// The name of the preloaded library's file.
const LIBRARY_FILE: &str = "libfaults.so";
/// Fields of `/proc/PID/stat` behind the name in brackets: user and system time, the 14th and 15th of all.
const USER_TIME_FIELD: usize = 11;
/// See [`USER_TIME_FIELD`].
const SYSTEM_TIME_FIELD: usize = 12;

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
        let candidates = [folder.join(LIBRARY_FILE), folder.join("deps").join(LIBRARY_FILE)];
        let library = candidates.into_iter().find(|path| path.exists());
        Programs { router: router.to_path_buf(), library, logs: None }
    }
}

/// The last lines of a process's log, shared with the thread that reads it.
#[derive(Clone, Default)]
struct RecentLines(Arc<Mutex<VecDeque<String>>>);

impl RecentLines {
    fn lock(&self) -> MutexGuard<'_, VecDeque<String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: String) {
        let mut lines = self.lock();
        if lines.len() == MAX_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }
}

/// One process of a router; it is killed when this is dropped.
pub struct Process {
    child: Child,
    log: RecentLines,
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
        let stderr = child.stderr.take();
        // From here on the child is killed whatever fails.
        let process = Process { child, log: RecentLines::default(), ended: false };
        let file = create_log_file(programs, control, process.id())?;
        if let Some(stderr) = stderr {
            let recent = process.log.clone();
            let thread = std::thread::Builder::new().name("log".into()).stack_size(LOG_THREAD_STACK);
            thread.spawn(move || read_log(stderr, file, &recent))?;
        }
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

    /// Its last lines that contain a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        self.log.lock().iter().filter(|line| line.contains(text)).cloned().collect()
    }

    /// Its last lines.
    pub fn last_lines(&self, count: usize) -> String {
        let log = self.log.lock();
        let first = log.len().saturating_sub(count);
        log.range(first..).map(String::as_str).collect::<Vec<&str>>().join(" | ")
    }

    /// What it uses now; `None` where it has ended.
    pub fn sample(&self, router: usize, incarnation: usize, at: Micros) -> Option<Sample> {
        let folder = PathBuf::from(format!("/proc/{}", self.id()));
        let resident_kb = read_resident_kb(&folder)?;
        let cpu = read_processor_time(&folder)?;
        // Counted last: a process that was started an instant ago may still have this process's descriptors, which the
        // system closes while it executes the router.
        let descriptors = count_entries(&folder.join("fd"))?;
        let threads = count_entries(&folder.join("task"))?;
        Some(Sample { router, at, descriptors, threads, resident_kb, cpu, incarnation })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// Creates the file for a process's whole log, where the run writes them.
fn create_log_file(programs: &Programs, control: &Path, id: u32) -> io::Result<Option<File>> {
    let Some(folder) = &programs.logs else { return Ok(None) };
    let name = control.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    File::create(folder.join(format!("{name}-{id}.log"))).map(Some)
}

fn read_log(stderr: ChildStderr, mut file: Option<File>, recent: &RecentLines) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if let Some(file) = &mut file {
            // A log that can't be written is missing in part: the run goes on.
            _ = writeln!(file, "{line}");
        }
        recent.push(line);
    }
}

fn count_entries(folder: &Path) -> Option<usize> {
    std::fs::read_dir(folder).ok().map(Iterator::count)
}

fn read_resident_kb(folder: &Path) -> Option<usize> {
    let status = std::fs::read_to_string(folder.join("status")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    resident.split_whitespace().next()?.parse().ok()
}

fn read_processor_time(folder: &Path) -> Option<Micros> {
    let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<i64>().ok();
    Some((ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) * SECOND / TICKS_PER_SECOND)
}
