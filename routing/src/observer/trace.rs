//! What is kept of one request, and the checks on it.
use super::invariant::Invariant;
use super::{Ending, HOLD_UP, RESPONSE_SLACK, START_SLACK};
use crate::permit::RepeatRule;
use decision::{Idempotency, Micros, Outcome, Time};

/// What is kept of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptTrace {
    pub(super) number: u32,
    pub(super) permitted_at: Option<Time>,
    pub(super) sent: bool,
    /// `None` while it is in flight.
    pub(super) outcome: Option<Outcome>,
}

impl AttemptTrace {
    fn may_have_run(&self) -> bool {
        self.sent && self.outcome.is_some_and(|outcome| !outcome.never_ran() && outcome != Outcome::Ok)
    }
}

/// What is kept of a request.
#[derive(Debug)]
pub(super) struct RequestTrace {
    pub(super) class: usize,
    pub(super) deadline: Time,
    ended_at: Option<Time>,
    attempts: Vec<AttemptTrace>,
}

type Found = Vec<(Invariant, Option<u32>)>;

impl RequestTrace {
    pub(super) fn new(class: usize, deadline: Time) -> RequestTrace {
        RequestTrace { class, deadline, ended_at: None, attempts: Vec::new() }
    }

    /// Nothing more can happen to it.
    pub(super) fn is_over(&self) -> bool {
        self.ended_at.is_some() && self.attempts.iter().all(|attempt| attempt.outcome.is_some())
    }

    pub(super) fn handed(&mut self, number: u32, until: Time, rule: RepeatRule) -> Found {
        let mut found = Found::new();
        if until.0 > self.deadline.0.saturating_add(HOLD_UP) {
            found.push((Invariant::ToldTime, Some(number)));
        }
        if !rule.hedging_allowed && self.attempts.iter().any(|attempt| attempt.outcome.is_none()) {
            found.push((Invariant::OneAttemptInFlight, Some(number)));
        }
        self.attempts.push(AttemptTrace { number, permitted_at: None, sent: false, outcome: None });
        found
    }

    pub(super) fn attempt_ended(
        &mut self,
        ended: &AttemptTrace,
        endpoint_left_at: Option<Time>,
        drain_grace: Micros,
        rule: RepeatRule,
    ) -> Found {
        let mut found = Found::new();
        if let Some(permitted_at) = ended.permitted_at.filter(|_| ended.sent) {
            let left_long_ago = |at: Time| permitted_at.0 > at.0.saturating_add(drain_grace);
            if endpoint_left_at.is_some_and(left_long_ago) {
                found.push((Invariant::Drain, Some(ended.number)));
            }
            if self.ended_at.is_some_and(|at| permitted_at.0 > at.0.saturating_add(START_SLACK)) {
                found.push((Invariant::StartAfterEnd, Some(ended.number)));
            }
            found.extend(self.check_repeat(ended.number, permitted_at, rule));
        }
        if let Some(attempt) = self.attempts.iter_mut().find(|attempt| attempt.number == ended.number) {
            *attempt = *ended;
        }
        found
    }

    /// Whether an attempt that was sent may follow the ones before it.
    fn check_repeat(
        &self,
        number: u32,
        permitted_at: Time,
        rule: RepeatRule,
    ) -> Option<(Invariant, Option<u32>)> {
        let earlier = self.attempts.iter().filter(|attempt| attempt.number < number);
        let since = earlier.filter(|attempt| attempt.may_have_run()).filter_map(|a| a.permitted_at).min()?;
        match rule.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NotIdempotent => Some((Invariant::UnsafeRepeat, Some(number))),
            Idempotency::DeduplicatedInGroup(window)
            | Idempotency::DeduplicatedEverywhere(window)
            | Idempotency::DeduplicatedInZone(window) => {
                let latest = since.0.saturating_add(window).saturating_add(HOLD_UP);
                (permitted_at.0 > latest).then_some((Invariant::RepeatWindow, Some(number)))
            }
        }
    }

    pub(super) fn ended(&mut self, now: Time, ending: Ending, rule: RepeatRule) -> Found {
        if self.ended_at.is_some() {
            return vec![(Invariant::OneFinalResponse, None)];
        }
        self.ended_at = Some(now);
        let mut found = Found::new();
        if ending != Ending::ClientLeft && now.0 > self.deadline.0.saturating_add(RESPONSE_SLACK) {
            found.push((Invariant::ResponseInTime, None));
        }
        let harmless =
            matches!(rule.idempotency, Idempotency::Idempotent | Idempotency::DeduplicatedEverywhere(_));
        if ending == Ending::Rejected && !harmless {
            let ran = self.attempts.iter().find(|attempt| attempt.may_have_run());
            found.extend(ran.map(|attempt| (Invariant::HarmlessRejection, Some(attempt.number))));
        }
        found
    }
}
