//! Attempts: sending with their time limits, and the handling of their outcomes.
use super::{
    Action, Event, Freshness, GroupId, Idempotency, MemberId, MemberReport, Outcome, RequestId, SessionId,
    Time,
};
use super::{Attempt, DISTANT_PAST, PendingRequest, Router, SessionCommitSource};

/// The number of sessions whose commits are tracked individually; older ones are merged into one minimum
/// position.
const MAX_SESSIONS: usize = 4096;

impl Router {
    pub(super) fn send(&mut self, id: RequestId, member: MemberId) {
        let pending = &self.requests[&id];
        // No timeout before the request's own limit: members may continue to process abandoned work, so a
        // second attempt costs more than it saves.
        let ends_by = match self.class(pending).idempotency {
            Idempotency::NotIdempotent => pending.request.deadline,
            _ => self.useful_until(pending),
        };
        // A connection may have to be established before the first byte is sent. The limits apply to that
        // byte.
        let starts_by =
            ends_by.min(self.may_start_until(pending)).min(self.proven_fresh_until(pending, member));
        if let Some(member) = self.members.get_mut(&member) {
            member.in_flight += 1;
            member.abandoned_attempts.retain(|t| *t > self.now);
        }
        let attempt = Attempt { member, sent_at: self.now, outcome: None };
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.attempts.push(attempt);
        }
        self.dequeue(id);
        self.actions.push(Action::Send {
            request: id,
            member,
            timeout: (ends_by.0 - self.now.0).max(1),
            start_timeout: starts_by.0 - self.now.0,
        });
    }

    /// The time until which a member is proven fresh enough for a read of bounded staleness.
    fn proven_fresh_until(&self, pending: &PendingRequest, member: MemberId) -> Time {
        let primary = self.groups[&pending.request.group].primary;
        let needs_proof = !self.replicas_check_freshness() && primary != Some(member);
        match self.class(pending).freshness {
            Freshness::Bounded(bound) if needs_proof => Time(self.members[&member].position.0 + bound),
            _ => Time(i64::MAX),
        }
    }

    /// The time before which another attempt must start, according to the idempotency of the class.
    pub(super) fn may_start_until(&self, pending: &PendingRequest) -> Time {
        let Some(since) = pending.may_have_run_since else { return Time(i64::MAX) };
        match self.class(pending).idempotency {
            Idempotency::Idempotent => Time(i64::MAX),
            Idempotency::DeduplicatedInGroup(window) | Idempotency::DeduplicatedEverywhere(window) => {
                Time(since.0 + window - self.settings.min_event_interval)
            }
            Idempotency::DeduplicatedInZone(_) | Idempotency::NotIdempotent => DISTANT_PAST,
        }
    }

    pub(super) fn on_attempt_ended(&mut self, event: Event) {
        let Event::AttemptEnded {
            request: id,
            attempt,
            member,
            outcome,
            request_ended,
            response_report,
            commit,
            load_report,
        } = event
        else {
            return;
        };
        self.apply_response_report(member, response_report, commit);
        self.apply_report(member, load_report);
        if request_ended || outcome == Outcome::Ok {
            self.finish(id);
        }
        let Some(sent_at) = self.record_outcome(id, attempt, outcome) else { return };
        let pending = &self.requests[&id];
        let group = pending.request.group;
        let finished = pending.finished;
        self.update_health(member, id, (self.now.0 - sent_at.0) as f64, outcome);
        self.handle_outcome(id, member, outcome, commit);
        if !finished && self.requests[&id].no_attempt_in_flight() {
            self.retry(id, outcome);
        }
        self.remove_if_complete(id);
        self.refresh_group(group);
    }

    /// Applies the role, the position and the commit that a response states.
    fn apply_response_report(&mut self, id: MemberId, report: MemberReport, commit: Option<Time>) {
        self.update_member_state(id, report, commit);
        if report.primary != Some(false) {
            return;
        }
        if let Some(member) = self.members.get_mut(&id) {
            member.reported_replica_at = Some(self.now);
        }
    }

    /// Records the outcome of an attempt and returns when the attempt was sent. Returns `None` if the request
    /// or the attempt is unknown, or if the attempt had already ended.
    fn record_outcome(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Option<Time> {
        let pending = self.requests.get_mut(&id)?;
        let ended = pending.attempts.get_mut(attempt as usize)?;
        let sent_at = ended.sent_at;
        if ended.outcome.replace(outcome).is_some() {
            return None;
        }
        if !outcome.never_ran() && outcome != Outcome::Ok {
            let since = pending.may_have_run_since.map_or(sent_at, |earlier| earlier.min(sent_at));
            pending.may_have_run_since = Some(since);
        }
        Some(sent_at)
    }

    /// Handles the direct effects of an outcome: records commits, clears a primary that proved wrong, probes
    /// suspect members.
    fn handle_outcome(&mut self, id: RequestId, member: MemberId, outcome: Outcome, commit: Option<Time>) {
        let pending = &self.requests[&id];
        let is_write = self.class(pending).freshness == Freshness::Write;
        let is_primary =
            self.groups.get(&pending.request.group).is_some_and(|group| group.primary == Some(member));
        match outcome {
            Outcome::Ok => self.on_served(id, member, commit),
            Outcome::ConnectFailed => self.clear_primary(member),
            Outcome::NotEligible if is_write => self.clear_primary(member),
            Outcome::Reset => self.probe_after_reset(member),
            Outcome::TimedOut if is_primary => _ = self.probe(member),
            _ => {}
        }
    }

    /// Probes a member after a connection reset, to find out whether its process has failed as well.
    fn probe_after_reset(&mut self, id: MemberId) {
        if let Some(member) = self.members.get_mut(&id) {
            member.reset_awaits_probe = true;
        }
        self.probe(id);
    }

    /// Records the commit of a write, and ejects members that returned an error to a request that another
    /// member served. Errors that a request causes at every member eject no member.
    fn on_served(&mut self, id: RequestId, member: MemberId, commit: Option<Time>) {
        let pending = &self.requests[&id];
        let failed_elsewhere = |a: &&Attempt| a.outcome == Some(Outcome::Error) && a.member != member;
        let failed_members: Vec<MemberId> =
            pending.attempts.iter().filter(failed_elsewhere).map(|a| a.member).collect();
        if let (Some(session), Some(commit)) = (pending.request.session, commit) {
            self.record_commit(pending.request.group, session, commit);
        }
        for member in failed_members {
            self.eject(member, Outcome::Error);
        }
    }

    pub(super) fn record_commit(&mut self, group: GroupId, session: SessionId, commit: Time) {
        if self.settings.session_commit_source != SessionCommitSource::RememberedByRouter {
            return;
        }
        let latest = self.session_commits.entry((group, session)).or_insert(commit);
        *latest = commit.max(*latest);
        self.evict_old_sessions();
    }

    /// Merges the older half of the tracked sessions into the minimum position when there are too many.
    fn evict_old_sessions(&mut self) {
        if self.session_commits.len() > MAX_SESSIONS {
            let mut commits: Vec<Time> = self.session_commits.values().copied().collect();
            let (_, &mut median, _) = commits.select_nth_unstable(MAX_SESSIONS / 2);
            self.minimum_position = self.minimum_position.max(Some(median));
            self.session_commits.retain(|_, commit| *commit > median);
        }
    }
}
