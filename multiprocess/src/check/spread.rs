//! Measures how evenly reads are spread over a group's replicas, compared with a random spread.
use super::settings::CheckSettings;
use super::verdict::{ReplicaSpread, Verdict};
use crate::history::{History, Micros};
use std::collections::{BTreeMap, HashMap};

/// Number of random samples for each window.
const RANDOM_SAMPLES: usize = 20;
/// Minimum mean number of reads for each replica; windows with fewer reads are skipped.
const MIN_READS_PER_REPLICA: usize = 5;

/// The evenness of the reads of one window.
struct Evenness {
    /// Reads of the busiest replica divided by the mean of all replicas.
    max_by_mean: f64,
    /// Number of replicas without a read.
    idle: usize,
}

impl Evenness {
    fn of(reads: &[usize]) -> Evenness {
        let mean = reads.iter().sum::<usize>() as f64 / reads.len() as f64;
        let max = reads.iter().max().copied().unwrap_or(0);
        Evenness { max_by_mean: max as f64 / mean, idle: reads.iter().filter(|count| **count == 0).count() }
    }

    /// Returns the evenness of `reads` reads that are spread over the replicas at random.
    fn random(rng: &mut fastrand::Rng, reads: usize, replicas: usize) -> Evenness {
        let mut by_replica = vec![0usize; replicas];
        (0..reads).for_each(|_| by_replica[rng.usize(0..replicas)] += 1);
        Evenness::of(&by_replica)
    }
}

pub(super) fn measure(history: &History, settings: &CheckSettings, verdict: &mut Verdict) {
    let mut groups: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
    for (index, server) in history.servers.iter().enumerate().filter(|(_, server)| !server.primary) {
        groups.entry(server.group).or_default().push(index);
    }
    for (group, replicas) in groups {
        verdict.spread.push(group_spread(history, settings.spread_window, group, &replicas));
    }
}

fn group_spread(history: &History, window: Micros, group: u32, replicas: &[usize]) -> ReplicaSpread {
    let mut rng = fastrand::Rng::with_seed(u64::from(group) + 1);
    let mut spread = ReplicaSpread { group, replicas: replicas.len(), ..ReplicaSpread::default() };
    for by_replica in reads_by_window(history, window, replicas).values() {
        let reads = by_replica.iter().sum::<usize>();
        if reads < MIN_READS_PER_REPLICA * replicas.len() {
            continue;
        }
        let evenness = Evenness::of(by_replica);
        spread.windows += 1;
        spread.max_by_mean += evenness.max_by_mean;
        spread.worst = spread.worst.max(evenness.max_by_mean);
        spread.idle += evenness.idle;
        for _ in 0..RANDOM_SAMPLES {
            let random = Evenness::random(&mut rng, reads, replicas.len());
            spread.random_max_by_mean += random.max_by_mean / RANDOM_SAMPLES as f64;
            spread.random_idle += random.idle as f64 / RANDOM_SAMPLES as f64;
        }
    }
    let windows = spread.windows.max(1) as f64;
    spread.max_by_mean /= windows;
    spread.random_max_by_mean /= windows;
    spread
}

/// Returns the number of reads of each replica, by the window in which they ran.
fn reads_by_window(history: &History, window: Micros, replicas: &[usize]) -> BTreeMap<Micros, Vec<usize>> {
    let positions: HashMap<usize, usize> =
        replicas.iter().enumerate().map(|(position, server)| (*server, position)).collect();
    let mut windows: BTreeMap<Micros, Vec<usize>> = BTreeMap::new();
    let reads = history.statements.iter().filter(|s| !s.write && s.at >= history.load_started);
    for read in reads {
        let Some(position) = positions.get(&read.server) else { continue };
        let index = (read.at - history.load_started) / window;
        windows.entry(index).or_insert_with(|| vec![0; replicas.len()])[*position] += 1;
    }
    windows
}
