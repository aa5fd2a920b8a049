//! Leases in both directions: those granted to peers, and those held from peers.
use super::event::{Action, Now};
use super::message::{Instance, Push};
use super::peer::Peer;
use super::state::Machine;
use decision::{Micros, Time};

/// Number of lease requests per lease duration.
const REQUESTS_PER_LEASE: Micros = 5;

impl Machine {
    /// How long a granted lease binds this instance. The holder counts the lease from its own request, which
    /// is earlier; the additional quarter allows for clocks that run at different rates.
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
        // Commits of an earlier start may be missing, and the floor that will cover them is not known yet.
        if self.floor_pending {
            return;
        }
        let granted_until = Time(now.at.0 + self.granted_lease());
        if let Some(peer) = self.peers.get_mut(&instance).filter(|peer| peer.outbound_connected) {
            peer.lease_granted_until = peer.lease_granted_until.max(granted_until);
            actions.push(Action::SendPush { peer: instance, push: Push::LeaseGrant { requested_at } });
        }
    }

    /// Requests new leases well before the current ones expire.
    pub(super) fn request_leases(&mut self, now: Now, actions: &mut Vec<Action>) {
        let interval = self.settings.lease / REQUESTS_PER_LEASE;
        for (instance, peer) in self.peers.iter_mut().filter(|(_, peer)| peer.inbound_connected) {
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

    /// Extends the held lease, unless the request's time is in the future or the granted lease has already
    /// expired.
    pub(super) fn accept_lease(&mut self, requested_at: i64, lease: Micros, now: Now) {
        if requested_at <= now.at.0 && requested_at >= now.at.0 - lease {
            self.lease_held_until = self.lease_held_until.max(Time(requested_at + lease));
        }
    }
}
