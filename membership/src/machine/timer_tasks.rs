//! What the machine does when a timer expires, and after a time in which the process was stopped.
use super::timers::{Expiry, Task};
use super::{Action, Machine, Phase, TimerToken};
use std::time::Duration;

impl Machine {
    pub(super) fn schedule(&mut self, now: Duration, after: Duration, task: Task, actions: &mut Vec<Action>) {
        let token = self.timers.insert(now + after, task);
        actions.push(Action::SetTimer { after, token });
    }

    /// Runs the task of a timer, unless it was dropped meanwhile. One that expires more than a probe interval late shows
    /// that the process stood still.
    pub(super) fn handle_timer(&mut self, now: Duration, token: TimerToken, actions: &mut Vec<Action>) {
        let Some(due) = self.timers.due(token) else { return };
        let late = now.saturating_sub(due);
        if late > self.settings.probe_interval {
            self.make_up_for_stall(late, actions);
        }
        match self.timers.expire(now, token) {
            Expiry::NotPending => {}
            // Delayed by a stall since it was set.
            Expiry::NotDue { after } => actions.push(Action::SetTimer { after, token }),
            Expiry::Expired(task) => self.run_task(now, task, actions),
        }
    }

    /// The process was stopped, or the host had no time for it. Answers may lie unread in the socket: nobody is to be
    /// declared down by the time that passed here alone.
    fn make_up_for_stall(&mut self, late: Duration, actions: &mut Vec<Action>) {
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
                // A request that was not answered by now goes to another member, from the same name on.
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
