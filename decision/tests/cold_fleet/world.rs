//! A discrete-event simulation of routers, members, clients and the network between them.
use crate::common::{self, MS};
use crate::scene::{COLD_START, END, LAST_REQUEST, Plan, START};
use decision::{
    Action, Event, MemberEntry, MemberId, MemberReport, Micros, Outcome, Request, RequestId, Router,
    Settings, Time,
};
use std::collections::{BTreeMap, VecDeque};

/// Number of members of the group; member 0 is the primary.
pub(crate) const MEMBERS: usize = 4;
const PRIMARY: usize = 0;
/// One-way network delay between a router and a member.
const ONE_WAY_DELAY: Micros = 300;
/// How long a router waits for the result of a probe when the member hangs.
const PROBE_TIMEOUT: Micros = 250 * MS;
/// How old the positions are that members report.
const REPORT_AGE: Micros = 50 * MS;
/// Requests that a member serves concurrently, and the length of its queue.
const CORES: usize = 3;
const MAX_WAITING: usize = 60;
/// A rejected client retries with this probability and at most this often. A client waits for the retry-after
/// time, or the default if there is none, but no longer than a random time.
const RETRY_PROBABILITY: f64 = 0.7;
const MAX_RETRIES: u32 = 3;
const DEFAULT_RETRY_AFTER: Micros = 50 * MS;

/// A scheduled event of the simulation.
#[derive(Debug)]
pub(crate) enum SimEvent {
    ClientArrives,
    ClientRetries(Client),
    ReachesMember(Job),
    WorkDone {
        /// The epoch of the member's process that did the work.
        epoch: u32,
        job: Job,
    },
    ResponseArrives {
        job: Job,
        outcome: Outcome,
        is_primary: Option<bool>,
    },
    ProbeEnds {
        router: usize,
        epoch: u32,
        member: usize,
        outcome: Outcome,
    },
    TimerExpires {
        router: usize,
        epoch: u32,
    },
    /// The member's process starts.
    MemberStarts(usize),
    MemberStops(usize),
    MemberHangs(usize),
    /// All routers get a complete list of these members.
    ListChanges(Vec<usize>),
    RouterRestarts(usize),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Client {
    router: usize,
    class: usize,
    deadline: Micros,
    retries: u32,
}

/// An attempt that is in transit or at its member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    router: usize,
    /// The epoch of the router's process that sent the attempt.
    epoch: u32,
    request: u64,
    attempt: u32,
    member: usize,
    deadline: Micros,
    needs_primary: bool,
    /// The work of the request, in multiples of the average.
    work: f64,
}

#[derive(Debug, Default)]
struct Member {
    up: bool,
    hung: bool,
    /// The epoch of the process, which increases when it stops.
    epoch: u32,
    started_at: Option<Micros>,
    busy_cores: usize,
    waiting: VecDeque<Job>,
}

struct RouterNode {
    router: Router,
    /// The epoch of the process, which increases when it restarts.
    epoch: u32,
    /// Clients by request, with the number of attempts made for each so far.
    clients: BTreeMap<u64, (Client, u32)>,
    /// The member of each attempt without an outcome, by request and index of the attempt.
    in_flight: BTreeMap<(u64, u32), usize>,
}

impl RouterNode {
    fn new(router: Router, epoch: u32) -> RouterNode {
        RouterNode { router, epoch, clients: BTreeMap::new(), in_flight: BTreeMap::new() }
    }
}

/// Results of a run.
#[derive(Debug, Default)]
pub(crate) struct Results {
    /// The largest ratio of the work in a window to the limit N + 2 * sqrt(N) + 2, where N is the load that
    /// overloads the member.
    pub(crate) worst_window_ratio: f64,
    pub(crate) requests: u64,
    pub(crate) served: u64,
    pub(crate) served_by_cold_member: u64,
}

pub(crate) struct World {
    plan: Plan,
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    next_event: u64,
    /// Scheduled events by time, then in the order of insertion.
    events: BTreeMap<(Micros, u64), SimEvent>,
    routers: Vec<RouterNode>,
    members: Vec<Member>,
    listed: Vec<usize>,
    cold_member: usize,
    next_request: u64,
    /// Time and work of the requests that reached the cold member in the window that ends now.
    window: VecDeque<(Micros, f64)>,
    results: Results,
}

