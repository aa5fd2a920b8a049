//! Carries out what the state machine decides.
use super::{Append, Sessions, State};
use crate::Key;
use crate::frames::Frame;
use crate::machine::{Action, Event, Instance, PendingAck, Push};

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
            Action::Append(seq, key, at) => self.append(state, Append::Commit(seq, key, at)),
            Action::AppendFloor(at) => self.append(state, Append::Floor(at)),
            Action::Push(peer, push) => state.send_outbound(peer, Frame::Push(push)),
            Action::PushAll(peer, seq) => self.push_all(state, peer, seq),
            Action::Welcome(peer, incarnation, holds) => {
                state.send_inbound(peer, Frame::Welcome { incarnation, holds });
            }
            Action::Confirm(peer, seq) => state.send_inbound(peer, Frame::Confirm(seq)),
            Action::Ask(peer, at) => state.send_inbound(peer, Frame::Ask(at)),
            Action::Drop(peer) => {
                if let Some(connection) = state.inbound.get(&peer) {
                    tracing::error!("sessions: peer {peer} broke the protocol; it has to connect again");
                    connection.close();
                }
            }
            Action::Release(ack) => state.answer_write(ack, true),
            Action::Fail(ack) => state.answer_write(ack, false),
            // Answered where the connection is accepted.
            Action::Refuse(..) => {}
            Action::Reincarnate(incarnation) => {
                tracing::warn!(
                    "sessions: peers know a later start than this one's clock says: now incarnation {incarnation}"
                );
            }
            Action::Superseded(newest) => {
                tracing::error!(
                    "sessions: instance {} was started again elsewhere (incarnation {newest}): requests of named \
                     sessions are refused here",
                    self.settings.instance
                );
            }
        }
    }

    /// Queues a record for the journal's thread and wakes it; one wake is enough for many records.
    fn append(&self, state: &mut State, append: Append) {
        state.appends.push(append);
        _ = self.wake_journal.try_send(());
    }

    /// Sends everything that is held, in parts.
    fn push_all(&self, state: &State, peer: Instance, seq: u64) {
        let Some(connection) = state.outbound.get(&peer) else { return };
        let machine = &state.machine;
        let mut entries: Vec<(Key, i64)> = machine.kept().iter().map(|(key, at)| (key, at.0)).collect();
        // Oldest first: the peer's oldest generations are to be ours.
        entries.reverse();
        for part in entries.chunks(self.limits.max_sessions_per_frame) {
            connection.send(Frame::Push(Push::All { entries: part.to_vec() }));
        }
        let floor = machine.floor().filter(|_| !machine.floor_due()).map(|at| at.0);
        connection.send(Frame::Push(Push::Whole { seq, floor }));
    }
}

impl State {
    /// Sends to a peer that receives our commits; what can't be sent is sent after the next connection.
    fn send_outbound(&self, peer: Instance, frame: Frame) {
        if let Some(connection) = self.outbound.get(&peer) {
            connection.send(frame);
        }
    }

    /// Sends to a peer that brings its commits.
    fn send_inbound(&self, peer: Instance, frame: Frame) {
        if let Some(connection) = self.inbound.get(&peer) {
            connection.send(frame);
        }
    }

    /// A writer that has stopped waiting needs no answer.
    fn answer_write(&mut self, ack: PendingAck, may_acknowledge: bool) {
        if let Some(writer) = self.writers.remove(&ack) {
            _ = writer.try_send(may_acknowledge);
        }
    }
}
