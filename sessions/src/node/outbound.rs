//! Outbound connections: this instance sends its commits to peers, and receives confirmations and lease
//! requests.
use super::connection::{Connection, close, write_queued};
use super::peer_link_log::{Outcome, PeerConnectionLog};
use super::sessions::Sessions;
use crate::frames::{self, Frame, VERSION};
use crate::machine::{Event, Instance, RejectionReason};
use crossbeam_channel::Receiver;
use routing::spawn;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Number of connection attempts to a peer per lease duration.
const ATTEMPTS_PER_LEASE: u32 = 6;

/// The result of a handshake: the peer's response to the hello frame.
enum Handshake {
    /// The peer accepts commits. `incarnation` and `last_seq` identify the newest commit of this instance
    /// that the peer has stored.
    Accepted {
        incarnation: u64,
        last_seq: u64,
    },
    Rejected(RejectionReason),
}

impl Sessions {
    /// Whether the peer is still listed at this address and this instance is not stopping.
    fn is_listed(&self, peer: Instance, addr: SocketAddr) -> bool {
        !self.is_stopping() && self.lock().peers.get(&peer) == Some(&addr)
    }

    /// Connects to a peer again and again and sends commits to it, as long as it is listed at this address.
    pub(super) fn run_outbound(self: &Arc<Self>, peer: Instance, addr: SocketAddr) {
        let mut log = PeerConnectionLog::new(peer);
        while self.is_listed(peer, addr) {
            log.log(self.attempt_connection(peer, addr));
            std::thread::sleep(self.settings.lease / ATTEMPTS_PER_LEASE);
        }
    }

    /// Connects once and sends commits until the connection ends.
    fn attempt_connection(self: &Arc<Self>, peer: Instance, addr: SocketAddr) -> Outcome {
        let attempted_at = self.clock.now();
        match routing::socket::connect(addr, self.limits.backend_connect_timeout) {
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                // A refused connection proves that the peer is down only where its address can't change.
                if !self.settings.peer_addresses_may_change {
                    self.handle(Event::ConnectionRefused { peer, attempted_at });
                }
                Outcome::Refused
            }
            Err(error) => Outcome::Unreachable(error.to_string()),
            Ok(socket) => match self.send_commits(peer, socket) {
                Ok(end) => end,
                Err(error) => Outcome::Failed(error.to_string()),
            },
        }
    }

    /// Sends commits to a peer on one connection until the connection ends.
    fn send_commits(self: &Arc<Self>, peer: Instance, socket: TcpStream) -> io::Result<Outcome> {
        let (connection, queued) = Connection::open(socket, &self.limits)?;
        match self.handshake(peer, &connection.socket)? {
            Handshake::Accepted { incarnation, last_seq } => {
                self.run_connection(peer, connection, &queued, incarnation, last_seq)?;
                Ok(Outcome::Closed)
            }
            Handshake::Rejected(reason) => {
                self.handle(Event::Rejected { peer, reason });
                Ok(Outcome::Rejected(reason))
            }
        }
    }

    /// Sends the hello frame and reads the peer's response.
    fn handshake(&self, peer: Instance, socket: &TcpStream) -> io::Result<Handshake> {
        let incarnation = self.lock().machine.incarnation();
        let (cluster, from) = (self.settings.cluster.clone(), self.settings.instance);
        frames::write(socket, &Frame::Hello { version: VERSION, cluster, from, incarnation, to: peer })?;
        match frames::read(socket, self.limits.max_session_frame_bytes)? {
            Frame::Accepted { incarnation, last_seq } => Ok(Handshake::Accepted { incarnation, last_seq }),
            Frame::Rejected(reason) => Ok(Handshake::Rejected(reason)),
            _ => Err(io::Error::other("unexpected response to the hello frame")),
        }
    }

    /// Registers the outbound connection to a peer. Returns `false` if the peer is no longer listed.
    fn insert_outbound(
        &self,
        peer: Instance,
        connection: Connection,
        incarnation: u64,
        last_seq: u64,
    ) -> bool {
        let mut state = self.lock();
        if !state.peers.contains_key(&peer) {
            return false;
        }
        state.outbound.insert(peer, connection);
        self.handle_locked(&mut state, Event::Accepted { peer, incarnation, last_seq });
        true
    }

    /// Sends queued commits to a peer until the connection ends, while another thread reads the peer's
    /// frames.
    fn run_connection(
        self: &Arc<Self>,
        peer: Instance,
        connection: Connection,
        queued: &Receiver<Frame>,
        incarnation: u64,
        last_seq: u64,
    ) -> io::Result<()> {
        let (socket, number) = (connection.socket.clone(), connection.number);
        if !self.insert_outbound(peer, connection, incarnation, last_seq) {
            return Ok(());
        }
        tracing::info!(peer, last_seq, "session peer connected");
        let (this, reader_socket) = (self.clone(), socket.clone());
        let read = move || this.read_confirmations(peer, number, &reader_socket);
        if let Err(error) = spawn("peer-ack-reader", self.limits.socket_thread_stack_bytes, read) {
            self.remove_outbound(peer, number);
            return Err(error);
        }
        let ended = write_queued(&socket, queued, self.limits.max_sessions_per_frame);
        close(&socket);
        self.remove_outbound(peer, number);
        ended
    }

    fn read_confirmations(&self, peer: Instance, number: u64, socket: &TcpStream) {
        loop {
            match frames::read(socket, self.limits.max_session_frame_bytes) {
                Ok(Frame::Confirmation { seq }) => {
                    self.handle_if_current(peer, number, Event::Confirmed { peer, seq });
                }
                Ok(Frame::LeaseRequest { requested_at }) => {
                    self.handle_if_current(peer, number, Event::LeaseRequested { peer, requested_at });
                }
                _ => break,
            }
        }
        // Closes the writer's queue, which ends the writer.
        self.remove_outbound(peer, number);
        close(socket);
    }

    /// Handles an event of an outbound connection, if a newer connection has not replaced it.
    fn handle_if_current(&self, peer: Instance, number: u64, event: Event) {
        let mut state = self.lock();
        if state.outbound.get(&peer).is_some_and(|connection| connection.number == number) {
            self.handle_locked(&mut state, event);
        }
    }

    fn remove_outbound(&self, peer: Instance, number: u64) {
        let mut state = self.lock();
        if state.outbound.get(&peer).is_some_and(|connection| connection.number == number) {
            state.outbound.remove(&peer);
            self.handle_locked(&mut state, Event::OutboundDisconnected { peer });
        }
    }
}
