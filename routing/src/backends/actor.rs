//! The backends actor: creates and removes backends, forwards commands to them, and closes expired idle
//! connections.
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

/// Number of checks for expired idle connections per idle timeout.
const IDLE_CHECKS_PER_TIMEOUT: u32 = 4;

pub(super) struct BackendsActor<P: BackendProtocol> {
    resources: BackendResources<P>,
    /// Sender to this actor's own mailbox, through which exchanges report their end.
    own_sender: BackendSender<P>,
    backends: HashMap<BackendId, Backend<P>>,
}

impl<P: BackendProtocol> BackendsActor<P> {
    pub(super) fn new(resources: BackendResources<P>, own_sender: BackendSender<P>) -> Self {
        BackendsActor { resources, own_sender, backends: HashMap::new() }
    }

    pub(super) fn run(mut self, mailbox: &Receiver<AddressedCommand<P>>) {
        let interval = self.resources.limits.backend_idle_timeout / IDLE_CHECKS_PER_TIMEOUT;
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
            // The end of an exchange may be reported after its backend was removed and is then ignored.
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

    /// Closes expired idle connections. This also compensates for commands that were lost because the mailbox
    /// was full: it closes connections of endpoints out of service and removes retired backends.
    fn close_expired(&mut self, mailbox: &Receiver<AddressedCommand<P>>) {
        self.backends.values_mut().for_each(Backend::close_expired);
        // The retired backends are determined before the mailbox is checked. Nothing is sent to a backend
        // after it is retired, but attempts that were sent earlier must still be reported.
        let retired: Vec<BackendId> =
            self.backends.iter().filter(|(_, backend)| backend.is_retired()).map(|(id, _)| *id).collect();
        if mailbox.is_empty() {
            retired.iter().for_each(|id| _ = self.backends.remove(id));
        }
    }
}
