//! Troubles: how each begins and how it is put right.
use super::*;

impl World<'_> {
    pub(super) fn begin(&mut self, t: usize) {
        let Trouble { kind, for_s, count, by, .. } = self.plan.trouble[t].clone();
        let all = |n: usize| if count == 0 { n } else { count.min(n) };
        let nodes: Vec<usize> = (0..self.nodes.len()).collect();
        let replicas: Vec<usize> =
            nodes.iter().copied().filter(|n| !self.nodes[*n].primary && self.nodes[*n].up).collect();
        let primaries: Vec<usize> = nodes.iter().copied().filter(|n| self.nodes[*n].primary).collect();
        let mut of = match kind {
            Kind::CrashPrimary => primaries,
            Kind::CrashReplica
            | Kind::Hang
            | Kind::FastErrors
            | Kind::Gray
            | Kind::SlowDisk
            | Kind::Drain => replicas,
            Kind::RestartRouters => (0..self.plan.routers).filter(|r| self.routers[*r].up).collect(),
            _ => nodes,
        };
        self.rng.shuffle(&mut of);
        of.truncate(all(of.len()));
        if kind == Kind::CrashHall {
            let hall = self.rng.usize(0..self.plan.halls);
            of = (0..self.nodes.len()).filter(|n| self.nodes[*n].hall == hall && self.nodes[*n].up).collect();
        }
        let until = us(for_s * 1000.0);
        for &n in &of {
            match kind {
                Kind::CrashPrimary => {
                    let group = self.nodes[n].group;
                    self.crash(n);
                    let epoch = self.nodes[n].epoch;
                    self.after(us(self.plan.handover_ms), Ev::Promote(group));
                    self.after(until.max(us(self.plan.handover_ms) + 1), Ev::Restart(n, epoch));
                }
                Kind::CrashReplica => {
                    self.crash(n);
                    let epoch = self.nodes[n].epoch;
                    self.after(until, Ev::Restart(n, epoch));
                }
                Kind::CrashHall => {
                    let (group, primary) = (self.nodes[n].group, self.nodes[n].primary);
                    self.crash(n);
                    let epoch = self.nodes[n].epoch;
                    let over = us(self.plan.handover_ms);
                    if primary {
                        self.after(over, Ev::Promote(group));
                    }
                    self.after(until.max(over + 1), Ev::Restart(n, epoch));
                }
                Kind::Hang => self.nodes[n].hung = true,
                Kind::FastErrors => self.nodes[n].errs = true,
                Kind::Slow => self.nodes[n].slow = by,
                Kind::Gray => self.nodes[n].gray = by.min(1.0),
                Kind::SlowDisk => self.nodes[n].disk = by,
                Kind::Reconnect => self.reset(n),
                Kind::Drain => self.list(n, "draining"),
                Kind::RestartRouters => self.kill(n, until),
                Kind::Partition | Kind::RegistryOutage | Kind::Surge => {}
            }
        }
        match kind {
            Kind::Surge => self.surge = by,
            Kind::RegistryOutage => self.outage = true,
            Kind::Partition => {
                let hall = self.rng.usize(0..self.plan.halls);
                self.cut = Some(hall);
                let apart: Vec<(usize, usize)> = self
                    .linked
                    .iter()
                    .copied()
                    .filter(|(a, b)| self.apart(self.routers[*a].hall, self.routers[*b].hall))
                    .collect();
                apart.into_iter().for_each(|(a, b)| self.unlink(a, b));
            }
            _ => {}
        }
        self.met.insert(t, of);
        self.after(until, Ev::End(t));
    }

    pub(super) fn put_right(&mut self, t: usize) {
        let kind = self.plan.trouble[t].kind;
        for n in self.met.remove(&t).unwrap_or_default() {
            match kind {
                Kind::Hang => {
                    self.nodes[n].hung = false;
                    // What it had taken is answered by nobody: its connections break.
                    (self.nodes[n].busy, self.nodes[n].epoch) = (0, self.nodes[n].epoch + 1);
                    self.nodes[n].waiting.clear();
                    self.reset(n);
                }
                Kind::FastErrors => self.nodes[n].errs = false,
                Kind::Slow => self.nodes[n].slow = 1.0,
                Kind::Gray => self.nodes[n].gray = 0.0,
                Kind::SlowDisk => self.nodes[n].disk = 1.0,
                Kind::Drain => self.list(n, "in_service"),
                _ => {}
            }
        }
        match kind {
            Kind::Surge => self.surge = 1.0,
            Kind::Partition => self.cut = None,
            Kind::RegistryOutage => {
                self.outage = false;
                let late = std::mem::take(&mut self.waiting_news);
                late.into_iter().for_each(|(r, changes)| self.after(1000, Ev::News(r, changes)));
            }
            _ => {}
        }
    }

    /// Writes a node's state to the registry.
    pub(super) fn list(&mut self, n: usize, state: &str) {
        self.revision += 1;
        let changed = item(n, state, 1, self.revision, self.nodes[n].group, self.nodes[n].hall);
        for r in 0..self.plan.routers {
            let late = us(self.plan.news_ms);
            self.after(late, Ev::News(r, vec![Change::Put(changed.clone())]));
        }
    }

    pub(super) fn kill(&mut self, r: usize, until: i64) {
        let sim = &mut self.routers[r];
        (sim.up, sim.epoch) = (false, sim.epoch + 1);
        let mut lost: Vec<(u64, u64, bool)> =
            sim.open.drain().map(|(id, o)| (id, o.client, o.answered)).collect();
        lost.extend(sim.tickets.drain().map(|(id, (client, ..))| (id, client, false)));
        sim.idle.clear();
        lost.sort_unstable();
        lost.dedup_by_key(|l| l.1);
        self.check.killed(r);
        let links: Vec<(usize, usize)> =
            self.linked.iter().copied().filter(|(a, b)| *a == r || *b == r).collect();
        links.into_iter().for_each(|(a, b)| self.unlink(a, b));
        for (_, client, _) in lost {
            let safe = self.clients.get(&client).is_some_and(|c| self.plan.class[c.class].safe);
            if safe {
                self.again(client, true, None);
            } else if self.clients.contains_key(&client) {
                self.count(client, |c| c.failed += 1);
                self.clients.remove(&client);
            }
        }
        self.after(until.max(50_000), Ev::RouterUp(r));
    }
}
