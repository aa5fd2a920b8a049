//! The schedule of a run's faults: their starts, their ends and their delayed effects.
use crate::fault::PlannedFault;
use crate::time::{MILLISECOND, Micros};

/// A step of the schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Step {
    /// Starts a planned fault.
    Begin(PlannedFault),
    /// Ends a planned fault.
    End(PlannedFault),
    /// Applies a delayed effect of a fault.
    DelayedEffect(DelayedEffect, PlannedFault),
}

/// A delayed effect of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum DelayedEffect {
    /// The endpoint list shows the start time of the server's new process.
    ListStart,
    /// The router receives SIGHUP for another configuration.
    ReloadAgain {
        /// The number of earlier reloads of this fault.
        reload_round: u8,
    },
    /// A replica of the hanging server's group becomes primary.
    ElectPrimary,
}

#[derive(Clone, Copy)]
struct ScheduledStep {
    at: Micros,
    step: Step,
}

/// The remaining steps, ordered by time.
pub(super) struct Schedule {
    steps: Vec<ScheduledStep>,
}

impl Schedule {
    /// Creates the schedule of the faults' starts and ends for a load that starts at this time.
    pub(super) fn new(faults: &[PlannedFault], load_start: Micros) -> Schedule {
        let at = |ms: u64| load_start + ms as Micros * MILLISECOND;
        let mut schedule = Schedule { steps: Vec::new() };
        for fault in faults {
            schedule.add(at(fault.start_ms), Step::Begin(*fault));
            schedule.add(at(fault.start_ms + fault.duration_ms), Step::End(*fault));
        }
        schedule
    }

    /// Adds a step after those that have the same time.
    pub(super) fn add(&mut self, at: Micros, step: Step) {
        self.steps.push(ScheduledStep { at, step });
        self.steps.sort_by_key(|scheduled| scheduled.at);
    }

    /// Whether no step is left.
    pub(super) fn is_finished(&self) -> bool {
        self.steps.is_empty()
    }

    /// Removes and returns the steps that are due, ordered by time.
    pub(super) fn take_due(&mut self, now: Micros) -> Vec<Step> {
        let count = self.steps.iter().take_while(|scheduled| scheduled.at <= now).count();
        self.steps.drain(..count).map(|scheduled| scheduled.step).collect()
    }
}
