//! The list of peers, their outbound connections, and the commits that each peer has confirmed.
use super::event::{Action, Now};
use super::message::{Instance, Push, RejectionReason};
use super::peer::Peer;
use super::state::Machine;
use decision::Time;

impl Machine {
    pub(super) fn set_peers(&mut self, listed: &[Instance], now: Now, actions: &mut Vec<Action>) {
        let removed: Vec<Instance> = self.peers.keys().copied().filter(|n| !listed.contains(n)).collect();
        for peer in removed.iter().filter_map(|n| self.peers.remove(n)) {
            // A removed peer may still hold a lease, so writes wait until that lease expires.
            self.removed_peers_lease_until = self.removed_peers_lease_until.max(peer.lease_granted_until);
        }
        if !removed.is_empty() {
            // Covers commits that the removed peers may have acknowledged after their last push.
            self.raise_floor(now, actions);
        }
        // A newly listed peer may still hold a lease that an earlier start of this instance granted.
        let lease_granted_until = Time(now.at.0 + self.granted_lease());
        for instance in listed.iter().filter(|n| **n != self.settings.instance) {
            self.peers.entry(*instance).or_insert_with(|| Peer { lease_granted_until, ..Peer::default() });
        }
    }

    pub(super) fn handle_accepted(
        &mut self,
        instance: Instance,
        incarnation: u64,
        stored_seq: u64,
        actions: &mut Vec<Action>,
    ) {
        let seq = self.last_seq;
        let first_recent = seq + 1 - self.recent_commits.len() as u64;
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        (peer.outbound_connected, peer.not_listed) = (true, false);
        self.was_accepted = true;
        // A peer without any commit of this start may also lack commits that were restored from the journal.
        let is_current_incarnation = incarnation == self.settings.incarnation && stored_seq > 0;
        let can_resume = is_current_incarnation && stored_seq + 1 >= first_recent && stored_seq <= seq;
        if !can_resume {
            peer.confirmed_seq = 0;
            actions.push(Action::SendSnapshot { peer: instance, seq });
            return;
        }
        peer.confirmed_seq = stored_seq;
        if stored_seq < seq {
            let stored_count = (stored_seq + 1 - first_recent) as usize;
            let entries = self.recent_commits.iter().skip(stored_count).copied().collect();
            let push = Push::Commits { first: stored_seq + 1, entries };
            actions.push(Action::SendPush { peer: instance, push });
        }
    }

    pub(super) fn handle_rejected(
        &mut self,
        instance: Instance,
        reason: RejectionReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        match reason {
            RejectionReason::NotListed => peer.not_listed = true,
            RejectionReason::OlderIncarnation { newest } if newest > self.settings.incarnation => {
                self.handle_newer_incarnation(newest, actions);
            }
            RejectionReason::OlderIncarnation { .. }
            | RejectionReason::WrongInstance
            | RejectionReason::WrongCluster
            | RejectionReason::WrongVersion => {}
        }
    }

    fn handle_newer_incarnation(&mut self, newest: u64, actions: &mut Vec<Action>) {
        if self.was_accepted {
            self.superseded_by = Some(newest);
            actions.push(Action::Superseded { newest_incarnation: newest });
            return;
        }
        // The clock was set back and no journal recorded the last incarnation. No peer has accepted this
        // start yet, so it can continue with a higher incarnation.
        self.settings.incarnation = newest + 1;
        actions.push(Action::AdoptIncarnation { incarnation: newest + 1 });
    }

    pub(super) fn handle_confirmed(&mut self, instance: Instance, seq: u64) {
        if let Some(peer) = self.peers.get_mut(&instance).filter(|peer| peer.outbound_connected) {
            peer.confirmed_seq = peer.confirmed_seq.max(seq.min(self.last_seq));
        }
    }

    pub(super) fn handle_outbound_disconnected(&mut self, instance: Instance) {
        if let Some(peer) = self.peers.get_mut(&instance) {
            peer.outbound_connected = false;
        }
    }

    pub(super) fn handle_connection_refused(
        &mut self,
        instance: Instance,
        attempted_at: Time,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let down_until = Time(attempted_at.0 + self.settings.lease);
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        if down_until <= now.at {
            return;
        }
        // If the peer was not up to date before, it may have acknowledged writes that were never received
        // here.
        let was_up_to_date = peer.is_up_to_date(now.at);
        peer.down_until = peer.down_until.max(down_until);
        (peer.outbound_connected, peer.not_listed) = (false, false);
        if !was_up_to_date {
            self.raise_floor(now, actions);
        }
    }
}
