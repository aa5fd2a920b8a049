//! Connections that this instance opens: its commits go to peers, confirmations and lease requests come back.
use super::Sessions;
use super::connection::{Connection, close, write_queued};
use crate::frames::{self, Frame, VERSION};
use crate::machine::{Event, Instance, Why};
use crossbeam_channel::Receiver;
use routing::spawn;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Pauses between two attempts to connect, in one lease's time.
const ATTEMPTS_PER_LEASE: u32 = 6;

/// Logs a peer's state where it is new: connections are attempted many times a second.
struct PeerLog {
    peer: Instance,
    last: String,
}

impl PeerLog {
    fn warn(&mut self, text: String) {
        if self.is_new(&text) {
            tracing::warn!("sessions: peer {} {text}", self.peer);
            self.last = text;
        }
    }

    fn info(&mut self, text: &str) {
        if self.is_new(text) {
            tracing::info!("sessions: peer {} {text}", self.peer);
            self.last = text.into();
        }
    }

    fn is_new(&self, text: &str) -> bool {
        self.last != text
    }
}

/// How a peer answered the first frame.
enum Answer {
    /// It accepts our commits; it holds those up to this one of this incarnation.
    Welcome {
        incarnation: u64,
        holds: u64,
    },
    Refused(Why),
}

impl Sessions {
    fn is_listed(&self, peer: Instance, addr: SocketAddr) -> bool {
        !self.stopping.load(Ordering::Acquire) && self.lock().peers.get(&peer) == Some(&addr)
    }

    /// Sends our commits to a peer for as long as it is listed at this address.
    pub(super) fn run_outbound(self: &Arc<Self>, peer: Instance, addr: SocketAddr) {
        let mut log = PeerLog { peer, last: String::new() };
        while self.is_listed(peer, addr) {
            let begun = self.clock.now();
            match routing::socket::connect(addr, self.limits.backend_connect_timeout) {
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    // A peer that may have moved is not proven gone by the address that it had.
                    if !self.settings.peer_addresses_may_change {
                        self.handle(Event::Down(peer, begun));
                    }
                    log.warn("is down: its address refuses connections".into());
                }
                Err(error) => log.warn(format!("can't be reached: {error}")),
                Ok(socket) => match self.send_commits(peer, socket) {
                    Ok(Some(why)) => log.warn(format!("takes nothing from here: {why:?}")),
                    Ok(None) => log.info("is linked no more"),
                    Err(error) => log.warn(format!("is linked no more: {error}")),
                },
            }
            std::thread::sleep(self.settings.lease / ATTEMPTS_PER_LEASE);
        }
    }

    /// One connection on which our commits go to a peer; why it accepts none.
    fn send_commits(self: &Arc<Self>, peer: Instance, socket: TcpStream) -> io::Result<Option<Why>> {
        let (connection, queued) = self.connection(socket)?;
        match self.introduce(peer, &connection.socket)? {
            Answer::Welcome { incarnation, holds } => {
                self.run_connection(peer, connection, &queued, incarnation, holds)
            }
            Answer::Refused(why) => {
                self.handle(Event::Refused(peer, why));
                Ok(Some(why))
            }
        }
    }

    fn introduce(&self, peer: Instance, socket: &TcpStream) -> io::Result<Answer> {
        let incarnation = self.lock().machine.incarnation();
        let (cluster, from) = (self.settings.cluster.clone(), self.settings.instance);
        frames::write(socket, &Frame::Hello { version: VERSION, cluster, from, incarnation, to: peer })?;
        match frames::read(socket, self.limits.max_session_frame_bytes)? {
            Frame::Welcome { incarnation, holds } => Ok(Answer::Welcome { incarnation, holds }),
            Frame::Refused(why) => Ok(Answer::Refused(why)),
            _ => Err(io::Error::other("no answer to a hello")),
        }
    }

    fn run_connection(
        self: &Arc<Self>,
        peer: Instance,
        connection: Connection,
        queued: &Receiver<Frame>,
        incarnation: u64,
        holds: u64,
    ) -> io::Result<Option<Why>> {
        let (socket, number) = (connection.socket.clone(), connection.number);
        {
            let mut state = self.lock();
            if !state.peers.contains_key(&peer) {
                return Ok(None);
            }
            state.outbound.insert(peer, connection);
            self.handle_locked(&mut state, Event::Accepted { peer, incarnation, holds });
        }
        tracing::info!("sessions: peer {peer} takes our commits, from {holds} on");
        let (own, from_peer) = (self.clone(), socket.clone());
        let read = move || own.read_confirmations(peer, number, &from_peer);
        if let Err(error) = spawn("peer-says", self.limits.socket_thread_stack_bytes, read) {
            self.unlink(peer, number);
            return Err(error);
        }
        let ended = write_queued(&socket, queued, self.limits.max_sessions_per_frame);
        close(&socket);
        self.unlink(peer, number);
        ended.map(|()| None)
    }

    fn read_confirmations(&self, peer: Instance, number: u64, socket: &TcpStream) {
        loop {
            match frames::read(socket, self.limits.max_session_frame_bytes) {
                Ok(Frame::Confirm(seq)) => self.handle_of(peer, number, Event::Confirmed(peer, seq)),
                Ok(Frame::Ask(at)) => self.handle_of(peer, number, Event::Asked(peer, at)),
                _ => break,
            }
        }
        // Ends the writer as well: its queue closes.
        self.unlink(peer, number);
        close(socket);
    }

    /// Handles an event of our connection to a peer, if that is still the one in use.
    fn handle_of(&self, peer: Instance, number: u64, event: Event) {
        let mut state = self.lock();
        if state.outbound.get(&peer).is_some_and(|connection| connection.number == number) {
            self.handle_locked(&mut state, event);
        }
    }

    fn unlink(&self, peer: Instance, number: u64) {
        let mut state = self.lock();
        if state.outbound.get(&peer).is_some_and(|connection| connection.number == number) {
            state.outbound.remove(&peer);
            self.handle_locked(&mut state, Event::Unlinked(peer));
        }
    }
}
