//! Scheduling of probes and delivery of their reports to members.
use super::actor::{RouterActor, Timer};
use crate::messages::{BackendCommand, RouterMessage};
use crate::placement_subsets::{ProbeStart, ReportSource};
use crate::probe_spacing::ProbeTiming;
use crate::protocol::BackendProtocol;
use decision::{Event, GroupId, MemberId, MemberReport, Outcome};
use std::cmp::Reverse;

impl<P: BackendProtocol> RouterActor<P> {
    /// Probes a member at the request of the decision state machine.
    pub(super) fn probe_member(&mut self, member: MemberId) {
        let now = self.clock.now();
        let Some(subsets) = &mut self.subsets else { return self.schedule_probe(member) };
        match subsets.request_probe(member, now) {
            ProbeStart::Now(endpoint) => self.schedule_probe(endpoint),
            ProbeStart::At(endpoint, at) => self.timers.push(Reverse((at, Timer::Probe(endpoint)))),
            ProbeStart::AlreadyPending => {}
        }
        if let Some(group) = self.subsets.as_ref().and_then(|s| s.group_without_primary(member)) {
            self.probe_for_primary(group);
        }
    }

    /// Probes all endpoints of a group to find its primary, regardless of placement subsets.
    pub(super) fn probe_for_primary(&mut self, group: GroupId) {
        let now = self.clock.now();
        let Some(subsets) = &mut self.subsets else { return };
        for endpoint in subsets.primary_search_targets(group, now) {
            self.schedule_probe(endpoint);
        }
    }

    /// Probes an endpoint as soon as this process's share of the probe rate allows.
    pub(super) fn schedule_probe(&mut self, endpoint: MemberId) {
        match self.probe_spacing.schedule(endpoint, self.clock.now()) {
            ProbeTiming::Now => self.send_probe(endpoint),
            ProbeTiming::At(at) => self.timers.push(Reverse((at, Timer::SpacedProbe(endpoint)))),
            ProbeTiming::Cached(report) => self.end_probe_later(endpoint, Outcome::Ok, report),
        }
    }

    pub(super) fn send_probe(&mut self, endpoint: MemberId) {
        if !self.send_to_backend(endpoint, BackendCommand::Probe) {
            self.end_probe_later(endpoint, Outcome::NeverSent, MemberReport::default());
        }
    }

    /// Ends a probe that was not sent, after the current message is handled.
    fn end_probe_later(&mut self, endpoint: MemberId, outcome: Outcome, report: MemberReport) {
        self.defer(RouterMessage::ProbeEnded { member: endpoint, outcome, report });
    }

    /// Handles the end of a probe for all members that are waiting for it.
    pub(super) fn probe_ended(&mut self, endpoint: MemberId, outcome: Outcome, report: MemberReport) {
        self.record_responded(endpoint, outcome);
        self.probe_spacing.probe_ended(endpoint, report);
        self.record_placement_outcome(endpoint, outcome, &report, ReportSource::Probe);
        let now = self.clock.now();
        let members = match &mut self.subsets {
            None => vec![endpoint],
            Some(subsets) => subsets.probe_ended(endpoint, now, outcome, report),
        };
        for member in members {
            self.handle_decision_event(Event::ProbeEnded { member, outcome, report });
        }
    }

    /// Records that an endpoint has responded, if recording is enabled.
    pub(super) fn record_responded(&self, endpoint: MemberId, outcome: Outcome) {
        if let Some(responded) = self.responded.as_ref().filter(|_| outcome == Outcome::Ok)
            && let Some(record) = self.endpoints.get(&endpoint)
        {
            responded.record(&record.id);
        }
    }
}
