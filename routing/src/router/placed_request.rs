//! The route of a request by its tenant's placement rules.
use decision::{GroupId, Outcome, Request};
use placement::PlacementError;
use std::sync::Arc;

/// The reason for which no further attempt of a request is sent.
#[derive(Clone)]
pub(super) enum Stopped {
    /// The request is routed to another group now.
    Rerouted,
    /// Its tenant's placement rules allow no endpoint that could serve it.
    Denied(PlacementError),
}

/// The route of a request by placement rules.
pub(super) struct PlacedRequest {
    pub(super) tenant: Option<Arc<str>>,
    /// The request as it arrived, in its own group.
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

    /// Records the outcome of one of its attempts.
    pub(super) fn attempt_ended(&mut self, outcome: Outcome) {
        self.may_have_run |= !outcome.never_ran();
    }
}
