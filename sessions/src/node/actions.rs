//! Carries out what the state machine decides.
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
        self.carry_out_all(state, actions);
    }

    pub(super) fn carry_out_all(&self, state: &mut State, actions: Vec<Action>) {
        for action in actions {
            self.carry_out(state, action);
        }
    }

    fn carry_out(&self, state: &mut State, action: Action) {
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
            Action::Acknowledge { ack } => state.answer_write(ack, CommitOutcome::Covered),
            Action::Fail { ack } => state.answer_write(ack, CommitOutcome::Uncertain),
            // Answered where the connection is accepted.
            Action::Reject { .. } => {}
            Action::AdoptIncarnation { incarnation } => {
                tracing::warn!(incarnation, "later start known to session peers, its number exceeded");
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

    /// Queues a record for the journal's thread and wakes it; one wake is enough for many records.
    fn append(&self, state: &mut State, record: PendingRecord) {
        state.pending_records.push(record);
        _ = self.wake_journal.try_send(());
    }

    /// Sends everything that is held, in parts.
    fn send_snapshot(&self, state: &State, peer: Instance, seq: u64) {
        let Some(connection) = state.outbound.get(&peer) else { return };
        let machine = &state.machine;
        let commits = machine.commits().iter();
        let mut entries: Vec<(SessionKey, i64)> =
            commits.map(|(session, committed_at)| (session, committed_at.0)).collect();
        // Oldest first: the peer's oldest generations are to be ours.
        entries.reverse();
        for part in entries.chunks(self.limits.max_sessions_per_frame) {
            connection.send(Frame::Push(Push::Snapshot { entries: part.to_vec() }));
        }
        let floor = machine.floor().filter(|_| !machine.floor_pending()).map(|floor| floor.0);
        connection.send(Frame::Push(Push::SnapshotComplete { seq, floor }));
    }
}

/// Ends the connection of a peer that broke the protocol.
fn disconnect(state: &State, peer: Instance) {
    if let Some(connection) = state.inbound.get(&peer) {
        tracing::error!(peer, "protocol broken by session peer, it has to connect again");
        connection.close();
    }
}
