//! The observer: tracks open requests and checks each of their transitions.
use super::invariant::{Invariant, Violation};
use super::trace::{Finding, RequestTrace};
use super::transition::Transition;
use crate::permit::RepeatRule;
use decision::{Micros, RequestId, Time};
use std::collections::{BTreeSet, HashMap};

/// Maximum number of requests that are tracked at the same time.
pub const MAX_TRACKED: usize = 16_384;
/// A request that is still open this long after its deadline is reported as [`Invariant::RequestForgotten`].
const FORGOTTEN_AFTER: Micros = 1_000_000;

/// Checks the transitions of requests against the invariants.
#[derive(Debug)]
pub struct Observer {
    /// Repeat rules by request class.
    rules: Vec<RepeatRule>,
    drain_grace: Micros,
    requests: HashMap<RequestId, RequestTrace>,
    /// Requests that have not ended, ordered by deadline.
    open: BTreeSet<(Time, RequestId)>,
    untracked: u64,
}

impl Observer {
    /// Creates an observer. The class of a request is an index into `rules`. No exchange with an endpoint may
    /// start later than `drain_grace` microseconds after the endpoint went out of service.
    pub fn new(rules: Vec<RepeatRule>, drain_grace: Micros) -> Observer {
        Observer { rules, drain_grace, requests: HashMap::new(), open: BTreeSet::new(), untracked: 0 }
    }

    /// Returns the number of requests that are currently tracked.
    pub fn tracked(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that were not tracked because [`MAX_TRACKED`] others were.
    pub fn untracked(&self) -> u64 {
        self.untracked
    }

    /// Checks a transition that a request made at `now`, and appends any violations to `violations`.
    pub fn observe(
        &mut self,
        now: Time,
        request: RequestId,
        transition: Transition,
        violations: &mut Vec<Violation>,
    ) {
        match transition {
            Transition::Accepted { class, deadline } => self.accepted(request, class, deadline),
            Transition::AttemptDispatched { attempt, deadline } => {
                self.check(request, violations, |trace, rule| {
                    trace.attempt_dispatched(attempt, deadline, rule)
                });
            }
            Transition::AttemptEnded(end) => {
                let grace = self.drain_grace;
                self.check(request, violations, |trace, rule| trace.attempt_ended(&end, grace, rule));
            }
            Transition::Ended(ending) => {
                self.check(request, violations, |trace, rule| trace.ended(now, ending, rule));
                if let Some(trace) = self.requests.get(&request) {
                    self.open.remove(&(trace.deadline, request));
                }
            }
        }
        if self.requests.get(&request).is_some_and(RequestTrace::is_finished) {
            self.requests.remove(&request);
        }
    }

    /// Appends a violation for each request that is still open 1 s after its deadline. Each request is
    /// reported once.
    pub fn find_forgotten(&mut self, now: Time, violations: &mut Vec<Violation>) {
        while let Some((deadline, request)) = self.open.first().copied()
            && now.0 > deadline.0.saturating_add(FORGOTTEN_AFTER)
        {
            self.open.remove(&(deadline, request));
            violations.push(Violation { invariant: Invariant::RequestForgotten, request, attempt: None });
        }
    }

    fn accepted(&mut self, request: RequestId, class: usize, deadline: Time) {
        if self.requests.len() >= MAX_TRACKED {
            self.untracked += 1;
            return;
        }
        self.open.insert((deadline, request));
        self.requests.insert(request, RequestTrace::new(class, deadline));
    }

    /// Runs a check on a request, if it is tracked.
    fn check(
        &mut self,
        request: RequestId,
        violations: &mut Vec<Violation>,
        check: impl FnOnce(&mut RequestTrace, RepeatRule) -> Vec<Finding>,
    ) {
        let Some(trace) = self.requests.get_mut(&request) else { return };
        let rule = self.rules.get(trace.class).copied().unwrap_or(RepeatRule::STRICTEST);
        let findings = check(trace, rule).into_iter();
        violations.extend(findings.map(|Finding { invariant, attempt }| Violation {
            invariant,
            request,
            attempt,
        }));
    }
}
