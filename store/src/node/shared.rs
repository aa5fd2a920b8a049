//! State that the actor shares with the handles.
use super::responses::KnownLeader;
use crate::change_log::ChangeLog;
use crate::machine::StateMachine;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

pub(super) struct Shared {
    machine: Mutex<StateMachine>,
    change_log: Mutex<ChangeLog>,
    /// Wakes the threads that wait until changes are appended to the change log, or until it is reset.
    pub(super) changed: Condvar,
    /// The leader's id, or [`raft::INVALID_ID`] if none is known.
    leader: AtomicU64,
    term: AtomicU64,
}

impl Shared {
    pub(super) fn new(machine: StateMachine, change_log: ChangeLog) -> Shared {
        Shared {
            machine: Mutex::new(machine),
            change_log: Mutex::new(change_log),
            changed: Condvar::new(),
            leader: AtomicU64::new(raft::INVALID_ID),
            term: AtomicU64::new(0),
        }
    }

    pub(super) fn machine(&self) -> MutexGuard<'_, StateMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn change_log(&self) -> MutexGuard<'_, ChangeLog> {
        self.change_log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn known_leader(&self) -> KnownLeader {
        KnownLeader::new(self.leader.load(Ordering::Relaxed), self.term.load(Ordering::Relaxed))
    }

    /// Publishes the leader and the term. Returns the previously published leader.
    pub(super) fn set_leader(&self, leader: u64, term: u64) -> u64 {
        let previous = self.leader.swap(leader, Ordering::Relaxed);
        self.term.store(term, Ordering::Relaxed);
        previous
    }

    /// Clears the published leader when the node stops or cannot store its log.
    pub(super) fn clear_leader(&self) {
        self.leader.store(raft::INVALID_ID, Ordering::Relaxed);
    }
}
