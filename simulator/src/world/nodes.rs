//! Nodes: what comes to them, what they serve, how they fall and who follows.
use super::*;

impl World<'_> {
    pub(super) fn refuse(&mut self, job: Job, node: usize, outcome: Outcome, link: bool) {
        let lies = self.plan.plant == Some(Plant::DenyResets) && outcome == Outcome::Reset;
        let outcome = if lies { Outcome::ConnectFailed } else { outcome };
        let way = self.way(self.nodes[node].hall, self.routers[job.router].hall);
        self.after(way, Ev::Back { job, node, outcome, commit: None, from: Time(0), link });
    }

    pub(super) fn at_node(&mut self, job: Job, node: usize, node_epoch: u32, fresh: bool) {
        let write = self.plan.class[job.class].freshness == "write";
        let n = &mut self.nodes[node];
        if !n.up || (!fresh && n.epoch != node_epoch) {
            let outcome = if fresh { Outcome::ConnectFailed } else { Outcome::Reset };
            return self.refuse(job, node, outcome, false);
        }
        if n.hung {
            return;
        }
        if fresh {
            if n.connections >= self.plan.connections {
                return self.refuse(job, node, Outcome::Rejected, false);
            }
            n.connections += 1;
        }
        if self.tips(node) {
            return self.refuse(job, node, Outcome::Reset, false);
        }
        let n = &mut self.nodes[node];
        if n.errs {
            return self.refuse(job, node, Outcome::Error, true);
        }
        if write && !n.primary {
            return self.refuse(job, node, Outcome::NotEligible, true);
        }
        if n.busy < self.plan.cores || n.waiting.len() < self.plan.queue {
            self.meter.started(self.now, node);
        }
        if n.busy < self.plan.cores {
            n.busy += 1;
            self.serve(job, node);
        } else if n.waiting.len() < self.plan.queue {
            n.waiting.push_back(job);
        } else {
            self.refuse(job, node, Outcome::Rejected, true);
        }
    }

    /// Counts what comes to a cold node; whether it falls over.
    pub(super) fn tips(&mut self, node: usize) -> bool {
        let cold = us(self.plan.cold_s * 1000.0);
        let (now, from) = (self.now, self.plan.cold_from);
        let each = self.plan.capacity() / self.nodes.len() as f64;
        let n = &mut self.nodes[node];
        let warmth = n.warmth(now, from, cold);
        if warmth >= 1.0 {
            return false;
        }
        n.recent.push_back(now);
        while n.recent.front().is_some_and(|t| now.0 - t.0 > 1_000_000) {
            n.recent.pop_front();
        }
        // A little slack for chance, as small counts scatter.
        if (n.recent.len() as f64) <= self.plan.overload_factor * each * warmth + 10.0 {
            return false;
        }
        self.check.tipped(now, node);
        self.crash(node);
        self.nodes[node].fallen = true;
        self.seats();
        true
    }

    pub(super) fn serve(&mut self, job: Job, node: usize) {
        let write = self.plan.class[job.class].freshness == "write";
        let spread = 0.4 - 0.6 * (1.0 - self.rng.f64()).max(1e-9).ln();
        let mut work = self.plan.class[job.class].work_ms * 1000.0 * spread;
        let gray = self.rng.f64();
        let (now, from, cold) = (self.now, self.plan.cold_from, us(self.plan.cold_s * 1000.0));
        let n = &self.nodes[node];
        work *= n.slow / n.warmth(now, from, cold);
        if gray < n.gray {
            work *= 10.0;
        }
        if write {
            work *= n.disk;
        }
        let epoch = n.epoch;
        self.after(work as i64, Ev::Done { node, epoch, job });
    }

    pub(super) fn done(&mut self, node: usize, epoch: u32, job: Job) {
        if self.nodes[node].epoch != epoch {
            return;
        }
        let (now, ship) = (self.now, us(self.plan.ship_ms));
        self.meter.ended(now, node);
        let n = &mut self.nodes[node];
        n.busy -= 1;
        if let Some(next) = n.waiting.pop_front() {
            n.busy += 1;
            self.serve(next, node);
        }
        let n = &mut self.nodes[node];
        if n.hung {
            return;
        }
        let (group, hall) = (n.group, n.hall);
        let write = self.plan.class[job.class].freshness == "write";
        let from = n.position(now, ship);
        let commit = write.then_some(now);
        if write {
            self.check.ran(now, job.client);
        }
        if write {
            for r in group * (self.plan.replicas + 1)..(group + 1) * (self.plan.replicas + 1) {
                if r != node {
                    self.after(ship, Ev::Ship(r, now));
                }
            }
        }
        if self.apart(hall, self.routers[job.router].hall) {
            return;
        }
        let way = self.way(hall, self.routers[job.router].hall);
        self.after(way, Ev::Back { job, node, outcome: Outcome::Ok, commit, from, link: true });
    }

    /// A node's process dies: what it had is told to the routers by resets.
    pub(super) fn crash(&mut self, node: usize) {
        self.nodes[node].stop();
        self.reset(node);
    }

    /// Every connection to a node breaks.
    pub(super) fn reset(&mut self, node: usize) {
        self.nodes[node].connections = 0;
        let mut broken = Vec::new();
        for (r, sim) in self.routers.iter_mut().enumerate() {
            sim.idle.remove(&node);
            for (request, open) in &sim.open {
                for (attempt, _) in open.attempts.iter().enumerate().filter(|(_, a)| a.node == node && a.out)
                {
                    let job = Job {
                        router: r,
                        epoch: sim.epoch,
                        request: *request,
                        attempt: attempt as u32,
                        class: 0,
                        client: 0,
                    };
                    broken.push(job);
                }
            }
        }
        // The order in which a table of the standard library lies must not matter.
        broken.sort_unstable_by_key(|j| (j.router, j.request, j.attempt));
        broken.into_iter().for_each(|job| self.refuse(job, node, Outcome::Reset, false));
    }

    pub(super) fn promote(&mut self, group: usize) {
        let members = group * (self.plan.replicas + 1)..(group + 1) * (self.plan.replicas + 1);
        if members.clone().any(|n| self.nodes[n].primary && self.nodes[n].up) {
            return;
        }
        let next = members.clone().filter(|n| self.nodes[*n].up && !self.nodes[*n].hung);
        let Some(next) = next.max_by_key(|n| (self.nodes[*n].applied, Reverse(*n))) else {
            return self.after(us(self.plan.handover_ms), Ev::Promote(group));
        };
        members.for_each(|n| self.nodes[n].primary = false);
        self.nodes[next].primary = true;
        self.nodes[next].applying.clear();
    }
}
