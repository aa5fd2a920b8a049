//! Handle for sending requests and updates to the router actor.
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

/// Sends requests and updates to the router actor. Clones refer to the same actor.
///
/// Messages are dropped while the program is shutting down. The response channel of a dropped request is
/// closed without a response.
pub struct RouterHandle<P: BackendProtocol> {
    sender: Sender<RouterMessage<P>>,
    next_request: Arc<AtomicU64>,
    metrics: Option<Arc<Metrics>>,
    /// Clock that request deadlines refer to.
    pub clock: Clock,
    /// Converts times that other programs report to the router's clock.
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

    /// Submits a request and returns the ID that was assigned to it.
    pub fn submit(&self, request: ClientRequest<P>) -> RequestId {
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        self.send(RouterMessage::RequestArrived { id, request });
        id
    }

    /// Notifies the router actor that the client of a request has disconnected.
    pub fn client_disconnected(&self, id: RequestId) {
        self.send(RouterMessage::ClientDisconnected(id));
    }

    /// Notifies the router actor that the client has cancelled a request. The request gets
    /// [`FinalResponse::Cancelled`] immediately unless it already has a final response, and no further
    /// attempt is sent.
    ///
    /// [`FinalResponse::Cancelled`]: crate::FinalResponse::Cancelled
    pub fn cancel(&self, id: RequestId) {
        self.send(RouterMessage::RequestCancelled(id));
    }

    /// Counts a rejected request of this class that was not submitted to the router actor.
    pub fn count_rejected(&self, class: usize) {
        if let Some(class) = self.metrics.as_ref().and_then(|metrics| metrics.classes.get(class)) {
            class.rejected.inc();
        }
    }

    /// Sets the number of processes that run as this router. Each of them uses an equal share of the router's
    /// capacity at endpoints.
    pub fn set_process_count(&self, processes: u32) {
        self.send(RouterMessage::ProcessCount(processes));
    }

    /// Sets the number of routers that share the capacity of endpoints, including this one. Each router's
    /// share is divided further by the number set with [`RouterHandle::set_process_count`].
    pub fn set_router_count(&self, routers: u32) {
        self.send(RouterMessage::RouterCount(routers));
    }

    /// Updates the placement rules, which apply to new requests and to requests that are waiting. Without
    /// placement settings this has no effect.
    pub fn update_placement(&self, update: placement::RulesUpdate) {
        self.send(RouterMessage::Placement(update));
    }

    /// Notifies the router actor that the shutdown of the process begins now: from now on, each request gets
    /// its final response within the shutdown timeouts of [`settings::Limits`].
    pub fn shutdown_started(&self) {
        self.send(RouterMessage::ShutdownStarted { at: self.clock.now() });
    }

    fn send(&self, message: RouterMessage<P>) {
        // Sending fails only while the program is shutting down.
        _ = self.sender.send(message);
    }
}
