//! Health checks: when members are probed, and the handling of probe results.
use super::{Action, GroupId, MemberId, MemberReport, Micros, Outcome, Router, Settings, elapsed};

/// Minimum time between two probes of a member, in units of [`Settings::min_event_interval`].
const MIN_EVENT_INTERVALS: i64 = 20;
/// Lower bound of the time between two probes of a member, in microseconds. Reports are about this old
/// anyway, and every router sends probes.
const MIN_INTERVAL: Micros = 100_000;
/// Backoff: how often the time between probes doubles at most while no primary is found or probes of a
/// member return no report.
const MAX_DOUBLINGS: u32 = 3;

/// The time until the next probe or primary search after this many consecutive failures.
fn probe_interval(settings: &Settings, failures: u32) -> Micros {
    (MIN_EVENT_INTERVALS * settings.min_event_interval).max(MIN_INTERVAL) << failures.min(MAX_DOUBLINGS)
}

impl Router {
    /// Probes all members of a group to find its primary, with backoff while none is found.
    pub(super) fn probe_for_primary(&mut self, group: GroupId) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        if self.now.0 - group.last_search_at.0 >= probe_interval(&self.settings, group.searches) {
            group.last_search_at = self.now;
            group.searches += 1;
            for member in group.members.clone() {
                self.probe(member);
            }
        }
    }

    /// Probes a member if it is ready, has no probe in flight and its probe interval has passed. Returns
    /// whether the probe was sent.
    pub(super) fn probe(&mut self, id: MemberId) -> bool {
        let Some(member) = self.members.get_mut(&id) else { return false };
        let interval = probe_interval(&self.settings, member.consecutive_failed_probes);
        let due = member.probes_in_flight == 0 && elapsed(self.now, member.last_probe_at) >= interval;
        if !self.settings.probing_allowed || !member.is_ready() || !due {
            return false;
        }
        member.probes_in_flight += 1;
        member.last_probe_at = Some(self.now);
        self.actions.push(Action::Probe { member: id });
        true
    }

    /// Handles the outcome and the report of a probe.
    pub(super) fn on_probe_ended(&mut self, id: MemberId, outcome: Outcome, report: MemberReport) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let group = member.listed.group;
        let failures = member.consecutive_failed_probes + 1;
        member.probes_in_flight = member.probes_in_flight.saturating_sub(1);
        member.consecutive_failed_probes = if report.primary.is_some() { 0 } else { failures };
        self.update_ejection(id, outcome);
        // A failed probe ejects a member only if no connection was established: requests may still succeed
        // there.
        if outcome == Outcome::ConnectFailed {
            self.eject(id, outcome);
            self.clear_primary(id);
        } else {
            self.apply_report(id, report);
        }
        self.refresh_group(group);
    }
}
