//! The router actor: it feeds the decisions ([`decision::Router`]) with events and carries out the actions they return.
//! It owns the clock and the timers, never waits for a socket, and sends each request its single final response.
mod actor;
mod attempts;
mod capacity;
mod endpoint_record;
mod endpoint_updates;
mod handle;
mod placed_request;
mod placement_routing;
mod probing;
mod request_record;
mod requests;
mod transitions;

pub use handle::RouterHandle;

use crate::backends::BackendResources;
use crate::clock::Clock;
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

/// The name of the actor's thread.
const THREAD_NAME: &str = "router";

/// The dependencies and settings of the core.
pub struct RouterBuilder<P: BackendProtocol> {
    /// The wire protocol to endpoints.
    pub protocol: P,
    /// The settings of the decisions.
    pub settings: Settings,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The program's limits.
    pub limits: Arc<Limits>,
    /// The clock of the core's times and deadlines.
    pub clock: Clock,
    /// Records which endpoints respond; `None` if that is not needed.
    pub responded: Option<Arc<RespondedEndpoints>>,
    /// The metrics; `None` for a router without an admin address.
    pub metrics: Option<Arc<Metrics>>,
    /// The settings of placement, whose rules come with [`RouterHandle::update_placement`]; until the first update every
    /// request is rejected. Without these settings tenants and sites have no effect.
    pub placement: Option<placement::Settings>,
}

impl<P: BackendProtocol> RouterBuilder<P> {
    /// Starts the router actor and the endpoints actor; the backends actor starts with the first exchange.
    ///
    /// # Errors
    /// A thread could not be started.
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
        spawn_needed(THREAD_NAME, stack_bytes, move || actor.run(&mailbox))?;
        Ok((handle, endpoints))
    }
}
