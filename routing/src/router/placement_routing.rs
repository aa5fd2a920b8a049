//! Routes requests by their tenants' placement rules. A request is sent to the subset of its tenant, and
//! waiting requests are routed again when subsets change. Without placement settings this module has no
//! effect.
use super::actor::{RouterActor, Timer};
use super::placed_request::{PlacedRequest, StopReason};
use super::request_record::RequestRecord;
use crate::final_response::FinalResponse;
use crate::permit::Denial;
use crate::placement_subsets::{OutcomeEffects, ReportSource, ReportedRole, RoutingResult, SubsetChange};
use crate::protocol::BackendProtocol;
use crate::reasons::EndReason;
use decision::{Event, GroupId, MemberId, MemberReport, Outcome, Request, RequestId};
use placement::PlacementError;
use std::cmp::Reverse;
use std::sync::Arc;

impl<P: BackendProtocol> RouterActor<P> {
    /// Routes a newly submitted request. Returns `None` if placement is disabled.
    ///
    /// # Errors
    /// Returns the placement error if the tenant's rules allow no endpoint that could serve the request.
    pub(super) fn apply_placement_rules(
        &mut self,
        tenant: Option<Arc<str>>,
        request: &Request,
    ) -> Result<Option<Box<PlacedRequest>>, PlacementError> {
        if self.subsets.is_none() {
            return Ok(None);
        }
        let routed_to = self.route(tenant.as_deref(), request.class, request.group)?;
        let request = request.clone();
        let placed = PlacedRequest { tenant, request, routed_to, may_have_run: false, stop_reason: None };
        Ok(Some(Box::new(placed)))
    }

    fn route(
        &mut self,
        tenant: Option<&str>,
        class: usize,
        group: GroupId,
    ) -> Result<GroupId, PlacementError> {
        let now = self.clock.now();
        let Some(subsets) = &mut self.subsets else { return Ok(group) };
        let RoutingResult { group: routed, change } =
            subsets.route(now, tenant, class, group, &mut self.member_ids);
        self.apply_subset_change(change);
        if let Err(PlacementError::PrimaryOutside { group, .. }) = &routed {
            self.probe_for_primary(*group);
        }
        routed
    }

    /// Notifies the decision state machine of a subset change, and prevents unstarted attempts from starting
    /// at members that have left their subset.
    pub(super) fn apply_subset_change(&mut self, change: SubsetChange) {
        let SubsetChange { entries, removed_aliases, reroute, timer } = change;
        if let Some(at) = timer {
            self.timers.push(Reverse((at, Timer::Placement)));
        }
        self.cancel_unstarted_at(&removed_aliases);
        if !entries.is_empty() {
            self.handle_decision_event(Event::MemberListChanged {
                complete: false,
                entries: entries.into_values().collect(),
            });
        }
        if reroute {
            self.reroute_all();
        }
    }

    /// Prevents unstarted attempts at these members from starting.
    pub(super) fn cancel_unstarted_at(&self, removed_aliases: &[MemberId]) {
        if removed_aliases.is_empty() {
            return;
        }
        let in_flight = self.requests.values().flat_map(|record| &record.in_flight);
        for attempt in in_flight.filter(|attempt| removed_aliases.contains(&attempt.member)) {
            attempt.guard.cancel_if_unstarted(Denial::PlacementChanged);
        }
    }

    /// Returns the canonical member ID of a member's endpoint.
    pub(super) fn canonical_id(&self, member: MemberId) -> MemberId {
        self.subsets.as_ref().map_or(member, |subsets| subsets.canonical_id(member))
    }

    pub(super) fn handle_placement(&mut self, event: placement::Event) {
        let now = self.clock.now();
        let Some(subsets) = &mut self.subsets else { return };
        let change = subsets.handle(now, event, &mut self.member_ids);
        self.apply_subset_change(change);
    }

