//! Checks of the guarantees that hold in every run, whatever its plan. Violations are counted, and the first of them
//! described with their time and place.
use crate::times::DRAIN_GRACE;
use decision::{Freshness, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

/// Time after the deadline up to which a final answer is accepted, in microseconds.
const ANSWER_SLACK: i64 = 50_000;
/// Number of violations that are described.
const MAX_DESCRIPTIONS: usize = 20;

/// The guarantees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Rule {
    /// Each request has one final answer, in time.
    #[serde(rename = "one_answer")]
    SingleAnswer,
    /// A request that may have been executed is not retried unless its class is idempotent.
    #[serde(rename = "no_repeat")]
    NoUnsafeRetry,
    /// A draining or removed node receives no attempt after the grace period.
    #[serde(rename = "drains")]
    DrainRespected,
    /// No node that warms up is overloaded until it crashes.
    #[serde(rename = "no_tip")]
    NoColdOverload,
    /// No read returns data older than its class allows.
    #[serde(rename = "no_stale")]
    BoundedStaleness,
    /// A session reads its own writes.
    #[serde(rename = "own_writes")]
    ReadYourWrites,
}

/// Writes the name that reports print.
impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::SingleAnswer => "OneAnswer",
            Rule::NoUnsafeRetry => "NoRepeat",
            Rule::DrainRespected => "Drains",
            Rule::NoColdOverload => "NoTip",
            Rule::BoundedStaleness => "NoStale",
            Rule::ReadYourWrites => "OwnWrites",
        })
    }
}

/// A request at a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouterRequest {
    /// The router.
    pub router: usize,
    /// The request's number at that router.
    pub request: u64,
}

/// Kinds of final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The router rejected the request, which says that it was not executed.
    Rejected,
    /// Any other: a server's response, or a failure that leaves open whether the request was executed.
    Other,
}

/// A read that was served.
#[derive(Clone, Copy, Debug)]
pub struct ServedRead {
    /// What its class requires.
    pub freshness: Freshness,
    /// When the router accepted the request.
    pub accepted_at: Time,
    /// When the router sent the attempt.
    pub sent_at: Time,
    /// The newest commit that the session's client knew of when it made the request.
    pub acknowledged_commit: Option<Time>,
    /// The position up to which the data was complete.
    pub data_position: Time,
}

/// A request without a final answer.
#[derive(Clone, Debug)]
struct RequestState {
    idempotent: bool,
    /// Attempts that are in flight or may have been executed.
    possibly_executed: u32,
    deadline: Time,
}

/// A node as a router knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RouterNode {
    router: usize,
    node: usize,
}

/// Observes a run and counts violations.
#[derive(Debug, Default)]
pub struct Checker {
    unanswered: HashMap<RouterRequest, RequestState>,
    /// When a router was notified that a node drains or was removed.
    out_of_service_since: HashMap<RouterNode, Time>,
    /// For each session, the newest commit that was acknowledged to its client.
    acknowledged: HashMap<u64, Time>,
    /// Clients whose write was executed.
    executed_writes: HashSet<u64>,
    /// How often each rule was violated.
    pub violations: BTreeMap<Rule, u64>,
    /// Descriptions of the first violations.
    pub first_violations: Vec<String>,
    /// Attempts that were checked.
    pub checked_attempts: u64,
}

impl Checker {
    fn violated(&mut self, rule: Rule, now: Time, description: impl FnOnce() -> String) {
        *self.violations.entry(rule).or_default() += 1;
        if self.first_violations.len() < MAX_DESCRIPTIONS {
            let seconds = now.0 as f64 / 1e6;
            self.first_violations.push(format!("{seconds:.6} s: {rule}: {}", description()));
        }
    }

    /// A router has accepted a request.
    pub fn request_accepted(&mut self, key: RouterRequest, deadline: Time, idempotent: bool) {
        self.unanswered.insert(key, RequestState { idempotent, possibly_executed: 0, deadline });
    }

