//! The actor of all backends. Each backend owns the connections to one endpoint, reuses the most recently used ones and
//! closes idle ones before the endpoint would. One thread does this for all: a router of a large fleet meets most
//! endpoints seldom.
//!
//! A connection has a thread only while it carries an exchange; an idle one is kept here without. A router keeps an idle
//! connection to most endpoints it meets, and hundreds of routers on one host with a thread for each of them would run
//! the host out of threads.
mod backend;
mod exchange;

use crate::endpoint_state::EndpointState;
use crate::idle_connection::ConnectionCount;
use crate::messages::{AddressedCommand, BackendCommand, BackendId, BackendSender, RouterMessage};
use crate::protocol::BackendProtocol;
use crate::spawn;
use backend::Backend;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use decision::MemberId;
use settings::Limits;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// Idle connections are looked at this many times within the time that they may be idle.
const IDLE_CHECKS_PER_LIFETIME: u32 = 4;

/// What every backend needs, whatever its endpoint.
pub(crate) struct BackendResources<P: BackendProtocol> {
    pub(crate) protocol: Arc<P>,
    pub(crate) limits: Arc<Limits>,
    /// The router actor's mailbox.
    pub(crate) router: Sender<RouterMessage<P>>,
    /// Connections of all backends together.
    pub(crate) connections: ConnectionCount,
}

impl<P: BackendProtocol> Clone for BackendResources<P> {
    fn clone(&self) -> Self {
        BackendResources {
            protocol: self.protocol.clone(),
            limits: self.limits.clone(),
            router: self.router.clone(),
            connections: self.connections.clone(),
        }
    }
}

/// Starts the actor and returns its mailbox.
pub(crate) fn start<P: BackendProtocol>(resources: BackendResources<P>) -> std::io::Result<BackendSender<P>> {
    let (own_sender, mailbox) = bounded(resources.limits.mailbox_capacity);
    let (sender, stack) = (own_sender.clone(), resources.limits.socket_thread_stack_bytes);
    spawn("peer", stack, move || {
        BackendsActor { resources, own_sender, backends: HashMap::new() }.run(&mailbox);
    })?;
    Ok(sender)
}

struct BackendsActor<P: BackendProtocol> {
    resources: BackendResources<P>,
    /// For the backends: their exchanges report to this actor's own mailbox.
    own_sender: BackendSender<P>,
    backends: HashMap<BackendId, Backend<P>>,
}

impl<P: BackendProtocol> BackendsActor<P> {
    fn run(mut self, mailbox: &Receiver<AddressedCommand<P>>) {
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
            // What still comes for a removed backend is the end of one of its exchanges.
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

    /// Closes expired idle connections, and finds what a full mailbox has lost: endpoints out of service and removed
    /// backends.
    fn close_expired(&mut self, mailbox: &Receiver<AddressedCommand<P>>) {
        self.backends.values_mut().for_each(Backend::close_expired);
        // Read before the mailbox is looked at: nothing is sent to a retired backend, but attempts that were sent before
        // still have to be reported.
        let retired: Vec<BackendId> =
            self.backends.iter().filter(|(_, backend)| backend.is_retired()).map(|(id, _)| *id).collect();
        if mailbox.is_empty() {
            retired.iter().for_each(|id| _ = self.backends.remove(id));
        }
    }
}
