//! Measures how evenly replicas are loaded: the requests started at each replica by time window, and the time
//! that replicas are idle while their group has work.
use crate::load_spread::{Imbalance, LoadSpread};
use crate::random_baseline::{RandomBaseline, WindowShape};
use crate::times::SECOND;
use decision::Time;
use std::collections::BTreeMap;

/// Minimum time without requests for which a replica counts as idle, if its group had work meanwhile; in
/// microseconds.
pub const MIN_IDLE_PERIOD: i64 = 2_000_000;
/// Length of a long window, in seconds.
pub const LONG_WINDOW: usize = 10;

/// Means are rounded to one part in this number, so that they do not depend on the order of summation.
const MEAN_RESOLUTION: f64 = 1e9;

/// A node's state as a replica. A node that is the primary is not in service as a replica.
#[derive(Clone, Debug)]
struct ReplicaState {
    group: usize,
    /// Time since which the node is in service as a replica; `None` if it is not.
    in_service_since: Option<Time>,
    /// Number of requests that the node serves or queues.
    active_requests: usize,
    /// Time since which the node has had no active requests; valid only while `active_requests` is 0.
    idle_since: Time,
    /// Number of requests that had been started in the node's group when the node became idle.
    group_starts_when_idle: u64,
}

/// Set of replicas that are compared with each other in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// The replicas of one group.
    Group,
    /// All replicas of the fleet.
    Fleet,
}

/// Idle time summed over all replicas, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct IdleTime {
    total: i64,
    periods: u64,
    longest: i64,
}

/// Records the requests that each node starts during a run, and when it is in service.
pub struct SpreadMeter {
    begin: Time,
    replicas: Vec<ReplicaState>,
    /// Number of requests started, by second and node.
    starts: Vec<Vec<u32>>,
    /// Whether a node was in service during the whole second, by second and node.
    in_service: Vec<Vec<bool>>,
    /// Number of requests started so far in each group.
    group_starts: Vec<u64>,
    idle: IdleTime,
    /// Time in service summed over all replicas, in microseconds.
    service_time: i64,
}

impl SpreadMeter {
    /// Creates a meter for nodes with the given group indices, none of them in service yet. The meter
    /// measures `seconds` whole seconds from `begin` on.
    pub fn new(begin: Time, seconds: usize, groups: &[usize]) -> SpreadMeter {
        let replica = |group: &usize| ReplicaState {
            group: *group,
            in_service_since: None,
            active_requests: 0,
            idle_since: begin,
            group_starts_when_idle: 0,
        };
        SpreadMeter {
            begin,
            replicas: groups.iter().map(replica).collect(),
            starts: vec![vec![0; groups.len()]; seconds],
            in_service: vec![vec![false; groups.len()]; seconds],
            group_starts: vec![0; groups.iter().max().map_or(0, |last| last + 1)],
            idle: IdleTime::default(),
            service_time: 0,
        }
    }

    /// Returns the index of the measured second that a time falls into, if any.
    fn second_of(&self, at: Time) -> Option<usize> {
        let since = at.0 - self.begin.0;
        (since >= 0).then_some((since / SECOND) as usize).filter(|second| *second < self.starts.len())
    }

    /// Records whether a node is in service as a replica from now on, and its number of active requests.
    pub fn set_in_service(&mut self, now: Time, node: usize, in_service: bool, active_requests: usize) {
        if in_service == self.replicas[node].in_service_since.is_some() {
            return;
        }
        self.exclude_second(now, node);
        if in_service {
            self.enter_service(now, node, active_requests);
        } else {
            self.leave_service(now, node);
        }
    }

    /// Excludes the second in which a node enters or leaves service, as it is in service for only a part of
    /// it.
    fn exclude_second(&mut self, now: Time, node: usize) {
        if now > self.begin
            && let Some(second) = self.second_of(now)
        {
            self.in_service[second][node] = false;
        }
    }

    fn enter_service(&mut self, now: Time, node: usize, active_requests: usize) {
        let since = now.max(self.begin);
        let replica = &mut self.replicas[node];
        replica.in_service_since = Some(since);
        replica.active_requests = active_requests;
        replica.idle_since = since;
        replica.group_starts_when_idle = self.group_starts[replica.group];
        let current = self.second_of(since).unwrap_or(self.starts.len());
        let first_whole = current + usize::from(now > self.begin);
        self.in_service.iter_mut().skip(first_whole).for_each(|second| second[node] = true);
    }

    fn leave_service(&mut self, now: Time, node: usize) {
        self.end_idle_period(now, node);
        let since = self.replicas[node].in_service_since.take().unwrap_or(now);
        self.service_time += (now.0 - since.0).max(0);
        let next = self.second_of(now).map_or(self.starts.len(), |second| second + 1);
        self.in_service[next..].iter_mut().for_each(|second| second[node] = false);
    }

    /// Counts the idle period of a replica that ends now, if it is long enough and the replica's group had
    /// work during it.
    fn end_idle_period(&mut self, now: Time, node: usize) {
        let replica = &self.replicas[node];
        let period = now.0 - replica.idle_since.0;
        let idle = replica.in_service_since.is_some() && replica.active_requests == 0;
        let group_had_work = self.group_starts[replica.group] > replica.group_starts_when_idle;
        if idle && period >= MIN_IDLE_PERIOD && group_had_work {
            self.idle.total += period;
            self.idle.periods += 1;
            self.idle.longest = self.idle.longest.max(period);
        }
    }

