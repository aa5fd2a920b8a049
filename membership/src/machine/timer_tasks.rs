//! Runs the tasks of expired timers, and compensates for times in which the process was stopped.
use super::timers::{Expiry, Task};
use super::{Action, Machine, Phase, TimerToken};
use std::time::Duration;

impl Machine {
    pub(super) fn schedule(&mut self, now: Duration, after: Duration, task: Task, actions: &mut Vec<Action>) {
        let token = self.timers.insert(now + after, task);
        actions.push(Action::SetTimer { after, token });
    }

    /// Runs the task of an expired timer, unless the timer was removed. If it expires more than a probe
    /// interval late, the process was stopped.
    pub(super) fn handle_timer(&mut self, now: Duration, token: TimerToken, actions: &mut Vec<Action>) {
        let Some(due) = self.timers.due(token) else { return };
        let late = now.saturating_sub(due);
        if late > self.settings.probe_interval {
            self.compensate_stall(late, actions);
        }
        match self.timers.expire(now, token) {
            Expiry::NotPending => {}
            // The timer was delayed because of a stall.
            Expiry::NotDue { after } => actions.push(Action::SetTimer { after, token }),
            Expiry::Expired(task) => self.run_task(now, task, actions),
        }
    }

    /// Compensates for a time in which the process was stopped or got no CPU time. Unread responses may be in
    /// the socket, so no member may be declared down because of that time.
    fn compensate_stall(&mut self, late: Duration, actions: &mut Vec<Action>) {
        self.counters.stalls += 1;
        self.timers.delay_all(late);
        self.last_received += late;
        self.read_full_list(actions);
    }

    fn run_task(&mut self, now: Duration, task: Task, actions: &mut Vec<Action>) {
        match task {
            Task::Core(timer) => self.run_core_timer(now, timer, actions),
            Task::ContactSeeds => {
                let after = self.contact_seeds(actions);
                self.schedule(now, after, Task::ContactSeeds, actions);
            }
            Task::SyncList => {
                // If the last request got no response, the page is requested from another member, starting
                // after the same name.
                self.request_page(actions);
                self.schedule(now, self.settings.list_sync_interval, Task::SyncList, actions);
            }
            Task::ForgetDown => {
                self.forget_down_members(now, actions);
                self.schedule(now, self.forget_down_interval(), Task::ForgetDown, actions);
            }
            Task::RepeatLeave => self.repeat_leave(now, actions),
        }
    }

    fn repeat_leave(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Phase::Leaving { repeats_left } = self.phase else { return };
        self.run_core(now, actions, |core, output| core.gossip(output));
        if repeats_left == 0 {
            self.end(Action::Left, actions);
        } else {
            self.phase = Phase::Leaving { repeats_left: repeats_left - 1 };
            self.schedule(now, self.leave_repeat_interval(), Task::RepeatLeave, actions);
        }
    }
}
