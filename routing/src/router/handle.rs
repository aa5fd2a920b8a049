//! The handle through which fronts and other subsystems reach the router actor.
use crate::clock::Clock;
use crate::messages::RouterMessage;
use crate::metrics::Metrics;
use crate::protocol::BackendProtocol;
use crate::request::ClientRequest;
use crate::wall_clock::WallClock;
use crossbeam_channel::Sender;
use decision::RequestId;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Hands requests and updates to the router actor. Copies reach the same actor.
///
/// While the program is ending, messages are dropped; the channel of a request's response then closes without one.
pub struct RouterHandle<P: BackendProtocol> {
    sender: Sender<RouterMessage<P>>,
    next_request: Arc<AtomicU64>,
    metrics: Option<Arc<Metrics>>,
    /// The clock of deadlines.
    pub clock: Clock,
    /// Converts times that other programs state to that clock.
    pub wall_clock: WallClock,
}

impl<P: BackendProtocol> Clone for RouterHandle<P> {
    fn clone(&self) -> Self {
        RouterHandle {
            sender: self.sender.clone(),
            next_request: self.next_request.clone(),
            metrics: self.metrics.clone(),
            clock: self.clock,
            wall_clock: self.wall_clock.clone(),
        }
    }
}

impl<P: BackendProtocol> RouterHandle<P> {
    pub(super) fn new(
        sender: Sender<RouterMessage<P>>,
        metrics: Option<Arc<Metrics>>,
        wall_clock: WallClock,
    ) -> Self {
        let clock = wall_clock.clock();
        RouterHandle { sender, next_request: Arc::default(), metrics, clock, wall_clock }
    }

    /// Hands over a request.
    pub fn submit(&self, request: ClientRequest<P>) -> RequestId {
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        self.send(RouterMessage::RequestArrived { id, request });
        id
    }

    /// The client of a request has disconnected.
    pub fn client_disconnected(&self, id: RequestId) {
        self.send(RouterMessage::ClientDisconnected(id));
    }

    /// The client of a request has cancelled it: it gets [`FinalResponse::Cancelled`] at once, unless it has its final
    /// response, and no further attempt is sent for it.
    ///
    /// [`FinalResponse::Cancelled`]: crate::FinalResponse::Cancelled
    pub fn cancel(&self, id: RequestId) {
        self.send(RouterMessage::RequestCancelled(id));
    }

    /// Counts a request of this class that was rejected before it reached the router actor.
    pub fn count_rejected(&self, class: usize) {
        if let Some(class) = self.metrics.as_ref().and_then(|metrics| metrics.classes.get(class)) {
            class.rejected.inc();
        }
    }

    /// Sets the number of processes that serve as this router, each of which uses an equal share of the capacity at
    /// endpoints.
    pub fn set_process_count(&self, processes: u32) {
        self.send(RouterMessage::ProcessCount(processes));
    }

    /// Sets the number of routers that share the capacity at endpoints, this one included. The processes of
    /// [`RouterHandle::set_process_count`] divide it further.
    pub fn set_router_count(&self, routers: u32) {
        self.send(RouterMessage::RouterCount(routers));
    }

    /// Updates the placement rules. They apply to requests that arrive later and to those that wait; without placement
    /// settings they have no effect.
    pub fn update_placement(&self, update: placement::RulesUpdate) {
        self.send(RouterMessage::Placement(update));
    }

    fn send(&self, message: RouterMessage<P>) {
        // An error means that the program is ending.
        _ = self.sender.send(message);
    }
}
