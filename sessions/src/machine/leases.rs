//! Leases in both directions: those that peers hold from this instance, and those that it holds from them.
use super::event::{Action, Now};
use super::message::{Instance, Push};
use super::peer::Peer;
use super::state::Machine;
use decision::{Micros, Time};

/// How often in a lease's time the next one is requested.
const LEASE_REQUESTS: Micros = 5;

impl Machine {
    /// How long a lease that is granted binds this instance: the holder counts from its request, and a quarter more
    /// covers clocks that run at other rates.
    pub(super) fn granted_lease(&self) -> Micros {
        self.settings.lease * 5 / 4
    }

    pub(super) fn handle_lease_request(
        &mut self,
        instance: Instance,
        requested_at: i64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        // A commit of an earlier start that nobody knows one by one must be covered by a floor first.
        if self.floor_pending {
            return;
        }
        let granted_until = Time(now.at.0 + self.granted_lease());
        if let Some(peer) = self.peers.get_mut(&instance).filter(|peer| peer.receives) {
            peer.lease_granted_until = peer.lease_granted_until.max(granted_until);
            actions.push(Action::SendPush { peer: instance, push: Push::LeaseGrant { requested_at } });
        }
    }

    /// Requests leases well before they end.
    pub(super) fn request_leases(&mut self, now: Now, actions: &mut Vec<Action>) {
        let interval = self.settings.lease / LEASE_REQUESTS;
        for (instance, peer) in self.peers.iter_mut().filter(|(_, peer)| peer.sends) {
            if now.at.0 - peer.lease_requested_at.0 >= interval {
                peer.request_lease(*instance, now, actions);
            }
        }
    }
}

impl Peer {
    pub(super) fn request_lease(&mut self, instance: Instance, now: Now, actions: &mut Vec<Action>) {
        self.lease_requested_at = now.at;
        actions.push(Action::RequestLease { peer: instance, requested_at: now.at.0 });
    }

    /// Holds a granted lease: only one that was requested on this connection, and not longer ago than it lasts.
    pub(super) fn accept_lease(&mut self, requested_at: i64, lease: Micros, now: Now) {
        if requested_at <= now.at.0 && requested_at >= now.at.0 - lease {
            self.lease_held_until = self.lease_held_until.max(Time(requested_at + lease));
        }
    }
}
