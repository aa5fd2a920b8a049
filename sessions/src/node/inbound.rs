//! Connections that others open: peers send their commits, and operators ask for this instance's status.
use super::Sessions;
use super::connection::{Connection, close, write_queued};
use crate::frames::{self, Frame, VERSION};
use crate::machine::{Action, Event, Instance, Why};
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
    /// Accepts connections, each on a thread of its own.
    pub(super) fn accept_all(self: &Arc<Self>, listener: &TcpListener) {
        for socket in listener.incoming() {
            let own = self.clone();
            let run = move || {
                if let Ok(socket) = socket
                    && let Err(error) = own.run_inbound(socket)
                {
                    tracing::debug!("sessions: a peer's connection has ended: {error}");
                }
            };
            if let Err(error) = spawn("peer-from", self.limits.routing_thread_stack_bytes, run) {
                tracing::error!("sessions: no thread for a peer: {error}");
            }
        }
    }

    /// One connection that somebody has opened.
    fn run_inbound(self: &Arc<Self>, socket: TcpStream) -> io::Result<()> {
        let (connection, queued) = self.connection(socket)?;
        let (socket, number) = (connection.socket.clone(), connection.number);
        let hello = match frames::read(&*socket, self.limits.max_session_frame_bytes)? {
            Frame::Hello { version, cluster, from, incarnation, to } => {
                Hello { version, cluster, from, incarnation, to }
            }
            Frame::Show => return frames::write(&*socket, &Frame::Shown(self.status())),
            _ => return Err(io::Error::other("no hello")),
        };
        let from = hello.from;
        if let Err(why) = self.check(&hello).and_then(|()| self.welcome(&hello, connection)) {
            let incarnation = hello.incarnation;
            tracing::warn!("sessions: instance {from} (incarnation {incarnation}) is not taken: {why:?}");
            return frames::write(&*socket, &Frame::Refused(why));
        }
        let (to_peer, max_entries) = (socket.clone(), self.limits.max_sessions_per_frame);
        let write = move || {
            // A socket that fails ends the reader too, which says why.
            _ = write_queued(&to_peer, &queued, max_entries);
            close(&to_peer);
        };
        let ended = spawn("peer-told", self.limits.socket_thread_stack_bytes, write)
            .and_then(|()| self.receive_pushes(from, number, &socket));
        self.end_inbound(from, number);
        ended
    }

    /// Whether the peer looks for this instance, in its protocol and cluster.
    fn check(&self, hello: &Hello) -> Result<(), Why> {
        if hello.version != VERSION {
            return Err(Why::WrongVersion);
        }
        if hello.cluster != self.settings.cluster {
            return Err(Why::WrongCluster);
        }
        if hello.to != self.settings.instance {
            return Err(Why::WrongInstance);
        }
        Ok(())
    }

    /// Makes this the peer's connection, in place of an older one, if the state machine accepts the peer.
    fn welcome(&self, hello: &Hello, connection: Connection) -> Result<(), Why> {
        let mut state = self.lock();
        let mut actions = Vec::new();
        state.machine.handle(self.now(), Event::Introduced(hello.from, hello.incarnation), &mut actions);
        let refused = actions.iter().find_map(|action| match action {
            Action::Refuse(_, why) => Some(*why),
            _ => None,
        });
        if refused.is_none()
            && let Some(old) = state.inbound.insert(hello.from, connection)
        {
            old.close();
        }
        self.carry_out_all(&mut state, actions);
        refused.map_or(Ok(()), Err)
    }

    fn receive_pushes(&self, from: Instance, number: u64, socket: &TcpStream) -> io::Result<()> {
        loop {
            let Frame::Push(push) = frames::read(socket, self.limits.max_session_frame_bytes)? else {
                return Err(io::Error::other("no push"));
            };
            let mut state = self.lock();
            // What an older connection still brings is ignored.
            if state.inbound.get(&from).is_none_or(|connection| connection.number != number) {
                return Ok(());
            }
            self.handle_locked(&mut state, Event::Pushed(from, push));
        }
    }

    fn end_inbound(&self, from: Instance, number: u64) {
        let mut state = self.lock();
        if state.inbound.get(&from).is_some_and(|connection| connection.number == number) {
            state.inbound.remove(&from);
            self.handle_locked(&mut state, Event::Left(from));
        }
    }
}
