//! The other instances: which are listed, what each has confirmed, and the leases in both directions.
use super::Machine;
use super::event::{Action, Instance, Now, Push, Why};
use decision::{Micros, Time};
use serde::Serialize;

/// How often in a lease's time the next one is requested.
const LEASE_REQUESTS: Micros = 5;

/// A peer, by what it holds of ours and what we hold of it.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// A connection on which it receives our commits is up.
    pub(super) receives: bool,
    /// It holds our commits up to this one.
    pub(super) confirmed: u64,
    /// It holds a lease from us until then.
    pub(super) granted_until: Time,
    /// It does not list this instance.
    pub(super) not_listed: bool,
    /// Its newest known start.
    incarnation: u64,
    /// Its commits are held up to this one.
    received: u64,
    /// A connection on which it sends its commits is up.
    sends: bool,
    /// We hold a lease from it until then.
    lease_until: Time,
    /// Its process is proven gone until then.
    down_until: Time,
    /// When a lease was last requested from it.
    lease_asked_at: Time,
}

impl Peer {
    /// Whether what is held of it may be relied on: a process that is gone acknowledges nothing either.
    pub(super) fn is_up_to_date(&self, now: Time) -> bool {
        self.lease_until > now || self.down_until > now
    }
}

/// A peer's status, for operators. The names of the fields stand in the JSON of `sessions show`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerStatus {
    /// The peer.
    pub instance: Instance,
    /// Its newest known start.
    pub incarnation: u64,
    /// Its commits that are held here, by number.
    pub heard: u64,
    /// Our commits that it holds, by number.
    pub confirmed: u64,
    /// It receives our commits.
    pub linked: bool,
    /// What is held of it may be relied on.
    pub relied_on: bool,
    /// Its process is proven gone.
    pub down: bool,
}

impl Machine {
    /// The status of each peer.
    pub fn peer_statuses(&self, now: Time) -> Vec<PeerStatus> {
        let status = |(instance, peer): (&Instance, &Peer)| PeerStatus {
            instance: *instance,
            incarnation: peer.incarnation,
            heard: peer.received,
            confirmed: peer.confirmed,
            linked: peer.receives,
            relied_on: peer.is_up_to_date(now),
            down: peer.down_until > now,
        };
        self.peers.iter().map(status).collect()
    }

    /// Whether what is held of every peer may be relied on.
    pub fn peers_up_to_date(&self, now: Time) -> bool {
        self.peers.values().all(|peer| peer.is_up_to_date(now))
    }

    /// How long a lease that is given binds this instance: the holder counts from its request, and a quarter more
    /// covers clocks that run at other rates.
    fn granted_lease(&self) -> Micros {
        self.settings.lease * 5 / 4
    }

    pub(super) fn set_peers(&mut self, listed: &[Instance], now: Now, actions: &mut Vec<Action>) {
        let gone: Vec<Instance> = self.peers.keys().copied().filter(|n| !listed.contains(n)).collect();
        for peer in gone.iter().filter_map(|n| self.peers.remove(n)) {
            // It may rely on us until the end of the lease that it was given.
            self.unlisted_lease_until = self.unlisted_lease_until.max(peer.granted_until);
        }
        if !gone.is_empty() {
            // Covers what those may have acknowledged to their clients since they were last heard.
            self.raise_floor(now, actions);
        }
        // For all we know each has a lease from the start before this one, or has seen us gone.
        let granted_until = Time(now.at.0 + self.granted_lease());
        for instance in listed.iter().filter(|n| **n != self.settings.instance) {
            self.peers.entry(*instance).or_insert_with(|| Peer { granted_until, ..Peer::default() });
        }
    }

    pub(super) fn handle_accepted(
        &mut self,
        instance: Instance,
        incarnation: u64,
        holds: u64,
        actions: &mut Vec<Action>,
    ) {
        let seq = self.seq;
        let first_recent = seq + 1 - self.recent.len() as u64;
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        (peer.receives, peer.not_listed) = (true, false);
        self.was_accepted = true;
        // A peer that holds nothing of this start may lack what was kept from the ones before.
        let is_of_this_start = incarnation == self.settings.incarnation && holds > 0;
        let can_resume = is_of_this_start && holds + 1 >= first_recent && holds <= seq;
        if !can_resume {
            peer.confirmed = 0;
            actions.push(Action::PushAll(instance, seq));
            return;
        }
        peer.confirmed = holds;
        if holds < seq {
            let missing = self.recent.iter().skip((holds + 1 - first_recent) as usize).copied();
            let push = Push::Commits { first: holds + 1, entries: missing.collect() };
            actions.push(Action::Push(instance, push));
        }
    }