    /// A router has sent an attempt of a request to a node.
    pub fn attempt_sent(&mut self, now: Time, key: RouterRequest, node: usize) {
        self.checked_attempts += 1;
        let RouterRequest { router, request } = key;
        let notified = self.out_of_service_since.get(&RouterNode { router, node });
        if let Some(since) = notified.map(|at| now.0 - at.0).filter(|since| *since > DRAIN_GRACE) {
            self.violated(Rule::DrainRespected, now, || {
                format!("router {router} to node {node}, told {since} us before")
            });
        }
        let Some(state) = self.unanswered.get_mut(&key) else {
            return self.violated(Rule::SingleAnswer, now, || {
                format!("router {router} sends {request}, which has ended")
            });
        };
        let unsafe_retry = !state.idempotent && state.possibly_executed > 0;
        state.possibly_executed += 1;
        if unsafe_retry {
            self.violated(Rule::NoUnsafeRetry, now, || {
                format!("router {router}, request {request}, node {node}")
            });
        }
    }

    /// An attempt has ended, with proof that it was not executed.
    pub fn attempt_not_executed(&mut self, key: RouterRequest) {
        if let Some(state) = self.unanswered.get_mut(&key) {
            state.possibly_executed = state.possibly_executed.saturating_sub(1);
        }
    }

    /// A request has its final answer.
    pub fn request_answered(&mut self, now: Time, key: RouterRequest, answer: FinalAnswer) {
        let RouterRequest { router, request } = key;
        let Some(state) = self.unanswered.remove(&key) else {
            return self.violated(Rule::SingleAnswer, now, || {
                format!("router {router}: {request} is answered twice")
            });
        };
        if now.0 > state.deadline.0 + ANSWER_SLACK {
            let late = now.0 - state.deadline.0;
            self.violated(Rule::SingleAnswer, now, || {
                format!("router {router}: {request} is answered {late} us late")
            });
        }
        if answer == FinalAnswer::Rejected && !state.idempotent && state.possibly_executed > 0 {
            self.violated(Rule::NoUnsafeRetry, now, || {
                format!("router {router}: {request} is refused and may have run")
            });
        }
    }

    /// A node has executed a client's write. A second execution is a violation, whatever became of the first.
    pub fn write_executed(&mut self, now: Time, client: u64) {
        if !self.executed_writes.insert(client) {
            self.violated(Rule::NoUnsafeRetry, now, || format!("the write of client {client} has run twice"));
        }
    }

    /// A router was killed: its requests get no answer, and it knows no endpoints.
    pub fn router_killed(&mut self, router: usize) {
        self.unanswered.retain(|key, _| key.router != router);
        self.out_of_service_since.retain(|key, _| key.router != router);
    }

    /// The run is over: each request past its deadline without an answer is a violation.
    pub fn run_ended(&mut self, now: Time) {
        let overdue = |state: &&RequestState| now.0 > state.deadline.0 + ANSWER_SLACK;
        let never_answered = self.unanswered.values().filter(overdue).count();
        for _ in 0..never_answered {
            self.violated(Rule::SingleAnswer, now, || "a request was never answered".into());
        }
    }

    /// A router was notified whether a node is in service.
    pub fn node_state_notified(&mut self, now: Time, router: usize, node: usize, in_service: bool) {
        let key = RouterNode { router, node };
        if in_service {
            self.out_of_service_since.remove(&key);
        } else {
            self.out_of_service_since.entry(key).or_insert(now);
        }
    }

    /// A node that warmed up was overloaded and crashed.
    pub fn cold_node_overloaded(&mut self, now: Time, node: usize) {
        self.violated(Rule::NoColdOverload, now, || format!("node {node}"));
    }

    /// A write was acknowledged to the client of a session.
    pub fn write_acknowledged(&mut self, session: u64, commit: Time) {
        let newest = self.acknowledged.entry(session).or_insert(commit);
        *newest = (*newest).max(commit);
    }

    /// The newest acknowledged commit of a session, which its reads must include from now on.
    pub fn acknowledged_commit(&self, session: u64) -> Option<Time> {
        self.acknowledged.get(&session).copied()
    }

    /// A read was served.
    pub fn read_served(&mut self, now: Time, read: ServedRead) {
        let (rule, minimum) = match read.freshness {
            Freshness::Bounded(bound) => (Rule::BoundedStaleness, Some(Time(read.sent_at.0 - bound))),
            Freshness::Latest => (Rule::BoundedStaleness, Some(read.accepted_at)),
            Freshness::Session => (Rule::ReadYourWrites, read.acknowledged_commit),
            Freshness::Any | Freshness::Write => return,
        };
        let position = read.data_position;
        if let Some(minimum) = minimum.filter(|minimum| position < *minimum) {
            self.violated(rule, now, || format!("data of {position:?} for a read that needs {minimum:?}"));
        }
    }
}
