//! A router of either front: its control file, its current process and its recorded absence.
use super::process::{Process, Programs};
use crate::environment::clock::RunClock;
use crate::history::{Absence, AbsenceReason, Recorder, RouterFailure};
use crate::time::Micros;
use fault_control::ControlFile;
use nix::sys::signal::Signal;
use std::io;
use std::path::{Path, PathBuf};

/// The number of log lines recorded with a crash.
const MAX_CRASH_LINES: usize = 4;
/// The text by which a panic is found in the log.
const PANIC_TEXT: &str = "panicked";

/// A router with its current process.
pub struct RouterInstance {
    index: usize,
    control: ControlFile,
    control_path: PathBuf,
    process: Option<Process>,
    incarnation: usize,
    /// The index of the current absence in the history, while the router is absent.
    absence: Option<usize>,
    clock: RunClock,
    recorder: Recorder,
}

impl RouterInstance {
    /// Creates a router without a process. A control file without faults is created in the folder.
    ///
    /// # Errors
    /// The control file can't be created.
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

    /// Returns the control file of the router's faults.
    pub fn control(&self) -> &ControlFile {
        &self.control
    }

    /// Returns the router's current process.
    pub fn process(&self) -> Option<&Process> {
        self.process.as_ref()
    }

    /// Starts a process with these arguments and environment variables. The started process
    /// replaces the previous process.
    ///
    /// # Errors
    /// The process can't be started.
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

    /// Kills the current process and waits until it has exited.
    pub fn discard_process(&mut self) {
        self.process = None;
    }

    /// Whether the router has no process or its process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_none_or(Process::has_ended)
    }

    /// Sends a signal to the current process.
    pub fn signal(&mut self, signal: Signal) {
        if let Some(process) = &mut self.process {
            process.signal(signal);
        }
    }

    /// Whether the router is recorded as absent.
    pub fn is_absent(&self) -> bool {
        self.absence.is_some()
    }

    /// Records that the router is absent from now on, unless it already is.
    pub fn set_absent(&mut self, reason: AbsenceReason) {
        if self.is_absent() {
            return;
        }
        let mut history = self.recorder.lock();
        let from = self.clock.now();
        history.absences.push(Absence { router: self.index, reason, from, to: Micros::MAX });
        self.absence = Some(history.absences.len() - 1);
    }

    /// Records that the router serves again.
    pub fn set_present(&mut self) {
        if let Some(index) = self.absence.take() {
            self.recorder.lock().absences[index].to = self.clock.now();
        }
    }

    /// Records a crash of the current process, and the router's absence.
    pub fn record_crash(&mut self) {
        let detail = self.last_lines(MAX_CRASH_LINES);
        self.recorder.lock().crashes.push(RouterFailure { router: self.index, detail });
        self.set_absent(AbsenceReason::Killed);
    }

    /// Records each panic found in the log of the current process as a crash.
    pub fn record_panics(&self) {
        let lines = self.process().map(|process| process.lines_containing(PANIC_TEXT)).unwrap_or_default();
        let panics = lines.into_iter().map(|detail| RouterFailure { router: self.index, detail });
        self.recorder.lock().crashes.extend(panics);
    }

    /// Records that a process of the router did not start.
    pub fn record_failed_start(&self, detail: String) {
        self.recorder.lock().failed_starts.push(RouterFailure { router: self.index, detail });
    }

    /// Records the resource usage of the current process, with `at` as the time of the sample.
    pub fn record_sample(&self, at: Micros) {
        let sample = self.process().and_then(|process| process.sample(self.index, self.incarnation, at));
        self.recorder.lock().samples.extend(sample);
    }

    /// Returns the last lines of the current process's log.
    pub fn last_lines(&self, count: usize) -> String {
        self.process().map(|process| process.last_lines(count)).unwrap_or_default()
    }
}
