//! Compares seeded runs of the state machines, action by action, with runs recorded in `tests/fixtures`.
use membership::live_router_count::{self as router_count, LiveRouterCount, OtherRouters};
use membership::simulation::Simulation;
use membership::{Action, Counters, Event, MAX_DATAGRAM_BYTES, Machine, Member, Settings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use testkit::fixture::Fixtures;

const FIXTURES: Fixtures = testkit::fixtures!();
const FIRST_PORT: u16 = 20_000;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn addr(node: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, FIRST_PORT + node as u16)
}

fn describe(member: &Member) -> String {
    format!("{} {} {}", member.name(), member.addr(), member.incarnation())
}

/// Formats the counters with the labels of the recorded run.
fn describe_counters(c: Counters) -> String {
    format!(
        "received={} sent={} sent_bytes={} outside={} flood={} size={} mark={} version={} cluster={} malformed={} \
         crowd={} unasked={} stalls={} rejoins={} inner={}",
        c.received,
        c.sent,
        c.sent_bytes,
        c.not_loopback,
        c.rate_limited,
        c.wrong_size,
        c.wrong_magic,
        c.wrong_version,
        c.wrong_cluster,
        c.malformed,
        c.over_member_limit,
        c.unsolicited,
        c.stalls,
        c.rejoins,
        c.core_errors
    )
}

/// The actions of one node in the current second.
#[derive(Default)]
struct SecondSummary {
    sends: usize,
    bytes: usize,
    timers: usize,
    actions: String,
}

struct Node {
    machine: Machine,
    alive: bool,
    stopped: bool,
    /// Events that were received while the node was stopped.
    queued: Vec<Event>,
    second: SecondSummary,
}

/// A few machines on a network in virtual time, with a record of all their actions.
struct Recorder {
    now: Duration,
    nodes: Vec<Node>,
    queue: BTreeMap<(Duration, u64), (usize, Event)>,
    sequence: u64,
    blocked: BTreeSet<(usize, usize)>,
    rng: StdRng,
    record: String,
}

impl Recorder {
    fn new(seed: u64) -> Recorder {
        Recorder {
            now: ms(1000),
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            blocked: BTreeSet::new(),
            rng: StdRng::seed_from_u64(seed),
            record: String::new(),
        }
    }

    fn settings() -> Settings {
        // Down members are forgotten within the run.
        Settings { forget_down_after: ms(25_000), ..Settings::default() }
    }

    fn node(name: &str, node: usize, generation: u64, seed: u64) -> Node {
        let local = Member::new(name, addr(node), generation).expect("the member is valid");
        let machine = Machine::new(Recorder::settings(), local, StdRng::seed_from_u64(seed))
            .expect("the settings are consistent");
        Node { machine, alive: true, stopped: false, queued: Vec::new(), second: SecondSummary::default() }
    }

    fn add(&mut self, name: &str, generation: u64) {
        let node = self.nodes.len();
        self.nodes.push(Recorder::node(name, node, generation, 100 + node as u64));
        self.handle(node, Event::Started { seeds: vec![addr(0), addr(1)] });
    }

    fn restart(&mut self, node: usize, name: &str, generation: u64) {
        self.queue.retain(|_, (to, event)| *to != node || matches!(event, Event::Datagram { .. }));
        self.nodes[node] = Recorder::node(name, node, generation, 200 + node as u64);
        self.handle(node, Event::Started { seeds: vec![addr(0), addr(1)] });
    }

    fn resume(&mut self, node: usize) {
        self.nodes[node].stopped = false;
        let queued = std::mem::take(&mut self.nodes[node].queued);
        let (timers, datagrams): (Vec<_>, Vec<_>) =
            queued.into_iter().partition(|event| matches!(event, Event::Timer(_)));
        timers.into_iter().chain(datagrams).for_each(|event| self.handle(node, event));
    }

