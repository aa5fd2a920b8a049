//! The interface for fronts: which commit time a read must reflect, and whether a served write may be
//! acknowledged.
use super::sessions::Sessions;
use super::state::CommitOutcome;
use crate::SessionKey;
use crate::machine::{Event, NotServing};
use crossbeam_channel::bounded;
use decision::Time;

/// The session of a read or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionRef {
    /// A session that the client names. It may continue at another instance or after a restart.
    Named(SessionKey),
    /// The session of a single connection of this process.
    Connection(SessionKey),
}

impl Sessions {
    /// Returns the commit time that a read must reflect.
    ///
    /// # Errors
    /// If requests of named sessions are not served here; the error has the reason.
    pub fn required_position(&self, session: SessionRef) -> Result<Option<Time>, NotServing> {
        let now = self.now();
        let mut state = self.lock();
        match session {
            SessionRef::Connection(key) => Ok(state.machine.required_position_of_connection(key)),
            SessionRef::Named(key) => {
                if let Some(reason) = state.machine.not_serving() {
                    return Err(reason);
                }
                state.reads += 1;
                if state.machine.floor_pending() || !state.machine.peers_up_to_date(now.at) {
                    state.full_freshness_reads += 1;
                }
                Ok(state.machine.required_position(key, now))
            }
        }
    }

    /// Checks that requests of this session are served here.
    ///
    /// # Errors
    /// If requests of named sessions are not served here; the error has the reason.
    pub fn check_serving(&self, session: SessionRef) -> Result<(), NotServing> {
        match session {
            SessionRef::Connection(_) => Ok(()),
            SessionRef::Named(_) => self.lock().machine.not_serving().map_or(Ok(()), Err),
        }
    }

    /// Records a served write and waits, at most until `deadline`, until all later reads of its session
    /// reflect it, at whichever instance they are received.
    pub fn record_commit(&self, session: SessionRef, committed_at: Time, deadline: Time) -> CommitOutcome {
        match session {
            SessionRef::Connection(session) => {
                self.handle(Event::ConnectionCommit { session, committed_at });
                CommitOutcome::Visible
            }
            SessionRef::Named(session) => self.record_named_commit(session, committed_at, deadline),
        }
    }

    fn record_named_commit(&self, session: SessionKey, committed_at: Time, deadline: Time) -> CommitOutcome {
        let (writer, outcome) = bounded(1);
        let ack = {
            let mut state = self.lock();
            state.last_ack += 1;
            let ack = state.last_ack;
            state.writers.insert(ack, writer);
            self.handle_locked(&mut state, Event::Commit { ack, session, committed_at });
            ack
        };
        let received = outcome.recv_deadline(self.clock.instant_at(deadline));
        if received.is_err() {
            self.lock().writers.remove(&ack);
        }
        received.unwrap_or(CommitOutcome::Uncertain)
    }
}
