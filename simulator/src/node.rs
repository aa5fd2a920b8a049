//! A simulated server: its cores, request queue, connections, replication state, and active faults.
use decision::Time;
use std::collections::VecDeque;

/// An attempt that a node serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Index of the router that sent the attempt.
    pub router: usize,
    /// Epoch of the router's process when it sent the attempt; increases with each restart.
    pub epoch: u32,
    /// Number of the request, assigned by the router.
    pub request: u64,
    /// Index of the attempt within its request.
    pub attempt: u32,
    /// Index of the request's class in the plan.
    pub class: usize,
    /// Number of the client that made the request.
    pub client: u64,
}

/// A commit that a replica has received and may not have applied yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedCommit {
    /// Time at which the primary committed the write.
    pub committed_at: Time,
    /// Time at which the replica has applied the commit.
    pub applied_at: Time,
}

/// A simulated server.
#[derive(Clone, Debug)]
pub struct Node {
    /// Index of the server's replication group.
    pub group: usize,
    /// Index of the server's zone.
    pub zone: usize,
    /// Whether the server is the primary, which accepts writes.
    pub primary: bool,
    /// Whether the server's process runs.
    pub up: bool,
    /// Whether the server is hung: it sends no responses.
    pub hung: bool,
    /// Whether the server responds to every request with an error at once.
    pub failing: bool,
    /// Factor by which service times are longer.
    pub slowdown: f64,
    /// Share of requests that take ten times as long, during a gray failure.
    pub gray_share: f64,
    /// Factor by which writes, and applying commits, take longer.
    pub disk_slowdown: f64,
    /// Epoch of the server's process; increases with each crash, and with the end of each hang.
    pub epoch: u32,
    /// Time at which the process started; `None` if it has run since long before the simulation.
    pub started_at: Option<Time>,
    /// Number of cores that serve a request.
    pub busy_cores: usize,
    /// Requests that wait for a free core.
    pub queue: VecDeque<Job>,
    /// Number of connections open to the server.
    pub connections: usize,
    /// Commits received and not yet applied, oldest first.
    pub unapplied: VecDeque<ReceivedCommit>,
    /// Replication position up to which every commit is known to be applied.
    pub applied_position: Time,
    /// Arrival times of the requests of the last second, recorded while the server warms up.
    pub recent_arrivals: VecDeque<Time>,
}

impl Node {
    /// Creates a server that has run since long before the simulation, so that it does not warm up.
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

    /// Share of the full capacity that is available at `now`: increases from `initial_share` to 1 in the
    /// `duration` microseconds after the process has started.
    pub fn capacity_share(&self, now: Time, initial_share: f64, duration: i64) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = (now.0 - started_at.0).max(0) as f64 / duration.max(1) as f64;
        initial_share + (1.0 - initial_share) * progress.min(1.0)
    }

    /// Receives a commit, which the replica's single thread applies after all earlier ones, in `apply_time`
    /// microseconds.
    pub fn receive_commit(&mut self, now: Time, committed_at: Time, apply_time: i64) {
        let begin = self.unapplied.back().map_or(now, |last| last.applied_at.max(now));
        let applied_at = Time(begin.0 + (apply_time as f64 * self.disk_slowdown) as i64);
        self.unapplied.push_back(ReceivedCommit { committed_at, applied_at });
    }

    /// Replication position up to which reads see every commit. A primary's is the current time; a replica's
    /// is just before the oldest commit that it has not applied, or `replication_delay` microseconds ago if
    /// the replica has applied all commits.
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

    /// Ends the server's process, with all of its requests and connections.
    pub fn stop(&mut self) {
        self.up = false;
        self.busy_cores = 0;
        self.connections = 0;
        self.epoch += 1;
        self.queue.clear();
        self.recent_arrivals.clear();
    }

    /// Starts the server's process, which begins to warm up.
    pub fn start(&mut self, now: Time) {
        self.up = true;
        self.started_at = Some(now);
        self.hung = false;
        self.failing = false;
    }
}