    fn schedule(&mut self, after: Duration, node: usize, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), (node, event));
    }

    fn handle(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].machine.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: usize, action: Action) {
        let second = &mut self.nodes[node].second;
        match action {
            Action::Send { to, bytes } => {
                second.sends += 1;
                second.bytes += bytes.len();
                let hash = xxhash_rust::xxh3::xxh3_64(&bytes);
                writeln!(second.actions, "send {to} {} {hash:016x}", bytes.len())
                    .expect("a string can be written to");
                let delay = Duration::from_micros(self.rng.random_range(50..2000));
                let lost = self.rng.random::<f64>() < 0.02;
                let to = usize::from(to.port() - FIRST_PORT);
                if !lost && to < self.nodes.len() && !self.blocked.contains(&(node, to)) {
                    self.schedule(delay, to, Event::Datagram { from: addr(node), bytes });
                }
            }
            Action::SetTimer { after, token } => {
                second.timers += 1;
                writeln!(second.actions, "timer {after:?} {}", token.0).expect("a string can be written to");
                self.schedule(after, node, Event::Timer(token));
            }
            Action::Up(member) => self.report(node, &format!("up {}", describe(&member))),
            Action::Down(member) => self.report(node, &format!("down {}", describe(&member))),
            Action::Rejoined(member) => self.report(node, &format!("rejoin {}", describe(&member))),
            Action::Superseded(by) => self.report(node, &format!("superseded {}", describe(&by))),
            Action::Left => {
                self.report(node, "left");
                self.nodes[node].alive = false;
            }
        }
    }

    fn report(&mut self, node: usize, text: &str) {
        writeln!(self.record, "{} node {node}: {text}", self.now.as_micros())
            .expect("a string can be written to");
        writeln!(self.nodes[node].second.actions, "{text}").expect("a string can be written to");
    }

    /// Runs until this time, and summarizes each node's actions at each whole second.
    fn run_until(&mut self, end: Duration) {
        while self.now < end {
            let stop = (self.now + ms(1000)).min(end);
            while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= stop) {
                let ((at, _), (node, event)) = entry.remove_entry();
                self.now = at;
                let to = &mut self.nodes[node];
                if !to.alive {
                    continue;
                }
                if to.stopped {
                    to.queued.push(event);
                } else {
                    self.handle(node, event);
                }
            }
            self.now = stop;
            self.summarize();
        }
    }

    fn summarize(&mut self) {
        for (n, node) in self.nodes.iter_mut().enumerate() {
            let SecondSummary { sends, bytes, timers, actions } = std::mem::take(&mut node.second);
            if !actions.is_empty() {
                let hash = xxhash_rust::xxh3::xxh3_64(actions.as_bytes());
                let at = self.now.as_micros();
                writeln!(
                    self.record,
                    "{at} node {n}: {sends} sent, {bytes} bytes, {timers} timers, {hash:016x}"
                )
                .expect("a string can be written to");
            }
        }
    }

    /// Passes random datagrams to a node; every second one begins with a valid magic number, version and
    /// kind.
    fn inject_random_datagrams(&mut self, node: usize, count: usize) {
        for n in 0..count {
            let length = self.rng.random_range(0..MAX_DATAGRAM_BYTES + 2);
            let mut bytes: Vec<u8> = (0..length).map(|_| self.rng.random()).collect();
            if n % 2 == 0 && length > 4 {
                bytes[..4].copy_from_slice(b"dm\x01\x01");
            }
            self.handle(node, Event::Datagram { from: addr(9), bytes });
        }
    }
}

#[test]
fn machine_matches_recorded_run() {
    let mut run = Recorder::new(1);
    for node in 0..5 {
        run.add(&format!("node-{node}"), 1_000 + node as u64);
    }
    run.run_until(ms(8_000));
    // Node 4 is killed and restarted with a clock that was set back.
    run.nodes[4].alive = false;
    run.run_until(ms(14_000));
    run.restart(4, "node-4", 7);
    run.run_until(ms(18_000));
    run.inject_random_datagrams(0, 40);
    run.nodes[3].stopped = true;
    run.run_until(ms(32_000));
    run.resume(3);
    run.run_until(ms(40_000));
    // Node 2 receives nothing for long enough to declare all other nodes down by itself.
    run.blocked.extend([(0, 2), (1, 2), (3, 2), (4, 2)]);
    run.run_until(ms(55_000));
    run.blocked.clear();
    run.run_until(ms(65_000));
    for (one, other) in [(0, 2), (0, 3), (0, 4), (1, 2), (1, 3), (1, 4)] {
        run.blocked.extend([(one, other), (other, one)]);
    }
    run.run_until(ms(85_000));
    run.blocked.clear();
    run.run_until(ms(100_000));
    // A later start uses node 3's name at another address, a node receives more datagrams than the limit, and
    // a node leaves.
    run.add("node-3", 9_000);
    run.run_until(ms(105_000));
    run.inject_random_datagrams(4, 2_200);
    run.run_until(ms(108_000));
    run.handle(1, Event::Leave);
    run.run_until(ms(115_000));
    // Runs long enough that down members are forgotten.
    run.nodes[0].alive = false;
    run.run_until(ms(150_000));
    for node in &run.nodes {
        let local = describe(node.machine.local());
        writeln!(run.record, "end {local}: {}", describe_counters(node.machine.counters()))
            .expect("a string can be written to");
        for member in node.machine.members() {
            writeln!(run.record, "  lists {}", describe(member)).expect("a string can be written to");
        }
    }
    FIXTURES.assert_same("machine-run.txt", &run.record);
}

