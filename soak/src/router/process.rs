//! Router processes: starts them with the preloaded library, signals, samples and kills them.
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

/// The maximum number of log lines of a process that are retained in memory.
const MAX_LINES: usize = 60;
/// The unit of CPU times in `/proc/PID/stat` on Linux, in clock ticks per second.
const TICKS_PER_SECOND: i64 = 100;
/// The stack size of a thread that reads a log, in bytes.
const LOG_THREAD_STACK: usize = 256 << 10;
/// The file name of the preloaded library.
const LIBRARY_FILE: &str = "libfaults.so";
/// The index of the user time (field 14) among the fields of `/proc/PID/stat` that follow the process name in
/// parentheses.
const USER_TIME_FIELD: usize = 11;
/// The index of the system time (field 15), counted like [`USER_TIME_FIELD`].
const SYSTEM_TIME_FIELD: usize = 12;

/// The files that a run needs to start routers.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The path of the router program.
    pub router: PathBuf,
    /// The path of the preloaded library. Without it, clocks are not stepped and system calls do not fail.
    pub library: Option<PathBuf>,
    /// The folder for the complete logs of the processes, at level debug. `None` writes no log files.
    pub logs: Option<PathBuf>,
}

impl Programs {
    /// Uses the router at this path, and the library if it was built in the same folder or in its `deps`
    /// folder.
    pub fn for_router(router: &Path) -> Programs {
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

/// A router process, which is killed when this value is dropped.
pub struct Process {
    child: Child,
    log: RecentLines,
    ended: bool,
}

impl Process {
    /// Starts the router with these arguments and environment variables. The router does not inherit the
    /// environment of this process.
    ///
    /// # Errors
    /// The process, its log file or the thread that reads its log can't be created.
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
        // From here on, the child is killed if a later step fails.
        let process = Process { child, log: RecentLines::default(), ended: false };
        let file = create_log_file(programs, control, process.id())?;
        if let Some(stderr) = stderr {
            let recent = process.log.clone();
            let thread = std::thread::Builder::new().name("log".into()).stack_size(LOG_THREAD_STACK);
            thread.spawn(move || read_log(stderr, file, &recent))?;
        }
        Ok(process)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process, unless it has exited.
    pub fn signal(&mut self, signal: Signal) {
        if !self.has_ended() {
            // An error means that the process has just exited. The id can't belong to another process,
            // because only this type waits for the child.
            _ = kill(Pid::from_raw(self.id() as i32), signal);
        }
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.ended = self.ended || !matches!(self.child.try_wait(), Ok(None));
        self.ended
    }

    /// Returns the retained log lines that contain a text.
    pub fn lines_containing(&self, text: &str) -> Vec<String> {
        self.log.lock().iter().filter(|line| line.contains(text)).cloned().collect()
    }

    /// Returns the last log lines, joined by ` | `.
    pub fn last_lines(&self, count: usize) -> String {
        let log = self.log.lock();
        let first = log.len().saturating_sub(count);
        log.range(first..).map(String::as_str).collect::<Vec<&str>>().join(" | ")
    }

    /// Returns the current resource usage of the process; `None` if it can't be read because the process has
    /// exited.
    pub fn sample(&self, router: usize, incarnation: usize, at: Micros) -> Option<Sample> {
        let folder = PathBuf::from(format!("/proc/{}", self.id()));
        let resident_kb = read_resident_kb(&folder)?;
        let cpu = read_processor_time(&folder)?;
        // Descriptors are counted last: a newly forked child may still have the descriptors of this process,
        // which the kernel closes when the child executes the router.
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

/// Creates the file for the complete log of a process, if the run writes log files.
fn create_log_file(programs: &Programs, control: &Path, id: u32) -> io::Result<Option<File>> {
    let Some(folder) = &programs.logs else { return Ok(None) };
    let name = control.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    File::create(folder.join(format!("{name}-{id}.log"))).map(Some)
}

fn read_log(stderr: ChildStderr, mut file: Option<File>, recent: &RecentLines) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if let Some(file) = &mut file {
            // A failed write leaves the log file incomplete, but does not end the run.
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
