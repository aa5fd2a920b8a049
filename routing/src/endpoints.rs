//! The actor that owns the endpoint list: it applies complete lists and changes in order, applies the operators'
//! maintenance mask to them, and forwards what has changed to the router actor.
mod actor;
mod message;
mod published;

use crate::endpoint::{EndpointUpdate, MaintenanceMask, UpdateOrder};
use crate::messages::RouterMessage;
use crate::metrics::Metrics;
use crate::protocol::BackendProtocol;
use crate::threads::spawn_needed;
use crate::wall_clock::WallClock;
use actor::EndpointsActor;
use crossbeam_channel::{Sender, bounded};
use message::EndpointsMessage;
use published::Published;
use settings::Limits;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// The name of the actor's thread.
const THREAD_NAME: &str = "endpoints";

/// Sends updates to the endpoint list. Copies reach the same list.
#[derive(Clone)]
pub struct EndpointsHandle {
    sender: Sender<EndpointsMessage>,
    published: Published,
}

impl EndpointsHandle {
    /// Sends an update that follows the ones before it; `false` if the program is ending.
    pub fn notify(&self, update: EndpointUpdate) -> bool {
        self.notify_ordered(UpdateOrder::Consecutive, update)
    }

    /// Sends an update that follows the ones before it in this order; `false` if the program is ending.
    pub fn notify_ordered(&self, order: UpdateOrder, update: EndpointUpdate) -> bool {
        self.sender.send(EndpointsMessage::Update { update, order }).is_ok()
    }

    /// Replaces the maintenance mask, for the current list and for all later updates; `false` if the program is ending.
    pub fn set_maintenance(&self, mask: MaintenanceMask) -> bool {
        self.sender.send(EndpointsMessage::SetMaintenance(mask)).is_ok()
    }

    /// Waits until everything sent before is applied and forwarded to the router actor: from then on
    /// [`EndpointsHandle::ids`] shows it, and every later request is decided with it. Returns `false` after `timeout`, or
    /// if the program is ending.
    pub fn wait_until_applied(&self, timeout: Duration) -> bool {
        let (done_sender, done) = bounded(1);
        self.sender.send(EndpointsMessage::Barrier(done_sender)).is_ok() && done.recv_timeout(timeout).is_ok()
    }

    /// The ids in the list. They are published together with the number of endpoints: a router without metrics shows none.
    pub fn ids(&self) -> BTreeSet<String> {
        self.published.ids()
    }

    /// The version that a watch resumes from.
    pub fn version(&self) -> u64 {
        self.published.version()
    }
}

/// Starts the actor, which forwards updates to `router`. Starts that updates state are converted to the router's own
/// clock.
///
/// # Errors
/// Its thread could not be started.
pub fn start<P: BackendProtocol>(
    limits: &Limits,
    router: Sender<RouterMessage<P>>,
    metrics: Option<Arc<Metrics>>,
    wall_clock: WallClock,
) -> std::io::Result<EndpointsHandle> {
    let (sender, mailbox) = bounded(limits.mailbox_capacity);
    let handle = EndpointsHandle { sender, published: Published::default() };
    let published = handle.published.clone();
    let actor = EndpointsActor::new(router, published, metrics, wall_clock);
    spawn_needed(THREAD_NAME, limits.socket_thread_stack_bytes, move || actor.run(&mailbox))?;
    Ok(handle)
}
