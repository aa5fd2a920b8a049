//! The parts of the router that the service uses.
use super::shared_commits::SharedCommits;
use client_listener::ServerCommand;
use crossbeam_channel::Sender;
use routing::{Clock, EndpointsHandle, Metrics};
use settings::Limits;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// The parts of the router that commands read or change.
pub struct ServiceDependencies {
    /// The metrics that `METRICS` reports.
    pub metrics: Arc<Metrics>,
    /// The endpoint list, which shows instances in maintenance as draining.
    pub endpoints: EndpointsHandle,
    /// Sends commands to the client listener: to drain, and how many processes of this router there are.
    pub client_commands: Sender<ServerCommand>,
    /// Sets whether the client listener responds to readiness probes as draining (`true`). It must take
    /// effect before the response to `PAUSE`.
    pub set_draining: Box<dyn Fn(bool) + Send>,
    /// Whether this process accepts clients; `STATUS` is rejected while it is `false`.
    pub accepting: Arc<AtomicBool>,
    /// Sets how many processes, including this one, share the router's limits.
    pub set_process_count: Box<dyn Fn(u32) + Send>,
    /// The session commits that the processes of this router share; `None` if they do not need any.
    pub commits: Option<Arc<SharedCommits>>,
    /// The clock for maintenance times, the same in all processes of this router: Unix time.
    pub clock: Clock,
    /// The limits that the router is configured with.
    pub limits: Arc<Limits>,
}
