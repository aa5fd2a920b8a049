//! The figures of a run.
use crate::fault::PlannedFault;
use crate::history::{History, Outcome, Request};
use crate::oracle::Breach;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fmt::{self, Display, Formatter};

/// Breaches of one promise that a report shows.
const SHOWN_BREACHES: usize = 3;
/// The error code of a request that was cancelled.
const CANCELLED_CODE: &str = "57014";

/// How a request ended, as reports count it; in the order in which they do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutcomeKind {
    /// Cancelled by its client.
    Cancelled,
    /// The connection ended without an answer.
    Closed,
    /// An error other than a rejection.
    Failed,
    /// Its client disconnected.
    Disconnected,
    /// Without an answer at the end of the run.
    Pending,
    /// Rejected by the router.
    Rejected,
    /// Served.
    Served,
}

impl OutcomeKind {
    /// How a request ended.
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

    /// Its name in reports.
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

/// The figures of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The faults that were played.
    pub faults: Vec<PlannedFault>,
    /// Requests by how they ended.
    pub outcomes: BTreeMap<OutcomeKind, usize>,
    /// Attempts that arrived at a server's link.
    pub attempts: usize,
    /// Requests that were answered as failed although no server has seen them.
    pub never_forwarded_but_failed: usize,
    /// Processes of routers.
    pub processes: usize,
    /// The highest count of threads of one process.
    pub max_threads: usize,
    /// The highest count of descriptors of one process.
    pub max_descriptors: usize,
    /// Broken promises.
    pub breaches: Vec<Breach>,
}

impl Report {
    /// The report on a history.
    pub fn new(seed: u64, faults: &[PlannedFault], history: &History, breaches: Vec<Breach>) -> Report {
        let forwarded: HashSet<u64> = history.attempts.iter().map(|attempt| attempt.id).collect();
        let mut outcomes: BTreeMap<OutcomeKind, usize> = BTreeMap::new();
        let mut never_forwarded_but_failed = 0;
        for request in &history.requests {
            let kind = OutcomeKind::of(request);
            *outcomes.entry(kind).or_default() += 1;
            let unforwarded = kind == OutcomeKind::Failed && !forwarded.contains(&request.id);
            never_forwarded_but_failed += usize::from(unforwarded);
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

    /// How many requests were sent.
    pub fn requests(&self) -> usize {
        self.outcomes.values().sum()
    }

    fn write_summary(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let outcomes: Vec<String> =
            self.outcomes.iter().map(|(kind, count)| format!("{} {count}", kind.name())).collect();
        writeln!(
            f,
            "seed {}: {} troubles, {} processes, {} requests ({}), {} attempts, \
             {} failed though never forwarded, at most {} threads and {} descriptors in one process, {} breaches",
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
            for breach in breaches.iter().take(SHOWN_BREACHES) {
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
