//! Runs many [`Machine`]s on a simulated network with virtual time, a random seed, delays, loss, blocked
//! links and stopped processes. The same seed and calls give the same run. Used by tests, for the
//! measurements in `docs/design/membership.md`, and by the emulator.
use crate::error::Error;
use crate::machine::{Action, Event, Machine};
use crate::member::Member;
use crate::settings::Settings;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;
use std::time::Duration;

/// Maximum number of events that are queued for a stopped process; further datagrams are lost.
const MAX_QUEUED_EVENTS: usize = 256;
const FIRST_PORT: u16 = 10_000;
/// How often [`Simulation::run_until`] checks its condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A simulated router.
pub struct Router {
    /// The state machine of the router's last start.
    pub machine: Machine,
    /// Whether the process exists; it may be stopped.
    pub alive: bool,
    /// Whether the process is stopped (SIGSTOP).
    pub stopped: bool,
    /// The number of the router's restarts; timers of earlier starts are discarded.
    start_number: u32,
    /// Events that were received while the process was stopped.
    queued: VecDeque<Event>,
}

/// An action that a router's machine reported to its host, with its time.
#[derive(Clone, Debug)]
pub struct Report {
    /// The virtual time of the report.
    pub at: Duration,
    /// The index of the reporting router.
    pub router: usize,
    /// The reported action; sent datagrams and set timers are not reported.
    pub action: Action,
}

struct ScheduledEvent {
    router: usize,
    start_number: u32,
    event: Event,
}

/// A simulated network and its routers, which are identified by their index.
pub struct Simulation {
    /// The current virtual time.
    pub now: Duration,
    /// The routers, in the order in which they were added.
    pub routers: Vec<Router>,
    /// The actions that the machines reported, oldest first.
    pub reports: Vec<Report>,
    /// The range of a datagram's delay in microseconds, uniformly distributed.
    pub delay_us: Range<u64>,
    /// The probability that a datagram is lost, 0 to 1.
    pub loss: f64,
    /// Blocked links as pairs of sender and receiver; each blocks one direction.
    pub blocked: BTreeSet<(usize, usize)>,
    /// For each router, its part of a split network; routers of different parts can't reach each other.
    pub partition: Vec<u8>,
    settings: Settings,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: HashMap<u64, ScheduledEvent>,
    last_sequence: u64,
}

impl Simulation {
    /// Creates a network without routers, in which datagrams take 0.05 to 1 ms and none is lost.
    pub fn new(settings: Settings, seed: u64) -> Simulation {
        Simulation {
            now: Duration::from_secs(1),
            routers: Vec::new(),
            reports: Vec::new(),
            delay_us: 50..1000,
            loss: 0.0,
            blocked: BTreeSet::new(),
            partition: Vec::new(),
            settings,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            last_sequence: 0,
        }
    }

