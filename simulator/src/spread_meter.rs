//! Measures how evenly replicas are loaded: requests started at each, by windows, and the time that replicas are idle
//! beside a group with work.
use crate::load_spread::{Imbalance, LoadSpread};
use crate::random_baseline::{RandomBaseline, WindowShape};
use crate::times::SECOND;
use decision::Time;
use std::collections::BTreeMap;

/// A replica without work for this long while its group has work counts as idle, in microseconds.
pub const MIN_IDLE_PERIOD: i64 = 2_000_000;
/// Seconds in a long window.
pub const LONG_WINDOW: usize = 10;

/// Means are rounded to one part in this, so that they do not depend on the order of summation.
const MEAN_RESOLUTION: f64 = 1e9;

/// A node as a replica; while it is a primary it is not in service as one.
#[derive(Clone, Debug)]
struct ReplicaState {
    group: usize,
    /// Since when it is in service as a replica, if it is.
    in_service_since: Option<Time>,
    /// Requests that it serves or queues.
    active_requests: usize,
    /// Since when it has none.
    idle_since: Time,
    /// Requests started in its group up to then.
    group_starts_when_idle: u64,
}

/// Which replicas are compared with each other in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// Those of each group.
    Group,
    /// All of them.
    Fleet,
}

/// Idle time of all replicas, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct IdleTime {
    total: i64,
    periods: u64,
    longest: i64,
}

/// Observes the nodes of a run.
pub struct SpreadMeter {
    begin: Time,
    replicas: Vec<ReplicaState>,
    /// Requests started, by second and node.
    starts: Vec<Vec<u32>>,
    /// Whether a node was in service through the whole second, by second and node.
    in_service: Vec<Vec<bool>>,
    /// Requests started so far in each group.
    group_starts: Vec<u64>,
    idle: IdleTime,
    /// Time in service of all replicas.
    service_time: i64,
}

impl SpreadMeter {
    /// A meter for nodes of the given groups, all out of service, that counts whole seconds from `begin` on.
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

    /// The measured second of a time, if it is one.
    fn second_of(&self, at: Time) -> Option<usize> {
        let since = at.0 - self.begin.0;
        (since >= 0).then_some((since / SECOND) as usize).filter(|second| *second < self.starts.len())
    }

    /// Records that a node is, or is not, in service as a replica from now on, with this many requests active.
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

    /// Excludes the second in which a node changes: it is in service for only a part of it.
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

    /// Counts the idle period of a replica that ends now, if it is long enough and its group had work meanwhile.
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

    /// Records that a node starts a request, or queues it.
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

    /// Ends the measurement. Ends of faults are in seconds from the meter's begin.
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

    /// Imbalance over the windows of a length that begin in these seconds.
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
        // The draws of the baseline depend on the order of the shapes.
        shapes.sort_unstable();
        let mean = imbalance.mean / imbalance.windows.max(1) as f64;
        imbalance.mean = (mean * MEAN_RESOLUTION).round() / MEAN_RESOLUTION;
        let random = baseline.expected(&shapes);
        imbalance.random_mean = random.mean;
        imbalance.random_worst = random.worst;
        imbalance
    }

    /// For each group, or for the fleet, the requests started at each replica that was in service through the window.
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

/// The seconds of the long windows that begin then, each once.
fn seconds_after(begins: &[usize], seconds: usize) -> Vec<usize> {
    let mut after: Vec<usize> = begins.iter().flat_map(|begin| *begin..begin + LONG_WINDOW).collect();
    after.retain(|second| *second < seconds);
    after.sort_unstable();
    after.dedup();
    after
}
