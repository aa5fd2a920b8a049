//! The endpoints actor owns the endpoint list. It applies complete lists and incremental updates in order,
//! applies the operators' maintenance mask, and forwards changes to the router actor.
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

/// Name of the thread that runs the endpoints actor.
const THREAD_NAME: &str = "endpoints";

/// Handle for sending updates to the endpoints actor. Clones refer to the same actor.
#[derive(Clone)]
pub struct EndpointsHandle {
    sender: Sender<EndpointsMessage>,
    published: Published,
}

impl EndpointsHandle {
    /// Sends an update with [`UpdateOrder::Consecutive`]. Returns `false` if the program is shutting down.
    pub fn notify(&self, update: EndpointUpdate) -> bool {
        self.notify_ordered(UpdateOrder::Consecutive, update)
    }

    /// Sends an update with the given order. Returns `false` if the program is shutting down.
    pub fn notify_ordered(&self, order: UpdateOrder, update: EndpointUpdate) -> bool {
        self.sender.send(EndpointsMessage::Update { update, order }).is_ok()
    }

    /// Replaces the maintenance mask, which applies to the current list and to all later updates. Returns
    /// `false` if the program is shutting down.
    pub fn set_maintenance(&self, mask: MaintenanceMask) -> bool {
        self.sender.send(EndpointsMessage::SetMaintenance(mask)).is_ok()
    }

    /// Waits until all earlier messages are applied and forwarded to the router actor. After that,
    /// [`EndpointsHandle::ids`] includes them and every new request is routed by the updated list. Returns
    /// `false` after `timeout` or if the program is shutting down.
    pub fn wait_until_applied(&self, timeout: Duration) -> bool {
        let (done_sender, done) = bounded(1);
        self.sender.send(EndpointsMessage::Barrier(done_sender)).is_ok() && done.recv_timeout(timeout).is_ok()
    }

    /// Returns the IDs of the listed endpoints, which are published only if the router has metrics; otherwise
    /// the set is empty.
    pub fn ids(&self) -> BTreeSet<String> {
        self.published.ids()
    }

    /// Returns the list version from which a watch resumes.
    pub fn version(&self) -> u64 {
        self.published.version()
    }
}

/// Starts the endpoints actor, which forwards updates to `router`. Endpoint start times in updates are
/// converted to the router's own clock.
///
/// # Errors
/// Returns the error of the operating system if the thread could not be started.
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