    fn addr(router: usize) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, FIRST_PORT + router as u16)
    }

    fn new_router(&mut self, router: usize, generation: u64, start_number: u32) -> Result<Router, Error> {
        let local = Member::new(&format!("router-{router}"), Simulation::addr(router), generation)?;
        let machine = Machine::new(self.settings.clone(), local, StdRng::from_rng(&mut self.rng))?;
        Ok(Router { machine, alive: true, stopped: false, start_number, queued: VecDeque::new() })
    }

    /// Adds and starts a router named `router-INDEX` with these routers as its seeds. Returns its index.
    ///
    /// # Errors
    /// The errors of [`Machine::new`] and [`Member::new`].
    pub fn add(&mut self, generation: u64, seeds: &[usize]) -> Result<usize, Error> {
        let index = self.routers.len();
        let router = self.new_router(index, generation, 0)?;
        self.routers.push(router);
        self.partition.push(0);
        self.start(index, seeds);
        Ok(index)
    }

    fn start(&mut self, router: usize, seeds: &[usize]) {
        let seeds = seeds.iter().copied().map(Simulation::addr).collect();
        self.handle(router, Event::Started { seeds });
    }

    /// Kills the router's process (SIGKILL), so that it does not announce its departure.
    pub fn kill(&mut self, router: usize) {
        self.routers[router].alive = false;
    }

    /// Kills the router's process and starts it again with the same name and address.
    ///
    /// # Errors
    /// The errors of [`Machine::new`] and [`Member::new`].
    pub fn restart(&mut self, router: usize, generation: u64, seeds: &[usize]) -> Result<(), Error> {
        let start_number = self.routers[router].start_number + 1;
        self.routers[router] = self.new_router(router, generation, start_number)?;
        self.start(router, seeds);
        Ok(())
    }

    /// Stops the router's process (SIGSTOP).
    pub fn stop(&mut self, router: usize) {
        self.routers[router].stopped = true;
    }

    /// Resumes the router's process (SIGCONT): handles the timers that were due, then the datagrams in its
    /// socket.
    pub fn resume(&mut self, router: usize) {
        self.routers[router].stopped = false;
        let (timers, datagrams): (Vec<_>, Vec<_>) =
            self.routers[router].queued.drain(..).partition(|event| matches!(event, Event::Timer(_)));
        timers.into_iter().chain(datagrams).for_each(|event| self.handle(router, event));
    }

    /// Makes the router leave; its process ends when it has left.
    pub fn leave(&mut self, router: usize) {
        self.handle(router, Event::Leave);
    }

    fn schedule(&mut self, after: Duration, router: usize, event: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse((self.now + after, self.last_sequence)));
        let start_number = self.routers[router].start_number;
        self.scheduled.insert(self.last_sequence, ScheduledEvent { router, start_number, event });
    }

    fn handle(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].machine.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(router, to, bytes),
                Action::SetTimer { after, token } => self.schedule(after, router, Event::Timer(token)),
                Action::Left => self.kill(router),
                action => self.reports.push(Report { at: self.now, router, action }),
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, bytes: Vec<u8>) {
        let Some(to) = to.port().checked_sub(FIRST_PORT).map(usize::from) else { return };
        let blocked =
            self.blocked.contains(&(from, to)) || self.partition.get(from) != self.partition.get(to);
        let lost = self.rng.random::<f64>() < self.loss;
        let delay = Duration::from_micros(self.rng.random_range(self.delay_us.clone()));
        if !blocked && !lost && to < self.routers.len() {
            self.schedule(delay, to, Event::Datagram { from: Simulation::addr(from), bytes });
        }
    }

    /// Simulates this amount of time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(scheduled) = self.scheduled.remove(&sequence) {
                self.deliver(scheduled);
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, ScheduledEvent { router, start_number, event }: ScheduledEvent) {
        let receiver = &mut self.routers[router];
        let is_timer = matches!(event, Event::Timer(_));
        // A datagram reaches any start at the address, but a timer only the start that set it.
        if !receiver.alive || (is_timer && receiver.start_number != start_number) {
            return;
        }
        if !receiver.stopped {
            self.handle(router, event);
        } else if is_timer || receiver.queued.len() < MAX_QUEUED_EVENTS {
            receiver.queued.push_back(event);
        }
    }

    /// Simulates until the condition holds, which is checked every 20 ms. Returns the simulated time that
    /// this took, or `None` if `limit` has passed.
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Simulation) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if self.now - start >= limit {
                return None;
            }
            self.run(CHECK_INTERVAL);
        }
        Some(self.now - start)
    }

    /// The routers whose processes exist and are not stopped.
    pub fn running(&self) -> impl Iterator<Item = &Router> {
        self.routers.iter().filter(|router| router.alive && !router.stopped)
    }

    /// Whether every running router lists all other running routers and no more, with their current
    /// incarnations.
    pub fn all_agree(&self) -> bool {
        // Compares the lengths of the lists first, because that is fast and this check runs often.
        let count = self.running().count();
        if self.running().any(|router| router.machine.members().len() + 1 != count) {
            return false;
        }
        let all: BTreeSet<&Member> = self.running().map(|router| router.machine.local()).collect();
        self.running().all(|router| router.machine.members().all(|member| all.contains(member)))
    }

    /// The number of running routers that list this router, with any incarnation.
    pub fn count_listing(&self, router: usize) -> usize {
        let name = self.routers[router].machine.local().name();
        let lists = |other: &&Router| other.machine.members().any(|member| member.name() == name);
        self.running().filter(lists).count()
    }

    /// Total number of bytes sent by the routers since each one's last start.
    pub fn sent_bytes(&self) -> u64 {
        self.routers.iter().map(|router| router.machine.counters().sent_bytes).sum()
    }
}
