//! What a run of either front knows of one router: its faults, its process, its absence.
use super::process::{Process, Programs};
use crate::environment::clock::RunClock;
use crate::history::{Absence, AbsenceReason, Recorder, RouterFailure};
use crate::time::Micros;
use fault_control::ControlFile;
use nix::sys::signal::Signal;
use std::io;
use std::path::{Path, PathBuf};

/// Lines of a log that are shown with a crash.
const CRASH_LINES: usize = 4;
/// What a log line contains that reports a panic.
const PANIC_TEXT: &str = "panicked";

/// A router and the process that it has now.
pub struct RouterInstance {
    index: usize,
    control: ControlFile,
    control_path: PathBuf,
    process: Option<Process>,
    incarnation: usize,
    /// The index of its absence in the history, while it is absent.
    absence: Option<usize>,
    clock: RunClock,
    recorder: Recorder,
}

impl RouterInstance {
    /// A router without a process; its control file, without any fault, is created in this folder.
    ///
    /// # Errors
    /// The system's, where the file can't be created.
    pub fn create(
        index: usize,
        folder: &Path,
        name: &str,
        clock: &RunClock,
        recorder: &Recorder,
    ) -> io::Result<RouterInstance> {
        let control_path = folder.join(format!("{name}.faults"));
        let control = ControlFile::create(&control_path)?;
        Ok(RouterInstance {
            index,
            control,
            control_path,
            process: None,
            incarnation: 0,
            absence: None,
            clock: clock.clone(),
            recorder: recorder.clone(),
        })
    }

    /// The file that decides the faults of its processes.
    pub fn control(&self) -> &ControlFile {
        &self.control
    }

    /// Its process, where it has one.
    pub fn process(&self) -> Option<&Process> {
        self.process.as_ref()
    }

    /// Starts a process with these arguments and variables in place of the one before.
    ///
    /// # Errors
    /// The system's, where it can't be started.
    pub fn start(
        &mut self,
        programs: &Programs,
        arguments: &[&str],
        variables: &[(&str, &str)],
    ) -> io::Result<()> {
        self.process = Some(Process::start(programs, arguments, variables, &self.control_path)?);
        self.incarnation += 1;
        Ok(())
    }

    /// Kills its process, where it has one, and waits for its end.
    pub fn discard_process(&mut self) {
        self.process = None;
    }

    /// Whether it has no process, or one that has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_none_or(Process::has_ended)
    }

    /// Sends its process a signal.
    pub fn signal(&mut self, signal: Signal) {
        if let Some(process) = &mut self.process {
            process.signal(signal);
        }
    }

    /// Whether it is recorded as absent.
    pub fn is_absent(&self) -> bool {
        self.absence.is_some()
    }

    /// Records that it is absent from now on, unless it is already.
    pub fn set_absent(&mut self, reason: AbsenceReason) {
        if self.is_absent() {
            return;
        }
        let mut history = self.recorder.lock();
        let from = self.clock.now();
        history.absences.push(Absence { router: self.index, reason, from, to: Micros::MAX });
        self.absence = Some(history.absences.len() - 1);
    }

    /// Records that it serves again.
    pub fn set_present(&mut self) {
        if let Some(index) = self.absence.take() {
            self.recorder.lock().absences[index].to = self.clock.now();
        }
    }

    /// Records that its process ended by itself, and its absence.
    pub fn record_crash(&mut self) {
        let detail = self.last_lines(CRASH_LINES);
        self.recorder.lock().crashes.push(RouterFailure { router: self.index, detail });
        self.set_absent(AbsenceReason::Killed);
    }

    /// Records each panic in its process's log.
    pub fn record_panics(&self) {
        let lines = self.process().map(|process| process.lines_with(PANIC_TEXT)).unwrap_or_default();
        let panics = lines.into_iter().map(|detail| RouterFailure { router: self.index, detail });
        self.recorder.lock().crashes.extend(panics);
    }

    /// Records that a process did not start.
    pub fn record_failed_start(&self, detail: String) {
        self.recorder.lock().failed_starts.push(RouterFailure { router: self.index, detail });
    }

    /// Records what its process uses now; `at` is the time of the sample.
    pub fn record_sample(&self, at: Micros) {
        let sample = self.process().and_then(|process| process.sample(self.index, self.incarnation, at));
        self.recorder.lock().samples.extend(sample);
    }

    /// The last lines of its process's log.
    pub fn last_lines(&self, count: usize) -> String {
        self.process().map(|process| process.last_lines(count)).unwrap_or_default()
    }
}
