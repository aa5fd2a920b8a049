//! The actor of all backends: it creates and removes them, forwards commands, and closes idle connections in time.
use super::backend::Backend;
use super::resources::BackendResources;
use crate::messages::{AddressedCommand, BackendCommand, BackendId, BackendSender};
use crate::permit::EndpointState;
use crate::protocol::BackendProtocol;
use crossbeam_channel::{Receiver, RecvTimeoutError};
use decision::MemberId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

/// The number of checks of idle connections during the time that a connection may be idle.
const IDLE_CHECKS_PER_LIFETIME: u32 = 4;

pub(super) struct BackendsActor<P: BackendProtocol> {
    resources: BackendResources<P>,
    /// Sends to this actor's own mailbox; the exchanges of the backends report there.
    own_sender: BackendSender<P>,
    backends: HashMap<BackendId, Backend<P>>,
}

impl<P: BackendProtocol> BackendsActor<P> {
    pub(super) fn new(resources: BackendResources<P>, own_sender: BackendSender<P>) -> Self {
        BackendsActor { resources, own_sender, backends: HashMap::new() }
    }

    pub(super) fn run(mut self, mailbox: &Receiver<AddressedCommand<P>>) {
        let interval = self.resources.limits.backend_idle_timeout / IDLE_CHECKS_PER_LIFETIME;
        let mut last_check = Instant::now();
        loop {
            match mailbox.recv_timeout(interval.saturating_sub(last_check.elapsed())) {
                Ok(AddressedCommand { backend, command }) => self.handle(backend, command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if last_check.elapsed() >= interval {
                last_check = Instant::now();
                self.close_expired(mailbox);
            }
        }
    }

    fn handle(&mut self, id: BackendId, command: BackendCommand<P>) {
        match command {
            BackendCommand::Create { member, addr, state } => self.create(id, member, addr, state),
            BackendCommand::Remove => _ = self.backends.remove(&id),
            // A removed backend may still get the end of one of its exchanges, which is dropped.
            command => {
                if let Some(backend) = self.backends.get_mut(&id) {
                    backend.handle(command);
                }
            }
        }
    }

    fn create(&mut self, id: BackendId, member: MemberId, addr: SocketAddr, state: EndpointState) {
        let backend = Backend::new(id, member, addr, state, self.resources.clone(), self.own_sender.clone());
        self.backends.insert(id, backend);
    }

    /// Closes expired idle connections, and makes up for commands that a full mailbox has lost: endpoints out of service
    /// and removed backends.
    fn close_expired(&mut self, mailbox: &Receiver<AddressedCommand<P>>) {
        self.backends.values_mut().for_each(Backend::close_expired);
        // Read before the mailbox is checked: nothing is sent to a retired backend, but attempts that were sent before
        // still have to be reported.
        let retired: Vec<BackendId> =
            self.backends.iter().filter(|(_, backend)| backend.is_retired()).map(|(id, _)| *id).collect();
        if mailbox.is_empty() {
            retired.iter().for_each(|id| _ = self.backends.remove(id));
        }
    }
}
