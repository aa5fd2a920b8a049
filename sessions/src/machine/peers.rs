//! The other instances: which are listed, which receive our commits, and what each has confirmed.
use super::event::{Action, Now};
use super::message::{Instance, Push, RejectionReason};
use super::peer::Peer;
use super::state::Machine;
use decision::Time;

impl Machine {
    pub(super) fn set_peers(&mut self, listed: &[Instance], now: Now, actions: &mut Vec<Action>) {
        let removed: Vec<Instance> = self.peers.keys().copied().filter(|n| !listed.contains(n)).collect();
        for peer in removed.iter().filter_map(|n| self.peers.remove(n)) {
            // It may rely on us until the end of the lease that it was granted.
            self.unlisted_lease_until = self.unlisted_lease_until.max(peer.lease_granted_until);
        }
        if !removed.is_empty() {
            // Covers what those may have acknowledged to their clients since they last sent anything.
            self.raise_floor(now, actions);
        }
        // For all we know each has a lease from the start before this one, or has observed that it ended.
        let lease_granted_until = Time(now.at.0 + self.granted_lease());
        for instance in listed.iter().filter(|n| **n != self.settings.instance) {
            self.peers.entry(*instance).or_insert_with(|| Peer { lease_granted_until, ..Peer::default() });
        }
    }

    pub(super) fn handle_accepted(
        &mut self,
        instance: Instance,
        incarnation: u64,
        held_seq: u64,
        actions: &mut Vec<Action>,
    ) {
        let seq = self.last_seq;
        let first_recent = seq + 1 - self.recent_commits.len() as u64;
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        (peer.receives, peer.not_listed) = (true, false);
        self.was_accepted = true;
        // A peer that holds nothing of this start may lack what was restored from the ones before.
        let is_of_this_start = incarnation == self.settings.incarnation && held_seq > 0;
        let can_resume = is_of_this_start && held_seq + 1 >= first_recent && held_seq <= seq;
        if !can_resume {
            peer.confirmed_seq = 0;
            actions.push(Action::SendSnapshot { peer: instance, seq });
            return;
        }
        peer.confirmed_seq = held_seq;
        if held_seq < seq {
            let held_count = (held_seq + 1 - first_recent) as usize;
            let entries = self.recent_commits.iter().skip(held_count).copied().collect();
            let push = Push::Commits { first: held_seq + 1, entries };
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
        // A clock that went back, and no folder to remember the last start: nobody knows this one yet.
        self.settings.incarnation = newest + 1;
        actions.push(Action::AdoptIncarnation { incarnation: newest + 1 });
    }

    pub(super) fn handle_confirmed(&mut self, instance: Instance, seq: u64) {
        if let Some(peer) = self.peers.get_mut(&instance).filter(|peer| peer.receives) {
            peer.confirmed_seq = peer.confirmed_seq.max(seq.min(self.last_seq));
        }
    }

    pub(super) fn handle_outbound_disconnected(&mut self, instance: Instance) {
        if let Some(peer) = self.peers.get_mut(&instance) {
            peer.receives = false;
        }
    }

    pub(super) fn handle_connection_refused(
        &mut self,
        instance: Instance,
        attempted_at: Time,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let proven_until = Time(attempted_at.0 + self.settings.lease);
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        if proven_until <= now.at {
            return;
        }
        // Where nothing was relied on before, it may have acknowledged writes that never reached us.
        let was_up_to_date = peer.is_up_to_date(now.at);
        peer.down_until = peer.down_until.max(proven_until);
        (peer.receives, peer.not_listed) = (false, false);
        if !was_up_to_date {
            self.raise_floor(now, actions);
        }
    }
}
