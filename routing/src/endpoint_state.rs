//! Whether an endpoint accepts new exchanges, shared between the router actor, which knows, and whoever is about to
//! start one.
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether an endpoint accepts new exchanges, as the router actor knows it now. Copies share one state.
///
/// A new state is in service.
#[derive(Clone, Debug, Default)]
pub struct EndpointState(Arc<Flags>);

#[derive(Debug, Default)]
struct Flags {
    out_of_service: AtomicBool,
    retired: AtomicBool,
}

impl EndpointState {
    /// Records whether the endpoint list has the endpoint in service; returns `true` if that is a change.
    pub fn set_in_service(&self, in_service: bool) -> bool {
        self.0.out_of_service.swap(!in_service, Ordering::AcqRel) == in_service
    }

    /// Marks the endpoint as permanently removed from the router actor.
    pub fn retire(&self) {
        self.0.retired.store(true, Ordering::Release);
    }

    /// Whether the router actor has removed the endpoint.
    pub fn is_retired(&self) -> bool {
        self.0.retired.load(Ordering::Acquire)
    }

    /// Whether a new exchange may start: the endpoint is in service and not removed.
    pub fn accepts_exchanges(&self) -> bool {
        !self.0.out_of_service.load(Ordering::Acquire) && !self.is_retired()
    }
}
