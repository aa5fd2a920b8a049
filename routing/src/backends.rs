//! The actor of all backends. Each backend owns the connections to one endpoint, reuses the most recently used ones and
//! closes idle ones before the endpoint would. One thread does this for all: a router of a large fleet meets most
//! endpoints seldom.
//!
//! A connection has a thread only while it carries an exchange; an idle one is kept here without. A router keeps an idle
//! connection to most endpoints it meets, and hundreds of routers on one host with a thread for each of them would run
//! the host out of threads.
mod actor;
mod backend;
mod exchange;
mod resources;

pub(crate) use resources::BackendResources;

use crate::messages::BackendSender;
use crate::protocol::BackendProtocol;
use crate::threads::spawn;
use actor::BackendsActor;
use crossbeam_channel::bounded;

/// Starts the actor and returns its mailbox.
///
/// # Errors
/// Its thread could not be started.
pub(crate) fn start<P: BackendProtocol>(resources: BackendResources<P>) -> std::io::Result<BackendSender<P>> {
    let (own_sender, mailbox) = bounded(resources.limits.mailbox_capacity);
    let (sender, stack_bytes) = (own_sender.clone(), resources.limits.socket_thread_stack_bytes);
    spawn("peer", stack_bytes, move || BackendsActor::new(resources, own_sender).run(&mailbox))?;
    Ok(sender)
}
