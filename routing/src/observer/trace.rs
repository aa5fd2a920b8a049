//! The observer's record of an open request, and the checks of its transitions.
use super::invariant::Invariant;
use super::transition::{AttemptEnd, Ending};
use crate::permit::RepeatRule;
use decision::{Idempotency, Micros, Outcome, Time};

/// Maximum time between the deadline and the final response of a request.
const RESPONSE_SLACK: Micros = 500_000;
/// Maximum time between the end of a request and the start of an attempt.
const START_SLACK: Micros = 100_000;
/// Time for which the operating system may suspend the process between reading the clock and writing to a
/// socket.
const SCHEDULING_SLACK: Micros = 150_000;

/// A violated invariant. The caller knows which request violated it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Finding {
    pub(super) invariant: Invariant,
    /// Number of the attempt, if the violation concerns a particular attempt.
    pub(super) attempt: Option<u32>,
}

impl Finding {
    fn of_request(invariant: Invariant) -> Finding {
        Finding { invariant, attempt: None }
    }

    fn of_attempt(invariant: Invariant, attempt: u32) -> Finding {
        Finding { invariant, attempt: Some(attempt) }
    }
}

/// The observer's record of an attempt.
#[derive(Clone, Copy, Debug)]
struct AttemptTrace {
    number: u32,
    permitted_at: Option<Time>,
    sent: bool,
    /// Outcome of the attempt; `None` while it is in flight.
    outcome: Option<Outcome>,
}

impl AttemptTrace {
    fn in_flight(number: u32) -> AttemptTrace {
        AttemptTrace { number, permitted_at: None, sent: false, outcome: None }
    }

    fn ended(end: &AttemptEnd) -> AttemptTrace {
        AttemptTrace {
            number: end.attempt,
            permitted_at: end.permitted_at,
            sent: end.sent,
            outcome: Some(end.outcome),
        }
    }

    fn may_have_run(&self) -> bool {
        self.sent && self.outcome.is_some_and(|outcome| !outcome.never_ran() && outcome != Outcome::Ok)
    }
}

/// The observer's record of a request.
#[derive(Debug)]
pub(super) struct RequestTrace {
    pub(super) class: usize,
    pub(super) deadline: Time,
    ended_at: Option<Time>,
    attempts: Vec<AttemptTrace>,
}

impl RequestTrace {
    pub(super) fn new(class: usize, deadline: Time) -> RequestTrace {
        RequestTrace { class, deadline, ended_at: None, attempts: Vec::new() }
    }

    /// Returns whether the request and all of its attempts have ended.
    pub(super) fn is_finished(&self) -> bool {
        self.ended_at.is_some() && self.attempts.iter().all(|attempt| attempt.outcome.is_some())
    }

    /// Checks and records the dispatch of an attempt. `deadline` is the deadline that is sent to the server.
    pub(super) fn attempt_dispatched(
        &mut self,
        number: u32,
        deadline: Time,
        rule: RepeatRule,
    ) -> Vec<Finding> {
        let mut findings = Vec::new();
        if deadline.0 > self.deadline.0.saturating_add(SCHEDULING_SLACK) {
            findings.push(Finding::of_attempt(Invariant::ServerDeadline, number));
        }
        if !rule.hedging_allowed && self.attempts.iter().any(|attempt| attempt.outcome.is_none()) {
            findings.push(Finding::of_attempt(Invariant::OneAttemptInFlight, number));
        }
        self.attempts.push(AttemptTrace::in_flight(number));
        findings
    }

    /// Checks and records the end of an attempt.
    pub(super) fn attempt_ended(
        &mut self,
        end: &AttemptEnd,
        drain_grace: Micros,
        rule: RepeatRule,
    ) -> Vec<Finding> {
        let sent_at = end.permitted_at.filter(|_| end.sent);
        let findings = sent_at.map(|permitted_at| self.check_start(end, permitted_at, drain_grace, rule));
        if let Some(attempt) = self.attempts.iter_mut().find(|attempt| attempt.number == end.attempt) {
            *attempt = AttemptTrace::ended(end);
        }
        findings.unwrap_or_default()
    }

    /// Checks whether an attempt that was sent was allowed to start at that time.
    fn check_start(
        &self,
        end: &AttemptEnd,
        permitted_at: Time,
        drain_grace: Micros,
        rule: RepeatRule,
    ) -> Vec<Finding> {
        let is_later = |at: Time, slack: Micros| permitted_at.0 > at.0.saturating_add(slack);
        let mut findings = Vec::new();
        if end
            .endpoint_out_of_service_since
            .is_some_and(|out_of_service_since| is_later(out_of_service_since, drain_grace))
        {
            findings.push(Finding::of_attempt(Invariant::Drain, end.attempt));
        }
        if self.ended_at.is_some_and(|ended_at| is_later(ended_at, START_SLACK)) {
            findings.push(Finding::of_attempt(Invariant::StartAfterEnd, end.attempt));
        }
        let repeat_violation = self.check_repeat(end.attempt, permitted_at, rule);
        findings.extend(repeat_violation.map(|invariant| Finding::of_attempt(invariant, end.attempt)));
        findings
    }

    /// Checks whether an attempt that was sent was allowed after the earlier attempts. Returns the violated
    /// invariant if not.
    fn check_repeat(&self, number: u32, permitted_at: Time, rule: RepeatRule) -> Option<Invariant> {
        let earlier = self.attempts.iter().filter(|attempt| attempt.number < number);
        let may_have_run = earlier.filter(|attempt| attempt.may_have_run());
        let since = may_have_run.filter_map(|attempt| attempt.permitted_at).min()?;
        match rule.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NotIdempotent => Some(Invariant::UnsafeRepeat),
            Idempotency::DeduplicatedInGroup(window)
            | Idempotency::DeduplicatedEverywhere(window)
            | Idempotency::DeduplicatedInZone(window) => {
                let latest = since.0.saturating_add(window).saturating_add(SCHEDULING_SLACK);
                (permitted_at.0 > latest).then_some(Invariant::RepeatWindow)
            }
        }
    }

    /// Checks and records the end of the request.
    pub(super) fn ended(&mut self, now: Time, ending: Ending, rule: RepeatRule) -> Vec<Finding> {
        if self.ended_at.is_some() {
            return vec![Finding::of_request(Invariant::OneFinalResponse)];
        }
        self.ended_at = Some(now);
        let mut findings = Vec::new();
        let is_late = now.0 > self.deadline.0.saturating_add(RESPONSE_SLACK);
        if is_late && ending != Ending::ClientDisconnected {
            findings.push(Finding::of_request(Invariant::ResponseInTime));
        }
        if ending == Ending::Rejected {
            findings.extend(self.check_rejection(rule));
        }
        findings
    }

    /// Checks whether the client can safely retry a rejected request.
    fn check_rejection(&self, rule: RepeatRule) -> Option<Finding> {
        let harmless =
            matches!(rule.idempotency, Idempotency::Idempotent | Idempotency::DeduplicatedEverywhere(_));
        let executed_attempt = self.attempts.iter().find(|attempt| !harmless && attempt.may_have_run())?;
        Some(Finding::of_attempt(Invariant::HarmlessRejection, executed_attempt.number))
    }
}
