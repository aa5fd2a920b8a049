//! Served writes: from the commit until the write may be acknowledged, and the floor that covers unknown commits.
use super::event::{Action, Now, PendingAck};
use super::message::Push;
use super::state::Machine;
use crate::SessionKey;
use decision::Time;

impl Machine {
    pub(super) fn handle_commit(
        &mut self,
        ack: PendingAck,
        session: SessionKey,
        committed_at: Time,
        actions: &mut Vec<Action>,
    ) {
        self.commits.insert(session, committed_at);
        self.last_seq += 1;
        let (seq, entry) = (self.last_seq, (session, committed_at.0));
        self.recent_commits.push_back(entry);
        if self.recent_commits.len() > self.settings.max_buffered_commits {
            self.recent_commits.pop_front();
        }
        if self.durable {
            actions.push(Action::AppendCommit { seq, session, committed_at });
        }
        self.push_to_receivers(&Push::Commits { first: seq, entries: vec![entry] }, actions);
        self.pending_acks.insert(seq, ack);
    }

    fn push_to_receivers(&self, push: &Push, actions: &mut Vec<Action>) {
        let receivers = self.peers.iter().filter(|(_, peer)| peer.receives);
        let send = |instance: &u64| Action::SendPush { peer: *instance, push: push.clone() };
        actions.extend(receivers.map(|(instance, _)| send(instance)));
    }

    /// Releases writes that disk and peers hold: every peer that relies on us, or may do so for all we know.
    pub(super) fn release_writes(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.superseded_by.is_some() || self.journal_stuck {
            // Peers rely on the newer start, or a later start on the file: what is acknowledged here might be missed
            // there.
            let failed = std::mem::take(&mut self.pending_acks).into_values();
            actions.extend(failed.map(|ack| Action::Fail { ack }));
            return;
        }
        if self.unlisted_lease_until > now {
            return;
        }
        let held_here = if self.durable { self.synced_seq } else { self.last_seq };
        let lease_holders = self.peers.values().filter(|peer| peer.lease_granted_until > now);
        let held_by_all = lease_holders.map(|peer| peer.confirmed_seq).fold(held_here, u64::min);
        while let Some(first) = self.pending_acks.first_entry().filter(|entry| *entry.key() <= held_by_all) {
            actions.push(Action::Acknowledge { ack: first.remove() });
        }
    }

    /// Everything committed by now must be seen: there are commits that are not known one by one.
    pub(super) fn raise_floor(&mut self, now: Now, actions: &mut Vec<Action>) {
        let Some(present) = now.present else {
            self.floor_pending = true;
            return;
        };
        self.floor = self.floor.max(Some(present));
        if std::mem::take(&mut self.floor_pending) && self.settings.incomplete {
            if self.durable {
                actions.push(Action::AppendFloor { floor: present });
            }
            // What the start before this one acknowledged, its peers may lack as well.
            let push = Push::SnapshotComplete { seq: self.last_seq, floor: Some(present.0) };
            self.push_to_receivers(&push, actions);
        }
    }
}
