//! The last lines of a process's log, with a way to wait for a line.
use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How many lines of each process's log are retained.
const MAX_LINES: usize = 200;
/// How many lines an error quotes.
const QUOTED_LINES: usize = 5;

#[derive(Default)]
struct Log {
    lines: VecDeque<String>,
    ended: bool,
}

/// The last lines of a log, written by the thread that reads it and read by any other.
#[derive(Default)]
pub(super) struct LogBuffer {
    log: Mutex<Log>,
    changed: Condvar,
}

impl LogBuffer {
    fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a line; the oldest one goes where there are too many.
    pub(super) fn push(&self, line: String) {
        let mut log = self.log();
        if log.lines.len() == MAX_LINES {
            log.lines.pop_front();
        }
        log.lines.push_back(line);
        self.changed.notify_all();
    }

    /// Marks the log as complete: no line follows.
    pub(super) fn end(&self) {
        self.log().ended = true;
        self.changed.notify_all();
    }

    /// Waits for a line that contains `text` and returns what follows it, trimmed. `Err` has the last lines where the
    /// line is missing at the timeout or at the log's end.
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

    /// The retained lines, the oldest first.
    pub(super) fn lines(&self) -> Vec<String> {
        self.log().lines.iter().cloned().collect()
    }
}
