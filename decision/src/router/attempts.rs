//! Attempts: what is sent with which time limits, and what the end of an attempt leads to.
use super::{Action, Event, Freshness, Idempotency, MemberId, Outcome, Time};
use super::{Attempt, LONG_AGO, PendingRequest, RequestId, Router, SessionCommitSource};

/// Sessions remembered one by one; older ones fold into one minimum position.
const MAX_SESSIONS: usize = 4096;

impl Router {
    pub(super) fn send(&mut self, id: RequestId, member: MemberId) {
        let pending = &self.requests[&id];
        let (class, group) = (self.class(pending), &self.groups[&pending.request.group]);
        // No early timeout: where work given up goes on, a second try costs more than it saves.
        let timeout = match class.idempotency {
            Idempotency::NotIdempotent => pending.request.deadline.0 - self.now.0,
            _ => self.useful_until(pending).0 - self.now.0,
        };
        // A connect may lie before its first byte: what allows it now has to hold then.
        let needs_proof = !self.replicas_check_freshness() && group.primary != Some(member);
        let proof = match class.freshness {
            Freshness::Bounded(bound) if needs_proof => self.members[&member].position.0 + bound,
            _ => i64::MAX,
        };
        let start_timeout = proof.min(self.may_start_until(pending).0).min(self.now.0 + timeout) - self.now.0;
        if let Some(member) = self.members.get_mut(&member) {
            member.in_flight += 1;
            member.abandoned_attempts.retain(|t| *t > self.now);
        }
        let attempt = Attempt { member, sent_at: self.now, outcome: None };
        self.requests.get_mut(&id).into_iter().for_each(|pending| pending.attempts.push(attempt));
        self.unqueue(id);
        self.actions.push(Action::Send { request: id, member, timeout: timeout.max(1), start_timeout });
    }

    /// Until when another attempt may begin, by what a repeat would do.
    pub(super) fn may_start_until(&self, pending: &PendingRequest) -> Time {
        let Some(since) = pending.may_have_run_since else { return Time(i64::MAX) };
        match self.class(pending).idempotency {
            Idempotency::Idempotent => Time(i64::MAX),
            Idempotency::DeduplicatedInGroup(window) | Idempotency::DeduplicatedEverywhere(window) => {
                Time(since.0 + window - self.settings.min_event_interval)
            }
            Idempotency::DeduplicatedInZone(_) | Idempotency::NotIdempotent => LONG_AGO,
        }
    }

    pub(super) fn on_attempt_ended(&mut self, event: Event) {
        let Event::AttemptEnded { member, response_report, commit, load_report, .. } = event else { return };
        let Event::AttemptEnded { request: id, attempt, outcome, request_ended, .. } = event else { return };
        self.learn_state(member, response_report, commit);
        let denies = response_report.primary == Some(false);
        if let Some(member) = self.members.get_mut(&member).filter(|_| denies) {
            member.denied_primary_at = Some(self.now);
        }
        self.learn_from_report(member, load_report);
        if request_ended || outcome == Outcome::Ok {
            self.finish(id);
        }
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(ended) = pending.attempts.get_mut(attempt as usize) else { return };
        let sent_at = ended.sent_at;
        if ended.outcome.replace(outcome).is_some() {
            return;
        }
        if !outcome.never_ran() && outcome != Outcome::Ok {
            pending.may_have_run_since = Some(pending.may_have_run_since.map_or(sent_at, |t| t.min(sent_at)));
        }
        let (class, group, finished) = (pending.request.class, pending.request.group, pending.finished);
        let freshness = self.settings.classes[class].freshness;
        self.rate_attempt(member, id, (self.now.0 - sent_at.0) as f64, outcome);
        let is_primary = self.groups.get(&group).is_some_and(|g| g.primary == Some(member));
        match outcome {
            Outcome::Ok => self.on_served(id, member, commit),
            Outcome::ConnectFailed => self.clear_primary(member),
            Outcome::NotEligible if freshness == Freshness::Write => self.clear_primary(member),
            // One connection broke; a probe tells whether the process is gone, too.
            Outcome::Reset => {
                self.members.get_mut(&member).into_iter().for_each(|m| m.reset_awaits_probe = true);
                self.probe(member);
            }
            Outcome::TimedOut if is_primary => _ = self.probe(member),
            _ => {}
        }
        if !finished && self.requests[&id].no_attempt_in_flight() {
            self.retry(id, outcome);
        }
        self.drop_if_done(id);
        self.review_group(group);
    }

    /// Remembers a write's commit. An error is the member's only when another has served the same request:
    /// errors that follow the request eject nobody, however many there are.
    fn on_served(&mut self, id: RequestId, member: MemberId, commit: Option<Time>) {
        let pending = &self.requests[&id];
        let erred = |a: &&Attempt| a.outcome == Some(Outcome::Error) && a.member != member;
        let blamed: Vec<MemberId> = pending.attempts.iter().filter(erred).map(|a| a.member).collect();
        let remember = self.settings.session_commit_source == SessionCommitSource::RememberedByRouter;
        if let (true, Some(session), Some(commit)) = (remember, pending.request.session, commit) {
            let latest = self.session_commits.entry((pending.request.group, session)).or_insert(commit);
            *latest = commit.max(*latest);
            self.forget_old_sessions();
        }
        blamed.into_iter().for_each(|m| self.eject(m, Outcome::Error));
    }

    /// When too many sessions are remembered, the older half folds into the minimum position.
    fn forget_old_sessions(&mut self) {
        if self.session_commits.len() > MAX_SESSIONS {
            let mut commits: Vec<Time> = self.session_commits.values().copied().collect();
            let (_, &mut median, _) = commits.select_nth_unstable(MAX_SESSIONS / 2);
            self.minimum_position = self.minimum_position.max(Some(median));
            self.session_commits.retain(|_, commit| *commit > median);
        }
    }
}
