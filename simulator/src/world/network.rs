//! The simulated network: delays, partitions, and the connections between the session machines of routers.
use super::events::{PeerMessage, RouterProcess, SimulationEvent};
use super::state::{PeerConnection, World};
use crate::times::from_milliseconds;
use sessions::machine::{Event as SessionEvent, Instance};

impl World<'_> {
    pub(super) fn is_partitioned(&self, zone: usize, other: usize) -> bool {
        self.partitioned_zone.is_some_and(|cut| zone != other && (zone == cut || other == cut))
    }

    fn base_delay_ms(&self, from_zone: usize, to_zone: usize) -> f64 {
        if from_zone == to_zone { self.plan.same_zone_delay_ms } else { self.plan.cross_zone_delay_ms }
    }

    /// Draws a one-way network delay in microseconds: 90 to 110 % of the plan's delay.
    pub(super) fn draw_delay(&mut self, from_zone: usize, to_zone: usize) -> i64 {
        (self.base_delay_ms(from_zone, to_zone) * 1000.0 * (0.9 + 0.2 * self.rng.f64())) as i64
    }

    /// Sends a message between the session machines of two routers. The delay has no jitter, so that messages
    /// arrive in the order in which they were sent.
    pub(super) fn send_to_peer(&mut self, from: usize, to: usize, message: PeerMessage) {
        let delay_ms = self.base_delay_ms(self.routers[from].zone, self.routers[to].zone);
        let (from, to) = (self.process(from), self.process(to));
        let event = SimulationEvent::PeerMessageArrived { from, to, message };
        self.schedule_after(from_milliseconds(delay_ms), event);
    }

    pub(super) fn handle_peer_message(
        &mut self,
        from: RouterProcess,
        to: RouterProcess,
        message: PeerMessage,
    ) {
        if !self.is_running(to) || self.routers[from.router].epoch != from.epoch {
            return;
        }
        let (from, to) = (from.router, to.router);
        let sender_connected = self.peer_connections.contains(&PeerConnection { from, to });
        let receiver_connected = self.peer_connections.contains(&PeerConnection { from: to, to: from });
        let peer = from as Instance;
        let event = match message {
            PeerMessage::Hello { incarnation } if sender_connected => {
                SessionEvent::HelloReceived { peer, incarnation }
            }
            PeerMessage::Push(push) if sender_connected => SessionEvent::PushReceived { peer, push },
            PeerMessage::Accept { incarnation, last_seq } if receiver_connected => {
                SessionEvent::Accepted { peer, incarnation, last_seq }
            }
            PeerMessage::Confirm { seq } if receiver_connected => SessionEvent::Confirmed { peer, seq },
            PeerMessage::LeaseRequest { requested_at } if receiver_connected => {
                SessionEvent::LeaseRequested { peer, requested_at }
            }
            _ => return,
        };
        self.handle_session_event(to, event);
    }

    /// Opens a router's connection to a peer, unless it is already open or a partition separates the two.
    pub(super) fn connect_peer(&mut self, from: usize, to: usize) {
        let connection = PeerConnection { from, to };
        if self.peer_connections.contains(&connection)
            || self.is_partitioned(self.routers[from].zone, self.routers[to].zone)
        {
            return;
        }
        if self.routers[to].up {
            self.peer_connections.insert(connection);
            let incarnation = self.routers[from].sessions.incarnation();
            self.send_to_peer(from, to, PeerMessage::Hello { incarnation });
        } else {
            self.handle_session_event(
                from,
                SessionEvent::ConnectionRefused { peer: to as Instance, attempted_at: self.now },
            );
        }
    }

    pub(super) fn disconnect_peer(&mut self, connection: PeerConnection) {
        if !self.peer_connections.remove(&connection) {
            return;
        }
        let PeerConnection { from, to } = connection;
        if self.routers[to].up {
            self.handle_session_event(to, SessionEvent::InboundDisconnected { peer: from as Instance });
        }
        if self.routers[from].up {
            self.handle_session_event(from, SessionEvent::OutboundDisconnected { peer: to as Instance });
        }
    }

    /// Closes every connection between session machines that matches the predicate.
    pub(super) fn disconnect_peers_where(&mut self, predicate: impl Fn(&Self, &PeerConnection) -> bool) {
        let closed: Vec<PeerConnection> =
            self.peer_connections.iter().copied().filter(|connection| predicate(self, connection)).collect();
        closed.into_iter().for_each(|connection| self.disconnect_peer(connection));
    }
}
