//! The schedule of a run's faults: when each begins, ends and has its later effects.
use crate::fault::PlannedFault;
use crate::time::{MILLISECOND, Micros};

/// A step of the schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Step {
    /// A fault begins.
    Begin(PlannedFault),
    /// A fault ends.
    End(PlannedFault),
    /// A later effect of a fault.
    Effect(Effect, PlannedFault),
}

/// A later effect of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Effect {
    /// The server's new process is listed.
    ListStart,
    /// Another configuration is read.
    ReloadAgain {
        /// How many were read before.
        round: u8,
    },
    /// A replica takes over.
    ElectPrimary,
}

#[derive(Clone, Copy)]
struct ScheduledStep {
    at: Micros,
    step: Step,
}

/// The steps that are still to be taken, in the order of their times.
pub(super) struct Schedule {
    steps: Vec<ScheduledStep>,
}

impl Schedule {
    /// The beginnings and ends of faults, for a load that starts at this moment.
    pub(super) fn new(faults: &[PlannedFault], load_start: Micros) -> Schedule {
        let at = |ms: u64| load_start + ms as Micros * MILLISECOND;
        let mut schedule = Schedule { steps: Vec::new() };
        for fault in faults {
            schedule.add(at(fault.start_ms), Step::Begin(*fault));
            schedule.add(at(fault.start_ms + fault.duration_ms), Step::End(*fault));
        }
        schedule
    }

    /// Adds a step, behind others of the same time.
    pub(super) fn add(&mut self, at: Micros, step: Step) {
        self.steps.push(ScheduledStep { at, step });
        self.steps.sort_by_key(|scheduled| scheduled.at);
    }

    /// Whether no step is left.
    pub(super) fn is_over(&self) -> bool {
        self.steps.is_empty()
    }

    /// Removes the steps that are due and returns them in the order of their times.
    pub(super) fn take_due(&mut self, now: Micros) -> Vec<Step> {
        let count = self.steps.iter().take_while(|scheduled| scheduled.at <= now).count();
        self.steps.drain(..count).map(|scheduled| scheduled.step).collect()
    }
}
