//! The record of each listed endpoint.
use crate::messages::{AddressedCommand, BackendCommand, BackendId, BackendSender};
use crate::permit::EndpointState;
use crate::protocol::BackendProtocol;
use std::net::SocketAddr;

/// The id of a backend, and the mailbox of the actor that runs it.
pub(super) struct BackendRef<P: BackendProtocol> {
    pub(super) id: BackendId,
    pub(super) sender: BackendSender<P>,
}

/// A listed endpoint, and the backend that carries out its exchanges.
pub(super) struct EndpointRecord<P: BackendProtocol> {
    /// Its id in the endpoint list.
    pub(super) id: String,
    pub(super) addr: SocketAddr,
    /// Whether it accepts exchanges, which its attempts read before they start.
    pub(super) state: EndpointState,
    /// Created with the first exchange: a router sends nothing to most endpoints of a long list.
    pub(super) backend: Option<BackendRef<P>>,
}

impl<P: BackendProtocol> EndpointRecord<P> {
    pub(super) fn new(id: String, addr: SocketAddr) -> Self {
        EndpointRecord { id, addr, state: EndpointState::default(), backend: None }
    }

    /// Sends a command to its backend, if that exists; `false` if it can't be sent. The backends actor may be waiting for
    /// the router actor, so the router actor never waits for it. What must not be lost is written to the
    /// [`EndpointState`] or to an attempt's guard.
    pub(super) fn send(&self, command: BackendCommand<P>) -> bool {
        let Some(BackendRef { id, sender }) = &self.backend else { return false };
        sender.try_send(AddressedCommand { backend: *id, command }).is_ok()
    }

    /// Sets whether the endpoint accepts exchanges; one that stops to has its idle connections closed.
    pub(super) fn set_in_service(&self, in_service: bool) {
        let changed = self.state.set_in_service(in_service);
        if changed && !in_service {
            self.send(BackendCommand::CloseIdle);
        }
    }

    /// Removes the endpoint's backend for good.
    pub(super) fn retire(&self) {
        self.state.retire();
        self.send(BackendCommand::Remove);
    }
}