    /// Records the role that a member has reported and whether the member was reachable.
    pub(super) fn record_placement_outcome(
        &mut self,
        member: MemberId,
        outcome: Outcome,
        report: &MemberReport,
        source: ReportSource,
    ) {
        let now = self.clock.now();
        let Some(subsets) = &mut self.subsets else { return };
        let reported = report.primary.map(|primary| ReportedRole { primary, source });
        let OutcomeEffects { change, to_notify } =
            subsets.record_outcome(now, member, outcome, reported, &mut self.member_ids);
        self.apply_subset_change(change);
        if source == ReportSource::Probe {
            // For a probe, `probe_ended` notifies all members.
            return;
        }
        for member in to_notify {
            self.handle_decision_event(Event::ProbeEnded { member, outcome, report: *report });
        }
    }

    /// Routes all requests again that are waiting for a response.
    fn reroute_all(&mut self) {
        let is_waiting = |record: &RequestRecord<P>| record.awaits_response() && record.placed.is_some();
        let mut waiting: Vec<RequestId> =
            self.requests.iter().filter(|(_, record)| is_waiting(record)).map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        waiting.into_iter().for_each(|id| self.reroute(id));
    }

    /// Routes a request again if it is waiting for a response.
    fn reroute(&mut self, id: RequestId) {
        let Some(record) = self.requests.get(&id).filter(|record| record.awaits_response()) else { return };
        let Some(placed) = &record.placed else { return };
        if placed.stop_reason.is_some() {
            return self.end_stopped_request(id);
        }
        let (tenant, before) = (placed.tenant.clone(), placed.routed_to);
        let (class, group) = (placed.request.class, placed.request.group);
        let routed = self.route(tenant.as_deref(), class, group);
        if routed == Ok(before) {
            return;
        }
        // `route` may have re-entered this function for the same request and sent its response.
        let Some(record) = self.requests.get_mut(&id).filter(|record| record.awaits_response()) else {
            return;
        };
        let has_attempts = record.attempt_count > 0;
        let Some(placed) = record.placed.as_mut().filter(|p| p.routed_to == before) else { return };
        if !has_attempts {
            return self.submit_rerouted(id, routed);
        }
        // A request with attempts cannot be resubmitted, because its attempts are already numbered. Attempts
        // in flight are left to complete.
        if placed.stop_reason.is_none() {
            placed.stop_reason = Some(routed.map_or_else(StopReason::Denied, |_| StopReason::Rerouted));
            self.handle_decision_event(Event::ResponseStarted { request: id });
            self.cancel_unstarted_attempts(id, Denial::PlacementChanged);
            self.end_stopped_request(id);
        }
    }

    /// Resubmits a request that has no attempts to the decision state machine, with the new group.
    fn submit_rerouted(&mut self, id: RequestId, routed: Result<GroupId, PlacementError>) {
        let routed_to = match routed {
            Ok(routed_to) => routed_to,
            Err(error) => {
                self.handle_decision_event(Event::ClientDisconnected { request: id });
                return self.respond(id, FinalResponse::PlacementDenied(error), EndReason::PlacementDenied);
            }
        };
        let Some(placed) = self.requests.get_mut(&id).and_then(|record| record.placed.as_mut()) else {
            return;
        };
        placed.routed_to = routed_to;
        let request = Request { group: routed_to, ..placed.request.clone() };
        self.handle_decision_event(Event::ClientDisconnected { request: id });
        self.handle_decision_event(Event::RequestArrived(request));
    }

    /// Sends the final response of a request whose route has changed after its first attempt, once no attempt
    /// is in flight.
    fn end_stopped_request(&mut self, id: RequestId) {
        let Some(record) = self.requests.get(&id).filter(|record| record.in_flight.is_empty()) else {
            return;
        };
        let Some(placed) = &record.placed else { return };
        let Some(stop_reason) = placed.stop_reason.clone() else { return };
        let response = match stop_reason {
            _ if placed.may_have_run => FinalResponse::Failed(record.last_outcome),
            StopReason::Denied(error) => FinalResponse::PlacementDenied(error),
            StopReason::Rerouted => FinalResponse::Rejected(None),
        };
        self.respond(id, response, EndReason::PlacementDenied);
    }

    /// Routes a request again after its last attempt in flight has ended.
    pub(super) fn reroute_after_attempt(&mut self, id: RequestId) {
        let idle = |record: &RequestRecord<P>| record.in_flight.is_empty();
        if self.subsets.is_some() && self.requests.get(&id).is_some_and(idle) {
            self.reroute(id);
        }
    }
}
