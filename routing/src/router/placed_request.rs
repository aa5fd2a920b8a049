//! The routing state of a request that is subject to placement rules.
use decision::{GroupId, Outcome, Request};
use placement::PlacementError;
use std::sync::Arc;

/// Reason for which no further attempt of a request is sent.
#[derive(Clone)]
pub(super) enum StopReason {
    /// The request is now routed to a different group.
    Rerouted,
    /// The tenant's placement rules no longer allow any endpoint that could serve the request.
    Denied(PlacementError),
}

/// The routing state of a request that is subject to placement rules.
pub(super) struct PlacedRequest {
    pub(super) tenant: Option<Arc<str>>,
    /// The request as submitted, with its original group.
    pub(super) request: Request,
    /// Group that the request is currently routed to, which may be a placement subset.
    pub(super) routed_to: GroupId,
    /// Whether one of the attempts may have run.
    pub(super) may_have_run: bool,
    /// Set if the route has changed after the first attempt was sent.
    pub(super) stop_reason: Option<StopReason>,
}

impl PlacedRequest {
    /// Group that the request is currently routed to, which may be a placement subset.
    pub(super) fn routed_to(&self) -> GroupId {
        self.routed_to
    }

    /// Records the outcome of an attempt of this request.
    pub(super) fn attempt_ended(&mut self, outcome: Outcome) {
        self.may_have_run |= !outcome.never_ran();
    }
}
