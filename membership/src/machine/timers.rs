//! The machine's timers that have not expired: what is due when.
use super::event::TimerToken;
use super::swim_core::CoreTimer;
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

/// What a timer is at when its time was set to pass.
pub(super) enum Expiry {
    /// It was dropped meanwhile.
    NotPending,
    /// It was delayed since it was set, and is due after this time.
    NotDue { after: Duration },
    /// It has expired.
    Expired(Task),
}

/// Timers that were set and have not expired, with the time at which each is due.
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

    /// Takes out a timer if it is due.
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

    /// Moves all that is pending by this time.
    pub(super) fn delay_all(&mut self, by: Duration) {
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
