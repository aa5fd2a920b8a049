//! The router actor: passes events to the decision state machine ([`decision::Router`]) and performs the
//! actions that it returns. The actor owns the clock and the timers, never blocks on a socket, and sends each
//! request exactly one final response.
mod actor;
mod attempts;
mod capacity;
mod commits;
mod endpoint_record;
mod endpoint_updates;
mod handle;
mod placed_request;
mod placement_routing;
mod probing;
mod request_record;
mod requests;
mod shutdown;
mod shutdown_deadlines;
mod transitions;

pub use handle::RouterHandle;

use crate::backends::BackendResources;
use crate::clock::Clock;
use crate::commit_sharing::CommitSharing;
use crate::endpoints::{self, EndpointsHandle};
use crate::idle_connection::ConnectionCount;
use crate::metrics::Metrics;
use crate::placement_subsets::PlacementSubsets;
use crate::protocol::BackendProtocol;
use crate::responded_endpoints::RespondedEndpoints;
use crate::threads::spawn_needed;
use crate::wall_clock::WallClock;
use actor::RouterActor;
use crossbeam_channel::bounded;
use decision::Settings;
use settings::Limits;
use std::sync::Arc;

/// Name of the thread that runs the router actor.
const THREAD_NAME: &str = "router";

/// Configuration and dependencies from which the router actor and the endpoints actor are started.
pub struct RouterBuilder<P: BackendProtocol> {
    /// Wire protocol that is used to communicate with endpoints.
    pub protocol: P,
    /// Settings of the decision state machine.
    pub settings: Settings,
    /// Seed of the random number generator of the decision state machine.
    pub seed: u64,
    /// Resource limits and timeouts of the process.
    pub limits: Arc<Limits>,
    /// Clock that all times and deadlines in the core refer to.
    pub clock: Clock,
    /// Records which endpoints have responded; `None` disables recording.
    pub responded: Option<Arc<RespondedEndpoints>>,
    /// Metrics of the router; `None` if the router has no admin address.
    pub metrics: Option<Arc<Metrics>>,
    /// Shares the commits of sessions with other processes of this router; `None` if this is the only one, or if
    /// requests contain the commits that they must see.
    pub commit_sharing: Option<Arc<dyn CommitSharing>>,
    /// Settings of tenant placement; `None` disables placement, so tenants and sites have no effect. The
    /// rules are delivered by [`RouterHandle::update_placement`], and every request is rejected until the
    /// first update is received.
    pub placement: Option<placement::Settings>,
}

impl<P: BackendProtocol> RouterBuilder<P> {
    /// Starts the router actor and the endpoints actor. The backends actor is started when the first exchange
    /// is sent.
    ///
    /// # Errors
    /// Returns the error of the operating system if a thread could not be started.
    pub fn start(self) -> std::io::Result<(RouterHandle<P>, EndpointsHandle)> {
        let (sender, mailbox) = bounded(self.limits.mailbox_capacity);
        let wall_clock = WallClock::new(self.clock);
        let endpoints =
            endpoints::start(&self.limits, sender.clone(), self.metrics.clone(), wall_clock.clone())?;
        let handle = RouterHandle::new(sender.clone(), self.metrics.clone(), wall_clock);
        let stack_bytes = self.limits.routing_thread_stack_bytes;
        let subsets = |settings| Box::new(PlacementSubsets::new(settings, &self.settings.classes));
        let subsets = self.placement.map(subsets);
        let resources = BackendResources {
            protocol: Arc::new(self.protocol),
            limits: self.limits,
            router: sender,
            connections: ConnectionCount::default(),
        };
        let mut actor = RouterActor::new(self.settings, self.seed, self.clock, resources);
        actor.subsets = subsets;
        actor.responded = self.responded;
        actor.metrics = self.metrics;
        actor.commit_sharing = self.commit_sharing;
        spawn_needed(THREAD_NAME, stack_bytes, move || actor.run(&mailbox))?;
        Ok((handle, endpoints))
    }
}
