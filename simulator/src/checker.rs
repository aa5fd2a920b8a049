//! Verifies the guarantees that every run must meet, whatever its plan. Violations are counted, and the first
//! of them are described with their time and place.
use crate::times::DRAIN_GRACE;
use decision::{Freshness, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

/// Time after a request's deadline up to which its final response is accepted, in microseconds.
const FINAL_RESPONSE_GRACE: i64 = 50_000;
/// Maximum number of violations that are described; all are counted.
const MAX_DESCRIPTIONS: usize = 20;

/// A guarantee that every run must meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Rule {
    /// Each request gets exactly one final response, before its deadline.
    #[serde(rename = "one_answer")]
    SingleResponse,
    /// A request that may have been executed is not retried unless its class is idempotent.
    #[serde(rename = "no_repeat")]
    NoUnsafeRetry,
    /// A draining or removed node receives no attempt once the drain's grace period is over.
    #[serde(rename = "drains")]
    DrainRespected,
    /// No node is overloaded to the point of a crash while it warms up.
    #[serde(rename = "no_tip")]
    NoOverloadWhileWarmingUp,
    /// No read returns data older than its class allows.
    #[serde(rename = "no_stale")]
    BoundedStaleness,
    /// A session reads its own writes.
    #[serde(rename = "own_writes")]
    ReadYourWrites,
}

/// Formats a rule as the name that reports print.
impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::SingleResponse => "OneAnswer",
            Rule::NoUnsafeRetry => "NoRepeat",
            Rule::DrainRespected => "Drains",
            Rule::NoOverloadWhileWarmingUp => "NoTip",
            Rule::BoundedStaleness => "NoStale",
            Rule::ReadYourWrites => "OwnWrites",
        })
    }
}

/// Identifies a request at a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouterRequest {
    /// Index of the router.
    pub router: usize,
    /// Number of the request, assigned by the router.
    pub request: u64,
}

/// Kind of final response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// The router rejected the request, which tells the client that it was not executed.
    Rejected,
    /// A server's response, or a failure that leaves open whether the request was executed.
    Other,
}

/// A served read, and the requirements that its data is checked against.
#[derive(Clone, Copy, Debug)]
pub struct ServedRead {
    /// Freshness that the read's class requires.
    pub freshness: Freshness,
    /// Time at which the router accepted the request.
    pub accepted_at: Time,
    /// Time at which the router sent the attempt.
    pub sent_at: Time,
    /// Newest commit of the session that had been acknowledged to the client when it made the request.
    pub acknowledged_commit: Option<Time>,
    /// Replication position of the data that the read returned.
    pub data_position: Time,
}

/// A request that has no final response yet.
#[derive(Clone, Debug)]
struct RequestState {
    idempotent: bool,
    /// Number of attempts that are in flight or may have been executed.
    possibly_executed: u32,
    deadline: Time,
}

/// A pair of a router and a node, by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RouterNode {
    router: usize,
    node: usize,
}

/// Observes a run and counts violations of the rules.
#[derive(Debug, Default)]
pub struct Checker {
    open_requests: HashMap<RouterRequest, RequestState>,
    /// Time at which a router was notified that a node is draining or removed.
    out_of_service_since: HashMap<RouterNode, Time>,
    /// Newest commit of each session that was acknowledged to the session's client.
    acknowledged: HashMap<u64, Time>,
    /// Clients whose write a node has executed.
    executed_writes: HashSet<u64>,
    /// Number of violations of each rule.
    pub violations: BTreeMap<Rule, u64>,
    /// Descriptions of the first violations.
    pub first_violations: Vec<String>,
    /// Number of attempts that were checked.
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

    /// Records that a router has accepted a request.
    pub fn request_accepted(&mut self, key: RouterRequest, deadline: Time, idempotent: bool) {
        self.open_requests.insert(key, RequestState { idempotent, possibly_executed: 0, deadline });
    }

    /// Records that a router has sent an attempt of a request to a node, and checks that the attempt is
    /// allowed.
    pub fn attempt_sent(&mut self, now: Time, key: RouterRequest, node: usize) {
        self.checked_attempts += 1;
        let RouterRequest { router, request } = key;
        let notified = self.out_of_service_since.get(&RouterNode { router, node });
        if let Some(since) = notified.map(|at| now.0 - at.0).filter(|since| *since > DRAIN_GRACE) {
            self.violated(Rule::DrainRespected, now, || {
                format!(
                    "router {router} sent an attempt to node {node}, {since} us after the notification that \
                     the node is out of service"
                )
            });
        }
        let Some(state) = self.open_requests.get_mut(&key) else {
            return self.violated(Rule::SingleResponse, now, || {
                format!("router {router} sent an attempt of request {request}, which had ended")
            });
        };
        let unsafe_retry = !state.idempotent && state.possibly_executed > 0;
        state.possibly_executed += 1;
        if unsafe_retry {
            self.violated(Rule::NoUnsafeRetry, now, || {
                format!(
                    "router {router} retried request {request} at node {node}, but it may have been executed"
                )
            });
        }
    }

