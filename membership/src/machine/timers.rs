//! The machine's pending timers.
use super::event::TimerToken;
use super::swim_core::CoreTimer;
use std::collections::BTreeMap;
use std::time::Duration;

/// The task that a timer runs.
pub(super) enum Task {
    /// A timer that the SWIM core has set.
    Core(CoreTimer),
    /// Send join requests to seeds.
    ContactSeeds,
    /// Request a page of another member's list.
    SyncList,
    /// Forget members that have been down for at least `forget_down_after`.
    ForgetDown,
    /// Repeat the announcement that this router leaves.
    RepeatLeave,
}

/// The result of [`Timers::expire`].
pub(super) enum Expiry {
    /// The timer was removed.
    NotPending,
    /// The timer was delayed, and is due after this time.
    NotDue { after: Duration },
    /// The timer has expired.
    Expired(Task),
}

/// The pending timers and the time at which each is due.
#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeMap<TimerToken, (Duration, Task)>,
    next_token: u64,
}

impl Timers {
    /// Adds a timer that is due at this time.
    pub(super) fn insert(&mut self, due: Duration, task: Task) -> TimerToken {
        let token = TimerToken(self.next_token);
        self.next_token += 1;
        self.pending.insert(token, (due, task));
        token
    }

    /// When a pending timer is due; `None` if it is not pending.
    pub(super) fn due(&self, token: TimerToken) -> Option<Duration> {
        self.pending.get(&token).map(|(due, _)| *due)
    }

    /// Removes a timer if it is due.
    pub(super) fn expire(&mut self, now: Duration, token: TimerToken) -> Expiry {
        match self.pending.remove(&token) {
            None => Expiry::NotPending,
            Some((due, task)) if due > now => {
                self.pending.insert(token, (due, task));
                Expiry::NotDue { after: due - now }
            }
            Some((_, task)) => Expiry::Expired(task),
        }
    }

    /// Delays all pending timers by this time.
    pub(super) fn delay_all(&mut self, by: Duration) {
        self.pending.values_mut().for_each(|(due, _)| *due += by);
    }

    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Removes the core's timers, because a core that becomes active again ignores those that it set before.
    pub(super) fn clear_core(&mut self) {
        self.pending.retain(|_, (_, task)| !matches!(task, Task::Core(_)));
    }
}
