//! The report of a run: request outcomes, resource usage and broken promises.
use crate::fault::PlannedFault;
use crate::history::{History, Outcome, Request};
use crate::oracle::Breach;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fmt::{self, Display, Formatter};

/// The maximum number of breaches that a report lists for each promise.
const MAX_BREACHES_PER_PROMISE: usize = 3;
/// The `PostgreSQL` error code of a cancelled request.
const CANCELLED_CODE: &str = "57014";

/// The outcome of a request as counted in reports. The order of the variants is the order of the counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutcomeKind {
    /// The client cancelled the request.
    Cancelled,
    /// The router closed the connection without a response.
    Closed,
    /// The request failed with an error that is not a rejection.
    Failed,
    /// The client disconnected before the response.
    Disconnected,
    /// The request had no response at the end of the run.
    Pending,
    /// The router rejected the request.
    Rejected,
    /// The request was served.
    Served,
}

impl OutcomeKind {
    /// Returns the kind of outcome of a request.
    pub fn of(request: &Request) -> OutcomeKind {
        match &request.outcome {
            Outcome::Served(_) => OutcomeKind::Served,
            rejection if rejection.is_rejection() => OutcomeKind::Rejected,
            Outcome::Error(code) if code == CANCELLED_CODE && request.cancelled_at.is_some() => {
                OutcomeKind::Cancelled
            }
            Outcome::Error(_) => OutcomeKind::Failed,
            Outcome::Closed => OutcomeKind::Closed,
            Outcome::Disconnected => OutcomeKind::Disconnected,
            Outcome::Pending => OutcomeKind::Pending,
        }
    }

    /// The outcome's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            OutcomeKind::Cancelled => "cancelled",
            OutcomeKind::Closed => "closed",
            OutcomeKind::Failed => "failed",
            OutcomeKind::Disconnected => "left",
            OutcomeKind::Pending => "open",
            OutcomeKind::Rejected => "refused",
            OutcomeKind::Served => "served",
        }
    }
}

/// The statistics of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// The faults that were injected.
    pub faults: Vec<PlannedFault>,
    /// The number of requests by outcome.
    pub outcomes: BTreeMap<OutcomeKind, usize>,
    /// The number of attempts recorded by the servers.
    pub attempts: usize,
    /// The number of requests that failed although no server received an attempt.
    pub never_forwarded_but_failed: usize,
    /// The number of router processes, including restarts.
    pub processes: usize,
    /// The highest number of threads in one process.
    pub max_threads: usize,
    /// The highest number of open file descriptors in one process.
    pub max_descriptors: usize,
    /// The breaches that the oracles found.
    pub breaches: Vec<Breach>,
}

impl Report {
    /// Creates the report for a history.
    pub fn new(seed: u64, faults: &[PlannedFault], history: &History, breaches: Vec<Breach>) -> Report {
        let forwarded: HashSet<u64> = history.attempts.iter().map(|attempt| attempt.id).collect();
        let mut outcomes: BTreeMap<OutcomeKind, usize> = BTreeMap::new();
        let mut never_forwarded_but_failed = 0;
        for request in &history.requests {
            let kind = OutcomeKind::of(request);
            *outcomes.entry(kind).or_default() += 1;
            let is_unforwarded = kind == OutcomeKind::Failed && !forwarded.contains(&request.id);
            never_forwarded_but_failed += usize::from(is_unforwarded);
        }
        let samples = &history.samples;
        let processes: BTreeSet<(usize, usize)> = samples.iter().map(|s| (s.router, s.incarnation)).collect();
        Report {
            seed,
            faults: faults.to_vec(),
            outcomes,
            attempts: history.attempts.len(),
            never_forwarded_but_failed,
            processes: processes.len(),
            max_threads: samples.iter().map(|sample| sample.threads).max().unwrap_or(0),
            max_descriptors: samples.iter().map(|sample| sample.descriptors).max().unwrap_or(0),
            breaches,
        }
    }

    /// Returns the number of recorded requests.
    pub fn requests(&self) -> usize {
        self.outcomes.values().sum()
    }

    fn write_summary(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let outcomes: Vec<String> =
            self.outcomes.iter().map(|(kind, count)| format!("{} {count}", kind.name())).collect();
        writeln!(
            f,
            "seed {}: {} troubles, {} processes, {} requests ({}), {} attempts, \
             {} failed without being forwarded, at most {} threads and {} descriptors in one process, \
             {} breaches",
            self.seed,
            self.faults.len(),
            self.processes,
            self.requests(),
            outcomes.join(", "),
            self.attempts,
            self.never_forwarded_but_failed,
            self.max_threads,
            self.max_descriptors,
            self.breaches.len()
        )
    }

    fn write_breaches(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut by_promise: BTreeMap<&str, Vec<&Breach>> = BTreeMap::new();
        for breach in &self.breaches {
            by_promise.entry(breach.promise.name()).or_default().push(breach);
        }
        for (name, breaches) in by_promise {
            writeln!(f, "  {name}: {}", breaches.len())?;
            for breach in breaches.iter().take(MAX_BREACHES_PER_PROMISE) {
                writeln!(f, "    {}", breach.text)?;
            }
        }
        Ok(())
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.write_summary(f)?;
        self.write_breaches(f)
    }
}