    /// Records that an attempt has ended and was provably not executed.
    pub fn attempt_not_executed(&mut self, key: RouterRequest) {
        if let Some(state) = self.open_requests.get_mut(&key) {
            state.possibly_executed = state.possibly_executed.saturating_sub(1);
        }
    }

    /// Records the final response to a request, and checks that the request has no other final response
    /// and that the response is in time.
    pub fn request_completed(&mut self, now: Time, key: RouterRequest, response: FinalResponse) {
        let RouterRequest { router, request } = key;
        let Some(state) = self.open_requests.remove(&key) else {
            return self.violated(Rule::SingleResponse, now, || {
                format!("router {router}: request {request} got a second final response")
            });
        };
        if now.0 > state.deadline.0 + FINAL_RESPONSE_GRACE {
            let late = now.0 - state.deadline.0;
            self.violated(Rule::SingleResponse, now, || {
                format!("router {router}: request {request} got its final response {late} us late")
            });
        }
        if response == FinalResponse::Rejected && !state.idempotent && state.possibly_executed > 0 {
            self.violated(Rule::NoUnsafeRetry, now, || {
                format!("router {router}: request {request} was rejected, but may have been executed")
            });
        }
    }

    /// Records that a node has executed a client's write. A second execution is a violation, whatever the
    /// outcome of the first.
    pub fn write_executed(&mut self, now: Time, client: u64) {
        if !self.executed_writes.insert(client) {
            self.violated(Rule::NoUnsafeRetry, now, || format!("the write of client {client} ran twice"));
        }
    }

    /// Records that a router was killed: its open requests get no response, and its endpoint list is lost.
    pub fn router_killed(&mut self, router: usize) {
        self.open_requests.retain(|key, _| key.router != router);
        self.out_of_service_since.retain(|key, _| key.router != router);
    }

    /// Ends the run: each request past its deadline without a final response is a violation.
    pub fn run_ended(&mut self, now: Time) {
        let overdue = |state: &&RequestState| now.0 > state.deadline.0 + FINAL_RESPONSE_GRACE;
        let without_response = self.open_requests.values().filter(overdue).count();
        for _ in 0..without_response {
            self.violated(Rule::SingleResponse, now, || "a request got no final response".into());
        }
    }

    /// Records that a router was notified whether a node is in service.
    pub fn node_state_notified(&mut self, now: Time, router: usize, node: usize, in_service: bool) {
        let key = RouterNode { router, node };
        if in_service {
            self.out_of_service_since.remove(&key);
        } else {
            self.out_of_service_since.entry(key).or_insert(now);
        }
    }

    /// Records that a node was overloaded and crashed while it warmed up.
    pub fn node_overloaded_while_warming_up(&mut self, now: Time, node: usize) {
        self.violated(Rule::NoOverloadWhileWarmingUp, now, || format!("node {node} crashed under overload"));
    }

    /// Records that a write was acknowledged to the client of a session.
    pub fn write_acknowledged(&mut self, session: u64, commit: Time) {
        let newest = self.acknowledged.entry(session).or_insert(commit);
        *newest = (*newest).max(commit);
    }

    /// Returns the newest acknowledged commit of a session, which later reads of the session must include.
    pub fn acknowledged_commit(&self, session: u64) -> Option<Time> {
        self.acknowledged.get(&session).copied()
    }

    /// Checks the data of a served read against the freshness that its class requires.
    pub fn read_served(&mut self, now: Time, read: ServedRead) {
        let (rule, minimum) = match read.freshness {
            Freshness::Bounded(bound) => (Rule::BoundedStaleness, Some(Time(read.sent_at.0 - bound))),
            Freshness::Latest => (Rule::BoundedStaleness, Some(read.accepted_at)),
            Freshness::Session => (Rule::ReadYourWrites, read.acknowledged_commit),
            Freshness::Any | Freshness::Write => return,
        };
        let position = read.data_position;
        if let Some(minimum) = minimum.filter(|minimum| position < *minimum) {
            self.violated(rule, now, || format!("read data of {position:?}, required at least {minimum:?}"));
        }
    }
}
