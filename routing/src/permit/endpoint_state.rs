//! Shared flag that specifies whether an endpoint accepts new exchanges. The flag is written by the router
//! actor and read by the threads that start exchanges.
use super::denial::{Denial, Verdict};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Whether an endpoint currently accepts new exchanges. Clones share one state.
///
/// A new state is in service and not retired.
#[derive(Clone, Debug, Default)]
pub struct EndpointState(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    out_of_service: AtomicBool,
    retired: AtomicBool,
    /// Time at which the endpoint went out of service; `None` while it is in service.
    out_of_service_since: Mutex<Option<Instant>>,
}

impl EndpointState {
    /// Records whether the endpoint list has the endpoint in service. Returns `true` if this is a change.
    pub fn set_in_service(&self, in_service: bool) -> bool {
        let changed = self.0.out_of_service.swap(!in_service, Ordering::AcqRel) == in_service;
        if changed {
            self.set_out_of_service_since((!in_service).then(Instant::now));
        }
        changed
    }

    /// Marks the endpoint as permanently removed by the router actor.
    pub fn retire(&self) {
        self.0.retired.store(true, Ordering::Release);
        if self.out_of_service_since().is_none() {
            self.set_out_of_service_since(Some(Instant::now()));
        }
    }

    fn set_out_of_service_since(&self, at: Option<Instant>) {
        *self.0.out_of_service_since.lock().unwrap_or_else(PoisonError::into_inner) = at;
    }

    /// Returns the time at which the endpoint went out of service, if it has.
    pub fn out_of_service_since(&self) -> Option<Instant> {
        *self.0.out_of_service_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the router actor has removed the endpoint.
    pub fn is_retired(&self) -> bool {
        self.0.retired.load(Ordering::Acquire)
    }

    /// Permits a new exchange if the endpoint is in service and not removed.
    ///
    /// # Errors
    /// Returns [`Denial::EndpointRemoved`] or [`Denial::EndpointOutOfService`].
    pub fn permits_exchange(&self) -> Verdict {
        if self.is_retired() {
            Err(Denial::EndpointRemoved)
        } else if self.0.out_of_service.load(Ordering::Acquire) {
            Err(Denial::EndpointOutOfService)
        } else {
            Ok(())
        }
    }

    /// Returns whether [`EndpointState::permits_exchange`] permits an exchange.
    pub fn accepts_exchanges(&self) -> bool {
        self.permits_exchange().is_ok()
    }
}
