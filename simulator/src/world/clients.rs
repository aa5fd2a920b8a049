//! Clients: when they come, whom they ask, and what they do with the answer.
use super::*;

impl World<'_> {
    pub(super) fn arrive(&mut self) {
        if self.now >= self.end() {
            return;
        }
        let gap = -(1.0 - self.rng.f64()).ln() / (self.plan.rate * self.surge) * 1e6;
        self.after(gap as i64 + 1, Ev::Arrive);
        let mut pick = self.rng.f64() * self.shares;
        let mut class = 0;
        for (n, c) in self.plan.class.iter().enumerate() {
            class = n;
            pick -= c.share;
            if pick < 0.0 {
                break;
            }
        }
        let session = self.rng.u64(0..self.plan.sessions);
        let group = (session % self.plan.groups as u64) as usize;
        let deadline = Time(self.now.0 + us(self.plan.class[class].deadline_ms));
        self.next_client += 1;
        let client = Client { class, group, session, first: self.now, deadline, tries: 0 };
        self.clients.insert(self.next_client, client);
        self.count(self.next_client, |c| c.offered += 1);
        self.ask(self.next_client);
    }

    /// Counts for a client's class and second, once the warm-up is over.
    pub(super) fn count(&mut self, client: u64, how: impl Fn(&mut Counts)) {
        let Some(c) = self.clients.get(&client) else { return };
        let since = c.first.0 - 1_000_000;
        if since < us(self.plan.warmup_s * 1000.0) {
            return;
        }
        how(&mut self.classes[c.class].0);
        if let Some(s) = self.seconds.get_mut((since / 1_000_000) as usize) {
            how(s);
        }
    }

    pub(super) fn ask(&mut self, id: u64) {
        let Some(c) = self.clients.get(&id) else { return };
        let (class, group, session, deadline) = (c.class, c.group, c.session, c.deadline);
        // Sessions wander: each request goes to any router of the cluster that its session is at home in.
        let cluster = self.plan.cluster.max(1).min(self.plan.routers);
        let clusters = self.plan.routers.div_ceil(cluster) as u64;
        let first = (session / self.plan.groups as u64 % clusters) as usize * cluster;
        let r = first + self.rng.usize(0..cluster.min(self.plan.routers - first));
        if !self.routers[r].up {
            return self.again(id, true, None);
        }
        let freshness = self.plan.class[class].freshness().unwrap_or(Freshness::Latest);
        let key = Key(session);
        let now = self.session_now();
        let sim = &mut self.routers[r];
        let reads = freshness == Freshness::Session && self.plan.plant != Some(Plant::ForgetSessions);
        let token = reads.then(|| sim.sessions.need(key, now)).flatten();
        let owed = self.check.owed(session);
        sim.next += 1;
        let request = sim.next;
        let open = Open { client: id, asked: self.now, owed, attempts: Vec::new(), answered: false };
        sim.open.insert(request, open);
        self.check.taken(r, request, deadline, !self.plan.class[class].safe);
        self.feed(
            r,
            Event::RequestArrived(Request {
                id: RequestId(request),
                class,
                tenant: 0,
                session: None,
                group: GroupId(group as u32),
                deadline,
                session_commit: token,
            }),
        );
    }

    /// A client was refused, or found no router: it asks again while it has time and patience.
    pub(super) fn again(&mut self, id: u64, harmless: bool, after: Option<i64>) {
        let Some(c) = self.clients.get_mut(&id) else { return };
        let pause = after.unwrap_or(us(self.plan.client_pause_ms) << c.tries.min(6));
        c.tries += 1;
        let (tries, at, deadline) =
            (c.tries, Time(self.now.0 + pause + self.rng.i64(0..=pause / 4 + 1)), c.deadline);
        if harmless && tries <= self.plan.client_tries && at < deadline {
            self.count(id, |c| c.retries += 1);
            return self.at(at, Ev::Ask(id));
        }
        self.count(id, |c| c.refused += 1);
        self.clients.remove(&id);
    }

    pub(super) fn served(&mut self, id: u64) {
        let Some(c) = self.clients.get(&id) else { return };
        let (took, class, first) = (self.now.0 - c.first.0, c.class, c.first);
        let aim = us(self.plan.class[class].aim_ms);
        if first.0 - 1_000_000 >= us(self.plan.warmup_s * 1000.0) {
            self.classes[class].1.record(took);
        }
        self.count(id, |c| if took <= aim { c.in_time += 1 } else { c.late += 1 });
        self.clients.remove(&id);
    }
}