#[test]
fn simulation_matches_recorded_run() {
    let mut simulation = Simulation::new(Settings::default(), 5);
    for node in 0..20 {
        simulation.add(100 + node, &[0, 1, 2]).expect("the router can be started");
    }
    simulation.run_until(ms(15_000), Simulation::all_agree).expect("all routers list each other");
    simulation.loss = 0.02;
    simulation.kill(7);
    simulation.run(ms(10_000));
    simulation.restart(7, 500, &[0, 1]).expect("the router can be started");
    simulation.stop(9);
    simulation.leave(11);
    simulation.run(ms(20_000));
    simulation.resume(9);
    simulation.blocked.insert((3, 4));
    simulation.partition[5] = 1;
    simulation.run(ms(20_000));
    simulation.partition[5] = 0;
    simulation.run(ms(20_000));
    let mut record = String::new();
    for report in &simulation.reports {
        let text = match &report.action {
            Action::Up(member) => format!("up {}", describe(member)),
            Action::Down(member) => format!("down {}", describe(member)),
            Action::Rejoined(member) => format!("rejoin {}", describe(member)),
            Action::Superseded(by) => format!("superseded {}", describe(by)),
            other => panic!("unexpected report: {other:?}"),
        };
        writeln!(record, "{} node {}: {text}", report.at.as_micros(), report.router)
            .expect("a string can be written to");
    }
    for (n, router) in simulation.routers.iter().enumerate() {
        let counts = describe_counters(router.machine.counters());
        writeln!(record, "end node {n}: listed by {}; {counts}", simulation.count_listing(n))
            .expect("a string can be written to");
    }
    writeln!(record, "end agree={} bytes={}", simulation.all_agree(), simulation.sent_bytes())
        .expect("a string can be written to");
    FIXTURES.assert_same("simulation-run.txt", &record);
}

/// The event of one step: the timer if it is due, otherwise a random event.
fn router_count_event(step: usize, timer_due: bool, kind: i32, name: String) -> router_count::Event {
    match kind {
        _ if timer_due => router_count::Event::Timer,
        _ if step == 240 => router_count::Event::ChangesLost,
        0..5 => router_count::Event::Snapshot((1..=kind + 1).map(|n| format!("r{n}")).collect()),
        5..52 => router_count::Event::Up(name),
        _ => router_count::Event::Down(name),
    }
}

/// Runs 250 random events and records the resulting actions.
fn record_router_count(run: u64, settings: router_count::Settings, record: &mut String) {
    let mut rng = StdRng::seed_from_u64(40 + run);
    let mut now = ms(2_000);
    let mut machine = LiveRouterCount::new(now, settings);
    let mut timer_at: Option<Duration> = None;
    for step in 0..250 {
        let next = now + ms(rng.random_range(0..3_000));
        let name = format!("r{}", rng.random_range(1..10));
        let kind = rng.random_range(0..100);
        let timer = timer_at.take_if(|due| *due <= next);
        let event = router_count_event(step, timer.is_some(), kind, name);
        // Occasionally handles a timer late, as in a process that was stopped.
        now = timer.map_or(next, |at| if kind < 10 { at + ms(4_000) } else { at }).max(now);
        let mut actions = Vec::new();
        machine.handle(now, event, &mut actions);
        for action in actions {
            let text = match action {
                router_count::Action::SetCount(count) => format!("count {count}"),
                router_count::Action::SetTimer(at) => {
                    timer_at = Some(at);
                    format!("timer at {}", at.as_millis())
                }
            };
            let OtherRouters { live, settling } = machine.others();
            let at = now.as_millis();
            writeln!(record, "run {run}, {at} ms: {text}; {live} live, {settling} gone")
                .expect("a string can be written to");
        }
    }
}

#[test]
fn live_router_count_matches_recorded_run() {
    let mut record = String::new();
    let settle_time = ms(5_000);
    for (run, (fleet_size, min_count, expects_others)) in
        [(6, 1, true), (8, 4, true), (5, 2, false)].into_iter().enumerate()
    {
        let settings = router_count::Settings { fleet_size, min_count, settle_time, expects_others };
        record_router_count(run as u64, settings, &mut record);
    }
    FIXTURES.assert_same("live-router-count-run.txt", &record);
}
