//! A child process that runs until it exits, is signalled or is dropped.
use super::error::ProcessError;
use super::log_buffer::LogBuffer;
use super::resource_usage::ResourceUsage;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

/// Size of a log reader's buffer; small, because a run has hundreds of log readers.
const LOG_READ_BUFFER_BYTES: usize = 1024;
/// Stack size of a log reader's thread; small, because a run has hundreds of log readers.
const LOG_THREAD_STACK_BYTES: usize = 128 << 10;

/// A child process; it is killed when this value is dropped.
pub struct Child {
    /// Name of the process in error messages.
    pub name: String,
    process: std::process::Child,
    log: Arc<LogBuffer>,
}

impl Child {
    /// Starts the program with an empty environment. A thread reads its standard error, which is its log.
    ///
    /// # Errors
    /// Returns [`ProcessError::Start`] if the program or the log reader's thread can't be started.
    pub fn start(program: &Path, name: &str, arguments: &[&str]) -> Result<Child, ProcessError> {
        let failed = ProcessError::start(program);
        let mut command = Command::new(program);
        command.args(arguments).env_clear().stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut process = command.spawn().map_err(&failed)?;
        let stderr = process.stderr.take();
        let log = Arc::<LogBuffer>::default();
        // If the log thread can't be started, the drop of this `Child` kills the process.
        let child = Child { name: name.into(), process, log: log.clone() };
        if let Some(stderr) = stderr {
            read_log(stderr, log).map_err(&failed)?;
        }
        Ok(child)
    }

    /// Waits for a log line that contains `text`, and returns the rest of the line after `text`.
    ///
    /// # Errors
    /// Returns [`ProcessError::LogLineMissing`] if the wait times out or the process ends before it writes
    /// the line.
    pub fn wait_for_log(&self, text: &str, timeout: Duration) -> Result<String, ProcessError> {
        self.log.wait_for(text, timeout).map_err(|last_lines| ProcessError::LogLineMissing {
            name: self.name.clone(),
            text: text.to_string(),
            timeout,
            last_lines,
        })
    }

    /// Returns the retained log lines, oldest first.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.lines()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Sends a signal to the process. The id can't have been reused: the process is not reaped before this
    /// value is dropped, unless [`has_ended`](Child::has_ended) has returned true.
    ///
    /// # Errors
    /// Returns [`ProcessError::Signal`] if the system rejects the signal.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let failed = |error| ProcessError::Signal { name: self.name.clone(), error };
        kill(Pid::from_raw(self.id() as i32), signal).map_err(failed)
    }

    /// Whether the process has exited. If so, it has been reaped, its id may be reused, and it must not be
    /// signalled.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }

    /// Returns the current resource usage; `None` if `/proc` does not report it.
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        ResourceUsage::of_process(self.id())
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        _ = self.process.kill();
        _ = self.process.wait();
    }
}

/// Starts a thread that reads the log until end of file.
fn read_log(stderr: impl Read + Send + 'static, log: Arc<LogBuffer>) -> io::Result<()> {
    let read = move || {
        let lines = BufReader::with_capacity(LOG_READ_BUFFER_BYTES, stderr).lines();
        lines.map_while(Result::ok).for_each(|line| log.push(line));
        log.end();
    };
    std::thread::Builder::new().name("log".into()).stack_size(LOG_THREAD_STACK_BYTES).spawn(read)?;
    Ok(())
}
