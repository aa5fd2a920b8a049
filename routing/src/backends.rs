//! The backends actor. A backend manages the connections to one endpoint: it reuses the most recently used
//! ones and closes idle ones before the endpoint does. A single thread manages all backends, because a router
//! of a large fleet rarely uses most of its endpoints.
//!
//! A connection occupies a thread only during an exchange. Idle connections have none: with hundreds of
//! routers on one host, a thread for each idle connection would exhaust the host's thread limit.
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

/// Name of the thread that runs the backends actor.
const THREAD_NAME: &str = "backends";

/// Starts the backends actor and returns the sender to its mailbox.
///
/// # Errors
/// Returns the error of the operating system if the thread could not be started.
pub(crate) fn start<P: BackendProtocol>(resources: BackendResources<P>) -> std::io::Result<BackendSender<P>> {
    let (own_sender, mailbox) = bounded(resources.limits.mailbox_capacity);
    let (sender, stack_bytes) = (own_sender.clone(), resources.limits.socket_thread_stack_bytes);
    spawn(THREAD_NAME, stack_bytes, move || BackendsActor::new(resources, own_sender).run(&mailbox))?;
    Ok(sender)
}
