//! A bounded buffer of a process's last log lines, with a blocking wait for a line.
use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of log lines that are retained for each process.
const MAX_LINES: usize = 200;
/// Number of log lines that an error message quotes.
const QUOTED_LINES: usize = 5;

#[derive(Default)]
struct Log {
    lines: VecDeque<String>,
    ended: bool,
}

/// The last lines of a log. The log reader's thread writes to the buffer, and any thread may read it.
#[derive(Default)]
pub(super) struct LogBuffer {
    log: Mutex<Log>,
    changed: Condvar,
}

impl LogBuffer {
    fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a line; removes the oldest line if the buffer is full.
    pub(super) fn push(&self, line: String) {
        let mut log = self.log();
        if log.lines.len() == MAX_LINES {
            log.lines.pop_front();
        }
        log.lines.push_back(line);
        self.changed.notify_all();
    }

    /// Marks the log as complete: no more lines follow.
    pub(super) fn end(&self) {
        self.log().ended = true;
        self.changed.notify_all();
    }

    /// Waits for a line that contains `text`, and returns the trimmed rest of the line after `text`. If the
    /// wait times out or the log ends first, `Err` contains the last lines of the log.
    pub(super) fn wait_for(&self, text: &str, timeout: Duration) -> Result<String, String> {
        let deadline = Instant::now() + timeout;
        let mut log = self.log();
        loop {
            if let Some((_, after)) = log.lines.iter().find_map(|line| line.split_once(text)) {
                return Ok(after.trim().to_string());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if log.ended || left.is_zero() {
                let last: Vec<String> = log.lines.iter().rev().take(QUOTED_LINES).cloned().collect();
                return Err(last.join(" | "));
            }
            log = self.changed.wait_timeout(log, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Returns the retained lines, oldest first.
    pub(super) fn lines(&self) -> Vec<String> {
        self.log().lines.iter().cloned().collect()
    }
}
