//! Routers: what their state machines are told, what they ask for, and what they know of the fleet.
use super::*;

impl World<'_> {
    pub(super) fn feed(&mut self, r: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[r].decision.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(r, action);
        }
    }

    pub(super) fn act(&mut self, r: usize, action: Action) {
        let epoch = self.routers[r].epoch;
        match action {
            Action::Send { request, member, timeout, .. } => {
                self.send(r, request.0, member.0 as usize, timeout);
            }
            Action::Cancel { request, attempt } => {
                let job = Job { router: r, epoch, request: request.0, attempt, class: 0, client: 0 };
                self.after(0, Ev::Cancelled(job));
            }
            Action::Reject { request, retry_after: come_back } => self.finish(r, request.0, true, come_back),
            Action::Fail { request } => self.finish(r, request.0, false, None),
            Action::Probe { member } => {
                let node = member.0 as usize;
                let client = self.seconds_now();
                if let Some(s) = client {
                    self.seconds[s].probes += 1;
                }
                let way = self.way(self.routers[r].hall, self.nodes[node].hall);
                self.after(way, Ev::Probe { router: r, epoch, node });
            }
            Action::SetTimer { after } => self.after(after, Ev::Wake(r, epoch)),
            Action::Subscribe | Action::Remove { .. } => {}
        }
    }

    pub(super) fn seconds_now(&self) -> Option<usize> {
        let second = ((self.now.0 - 1_000_000) / 1_000_000) as usize;
        (second < self.seconds.len() && second as f64 >= self.plan.warmup_s).then_some(second)
    }

    pub(super) fn send(&mut self, r: usize, request: u64, node: usize, timeout: i64) {
        self.check.sent(self.now, r, request, node);
        let (now, idle_for) = (self.now, us(self.plan.link_idle_ms));
        let sim = &mut self.routers[r];
        let (hall, epoch) = (sim.hall, sim.epoch);
        let Some(open) = sim.open.get_mut(&request) else { return };
        let (client, attempt) = (open.client, open.attempts.len() as u32);
        open.attempts.push(Attempt { node, sent: now, out: true });
        let idle = sim.idle.entry(node).or_default();
        let before = idle.len();
        idle.retain(|t| now.0 - t.0 < idle_for);
        let (expired, warm) = (before - idle.len(), idle.pop().is_some());
        let n = &mut self.nodes[node];
        n.connections = n.connections.saturating_sub(expired);
        let (there, primary, node_epoch) = (n.hall, n.primary, n.epoch);
        let class = self.clients.get(&client).map_or(0, |c| c.class);
        let crosses = hall != there;
        self.count(client, |c| {
            c.attempts += 1;
            c.at_primary += u64::from(primary);
            c.crossings += u64::from(crosses);
            c.handshakes += u64::from(!warm);
        });
        let job = Job { router: r, epoch, request, attempt, class, client };
        self.after(timeout, Ev::TimeOut(job));
        let way = self.way(hall, there);
        if self.apart(hall, there) {
            // On a connection that stood it is silent; a new one never comes up.
            if !warm {
                let (outcome, from) = (Outcome::ConnectFailed, Time(0));
                self.after(CONNECT, Ev::Back { job, node, outcome, commit: None, from, link: false });
            }
            return;
        }
        let shake = if warm { 0 } else { 2 * way + us(self.plan.handshake_ms) };
        self.after(way + shake, Ev::AtNode { job, node, node_epoch, fresh: !warm });
    }

    /// A router's final answer that is no server's.
    pub(super) fn finish(&mut self, r: usize, request: u64, refused: bool, come_back: Option<i64>) {
        let Some(open) = self.routers[r].open.get_mut(&request) else { return };
        if std::mem::replace(&mut open.answered, true) {
            return;
        }
        let client = open.client;
        self.check.answered(self.now, r, request, refused);
        self.drop_if_done(r, request);
        if refused {
            self.again(client, true, come_back);
        } else {
            self.count(client, |c| c.failed += 1);
            self.clients.remove(&client);
        }
    }

    pub(super) fn drop_if_done(&mut self, r: usize, request: u64) {
        let open = &mut self.routers[r].open;
        if open.get(&request).is_some_and(|o| o.answered && o.attempts.iter().all(|a| !a.out)) {
            open.remove(&request);
        }
    }

    /// An attempt's answer, or its connection's end, has come back.
    pub(super) fn back(
        &mut self,
        job: Job,
        node: usize,
        outcome: Outcome,
        commit: Option<Time>,
        from: Time,
        link: bool,
    ) {
        if !self.lives(job.router, job.epoch) {
            let n = &mut self.nodes[node];
            n.connections = n.connections.saturating_sub(usize::from(link));
            return;
        }
        let now = self.now;
        let known = self.routers[job.router].open.get(&job.request);
        let waits = known.and_then(|o| o.attempts.get(job.attempt as usize)).is_some_and(|a| a.out);
        if link && waits {
            self.routers[job.router].idle.entry(node).or_default().push(now);
        } else if link {
            // It was given up: its connection is closed.
            let n = &mut self.nodes[node];
            n.connections = n.connections.saturating_sub(1);
        }
        if waits {
            if outcome == Outcome::Ok {
                self.heard_of(job.router, node);
            }
            self.outcome(job, outcome, commit, Some(from));
        }
    }

    /// An attempt has ended as a router sees it.
    pub(super) fn outcome(&mut self, job: Job, outcome: Outcome, commit: Option<Time>, from: Option<Time>) {
        let Job { router: r, request, attempt, .. } = job;
        if !self.lives(r, job.epoch) {
            return;
        }
        let Some(open) = self.routers[r].open.get_mut(&request) else { return };
        let Some(a) = open.attempts.get_mut(attempt as usize).filter(|a| a.out) else { return };
        a.out = false;
        let (node, sent) = (a.node, a.sent);
        if outcome.never_ran() {
            self.check.never_ran(r, request);
        }
        let (client, asked, owed) = (open.client, open.asked, open.owed);
        let mut ended = open.answered;
        if outcome == Outcome::Ok && !ended {
            open.answered = true;
            ended = true;
            let class = self.clients.get(&client).map_or(0, |c| c.class);
            let freshness = self.plan.class[class].freshness().unwrap_or(Freshness::Latest);
            if let Some(at) = commit {
                let session = self.clients.get(&client).map_or(0, |c| c.session);
                self.routers[r].tickets.insert(request, (client, session, at));
                // The client hears of it once its session can rely on it.
                self.session(r, SessionEvent::Commit(request, Key(session), at));
            } else {
                let data = from.unwrap_or(self.now);
                self.check.read(self.now, freshness, asked, sent, owed, data);
                self.check.answered(self.now, r, request, false);
                self.served(client);
            }
        }
        let member = MemberId(node as u32);
        let (note, report) = (MemberReport::default(), MemberReport::default());
        self.feed(
            r,
            Event::AttemptEnded {
                request: RequestId(request),
                attempt,
                member,
                outcome,
                request_ended: ended,
                response_report: note,
                commit,
                load_report: report,
            },
        );
        self.drop_if_done(r, request);
    }

    pub(super) fn heard_of(&mut self, r: usize, node: usize) {
        if self.routers[r].fleet.level() != Level::Fresh {
            self.fleet(r, FleetEvent::Answered(format!("n{node}")));
        }
    }

    pub(super) fn probe_at(&mut self, r: usize, epoch: u32, node: usize) {
        let hall = self.routers[r].hall;
        let there = self.nodes[node].hall;
        let (now, ship) = (self.now, us(self.plan.ship_ms));
        let (apart, way) = (self.apart(hall, there), self.way(hall, there));
        let n = &mut self.nodes[node];
        let (outcome, report, after) = if apart || n.hung {
            (Outcome::TimedOut, MemberReport::default(), CONNECT)
        } else if !n.up {
            (Outcome::ConnectFailed, MemberReport::default(), way)
        } else {
            let report = MemberReport { primary: Some(n.primary), position: Some(n.position(now, ship)) };
            (Outcome::Ok, report, way)
        };
        self.after(after, Ev::Probed { router: r, epoch, node, outcome, report });
    }

    pub(super) fn tick(&mut self, r: usize, epoch: u32) {
        if !self.outage {
            self.fleet(r, FleetEvent::Heard);
        }
        self.fleet(r, FleetEvent::Tick);
        self.session(r, SessionEvent::Tick);
        let cluster = self.plan.cluster.max(1);
        let first = r / cluster * cluster;
        for p in (first..(first + cluster).min(self.plan.routers)).filter(|p| *p != r) {
            if self.linked.contains(&(r, p)) || self.apart(self.routers[r].hall, self.routers[p].hall) {
                continue;
            }
            if self.routers[p].up {
                self.linked.insert((r, p));
                let incarnation = self.routers[r].sessions.incarnation();
                self.tell(r, p, Peer::Hello(incarnation));
            } else {
                let begun = self.now;
                self.session(r, SessionEvent::Down(p as Instance, begun));
            }
        }
        self.after(TICK, Ev::Tick(r, epoch));
    }

    pub(super) fn session_now(&self) -> Now {
        // The servers' clock is the one clock here, known a little late.
        Now { at: self.now, present: Some(Time(self.now.0 + 500)) }
    }

    pub(super) fn session(&mut self, r: usize, event: SessionEvent) {
        let now = self.session_now();
        let mut actions = Vec::new();
        self.routers[r].sessions.handle(now, event, &mut actions);
        for action in actions {
            self.session_act(r, action);
        }
    }

    pub(super) fn session_act(&mut self, r: usize, action: SessionAction) {
        let epoch = self.routers[r].epoch;
        match action {
            SessionAction::Append(seq, key, at) => self.after(SYNC, Ev::Synced(r, epoch, seq, key, at)),
            SessionAction::Push(p, push) => self.tell(r, p as usize, Peer::Push(push)),
            SessionAction::PushAll(p, seq) => {
                let m = &self.routers[r].sessions;
                let mut entries: Vec<(Key, i64)> = m.kept().iter().map(|(k, t)| (k, t.0)).collect();
                // Tables of the standard library have no order of their own.
                entries.sort_unstable_by_key(|(k, t)| (*t, *k));
                let floor = m.floor().filter(|_| !m.floor_due()).map(|t| t.0);
                self.tell(r, p as usize, Peer::Push(Push::All { entries }));
                self.tell(r, p as usize, Peer::Push(Push::Whole { seq, floor }));
            }
            SessionAction::Welcome(p, incarnation, holds) => {
                self.tell(r, p as usize, Peer::Welcome(incarnation, holds));
            }
            SessionAction::Confirm(p, seq) => self.tell(r, p as usize, Peer::Confirm(seq)),
            SessionAction::Ask(p, at) => self.tell(r, p as usize, Peer::Ask(at)),
            SessionAction::Drop(p) => self.unlink(p as usize, r),
            SessionAction::Release(request) => {
                let Some((client, session, commit)) = self.routers[r].tickets.remove(&request) else {
                    return;
                };
                self.check.acknowledged(session, commit);
                self.check.answered(self.now, r, request, false);
                self.served(client);
            }
            SessionAction::Fail(request) => {
                let Some((client, ..)) = self.routers[r].tickets.remove(&request) else { return };
                self.check.answered(self.now, r, request, false);
                self.count(client, |c| c.failed += 1);
                self.clients.remove(&client);
            }
            SessionAction::AppendFloor(_)
            | SessionAction::Refuse(..)
            | SessionAction::Reincarnate(_)
            | SessionAction::Superseded(_) => {}
        }
    }

    pub(super) fn news(&mut self, r: usize, event: NewsEvent) {
        let mut actions = Vec::new();
        self.routers[r].follower.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                NewsAction::Put(item) => self.fleet(r, FleetEvent::Put { name: item.key.clone(), item }),
                NewsAction::Gone(name) => self.fleet(r, FleetEvent::Gone(name)),
                NewsAction::Settled(_) => self.fleet(r, FleetEvent::Heard),
                _ => {}
            }
        }
    }

    pub(super) fn fleet(&mut self, r: usize, event: FleetEvent) {
        let mut actions = Vec::new();
        self.routers[r].fleet.handle(self.now, event, &mut actions);
        let mut entries = Vec::new();
        for action in actions {
            let FleetAction::List(id, node) = action else { continue };
            let Some(n) = id.strip_prefix('n').and_then(|i| i.split('@').next()?.parse::<usize>().ok())
            else {
                continue;
            };
            let state = match node.state {
                State::InService => MemberState::Ready,
                State::Draining => MemberState::Draining,
                State::Gone => MemberState::Removed,
            };
            self.check.told(self.now, r, n, state == MemberState::Ready);
            entries.push(MemberEntry {
                id: MemberId(n as u32),
                group: GroupId(node.group),
                zone: node.zone.parse().unwrap_or(0),
                state,
                listed_primary: false,
                weight: node.weight,
                started_at: None,
            });
        }
        let deaf = self.plan.plant == Some(Plant::IgnoreDrains) && self.revision > 1;
        if !entries.is_empty() && !deaf {
            self.feed(r, Event::MemberListChanged { complete: false, entries });
        }
    }
}
