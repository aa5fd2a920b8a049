//! Checks the promises that requests are given again, from the transitions of each open request alone.
//!
//! The observer decides nothing and knows neither the decisions nor the permits: what it is told is when a request was
//! taken, when each attempt was handed over, permitted, sent and ended, and how the request ended. A transition that
//! breaks a promise gives a [`Violation`]. Its memory is bounded: beyond [`MAX_TRACKED`] open requests, later ones are
//! counted and not checked.
//!
//! No I/O, no clock, no threads.
mod invariant;
mod trace;

pub use invariant::{Invariant, Violation};

use crate::permit::RepeatRule;
use decision::{Idempotency, Micros, Outcome, RequestId, Time};
use std::collections::{BTreeSet, HashMap};
use trace::{AttemptTrace, RequestTrace};

/// Open requests that are tracked at a time.
pub const MAX_TRACKED: usize = 16_384;
/// A final response later than this after the deadline is lost.
const RESPONSE_SLACK: Micros = 500_000;
/// A request that is open for this long after its deadline was forgotten.
const FORGOTTEN_AFTER: Micros = 1_000_000;
/// An attempt that begins later than this after its request has ended breaks the rule.
const START_SLACK: Micros = 100_000;
/// The process may be held up for this long between reading its clock and writing.
const HOLD_UP: Micros = 150_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a server's answer.
    Served,
    /// Rejected: its client may safely retry.
    Rejected,
    /// Failed: it may have run.
    Failed,
    /// Cancelled by its client.
    Cancelled,
    /// Without a response: its client has disconnected.
    ClientLeft,
}

/// What has happened to an open request.
#[derive(Clone, Copy, Debug)]
pub enum Transition {
    /// It was taken.
    Taken {
        /// Its class.
        class: usize,
        /// Its client stops waiting at this time.
        deadline: Time,
    },
    /// An attempt was handed over to the connections.
    Handed {
        /// Its number.
        attempt: u32,
        /// The router stops waiting for it at this time, and the server is told so.
        until: Time,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Its number.
        attempt: u32,
        /// When its first byte was permitted, if ever.
        permitted_at: Option<Time>,
        /// Whether its last byte was written.
        sent: bool,
        /// When its endpoint had left service by the time of the permit.
        endpoint_left_at: Option<Time>,
        /// How it ended.
        outcome: Outcome,
    },
    /// It has ended.
    Ended(Ending),
}

/// Checks transitions against the promises.
#[derive(Debug)]
pub struct Observer {
    rules: Vec<RepeatRule>,
    drain_grace: Micros,
    requests: HashMap<RequestId, RequestTrace>,
    /// Requests without an end, by their deadlines.
    open: BTreeSet<(Time, RequestId)>,
    untracked: u64,
}

impl Observer {
    /// An observer of requests of these classes; new exchanges with an endpoint must not begin later than `drain_grace`
    /// after it left service.
    pub fn new(rules: Vec<RepeatRule>, drain_grace: Micros) -> Observer {
        Observer { rules, drain_grace, requests: HashMap::new(), open: BTreeSet::new(), untracked: 0 }
    }

    /// How many requests are tracked.
    pub fn tracked(&self) -> usize {
        self.requests.len()
    }

    /// How many requests were not, since too many were open.
    pub fn untracked(&self) -> u64 {
        self.untracked
    }

    /// Takes what has happened to a request at `now`; violations are added to `violations`.
    pub fn observe(
        &mut self,
        now: Time,
        request: RequestId,
        transition: Transition,
        violations: &mut Vec<Violation>,
    ) {
        match transition {
            Transition::Taken { class, deadline } => self.taken(request, class, deadline),
            Transition::Handed { attempt, until } => {
                self.with(request, violations, |trace, rule| trace.handed(attempt, until, rule));
            }
            Transition::AttemptEnded { attempt, permitted_at, sent, endpoint_left_at, outcome } => {
                let ended = AttemptTrace { number: attempt, permitted_at, sent, outcome: Some(outcome) };
                let grace = self.drain_grace;
                self.with(request, violations, |trace, rule| {
                    trace.attempt_ended(&ended, endpoint_left_at, grace, rule)
                });
            }
            Transition::Ended(ending) => {
                self.with(request, violations, |trace, rule| trace.ended(now, ending, rule));
                if let Some(trace) = self.requests.get(&request) {
                    self.open.remove(&(trace.deadline, request));
                }
            }
        }
        if self.requests.get(&request).is_some_and(RequestTrace::is_over) {
            self.requests.remove(&request);
        }
    }

    /// Looks for requests that were forgotten: each is reported once.
    pub fn look_for_forgotten(&mut self, now: Time, violations: &mut Vec<Violation>) {
        while let Some((deadline, request)) = self.open.first().copied()
            && now.0 > deadline.0.saturating_add(FORGOTTEN_AFTER)
        {
            self.open.remove(&(deadline, request));
            violations.push(Violation { invariant: Invariant::RequestForgotten, request, attempt: None });
        }
    }

    fn taken(&mut self, request: RequestId, class: usize, deadline: Time) {
        if self.requests.len() >= MAX_TRACKED {
            self.untracked += 1;
            return;
        }
        self.open.insert((deadline, request));
        self.requests.insert(request, RequestTrace::new(class, deadline));
    }

    fn with(
        &mut self,
        request: RequestId,
        violations: &mut Vec<Violation>,
        check: impl FnOnce(&mut RequestTrace, RepeatRule) -> Vec<(Invariant, Option<u32>)>,
    ) {
        let Some(trace) = self.requests.get_mut(&request) else { return };
        let unsafe_rule = RepeatRule { idempotency: Idempotency::NotIdempotent, hedging_allowed: false };
        let rule = self.rules.get(trace.class).copied().unwrap_or(unsafe_rule);
        let found = check(trace, rule).into_iter();
        violations.extend(found.map(|(invariant, attempt)| Violation { invariant, request, attempt }));
    }
}