impl World {
    pub(crate) fn new(plan: Plan) -> World {
        let settings = plan.settings();
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let routers = (0..plan.routers)
            .map(|_| {
                let settings = Settings { zone: rng.u32(..3), ..settings.clone() };
                RouterNode::new(Router::new(settings, rng.u64(..)), 0)
            })
            .collect();
        let mut world = World {
            plan,
            settings,
            rng,
            now: START,
            next_event: 0,
            events: BTreeMap::new(),
            routers,
            members: (0..MEMBERS).map(|_| Member { up: true, ..Member::default() }).collect(),
            listed: vec![],
            cold_member: plan.cold_member(),
            next_request: 0,
            window: VecDeque::new(),
            results: Results::default(),
        };
        for (time, event) in plan.script() {
            world.schedule_at(time, event);
        }
        world.schedule_after(0, SimEvent::ClientArrives);
        world
    }

    pub(crate) fn run(mut self) -> Results {
        while let Some(((time, _), event)) = self.events.pop_first() {
            if time > END {
                break;
            }
            self.now = time;
            self.process(event);
        }
        self.results
    }

    fn schedule_at(&mut self, time: Micros, event: SimEvent) {
        self.next_event += 1;
        self.events.insert((time, self.next_event), event);
    }

    fn schedule_after(&mut self, delay: Micros, event: SimEvent) {
        self.schedule_at(self.now + delay, event);
    }

