//! The backends actor. A backend owns the connections to one endpoint, reuses the most recently used ones and closes idle
//! ones before the endpoint would. One thread serves all backends, since a router of a large fleet uses most endpoints
//! seldom.
//!
//! A connection has a thread only while it carries an exchange. Idle connections have none: hundreds of routers on one
//! host, with a thread for each idle connection, would use up the threads of the host.
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

/// The name of the actor's thread.
const THREAD_NAME: &str = "backends";

/// Starts the actor and returns its mailbox.
///
/// # Errors
/// Its thread could not be started.
pub(crate) fn start<P: BackendProtocol>(resources: BackendResources<P>) -> std::io::Result<BackendSender<P>> {
    let (own_sender, mailbox) = bounded(resources.limits.mailbox_capacity);
    let (sender, stack_bytes) = (own_sender.clone(), resources.limits.socket_thread_stack_bytes);
    spawn(THREAD_NAME, stack_bytes, move || BackendsActor::new(resources, own_sender).run(&mailbox))?;
    Ok(sender)
}
