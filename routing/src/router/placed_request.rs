//! A request that is routed by its tenant's placement rules, and why its route may have ended.
use decision::{GroupId, Outcome, Request};
use placement::PlacementError;
use std::sync::Arc;

/// Why no further attempt of a request is sent.
#[derive(Clone)]
pub(super) enum Stopped {
    /// Its tenant's subset is another by now.
    Rerouted,
    /// Its tenant's data may not be anywhere that it could go to.
    Denied(PlacementError),
}

/// The route of a request by placement rules.
pub(super) struct PlacedRequest {
    pub(super) tenant: Option<Arc<str>>,
    /// As it arrived, in its own group.
    pub(super) request: Request,
    /// The group, perhaps a subset's, that it was routed to.
    pub(super) routed_to: GroupId,
    /// One of its attempts may have run.
    pub(super) may_have_run: bool,
    /// Set when its route has changed after its first attempt.
    pub(super) stopped: Option<Stopped>,
}

impl PlacedRequest {
    /// The group, perhaps a subset's, that it was routed to.
    pub(super) fn routed_to(&self) -> GroupId {
        self.routed_to
    }

    /// One of its attempts has ended like this.
    pub(super) fn attempt_ended(&mut self, outcome: Outcome) {
        self.may_have_run |= !outcome.never_ran();
    }
}