    fn respond(&mut self, job: Job, outcome: Outcome, is_primary: Option<bool>) {
        self.schedule_after(ONE_WAY_DELAY, SimEvent::ResponseArrives { job, outcome, is_primary });
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::ClientArrives => self.client_arrives(),
            SimEvent::ClientRetries(client) => self.request(client),
            SimEvent::ReachesMember(job) => self.reaches_member(job),
            SimEvent::WorkDone { epoch, job } => self.work_done(epoch, job),
            SimEvent::ResponseArrives { job, outcome, is_primary } => {
                self.response_arrives(job, outcome, is_primary);
            }
            SimEvent::ProbeEnds { router, epoch, member, outcome } => {
                if self.routers[router].epoch == epoch {
                    self.probe_ends(router, member, outcome);
                }
            }
            SimEvent::TimerExpires { router, epoch } => {
                if self.routers[router].epoch == epoch {
                    self.handle(router, Event::TimerExpired);
                }
            }
            SimEvent::MemberStarts(id) => {
                let member = &mut self.members[id];
                member.up = true;
                member.hung = false;
                member.started_at = Some(self.now);
            }
            SimEvent::MemberStops(id) => {
                let member = &mut self.members[id];
                member.up = false;
                member.busy_cores = 0;
                member.epoch += 1;
                member.waiting.clear();
            }
            SimEvent::MemberHangs(id) => self.members[id].hung = true,
            SimEvent::ListChanges(members) => {
                self.listed = members;
                (0..self.routers.len()).for_each(|router| self.notify(router));
            }
            SimEvent::RouterRestarts(id) => {
                let settings = Settings { zone: self.rng.u32(..3), ..self.settings.clone() };
                let router = Router::new(settings, self.rng.u64(..));
                self.routers[id] = RouterNode::new(router, self.routers[id].epoch + 1);
                self.notify(id);
            }
        }
    }

    fn client_arrives(&mut self) {
        let rate = self.plan.load * self.plan.capacity * MEMBERS as f64 / 1e6;
        let gap = (-(1.0 - self.rng.f64()).ln() / rate) as i64;
        if self.now + gap < LAST_REQUEST {
            self.schedule_after(gap, SimEvent::ClientArrives);
        }
        // The smaller of two draws is more common, so some routers get several times the mean.
        let routers = self.routers.len();
        let router = self.rng.usize(..routers).min(self.rng.usize(..routers));
        // The primary gets the share of one member.
        let class = match self.rng.usize(..MEMBERS) {
            0 => usize::from(self.rng.u8(..4) == 0),
            _ => 2 + self.rng.usize(..2),
        };
        let deadline = self.now + self.settings.classes[class].deadline;
        if (COLD_START..LAST_REQUEST).contains(&self.now) {
            self.results.requests += 1;
        }
        self.request(Client { router, class, deadline, retries: 0 });
    }

    fn request(&mut self, client: Client) {
        let id = self.next_request;
        self.next_request += 1;
        self.routers[client.router].clients.insert(id, (client, 0));
        let request = Request {
            id: RequestId(id),
            class: client.class,
            tenant: 0,
            session: None,
            group: common::GROUP,
            deadline: Time(client.deadline),
            session_commit: None,
            may_run_partially: false,
        };
        self.handle(client.router, Event::RequestArrived(request));
    }

    /// Sends the current member list to a router.
    fn notify(&mut self, router: usize) {
        let entry = |id: &usize| MemberEntry {
            started_at: self.members[*id].started_at.map(Time),
            listed_primary: *id == PRIMARY,
            zone: *id as u32 % 3,
            ..common::entry(*id as u32)
        };
        let entries = self.listed.iter().map(entry).collect();
        self.handle(router, Event::MemberListChanged { complete: true, entries });
    }

    fn probe_ends(&mut self, router: usize, member: usize, outcome: Outcome) {
        let ok = outcome == Outcome::Ok;
        let report = MemberReport {
            primary: ok.then_some(member == PRIMARY),
            position: ok.then_some(Time(self.now - REPORT_AGE)),
        };
        self.handle(router, Event::ProbeEnded { member: MemberId(member as u32), outcome, report });
    }

    fn handle(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].router.handle(Time(self.now), event, &mut actions);
        actions.into_iter().for_each(|action| self.execute(router, action));
    }

    fn execute(&mut self, router: usize, action: Action) {
        let epoch = self.routers[router].epoch;
        match action {
            Action::Send { request, member, timeout, .. } => self.send(router, request.0, member, timeout),
            Action::Reject { request, retry_after } => self.reject(router, request.0, retry_after),
            Action::Fail { request } => _ = self.routers[router].clients.remove(&request.0),
            Action::Probe { member } => {
                let id = member.0 as usize;
                let member = &self.members[id];
                let (delay, outcome) = match (member.up, member.hung) {
                    (true, false) => (2 * ONE_WAY_DELAY, Outcome::Ok),
                    (true, true) => (PROBE_TIMEOUT, Outcome::TimedOut),
                    (false, _) => (2 * ONE_WAY_DELAY, Outcome::ConnectFailed),
                };
                self.schedule_after(delay, SimEvent::ProbeEnds { router, epoch, member: id, outcome });
            }
            Action::SetTimer { after } => {
                self.schedule_after(after, SimEvent::TimerExpires { router, epoch });
            }
            Action::Cancel { .. } | Action::Subscribe | Action::Remove { .. } => {}
        }
    }

    fn send(&mut self, router: usize, request: u64, member: MemberId, timeout: Micros) {
        let work = -(1.0 - self.rng.f64()).ln();
        let node = &mut self.routers[router];
        let (client, attempts) = node.clients.get_mut(&request).expect("a sent request is pending");
        let job = Job {
            router,
            epoch: node.epoch,
            request,
            attempt: *attempts,
            member: member.0 as usize,
            deadline: self.now + timeout,
            needs_primary: client.class < 2,
            work,
        };
        *attempts += 1;
        node.in_flight.insert((request, job.attempt), job.member);
        self.schedule_after(ONE_WAY_DELAY, SimEvent::ReachesMember(job));
        let (outcome, is_primary) = (Outcome::TimedOut, None);
        self.schedule_after(timeout, SimEvent::ResponseArrives { job, outcome, is_primary });
    }

    fn reject(&mut self, router: usize, request: u64, retry_after: Option<Micros>) {
        let (client, _) = self.routers[router].clients.remove(&request).expect("the request is pending");
        let wait = retry_after.unwrap_or(DEFAULT_RETRY_AFTER).min(self.rng.i64(20..160) * MS);
        let retries = client.retries < MAX_RETRIES && self.rng.f64() < RETRY_PROBABILITY;
        if retries && self.now + wait < client.deadline {
            let client = Client { retries: client.retries + 1, ..client };
            self.schedule_after(wait, SimEvent::ClientRetries(client));
        }
    }

    /// The share of its full capacity that a member has at a given time.
    fn capacity_share(&self, started_at: Option<Micros>, at: Micros) -> f64 {
        let (initial, duration) = (self.settings.slow_start_initial_share, self.settings.slow_start_duration);
        let age = started_at.map_or(duration, |start| at - start) as f64 / duration as f64;
        initial + (1.0 - initial) * age.min(1.0)
    }

    /// Adds a request that reached the cold member to the window that ends now, and compares the sum with the
    /// limit that follows from the member's mean capacity in that window.
    fn count_arrival(&mut self, work: f64) {
        let started_at = self.members[self.cold_member].started_at;
        let Some(start) = started_at else { return };
        let length = self.settings.overload_duration;
        self.window.push_back((self.now, work));
        while self.window.front().is_some_and(|(time, _)| *time <= self.now - length) {
            self.window.pop_front();
        }
        let sum: f64 = self.window.iter().map(|(_, work)| work).sum();
        let begin = (self.now - length).max(start);
        let mean =
            f64::midpoint(self.capacity_share(started_at, begin), self.capacity_share(started_at, self.now));
        let n = self.settings.overload_factor * mean * self.plan.capacity * length as f64 / 1e6;
        let share = sum / (n + 2.0 * n.sqrt() + 2.0);
        self.results.worst_window_ratio = self.results.worst_window_ratio.max(share);
    }

    fn reaches_member(&mut self, job: Job) {
        if job.member == self.cold_member && self.members[job.member].up {
            self.count_arrival(job.work);
        }
        let is_primary = job.member == PRIMARY;
        let member = &mut self.members[job.member];
        if !member.up {
            self.respond(job, Outcome::ConnectFailed, None);
        } else if member.hung {
            // The member never responds: the attempt ends with its timeout.
        } else if job.needs_primary && !is_primary {
            self.respond(job, Outcome::NotEligible, Some(is_primary));
        } else if member.busy_cores < CORES {
            member.busy_cores += 1;
            self.serve(job);
        } else if member.waiting.len() < MAX_WAITING {
            member.waiting.push_back(job);
        } else {
            self.respond(job, Outcome::Rejected, Some(is_primary));
        }
    }

    fn serve(&mut self, job: Job) {
        let member = &self.members[job.member];
        let mean = CORES as f64 * 1e6 / self.plan.capacity;
        let delay = (job.work * mean / self.capacity_share(member.started_at, self.now)) as i64;
        let epoch = member.epoch;
        self.schedule_after(delay.max(1), SimEvent::WorkDone { epoch, job });
    }

    fn work_done(&mut self, epoch: u32, job: Job) {
        if self.members[job.member].epoch != epoch {
            return;
        }
        if !self.members[job.member].hung {
            self.respond(job, Outcome::Ok, Some(job.member == PRIMARY));
        }
        let now = self.now;
        let member = &mut self.members[job.member];
        member.busy_cores -= 1;
        // Queued work whose deadline has passed is dropped.
        while let Some(next) = member.waiting.pop_front() {
            if next.deadline > now {
                member.busy_cores += 1;
                self.serve(next);
                return;
            }
        }
    }

    fn response_arrives(&mut self, job: Job, outcome: Outcome, is_primary: Option<bool>) {
        let node = &mut self.routers[job.router];
        if node.epoch != job.epoch || node.in_flight.remove(&(job.request, job.attempt)).is_none() {
            return;
        }
        let ok = outcome == Outcome::Ok;
        if ok && let Some((client, _)) = node.clients.remove(&job.request) {
            let arrived_at = client.deadline - self.settings.classes[client.class].deadline;
            if (COLD_START..LAST_REQUEST).contains(&arrived_at) {
                self.results.served += 1;
                self.results.served_by_cold_member += u64::from(job.member == self.cold_member);
            }
        }
        let event = Event::AttemptEnded {
            request: RequestId(job.request),
            attempt: job.attempt,
            member: MemberId(job.member as u32),
            outcome,
            request_ended: ok,
            response_report: MemberReport { primary: is_primary, position: None },
            commit: (ok && job.needs_primary).then_some(Time(self.now)),
            load_report: MemberReport::default(),
        };
        self.handle(job.router, event);
    }
}
