//! The machine's timers: what is due when, and what a stopped process does to them.
use super::swim_core::CoreTimer;
use super::{Action, Machine, Phase, TimerToken};
use std::collections::BTreeMap;
use std::time::Duration;

/// What a timer is for.
pub(super) enum Task {
    /// One of the core's own timers.
    Core(CoreTimer),
    /// Ask seeds to join.
    ContactSeeds,
    /// Request a page of another member's list.
    SyncList,
    /// Forget members that have been down for long.
    ForgetDown,
    /// Repeat the announcement that this router leaves.
    RepeatLeave,
}

/// Timers that were set and have not expired, with the time at which each is due.
#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeMap<TimerToken, (Duration, Task)>,
    next_token: u64,
}

impl Timers {
    fn insert(&mut self, due: Duration, task: Task) -> TimerToken {
        let token = TimerToken(self.next_token);
        self.next_token += 1;
        self.pending.insert(token, (due, task));
        token
    }

    /// Moves all that is pending by this time.
    fn delay_all(&mut self, by: Duration) {
        self.pending.values_mut().for_each(|(due, _)| *due += by);
    }

    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Drops the core's timers: a core that connects again ignores those that it set before.
    pub(super) fn clear_core(&mut self) {
        self.pending.retain(|_, (_, task)| !matches!(task, Task::Core(_)));
    }
}

impl Machine {
    pub(super) fn schedule(&mut self, now: Duration, after: Duration, task: Task, actions: &mut Vec<Action>) {
        let token = self.timers.insert(now + after, task);
        actions.push(Action::SetTimer { after, token });
    }

    /// Runs the task of a timer, unless it was dropped meanwhile. One that expires more than a probe interval late shows
    /// that the process stood still.
    pub(super) fn handle_timer(&mut self, now: Duration, token: TimerToken, actions: &mut Vec<Action>) {
        let Some((due, _)) = self.timers.pending.get(&token) else { return };
        let late = now.saturating_sub(*due);
        if late > self.settings.probe_interval {
            self.make_up_for_stall(late, actions);
        }
        match self.timers.pending.remove(&token) {
            None => {}
            Some((due, task)) if due > now => {
                // Delayed by a stall since it was set.
                self.timers.pending.insert(token, (due, task));
                actions.push(Action::SetTimer { after: due - now, token });
            }
            Some((_, task)) => self.run_task(now, task, actions),
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
