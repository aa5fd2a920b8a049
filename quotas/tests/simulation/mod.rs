//! Simulates a small fleet in one thread: nodes, routers, a network that loses, delays and duplicates
//! messages, and clocks with offset and drift. Records the true time of each admission.
#![allow(dead_code, reason = "each test and example that includes this module uses a part of it")]
mod bound;
mod event;
mod fault;
mod router;

pub(crate) use fault::{Fault, Network, RELIABLE_NETWORK};

use decision::Micros;
use event::{Event, EventQueue};
use quotas::{Action, Admission, Allocator, Event as AllocatorEvent, GrantResponse, Report, Settings};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use router::{Clock, SimulatedRouter};
use settings::fleet::{Fleet, OnLoss, Quota, Tenant};
use std::sync::Arc;
use std::time::{Duration, Instant};

const NODES: usize = 3;
/// The mean time between two exchanges of a router and the greatest deviation from it, microseconds.
const EXCHANGE_INTERVAL: Micros = 200_000;
const EXCHANGE_JITTER: Micros = 2_000;
/// How long a router waits for a response, microseconds.
const RESPONSE_TIMEOUT: Micros = 500_000;
/// The shortest time between two early reports of a router, microseconds.
const MIN_EARLY_REPORT_INTERVAL: Micros = 20_000;
/// The probability that a report goes to a random node instead of the leader, in a network that loses
/// messages.
const MISDIRECTED_PROBABILITY: f64 = 0.05;

pub(crate) fn quota(rate: f64, burst: u32, on_loss: OnLoss) -> Quota {
    Quota { rate, burst, on_loss }
}

/// A configuration with these tenants; the first one is the default tenant.
pub(crate) fn fleet(routers: u32, quotas: &[(String, Quota)]) -> Fleet {
    let tenant = |quota: &Quota| Tenant { quota: Some(quota.clone()), ..Tenant::default() };
    let tenants = quotas.iter().map(|(name, quota)| (name.clone(), tenant(quota))).collect();
    Fleet { max_routers: routers, default_tenant: quotas[0].0.clone(), tenants, ..Fleet::default() }
}

/// A committed version of the configuration.
struct ConfigVersion {
    /// When the version was committed, in true time, microseconds.
    committed_at: Micros,
    fleet: Arc<Fleet>,
}

/// A request that a router admitted.
#[derive(Clone, Copy)]
pub(crate) struct AdmittedRequest {
    /// When the request was admitted, in true time, microseconds.
    pub(crate) at: Micros,
    pub(crate) router: usize,
}

struct Node {
    allocator: Allocator,
    clock: Clock,
}

/// Message sizes, handling times and counts of a run.
#[derive(Default)]
pub(crate) struct Totals {
    pub(crate) reports: u64,
    pub(crate) report_bytes: u64,
    pub(crate) response_bytes: u64,
    pub(crate) handling_time: Duration,
    pub(crate) max_handling_time: Duration,
    pub(crate) shed: u64,
}

