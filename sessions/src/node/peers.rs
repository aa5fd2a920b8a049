//! Applies changes of the list of peers.
use super::connection::Connection;
use super::sessions::Sessions;
use crate::machine::{Event, Instance};
use routing::spawn;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

impl Sessions {
    /// Replaces the list of peers, closes connections to removed peers, and connects to new ones.
    pub fn set_peers(self: &Arc<Self>, peers: BTreeMap<Instance, SocketAddr>) {
        let mut state = self.lock();
        let is_new = |peer: &(&Instance, &SocketAddr)| state.peers.get(peer.0) != Some(peer.1);
        let new: Vec<(Instance, SocketAddr)> =
            peers.iter().filter(is_new).map(|(instance, addr)| (*instance, *addr)).collect();
        // A peer whose address has changed is connected to at its new address only.
        let is_removed = |instance: &Instance| peers.get(instance) != state.peers.get(instance);
        let removed: Vec<Instance> = state.peers.keys().copied().filter(is_removed).collect();
        for peer in removed {
            let connections = [state.outbound.remove(&peer), state.inbound.remove(&peer)];
            connections.iter().flatten().for_each(Connection::close);
            self.handle_locked(&mut state, Event::OutboundDisconnected { peer });
            self.handle_locked(&mut state, Event::InboundDisconnected { peer });
        }
        state.peers = peers;
        let listed = state.peers.keys().copied().collect();
        self.handle_locked(&mut state, Event::PeersListed { peers: listed });
        drop(state);
        for (peer, addr) in new {
            self.spawn_outbound(peer, addr);
        }
    }

    fn spawn_outbound(self: &Arc<Self>, peer: Instance, addr: SocketAddr) {
        let this = self.clone();
        let run = move || this.run_outbound(peer, addr);
        if let Err(error) = spawn("peer-outbound", self.limits.routing_thread_stack_bytes, run) {
            tracing::error!(peer, %error, "peer-outbound thread not started, session peer not connected");
        }
    }
}
