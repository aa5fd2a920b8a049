//! What the service acts on.
use client_listener::ServerCommand;
use crossbeam_channel::Sender;
use routing::{Clock, EndpointsHandle, Metrics};
use settings::Limits;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// What the commands act on.
pub struct ServiceDependencies {
    /// The metrics that `METRICS` reports.
    pub metrics: Arc<Metrics>,
    /// The endpoint list, which shows instances in maintenance as draining.
    pub endpoints: EndpointsHandle,
    /// Orders to the client listener: to drain, and how many processes of this router there are.
    pub client_orders: Sender<ServerCommand>,
    /// Sets whether the client listener answers readiness probes as draining (`true`). It takes effect before `PAUSE` is
    /// answered.
    pub set_draining: Box<dyn Fn(bool) + Send>,
    /// Whether this process accepts clients; without it `STATUS` is rejected.
    pub accepting: Arc<AtomicBool>,
    /// Sets how many processes, this one included, share what this router may use.
    pub set_process_count: Box<dyn Fn(u32) + Send>,
    /// The clock of maintenance times, the same in all processes of this router: Unix time.
    pub clock: Clock,
    /// The router's limits.
    pub limits: Arc<Limits>,
}