pub(crate) struct Simulation {
    /// The true time of the simulation, microseconds.
    pub(crate) now: Micros,
    events: EventQueue,
    pub(crate) random: SmallRng,
    network: Network,
    settings: Settings,
    nodes: Vec<Node>,
    leader: usize,
    term: u64,
    routers: Vec<SimulatedRouter>,
    tenants: Vec<String>,
    versions: Vec<ConfigVersion>,
    /// The admitted requests of each tenant.
    pub(crate) history: Vec<Vec<AdmittedRequest>>,
    pub(crate) totals: Totals,
    /// Whether to measure message sizes and handling times.
    pub(crate) measure: bool,
    /// Whether routers have slots, and so fixed shares.
    has_slots: bool,
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        routers: usize,
        fleet: Fleet,
        settings: Settings,
        has_slots: bool,
    ) -> Simulation {
        let mut random = SmallRng::seed_from_u64(seed);
        let drift_ppm = (settings.max_clock_drift * 1e6) as i64;
        let nodes = (0..NODES).map(|_| Node {
            allocator: Allocator::new(settings.clone()),
            clock: Clock::random(&mut random, drift_ppm),
        });
        let nodes = nodes.collect();
        let tenants: Vec<String> = fleet.tenants.keys().cloned().collect();
        let simulated = (0..routers).map(|router| {
            let clock = Clock::random(&mut random, drift_ppm);
            SimulatedRouter::new(router, clock, tenants.len(), has_slots, &settings)
        });
        let simulated = simulated.collect();
        let mut simulation = Simulation {
            now: 0,
            events: EventQueue::default(),
            random,
            network: RELIABLE_NETWORK,
            settings,
            nodes,
            leader: 0,
            term: 0,
            routers: simulated,
            history: vec![Vec::new(); tenants.len()],
            tenants,
            versions: vec![ConfigVersion { committed_at: 0, fleet: Arc::new(fleet) }],
            totals: Totals::default(),
            measure: false,
            has_slots,
        };
        simulation.elect(0);
        for router in 0..routers {
            simulation.start_router(router);
        }
        simulation
    }

    /// Schedules a fault or change.
    pub(crate) fn schedule(&mut self, at: Micros, fault: Fault) {
        self.events.push(at, Event::FaultDue(fault));
    }

    /// Processes all events up to a time.
    pub(crate) fn run_until(&mut self, end: Micros) {
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = end;
    }

    /// The number of a tenant's requests that were admitted in a period of true time.
    pub(crate) fn admitted(&self, tenant: usize, from: Micros, to: Micros) -> usize {
        self.history[tenant].iter().filter(|request| (from..to).contains(&request.at)).count()
    }

    fn handle(&mut self, event: Event) {
        let Some(event) = self.defer_while_paused(event) else { return };
        match event {
            Event::ExchangeDue { router, .. } => self.exchange(router),
            Event::ResponseTimeout { router, incarnation, seq } => {
                self.routers[router].time_out(incarnation, seq);
            }
            Event::ReportArrives { node, router, report } => self.receive_report(node, router, report),
            Event::ResponseArrives { router, response } => self.receive_response(router, response),
            Event::RequestArrives { router, tenant, .. } => self.request(router, tenant),
            Event::ConfigArrives { router, incarnation, version } => {
                self.receive_config(router, incarnation, version);
            }
            Event::RouterStarts { router } => self.start_router(router),
            Event::FaultDue(fault) => self.inject(fault),
        }
    }

    /// Drops the event of a cancelled timer, and reschedules the event of a paused process to when it
    /// resumes.
    fn defer_while_paused(&mut self, event: Event) -> Option<Event> {
        let Some(router) = event.handled_by() else { return Some(event) };
        let state = &self.routers[router];
        if state.has_cancelled(&event) {
            return None;
        }
        if state.paused_until > self.now {
            self.events.push(state.paused_until, event);
            return None;
        }
        Some(event)
    }

    fn latest_config(&self) -> (u64, Arc<Fleet>) {
        let version = self.versions.len();
        (version as u64, self.versions[version - 1].fleet.clone())
    }

    fn start_router(&mut self, router: usize) {
        // Every router has a configuration before its first request, because without one it admits
        // everything.
        let (version, fleet) = self.latest_config();
        let state = &mut self.routers[router];
        state.restart(self.has_slots, &self.settings);
        state.client.apply_config(state.clock.at(self.now), version, &fleet);
        let timer = state.exchange_timer;
        let at = self.now + self.random.random_range(0..EXCHANGE_INTERVAL);
        self.events.push(at, Event::ExchangeDue { router, timer });
    }

    fn delay(&mut self) -> Micros {
        let slow = self.random.random_bool(self.network.slow);
        let max = if slow { self.network.max_slow_delay } else { self.network.max_delay };
        self.random.random_range(1..=max)
    }

    /// The times at which a message between a router and a node arrives: none if it is lost, two if it is
    /// duplicated.
    fn arrival_times(&mut self, router: usize) -> Vec<Micros> {
        let mut times = Vec::new();
        if self.routers[router].disconnected_until > self.now || self.random.random_bool(self.network.lost) {
            return times;
        }
        times.push(self.now + self.delay());
        if self.random.random_bool(self.network.duplicated) {
            times.push(self.now + self.delay());
        }
        times
    }

    fn send_report(&mut self, router: usize, report: Report) {
        if self.measure {
            self.totals.report_bytes += postcard::to_stdvec(&report).map_or(0, |bytes| bytes.len() as u64);
        }
        // In an unreliable network, a few reports go to a node that does not lead.
        let is_misdirected = self.random.random_bool(MISDIRECTED_PROBABILITY);
        let node = if is_misdirected { self.random.random_range(0..NODES) } else { self.leader };
        let node = if self.network.lost > 0.0 { node } else { self.leader };
        for at in self.arrival_times(router) {
            self.events.push(at, Event::ReportArrives { node, router, report: report.clone() });
        }
    }

    fn exchange(&mut self, router: usize) {
        let jitter = self.random.random_range(-EXCHANGE_JITTER..=EXCHANGE_JITTER);
        let next = self.now + EXCHANGE_INTERVAL + jitter;
        let state = &mut self.routers[router];
        state.exchange_timer += 1;
        let timer = state.exchange_timer;
        if state.open_exchange.is_none() {
            let report = state.client.report(state.clock.at(self.now));
            state.open_exchange = Some(report.seq);
            let (incarnation, seq) = (state.incarnation, report.seq);
            let timeout = Event::ResponseTimeout { router, incarnation, seq };
            self.events.push(self.now + RESPONSE_TIMEOUT, timeout);
            self.send_report(router, report);
        }
        self.events.push(next, Event::ExchangeDue { router, timer });
    }

    fn receive_report(&mut self, node: usize, router: usize, report: Report) {
        // A node may respond only if a majority confirms, after it has read its clock, that it leads.
        if node != self.leader {
            return;
        }
        let mut actions = Vec::new();
        let Node { allocator, clock } = &mut self.nodes[node];
        let begin = Instant::now();
        let event = AllocatorEvent::Report { connection: router as u64, report };
        allocator.handle(clock.at(self.now), event, &mut actions);
        if self.measure {
            let spent = begin.elapsed();
            self.totals.reports += 1;
            self.totals.handling_time += spent;
            self.totals.max_handling_time = self.totals.max_handling_time.max(spent);
        }
        for Action::Respond { connection, response } in actions {
            self.send_response(connection as usize, &response);
        }
    }

    fn send_response(&mut self, router: usize, response: &GrantResponse) {
        if self.measure {
            self.totals.response_bytes += postcard::to_stdvec(response).map_or(0, |bytes| bytes.len() as u64);
        }
        for at in self.arrival_times(router) {
            self.events.push(at, Event::ResponseArrives { router, response: response.clone() });
        }
    }

    fn receive_response(&mut self, router: usize, response: GrantResponse) {
        let state = &mut self.routers[router];
        if !state.alive {
            return;
        }
        if state.incarnation == response.incarnation && state.open_exchange == Some(response.seq) {
            state.open_exchange = None;
        }
        let (incarnation, version) = (state.incarnation, response.version);
        let is_behind = response.incarnation == incarnation
            && version > state.client.version()
            && state.fetched_version < version;
        state.client.handle_response(state.clock.at(self.now), response);
        if is_behind {
            state.fetched_version = version;
            let at = self.now + self.delay();
            self.events.push(at, Event::ConfigArrives { router, incarnation, version });
        }
    }

    fn receive_config(&mut self, router: usize, incarnation: u64, version: u64) {
        let state = &mut self.routers[router];
        if !state.alive || state.incarnation != incarnation {
            return;
        }
        state.fetched_version = 0;
        let fleet = &self.versions[version as usize - 1].fleet;
        state.client.apply_config(state.clock.at(self.now), version, fleet);
    }

    fn request(&mut self, router: usize, tenant: usize) {
        let demand = &self.routers[router].demand[tenant];
        let (rate, timer) = (demand.rate, demand.timer);
        let wait = -(1.0 - self.random.random::<f64>()).ln() / rate * 1e6;
        let next = self.now + (wait as i64).max(1);
        self.events.push(next, Event::RequestArrives { router, tenant, timer });
        let state = &mut self.routers[router];
        if !state.alive {
            return;
        }
        match state.client.admit(state.clock.at(self.now), &self.tenants[tenant]) {
            Admission::Admitted => self.history[tenant].push(AdmittedRequest { at: self.now, router }),
            Admission::Shed { retry_after } => {
                let max = 2 * self.settings.zero_quota_retry_after;
                assert!(retry_after > 0 && retry_after <= max, "{retry_after}");
                self.totals.shed += 1;
            }
        }
        let is_early = self.now - state.last_early_report > MIN_EARLY_REPORT_INTERVAL;
        if state.client.wants_early_report() && state.open_exchange.is_none() && is_early {
            state.last_early_report = self.now;
            self.exchange(router);
        }
    }

    fn elect(&mut self, node: usize) {
        self.term += 1;
        self.leader = node;
        let term = self.term;
        self.commit_config(node);
        self.handle_at_node(node, AllocatorEvent::BecameLeader { term });
    }

    /// Sends the latest configuration to the allocator of a node.
    fn commit_config(&mut self, node: usize) {
        let (version, fleet) = self.latest_config();
        self.handle_at_node(node, AllocatorEvent::Config { version, fleet });
    }

    fn handle_at_node(&mut self, node: usize, event: AllocatorEvent) {
        let Node { allocator, clock } = &mut self.nodes[node];
        allocator.handle(clock.at(self.now), event, &mut Vec::new());
    }
}
