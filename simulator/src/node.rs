//! A simulated server: cores, a queue, connections, the replication log that it writes or applies, and its faults.
use decision::Time;
use std::collections::VecDeque;

/// An attempt as a node works on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// The router that sent it.
    pub router: usize,
    /// The router's epoch, which rises with each restart.
    pub epoch: u32,
    /// The request's number at that router.
    pub request: u64,
    /// The attempt's index within the request.
    pub attempt: u32,
    /// Index of the request's class.
    pub class: usize,
    /// The client that made the request.
    pub client: u64,
}

/// A commit that a replica has received and not yet applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedCommit {
    /// When the primary committed it.
    pub committed_at: Time,
    /// When the replica will have applied it.
    pub applied_at: Time,
}

/// A server.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its replication group.
    pub group: usize,
    /// Its zone.
    pub zone: usize,
    /// Whether it accepts writes.
    pub primary: bool,
    /// Whether its process runs.
    pub up: bool,
    /// Whether it answers nothing.
    pub hung: bool,
    /// Whether it answers with errors at once.
    pub failing: bool,
    /// Factor by which it is slower.
    pub slowdown: f64,
    /// Share of its requests that take ten times as long.
    pub gray_share: f64,
    /// Factor by which its disk is slower.
    pub disk_slowdown: f64,
    /// Rises with each crash.
    pub epoch: u32,
    /// When its process started; `None` for one that has run since long before the simulation.
    pub started_at: Option<Time>,
    /// Cores that serve a request.
    pub busy_cores: usize,
    /// Requests that wait for a core.
    pub queue: VecDeque<Job>,
    /// Connections open to it.
    pub connections: usize,
    /// Commits received and not applied, oldest first.
    pub unapplied: VecDeque<ReceivedCommit>,
    /// Position up to which it has applied every commit.
    pub applied_position: Time,
    /// When it received the requests of the last second, while it warms up.
    pub recent_arrivals: VecDeque<Time>,
}

impl Node {
    /// A node that has run since long before the simulation.
    pub fn new(group: usize, zone: usize, primary: bool) -> Node {
        Node {
            group,
            zone,
            primary,
            up: true,
            hung: false,
            failing: false,
            slowdown: 1.0,
            gray_share: 0.0,
            disk_slowdown: 1.0,
            epoch: 0,
            started_at: None,
            busy_cores: 0,
            queue: VecDeque::new(),
            connections: 0,
            unapplied: VecDeque::new(),
            applied_position: Time(0),
            recent_arrivals: VecDeque::new(),
        }
    }

    /// The share of its full capacity that it has: rises from `initial_share` to 1 in `duration` microseconds after
    /// its start.
    pub fn capacity_share(&self, now: Time, initial_share: f64, duration: i64) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = (now.0 - started_at.0).max(0) as f64 / duration.max(1) as f64;
        initial_share + (1.0 - initial_share) * progress.min(1.0)
    }

    /// Receives a commit, which its single thread applies after those before it in `apply_time` microseconds.
    pub fn receive_commit(&mut self, now: Time, committed_at: Time, apply_time: i64) {
        let begin = self.unapplied.back().map_or(now, |last| last.applied_at.max(now));
        let applied_at = Time(begin.0 + (apply_time as f64 * self.disk_slowdown) as i64);
        self.unapplied.push_back(ReceivedCommit { committed_at, applied_at });
    }

    /// The position up to which it shows every commit. A primary's is the present; a replica's is just before the
    /// oldest commit that it has not applied, or `replication_delay` microseconds ago if it has applied all.
    pub fn position(&mut self, now: Time, replication_delay: i64) -> Time {
        if self.primary {
            return now;
        }
        while let Some(applied) = self.unapplied.pop_front_if(|commit| commit.applied_at <= now) {
            self.applied_position = self.applied_position.max(applied.committed_at);
        }
        let position = match self.unapplied.front() {
            Some(oldest) => Time(oldest.committed_at.0 - 1),
            None => Time(now.0 - replication_delay),
        };
        self.applied_position = self.applied_position.max(position);
        self.applied_position
    }

    /// Its process ends, and all of its work and connections with it.
    pub fn stop(&mut self) {
        self.up = false;
        self.busy_cores = 0;
        self.connections = 0;
        self.epoch += 1;
        self.queue.clear();
        self.recent_arrivals.clear();
    }

    /// Its process starts and begins to warm up.
    pub fn start(&mut self, now: Time) {
        self.up = true;
        self.started_at = Some(now);
        self.hung = false;
        self.failing = false;
    }
}