    pub(super) fn handle_refused(&mut self, instance: Instance, why: Why, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        match why {
            Why::NotListed => peer.not_listed = true,
            // A clock that went back, and no folder to remember the last start: nobody knows this one yet.
            Why::Older { newest } if !self.was_accepted && newest > self.settings.incarnation => {
                self.settings.incarnation = newest + 1;
                actions.push(Action::Reincarnate(newest + 1));
            }
            Why::Older { newest } if newest > self.settings.incarnation => {
                self.superseded = Some(newest);
                actions.push(Action::Superseded(newest));
            }
            Why::Older { .. } | Why::WrongInstance | Why::WrongCluster | Why::WrongVersion => {}
        }
    }

    pub(super) fn handle_confirmed(&mut self, instance: Instance, seq: u64) {
        if let Some(peer) = self.peers.get_mut(&instance).filter(|peer| peer.receives) {
            peer.confirmed = peer.confirmed.max(seq.min(self.seq));
        }
    }

    pub(super) fn handle_unlinked(&mut self, instance: Instance) {
        if let Some(peer) = self.peers.get_mut(&instance) {
            peer.receives = false;
        }
    }

    pub(super) fn handle_left(&mut self, instance: Instance) {
        if let Some(peer) = self.peers.get_mut(&instance) {
            peer.sends = false;
        }
    }

    pub(super) fn handle_lease_request(
        &mut self,
        instance: Instance,
        asked: i64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        // A commit of an earlier start that nobody knows one by one must be covered by a floor first.
        if self.floor_due {
            return;
        }
        let granted_until = Time(now.at.0 + self.granted_lease());
        if let Some(peer) = self.peers.get_mut(&instance).filter(|peer| peer.receives) {
            peer.granted_until = peer.granted_until.max(granted_until);
            actions.push(Action::Push(instance, Push::Grant { asked }));
        }
    }

    pub(super) fn handle_down(
        &mut self,
        instance: Instance,
        begun: Time,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let proven_until = Time(begun.0 + self.settings.lease);
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

    pub(super) fn handle_introduced(
        &mut self,
        instance: Instance,
        incarnation: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(&instance) else {
            actions.push(Action::Refuse(instance, Why::NotListed));
            return;
        };
        if incarnation < peer.incarnation {
            actions.push(Action::Refuse(instance, Why::Older { newest: peer.incarnation }));
            return;
        }
        if incarnation > peer.incarnation {
            // What the older start has granted says nothing of this one.
            (peer.incarnation, peer.received, peer.lease_until) = (incarnation, 0, Time(0));
        }
        // The proof that it was gone still holds: a fresh start waits for longer than that lasts.
        peer.sends = true;
        actions.push(Action::Welcome(instance, peer.incarnation, peer.received));
        peer.lease_asked_at = now.at;
        actions.push(Action::Ask(instance, now.at.0));
    }

    pub(super) fn handle_pushed(
        &mut self,
        instance: Instance,
        push: Push,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let lease = self.settings.lease;
        let Some(peer) = self.peers.get_mut(&instance).filter(|peer| peer.sends) else {
            actions.push(Action::Drop(instance));
            return;
        };
        match push {
            Push::Commits { first, entries } => {
                if first > peer.received + 1 {
                    // A gap: it has to connect again.
                    peer.sends = false;
                    actions.push(Action::Drop(instance));
                    return;
                }
                peer.received = peer.received.max(first + entries.len() as u64 - 1);
                actions.push(Action::Confirm(instance, peer.received));
                self.remember_all(entries);
            }
            Push::All { entries } => self.remember_all(entries),
            Push::Whole { seq, floor } => {
                peer.received = seq;
                actions.push(Action::Confirm(instance, seq));
                self.floor = self.floor.max(floor.map(Time));
            }
            Push::Grant { asked } => {
                // Only what was requested on this connection, and not longer ago than it lasts.
                if asked <= now.at.0 && asked >= now.at.0 - lease {
                    peer.lease_until = peer.lease_until.max(Time(asked + lease));
                }
            }
        }
    }

    /// Requests leases well before they end.
    pub(super) fn request_leases(&mut self, now: Now, actions: &mut Vec<Action>) {
        let interval = self.settings.lease / LEASE_REQUESTS;
        for (instance, peer) in self.peers.iter_mut().filter(|(_, peer)| peer.sends) {
            if now.at.0 - peer.lease_asked_at.0 >= interval {
                peer.lease_asked_at = now.at;
                actions.push(Action::Ask(*instance, now.at.0));
            }
        }
    }
}
