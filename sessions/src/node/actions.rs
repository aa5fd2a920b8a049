//! Executes the state machine's actions.
use super::sessions::Sessions;
use super::state::{CommitOutcome, PendingRecord, State};
use crate::SessionKey;
use crate::frames::Frame;
use crate::machine::{Action, Event, Instance, Push};

impl Sessions {
    pub(super) fn handle(&self, event: Event) {
        self.handle_locked(&mut self.lock(), event);
    }

    pub(super) fn handle_locked(&self, state: &mut State, event: Event) {
        let mut actions = Vec::new();
        state.machine.handle(self.now(), event, &mut actions);
        self.execute_all(state, actions);
    }

    pub(super) fn execute_all(&self, state: &mut State, actions: Vec<Action>) {
        for action in actions {
            self.execute(state, action);
        }
    }

    fn execute(&self, state: &mut State, action: Action) {
        match action {
            Action::AppendCommit { seq, session, committed_at } => {
                self.append(state, PendingRecord::Commit { seq, session, committed_at });
            }
            Action::AppendFloor { floor } => self.append(state, PendingRecord::Floor(floor)),
            Action::SendPush { peer, push } => state.send_outbound(peer, Frame::Push(push)),
            Action::SendSnapshot { peer, seq } => self.send_snapshot(state, peer, seq),
            Action::Accept { peer, incarnation, last_seq } => {
                state.send_inbound(peer, Frame::Accepted { incarnation, last_seq });
            }
            Action::SendConfirmation { peer, seq } => state.send_inbound(peer, Frame::Confirmation { seq }),
            Action::RequestLease { peer, requested_at } => {
                state.send_inbound(peer, Frame::LeaseRequest { requested_at });
            }
            Action::Disconnect { peer } => disconnect(state, peer),
            Action::Acknowledge { ack } => state.complete_write(ack, CommitOutcome::Visible),
            Action::Fail { ack } => state.complete_write(ack, CommitOutcome::Uncertain),
            // `Sessions::accept` sends the rejection.
            Action::Reject { .. } => {}
            Action::AdoptIncarnation { incarnation } => {
                tracing::warn!(
                    incarnation,
                    "session peers know a higher incarnation, continuing with the next one"
                );
            }
            Action::Superseded { newest_incarnation } => self.log_superseded(newest_incarnation),
        }
    }

    fn log_superseded(&self, newest_incarnation: u64) {
        tracing::error!(
            instance = self.settings.instance,
            newest_incarnation,
            "instance started again elsewhere, requests of named sessions rejected here"
        );
    }

    /// Queues a record and wakes the journal thread. If a wake-up is already pending, it covers this record
    /// too.
    fn append(&self, state: &mut State, record: PendingRecord) {
        state.pending_records.push(record);
        _ = self.wake_journal.try_send(());
    }

    /// Sends all stored commits to a peer, in several frames.
    fn send_snapshot(&self, state: &State, peer: Instance, seq: u64) {
        let Some(connection) = state.outbound.get(&peer) else { return };
        let machine = &state.machine;
        let commits = machine.commits().iter();
        let mut entries: Vec<(SessionKey, i64)> =
            commits.map(|(session, committed_at)| (session, committed_at.0)).collect();
        // Oldest first, so that the peer's cache evicts in the same order as this one.
        entries.reverse();
        for part in entries.chunks(self.limits.max_sessions_per_frame) {
            connection.send(Frame::Push(Push::Snapshot { entries: part.to_vec() }));
        }
        let floor = machine.floor().filter(|_| !machine.floor_pending()).map(|floor| floor.0);
        connection.send(Frame::Push(Push::SnapshotComplete { seq, floor }));
    }
}

/// Closes the connection of a peer that violated the protocol.
fn disconnect(state: &State, peer: Instance) {
    if let Some(connection) = state.inbound.get(&peer) {
        tracing::error!(peer, "session peer violated the protocol, connection closed");
        connection.close();
    }
}
