//! Served writes, from the commit until the write may be acknowledged, and the floor that covers unknown
//! commits.
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
        self.push_to_connected_peers(&Push::Commits { first: seq, entries: vec![entry] }, actions);
        self.pending_acks.insert(seq, ack);
    }

    fn push_to_connected_peers(&self, push: &Push, actions: &mut Vec<Action>) {
        let connected_peers = self.peers.iter().filter(|(_, peer)| peer.outbound_connected);
        let send = |instance: &u64| Action::SendPush { peer: *instance, push: push.clone() };
        actions.extend(connected_peers.map(|(instance, _)| send(instance)));
    }

    /// Acknowledges the writes whose commits are in the journal and confirmed by every peer that holds, or
    /// may hold, a lease from this instance.
    pub(super) fn acknowledge_writes(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.superseded_by.is_some() || self.journal_undeletable {
            // Peers follow the newer start, or a later start would use the outdated journal. Either would
            // miss writes that were acknowledged here.
            let failed = std::mem::take(&mut self.pending_acks).into_values();
            actions.extend(failed.map(|ack| Action::Fail { ack }));
            return;
        }
        if self.removed_peers_lease_until > now {
            return;
        }
        let local_seq = if self.durable { self.synced_seq } else { self.last_seq };
        let lease_holders = self.peers.values().filter(|peer| peer.lease_granted_until > now);
        let acknowledged_seq = lease_holders.map(|peer| peer.confirmed_seq).fold(local_seq, u64::min);
        while let Some(first) =
            self.pending_acks.first_entry().filter(|entry| *entry.key() <= acknowledged_seq)
        {
            actions.push(Action::Acknowledge { ack: first.remove() });
        }
    }

    /// Raises the floor to the upper bound of all commits made so far, because some of them are unknown here.
    pub(super) fn raise_floor(&mut self, now: Now, actions: &mut Vec<Action>) {
        let Some(upper_bound) = now.commit_upper_bound else {
            self.floor_pending = true;
            return;
        };
        self.floor = self.floor.max(Some(upper_bound));
        if std::mem::take(&mut self.floor_pending) && self.settings.incomplete {
            if self.durable {
                actions.push(Action::AppendFloor { floor: upper_bound });
            }
            // Peers may also lack commits that the previous start of this instance acknowledged.
            let push = Push::SnapshotComplete { seq: self.last_seq, floor: Some(upper_bound.0) };
            self.push_to_connected_peers(&push, actions);
        }
    }
}
