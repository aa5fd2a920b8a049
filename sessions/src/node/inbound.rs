//! Inbound connections: peers send their commits, and operators request this instance's status.
use super::connection::{Connection, close, write_queued};
use super::sessions::Sessions;
use crate::frames::{self, Frame, VERSION};
use crate::machine::{Action, Event, Instance, RejectionReason};
use routing::spawn;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

/// The first frame of a peer's connection.
struct Hello {
    version: u16,
    cluster: String,
    from: Instance,
    incarnation: u64,
    to: Instance,
}

impl Sessions {
    /// Accepts connections, each on its own thread.
    pub(super) fn accept_all(self: &Arc<Self>, listener: &TcpListener) {
        for socket in listener.incoming() {
            let this = self.clone();
            let run = move || {
                if let Ok(socket) = socket
                    && let Err(error) = this.run_inbound(socket)
                {
                    tracing::debug!(%error, "connection from session peer ended");
                }
            };
            if let Err(error) = spawn("peer-inbound", self.limits.routing_thread_stack_bytes, run) {
                tracing::error!(%error, "peer-inbound thread not started, connection from session peer closed");
            }
        }
    }

    /// Serves one inbound connection until it ends.
    fn run_inbound(self: &Arc<Self>, socket: TcpStream) -> io::Result<()> {
        let (connection, queued) = Connection::open(socket, &self.limits)?;
        let (socket, number) = (connection.socket.clone(), connection.number);
        let hello = match frames::read(&*socket, self.limits.max_session_frame_bytes)? {
            Frame::Hello { version, cluster, from, incarnation, to } => {
                Hello { version, cluster, from, incarnation, to }
            }
            Frame::StatusRequest => return frames::write(&*socket, &Frame::Status(self.status())),
            _ => return Err(io::Error::other("expected a hello or a status request as the first frame")),
        };
        let from = hello.from;
        if let Err(reason) = self.check(&hello).and_then(|()| self.accept(&hello, connection)) {
            tracing::warn!(
                instance = from,
                incarnation = hello.incarnation,
                ?reason,
                "session peer's connection rejected"
            );
            return frames::write(&*socket, &Frame::Rejected(reason));
        }
        let (writer_socket, max_entries) = (socket.clone(), self.limits.max_sessions_per_frame);
        let write = move || {
            // If the socket fails, the reader ends as well and returns the error.
            _ = write_queued(&writer_socket, &queued, max_entries);
            close(&writer_socket);
        };
        let ended = spawn("peer-ack-writer", self.limits.socket_thread_stack_bytes, write)
            .and_then(|()| self.receive_pushes(from, number, &socket));
        self.remove_inbound(from, number);
        ended
    }

    /// Checks that the peer expects this instance and uses the same protocol version and cluster.
    fn check(&self, hello: &Hello) -> Result<(), RejectionReason> {
        if hello.version != VERSION {
            return Err(RejectionReason::WrongVersion);
        }
        if hello.cluster != self.settings.cluster {
            return Err(RejectionReason::WrongCluster);
        }
        if hello.to != self.settings.instance {
            return Err(RejectionReason::WrongInstance);
        }
        Ok(())
    }

    /// Registers the connection, replacing an older one of the same peer, if the state machine accepts the
    /// peer.
    fn accept(&self, hello: &Hello, connection: Connection) -> Result<(), RejectionReason> {
        let mut state = self.lock();
        let mut actions = Vec::new();
        let event = Event::HelloReceived { peer: hello.from, incarnation: hello.incarnation };
        state.machine.handle(self.now(), event, &mut actions);
        let rejected = actions.iter().find_map(|action| match action {
            Action::Reject { reason, .. } => Some(*reason),
            _ => None,
        });
        if rejected.is_none()
            && let Some(old) = state.inbound.insert(hello.from, connection)
        {
            old.close();
        }
        self.execute_all(&mut state, actions);
        rejected.map_or(Ok(()), Err)
    }

    fn receive_pushes(&self, from: Instance, number: u64, socket: &TcpStream) -> io::Result<()> {
        loop {
            let Frame::Push(push) = frames::read(socket, self.limits.max_session_frame_bytes)? else {
                return Err(io::Error::other("expected a push frame"));
            };
            let mut state = self.lock();
            // Ignores frames of a connection that a newer one has replaced.
            if state.inbound.get(&from).is_none_or(|connection| connection.number != number) {
                return Ok(());
            }
            self.handle_locked(&mut state, Event::PushReceived { peer: from, push });
        }
    }

    fn remove_inbound(&self, from: Instance, number: u64) {
        let mut state = self.lock();
        if state.inbound.get(&from).is_some_and(|connection| connection.number == number) {
            state.inbound.remove(&from);
            self.handle_locked(&mut state, Event::InboundDisconnected { peer: from });
        }
    }
}
