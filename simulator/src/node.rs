//! A server: cores, a queue, connections, a log that it writes or applies, and what can be wrong with it.
use decision::Time;
use std::collections::VecDeque;

/// What a node is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// The router that asked, and its start.
    pub router: usize,
    /// The start of the router.
    pub epoch: u32,
    /// The request at that router.
    pub request: u64,
    /// The attempt.
    pub attempt: u32,
    /// The class.
    pub class: usize,
    /// The client whose request it is.
    pub client: u64,
}

/// A server.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its group.
    pub group: usize,
    /// Its hall.
    pub hall: usize,
    /// It takes writes.
    pub primary: bool,
    /// Its process runs.
    pub up: bool,
    /// It answers nothing.
    pub hung: bool,
    /// It answers with errors at once.
    pub errs: bool,
    /// It is slower by this.
    pub slow: f64,
    /// This share of its work takes ten times as long.
    pub gray: f64,
    /// Its disk is slower by this.
    pub disk: f64,
    /// Its process's start.
    pub epoch: u32,
    /// When it started; long ago for the first.
    pub started: Option<Time>,
    /// Work on its cores.
    pub busy: usize,
    /// Work that waits.
    pub waiting: VecDeque<Job>,
    /// Connections open to it.
    pub connections: usize,
    /// Commits that have come and are not applied: when they were made, and when they will be.
    pub applying: VecDeque<(Time, Time)>,
    /// It has applied everything up to here.
    pub applied: Time,
    /// Requests that came of late, while it was cold.
    pub recent: VecDeque<Time>,
    /// It has been pushed over.
    pub fallen: bool,
}

impl Node {
    /// One that has run for long.
    pub fn new(group: usize, hall: usize, primary: bool) -> Node {
        Node {
            group,
            hall,
            primary,
            up: true,
            hung: false,
            errs: false,
            slow: 1.0,
            gray: 0.0,
            disk: 1.0,
            epoch: 0,
            started: None,
            busy: 0,
            waiting: VecDeque::new(),
            connections: 0,
            applying: VecDeque::new(),
            applied: Time(0),
            recent: VecDeque::new(),
            fallen: false,
        }
    }

    /// The share of its capacity that it has.
    pub fn warmth(&self, now: Time, from: f64, time: i64) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now.0 - started.0).max(0) as f64 / time.max(1) as f64;
        from + (1.0 - from) * age.min(1.0)
    }

    /// A commit has come: its single thread applies one after the other.
    pub fn ship(&mut self, now: Time, committed: Time, apply: i64) {
        let free = self.applying.back().map_or(now, |(_, done)| (*done).max(now));
        let done = Time(free.0 + (apply as f64 * self.disk) as i64);
        self.applying.push_back((committed, done));
    }

    /// Up to where it shows every commit. A primary stands at the present; a replica behind the heartbeats that have
    /// come, as far as it has applied what lies before them.
    pub fn position(&mut self, now: Time, ship: i64) -> Time {
        if self.primary {
            return now;
        }
        while let Some((committed, _)) = self.applying.front().copied().filter(|(_, done)| *done <= now) {
            self.applied = self.applied.max(committed);
            self.applying.pop_front();
        }
        let stands = match self.applying.front() {
            Some((committed, _)) => Time(committed.0 - 1),
            None => Time(now.0 - ship),
        };
        self.applied = self.applied.max(stands);
        self.applied
    }

    /// Its process ends: whatever it had is gone.
    pub fn stop(&mut self) {
        (self.up, self.busy, self.connections) = (false, 0, 0);
        self.epoch += 1;
        self.waiting.clear();
        self.recent.clear();
    }

    /// Its process starts, cold.
    pub fn start(&mut self, now: Time) {
        (self.up, self.started, self.fallen) = (true, Some(now), false);
        (self.hung, self.errs) = (false, false);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_replica_stands_before_the_first_commit_that_it_has_not_applied() {
        let mut n = Node::new(0, 0, false);
        assert_eq!(n.position(Time(1000), 100), Time(900));
        n.ship(Time(1100), Time(1000), 50);
        n.ship(Time(1100), Time(1010), 50);
        assert_eq!(n.position(Time(1149), 100), Time(999));
        assert_eq!(n.position(Time(1150), 100), Time(1009));
        assert_eq!(n.position(Time(1200), 100), Time(1100));
        // A slow disk, and it never goes back.
        n.disk = 10.0;
        n.ship(Time(1300), Time(1250), 50);
        assert_eq!(n.position(Time(1700), 100), Time(1249));
    }

    #[test]
    fn a_started_node_warms_up() {
        let mut n = Node::new(0, 0, false);
        assert_eq!(n.warmth(Time(5), 0.25, 100), 1.0);
        n.stop();
        n.start(Time(1000));
        assert_eq!([n.warmth(Time(1000), 0.25, 100), n.warmth(Time(1050), 0.25, 100)], [0.25, 0.625]);
        assert_eq!(n.warmth(Time(9000), 0.25, 100), 1.0);
    }
}
