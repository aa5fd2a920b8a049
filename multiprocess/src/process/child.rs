//! A child process that runs until it is signalled or dropped.
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

/// Buffer of the thread that reads a log; there are hundreds of them.
const LOG_READ_BUFFER_BYTES: usize = 1024;
/// Stack of the thread that reads a log.
const LOG_THREAD_STACK_BYTES: usize = 128 << 10;

/// A running process; it is killed when this is dropped.
pub struct Child {
    /// Its name in messages.
    pub name: String,
    process: std::process::Child,
    log: Arc<LogBuffer>,
}

impl Child {
    /// Starts the program with an empty environment; a thread reads its standard error as its log.
    ///
    /// # Errors
    /// [`ProcessError::Start`].
    pub fn start(program: &Path, name: &str, arguments: &[&str]) -> Result<Child, ProcessError> {
        let failed = ProcessError::start(program);
        let mut command = Command::new(program);
        command.args(arguments).env_clear().stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut process = command.spawn().map_err(&failed)?;
        let stderr = process.stderr.take();
        let log = Arc::<LogBuffer>::default();
        // Made before the thread is started: where there is none for it, dropping this ends the process.
        let child = Child { name: name.into(), process, log: log.clone() };
        if let Some(stderr) = stderr {
            read_log(stderr, log).map_err(&failed)?;
        }
        Ok(child)
    }

    /// Waits for a log line that contains `text`, and returns what follows it.
    ///
    /// # Errors
    /// [`ProcessError::LogLineMissing`] where the line is missing when the time is over or the process has ended.
    pub fn wait_for_log(&self, text: &str, timeout: Duration) -> Result<String, ProcessError> {
        self.log.wait_for(text, timeout).map_err(|last_lines| ProcessError::LogLineMissing {
            name: self.name.clone(),
            text: text.to_string(),
            timeout,
            last_lines,
        })
    }

    /// The last lines of its log, the oldest first.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.lines()
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Sends it a signal. Its id can't be another process's: it is waited for only when this is dropped.
    ///
    /// # Errors
    /// [`ProcessError::Signal`].
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let failed = |error| ProcessError::Signal { name: self.name.clone(), error };
        kill(Pid::from_raw(self.id() as i32), signal).map_err(failed)
    }

    /// Whether it has ended by itself. Its id may be another process's after that: it must not be signalled again.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }

    /// The resources that it uses now; `None` where the system does not say.
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

/// Starts the thread that reads a log to its end.
fn read_log(stderr: impl Read + Send + 'static, log: Arc<LogBuffer>) -> io::Result<()> {
    let read = move || {
        let lines = BufReader::with_capacity(LOG_READ_BUFFER_BYTES, stderr).lines();
        lines.map_while(Result::ok).for_each(|line| log.push(line));
        log.end();
    };
    std::thread::Builder::new().name("log".into()).stack_size(LOG_THREAD_STACK_BYTES).spawn(read)?;
    Ok(())
}