    /// Records that a node starts or queues a request.
    pub fn request_started(&mut self, now: Time, node: usize) {
        self.end_idle_period(now, node);
        if let Some(second) = self.second_of(now) {
            self.starts[second][node] += 1;
        }
        let replica = &mut self.replicas[node];
        replica.active_requests += 1;
        if replica.in_service_since.is_some() {
            self.group_starts[replica.group] += 1;
        }
    }

    /// Records that a request has ended at a node, whatever its outcome.
    pub fn request_ended(&mut self, now: Time, node: usize) {
        let replica = &mut self.replicas[node];
        replica.active_requests = replica.active_requests.saturating_sub(1);
        if replica.active_requests == 0 {
            replica.idle_since = now.max(self.begin);
            replica.group_starts_when_idle = self.group_starts[replica.group];
        }
    }

    /// Ends the measurement and returns its results. `fault_ends` are the ends of the faults, in seconds from
    /// the start of the measurement.
    pub fn finish(mut self, now: Time, fault_ends: &[f64]) -> LoadSpread {
        for node in 0..self.replicas.len() {
            self.end_idle_period(now, node);
            let since = self.replicas[node].in_service_since;
            self.service_time += since.map_or(0, |since| now.0 - since.0);
        }
        let seconds = self.starts.len();
        let every_second: Vec<usize> = (0..seconds).collect();
        let long_windows: Vec<usize> =
            (0..seconds / LONG_WINDOW).map(|window| window * LONG_WINDOW).collect();
        let after_faults: Vec<usize> = fault_ends.iter().map(|end| end.max(0.0).ceil() as usize).collect();
        let seconds_after = seconds_after(&after_faults, seconds);
        let long_after: Vec<usize> =
            after_faults.into_iter().filter(|begin| begin + LONG_WINDOW <= seconds).collect();
        let baseline = &mut RandomBaseline::default();
        LoadSpread {
            group_10s: self.imbalance(&long_windows, LONG_WINDOW, Scope::Group, baseline),
            group_1s: self.imbalance(&every_second, 1, Scope::Group, baseline),
            fleet_10s: self.imbalance(&long_windows, LONG_WINDOW, Scope::Fleet, baseline),
            fleet_1s: self.imbalance(&every_second, 1, Scope::Fleet, baseline),
            after_fault_1s: self.imbalance(&seconds_after, 1, Scope::Group, baseline),
            after_fault_10s: self.imbalance(&long_after, LONG_WINDOW, Scope::Group, baseline),
            idle_share: self.idle.total as f64 / self.service_time.max(1) as f64,
            idle_periods: self.idle.periods,
            longest_idle_s: self.idle.longest as f64 / SECOND as f64,
        }
    }

    /// Measures the imbalance over the windows of a length that begin at the given seconds.
    fn imbalance(
        &self,
        begins: &[usize],
        length: usize,
        scope: Scope,
        baseline: &mut RandomBaseline,
    ) -> Imbalance {
        let mut imbalance = Imbalance::default();
        let mut shapes = Vec::new();
        for starts in begins.iter().flat_map(|begin| self.starts_in_window(*begin, length, scope)) {
            let total: u64 = starts.iter().sum();
            if starts.len() < 2 || total == 0 {
                continue;
            }
            let busiest = starts.iter().max().copied().unwrap_or(0);
            let ratio = busiest as f64 * starts.len() as f64 / total as f64;
            imbalance.windows += 1;
            imbalance.mean += ratio;
            imbalance.worst = imbalance.worst.max(ratio);
            shapes.push(WindowShape { starts: total, replicas: starts.len() });
        }
        // The shapes are sorted because the baseline's random draws depend on their order.
        shapes.sort_unstable();
        let mean = imbalance.mean / imbalance.windows.max(1) as f64;
        imbalance.mean = (mean * MEAN_RESOLUTION).round() / MEAN_RESOLUTION;
        let random = baseline.expected(&shapes);
        imbalance.random_mean = random.mean;
        imbalance.random_worst = random.worst;
        imbalance
    }

    /// Returns, for each group or for the whole fleet, the requests started at each replica that was in
    /// service during the whole window.
    fn starts_in_window(&self, begin: usize, length: usize, scope: Scope) -> Vec<Vec<u64>> {
        let window = begin..begin + length;
        let mut starts: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
        for (node, replica) in self.replicas.iter().enumerate() {
            if !window.clone().all(|second| self.in_service[second][node]) {
                continue;
            }
            let key = if scope == Scope::Group { replica.group } else { 0 };
            let started = window.clone().map(|second| u64::from(self.starts[second][node])).sum();
            starts.entry(key).or_default().push(started);
        }
        starts.into_values().collect()
    }
}

/// Returns the seconds covered by the long windows that begin at the given seconds, sorted and without
/// duplicates.
fn seconds_after(begins: &[usize], seconds: usize) -> Vec<usize> {
    let mut after: Vec<usize> = begins.iter().flat_map(|begin| *begin..begin + LONG_WINDOW).collect();
    after.retain(|second| *second < seconds);
    after.sort_unstable();
    after.dedup();
    after
}
