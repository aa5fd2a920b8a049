//! Messages received from peers: hello, commits, snapshots and lease grants.
use super::event::{Action, Now};
use super::message::{Instance, Push, RejectionReason};
use super::state::Machine;
use crate::SessionKey;
use decision::Time;

impl Machine {
    pub(super) fn handle_hello(
        &mut self,
        instance: Instance,
        incarnation: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(&instance) else {
            actions.push(Action::Reject { peer: instance, reason: RejectionReason::NotListed });
            return;
        };
        if incarnation < peer.incarnation {
            let reason = RejectionReason::OlderIncarnation { newest: peer.incarnation };
            actions.push(Action::Reject { peer: instance, reason });
            return;
        }
        if incarnation > peer.incarnation {
            // Commits and leases of the peer's older start do not apply to its new one.
            (peer.incarnation, peer.received_seq, peer.lease_held_until) = (incarnation, 0, Time(0));
        }
        // `down_until` stays valid: a newly started peer acknowledges no write before that time.
        peer.inbound_connected = true;
        let (incarnation, last_seq) = (peer.incarnation, peer.received_seq);
        actions.push(Action::Accept { peer: instance, incarnation, last_seq });
        peer.request_lease(instance, now, actions);
    }

    pub(super) fn handle_inbound_disconnected(&mut self, instance: Instance) {
        if let Some(peer) = self.peers.get_mut(&instance) {
            peer.inbound_connected = false;
        }
    }

    pub(super) fn handle_push(
        &mut self,
        instance: Instance,
        push: Push,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let lease = self.settings.lease;
        let Some(peer) = self.peers.get_mut(&instance).filter(|peer| peer.inbound_connected) else {
            actions.push(Action::Disconnect { peer: instance });
            return;
        };
        match push {
            Push::Commits { first, entries } => self.receive_commits(instance, first, entries, actions),
            Push::Snapshot { entries } => self.insert_all(entries),
            Push::SnapshotComplete { seq, floor } => {
                peer.received_seq = seq;
                actions.push(Action::SendConfirmation { peer: instance, seq });
                self.floor = self.floor.max(floor.map(Time));
            }
            Push::LeaseGrant { requested_at } => peer.accept_lease(requested_at, lease, now),
        }
    }

    /// Stores a peer's commits. A gap in their numbers closes the connection, and the peer has to reconnect.
    fn receive_commits(
        &mut self,
        instance: Instance,
        first: u64,
        entries: Vec<(SessionKey, i64)>,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        if first > peer.received_seq + 1 {
            peer.inbound_connected = false;
            actions.push(Action::Disconnect { peer: instance });
            return;
        }
        peer.received_seq = peer.received_seq.max(first + entries.len() as u64 - 1);
        actions.push(Action::SendConfirmation { peer: instance, seq: peer.received_seq });
        self.insert_all(entries);
    }

    fn insert_all(&mut self, entries: Vec<(SessionKey, i64)>) {
        entries
            .into_iter()
            .for_each(|(session, committed_at)| self.commits.insert(session, Time(committed_at)));
    }
}
