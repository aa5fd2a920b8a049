//! What came of a run, in figures.
use crate::history::{Ending, History};
use crate::oracle::Breach;
use crate::trouble::Trouble;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// The figures of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The troubles that were played.
    pub troubles: Vec<Trouble>,
    /// Requests by how they ended.
    pub endings: BTreeMap<&'static str, usize>,
    /// Attempts that reached a server's link.
    pub attempts: usize,
    /// Requests that no server has seen and that were answered as failed.
    pub never_forwarded_but_failed: usize,
    /// Processes of routers.
    pub processes: usize,
    /// Most threads and descriptors of one process.
    pub most: (usize, usize),
    /// Broken promises.
    pub breaches: Vec<Breach>,
}

impl Report {
    /// The report on a history.
    pub fn new(seed: u64, troubles: &[Trouble], history: &History, breaches: Vec<Breach>) -> Report {
        let mut endings: BTreeMap<&'static str, usize> = BTreeMap::new();
        let forwarded: std::collections::HashSet<u64> = history.arrivals.iter().map(|a| a.id).collect();
        let mut never_forwarded_but_failed = 0;
        for request in &history.requests {
            let name = match &request.ending {
                Ending::Served(_) => "served",
                Ending::Error(code) if code == "53300" || code == "57P03" => "refused",
                Ending::Error(code) if code == "57014" && request.cancelled_at.is_some() => "cancelled",
                Ending::Error(_) => "failed",
                Ending::Closed => "closed",
                Ending::Left => "left",
                Ending::Open => "open",
            };
            *endings.entry(name).or_default() += 1;
            never_forwarded_but_failed += usize::from(name == "failed" && !forwarded.contains(&request.id));
        }
        let processes: std::collections::BTreeSet<(usize, usize)> =
            history.samples.iter().map(|s| (s.router, s.incarnation)).collect();
        let threads = history.samples.iter().map(|s| s.threads).max().unwrap_or(0);
        let descriptors = history.samples.iter().map(|s| s.descriptors).max().unwrap_or(0);
        Report {
            seed,
            troubles: troubles.to_vec(),
            endings,
            attempts: history.arrivals.len(),
            never_forwarded_but_failed,
            processes: processes.len(),
            most: (threads, descriptors),
            breaches,
        }
    }

    /// How many requests were sent.
    pub fn requests(&self) -> usize {
        self.endings.values().sum()
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Report { seed, processes, attempts, most, .. } = self;
        let endings: Vec<String> = self.endings.iter().map(|(name, n)| format!("{name} {n}")).collect();
        writeln!(
            f,
            "seed {seed}: {} troubles, {processes} processes, {} requests ({}), {attempts} attempts, \
             {} failed though never forwarded, at most {} threads and {} descriptors in one process, {} breaches",
            self.troubles.len(),
            self.requests(),
            endings.join(", "),
            self.never_forwarded_but_failed,
            most.0,
            most.1,
            self.breaches.len()
        )?;
        let mut by_promise: BTreeMap<&str, Vec<&Breach>> = BTreeMap::new();
        for breach in &self.breaches {
            by_promise.entry(breach.promise.name()).or_default().push(breach);
        }
        for (name, breaches) in by_promise {
            writeln!(f, "  {name}: {}", breaches.len())?;
            for breach in breaches.iter().take(3) {
                writeln!(f, "    {}", breach.text)?;
            }
        }
        Ok(())
    }
}
