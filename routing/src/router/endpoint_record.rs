//! The router actor's record of each listed endpoint.
use crate::messages::{AddressedCommand, BackendCommand, BackendId, BackendSender};
use crate::permit::EndpointState;
use crate::protocol::BackendProtocol;
use std::net::SocketAddr;

/// ID of a backend, and the sender to the backends actor.
pub(super) struct BackendRef<P: BackendProtocol> {
    pub(super) id: BackendId,
    pub(super) sender: BackendSender<P>,
}

/// A listed endpoint and the backend that runs its exchanges.
pub(super) struct EndpointRecord<P: BackendProtocol> {
    /// Endpoint ID in the endpoint list.
    pub(super) id: String,
    pub(super) addr: SocketAddr,
    /// Whether the endpoint accepts exchanges. Attempts read this immediately before they start.
    pub(super) state: EndpointState,
    /// The endpoint's backend; it is created when the first exchange is sent, because a router with a long
    /// list sends nothing to most endpoints.
    pub(super) backend: Option<BackendRef<P>>,
}

impl<P: BackendProtocol> EndpointRecord<P> {
    pub(super) fn new(id: String, addr: SocketAddr) -> Self {
        EndpointRecord { id, addr, state: EndpointState::default(), backend: None }
    }

    /// Sends a command to the endpoint's backend. Returns `false` if there is no backend or its mailbox is
    /// full. This never blocks, because the backends actor may be waiting for the router actor. Information
    /// that must not be lost is stored in the [`EndpointState`] or the guard of an attempt.
    pub(super) fn send(&self, command: BackendCommand<P>) -> bool {
        let Some(BackendRef { id, sender }) = &self.backend else { return false };
        sender.try_send(AddressedCommand { backend: *id, command }).is_ok()
    }

    /// Sets whether the endpoint accepts exchanges. When it stops accepting them, its idle connections are
    /// closed.
    pub(super) fn set_in_service(&self, in_service: bool) {
        let changed = self.state.set_in_service(in_service);
        if changed && !in_service {
            self.send(BackendCommand::CloseIdle);
        }
    }

    /// Permanently removes the endpoint's backend.
    pub(super) fn retire(&self) {
        self.state.retire();
        self.send(BackendCommand::Remove);
    }
}
