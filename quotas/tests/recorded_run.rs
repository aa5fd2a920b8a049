//! Seeded runs of one allocator and five routers, compared with what an earlier build recorded: each report and response
//! by the hash of its bytes, each admission decision and wait, and the metrics.
//!
//! A difference means that a decision, a limit or the order of random draws has changed. Where that is intended, the run
//! written next to the test's other temporary files becomes the new fixture, and the commit says why.
use decision::Time;
use quotas::{
    Action, Admission, Allocator, Answer, Body, Event, Plant, Pocket, PocketSettings, Report, Settings,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use settings::fleet::{Fleet, OnLoss, Quota, Tenant};
use std::fmt::Write;
use std::sync::Arc;

/// One run in full, so that a difference can be read.
const FULL_RUN: &str = include_str!("fixtures/recorded_run.txt");
/// The hashes of runs with other seeds and of those with an injected fault.
const RUN_HASHES: &str = include_str!("fixtures/recorded_run_hashes.txt");

const ROUTERS: usize = 5;
const TENANTS: [&str; 4] = ["a", "b", "c", "free"];
/// The time between two turns of a run, microseconds; up to a tenth more by chance.
const TURN: i64 = 20_000;
const TURNS: usize = 1_250;
const EXCHANGE_INTERVAL: i64 = 200_000;

/// FNV-1a: the same on all platforms and with all compilers.
fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

fn fleet(random: &mut SmallRng) -> Arc<Fleet> {
    let quota = |rate: f64, burst: u32, on_loss: OnLoss| Some(Quota { rate, burst, on_loss });
    let quotas = [
        quota([60.0, 30.0, 90.5][random.random_range(0..3)], 25, OnLoss::Closed),
        quota(20.0, [3, 6, 0][random.random_range(0..3)], OnLoss::Closed),
        quota(50.0, 40, [OnLoss::Closed, OnLoss::Share(0.4)][random.random_range(0..2)]),
        None,
    ];
    let tenants = TENANTS.iter().zip(quotas);
    let tenants = tenants.map(|(name, quota)| (name.to_string(), Tenant { quota, ..Tenant::default() }));
    let routers = random.random_range(4..=6);
    Arc::new(Fleet { routers, unnamed: "b".into(), tenants: tenants.collect(), ..Fleet::default() })
}

struct Router {
    pocket: Pocket,
    start: u64,
    clock_offset: i64,
    next_exchange: i64,
    last_exchange: i64,
    /// Requests a second, by tenant.
    demand: [f64; TENANTS.len()],
    /// Responses on their way, with the time at which they arrive.
    late: Vec<(i64, Answer)>,
    admitted: u64,
    shed: u64,
    waits: i64,
}

impl Router {
    fn clock(&self, now: i64) -> Time {
        Time(now + self.clock_offset)
    }
}

struct Run {
    random: SmallRng,
    settings: Settings,
    now: i64,
    allocator: Allocator,
    term: u64,
    versions: Vec<Arc<Fleet>>,
    routers: Vec<Router>,
    lines: String,
}

impl Run {
    fn new(seed: u64, plant: Plant) -> Run {
        let mut random = SmallRng::seed_from_u64(seed);
        let settings = Settings { plant, idle: 1_500_000, ..Settings::default() };
        let versions = vec![fleet(&mut random)];
        let allocator = Allocator::new(settings.clone());
        let mut run = Run {
            random,
            settings,
            now: 0,
            allocator,
            term: 0,
            versions,
            routers: Vec::new(),
            lines: String::new(),
        };
        run.elect();
        for i in 0..ROUTERS {
            let router = run.start_router(i, 1);
            run.routers.push(router);
        }
        run
    }

    fn start_router(&mut self, i: usize, start: u64) -> Router {
        let clock_offset = self.random.random_range(0..1 << 40);
        let mut pocket = Pocket::new(PocketSettings {
            name: format!("r{i}"),
            start,
            slot: (i % 2 == 0).then_some(i as u32 + 1),
            settings: self.settings.clone(),
            seed: i as u64 * 1_000 + start,
        });
        let version = self.versions.len();
        pocket.config(Time(self.now + clock_offset), version as u64, self.versions[version - 1].clone());
        Router {
            pocket,
            start,
            clock_offset,
            next_exchange: self.now + self.random.random_range(0..EXCHANGE_INTERVAL),
            last_exchange: i64::MIN / 2,
            demand: [0.0; TENANTS.len()],
            late: Vec::new(),
            admitted: 0,
            shed: 0,
            waits: 0,
        }
    }

    fn event(&mut self, event: Event) -> Option<Answer> {
        let mut actions = Vec::new();
        self.allocator.handle(Time(self.now), event, &mut actions);
        assert!(actions.len() <= 1);
        actions.pop().map(|Action::Answer { to, answer }| {
            assert_eq!(to, 7);
            answer
        })
    }

    fn configure(&mut self) {
        let version = self.versions.len() as u64;
        let fleet = self.versions[version as usize - 1].clone();
        self.event(Event::Config { version, fleet });
    }

    fn elect(&mut self) {
        self.term += 1;
        if self.random.random_bool(0.5) {
            self.allocator = Allocator::new(self.settings.clone());
        }
        self.configure();
        let term = self.term;
        self.event(Event::Began { term });
        writeln!(self.lines, "{} elected term={term}", self.now).unwrap();
    }

    fn respond(&mut self, report: Report) -> Option<Answer> {
        self.event(Event::Report { from: 7, report })
    }

    fn faults(&mut self) {
        let i = self.random.random_range(0..ROUTERS);
        if self.random.random_bool(0.003) {
            self.elect();
        }
        if self.random.random_bool(0.004) {
            let fleet = fleet(&mut self.random);
            self.versions.push(fleet);
            self.configure();
            writeln!(self.lines, "{} configured version={}", self.now, self.versions.len()).unwrap();
        }
        if self.random.random_bool(0.03) {
            let tenant = self.random.random_range(0..TENANTS.len());
            let rate = [0.0, 0.0, 1.0, 8.0, 40.0, 150.0][self.random.random_range(0..6)];
            self.routers[i].demand[tenant] = rate;
            writeln!(self.lines, "{} demand router={i} tenant={tenant} rate={rate}", self.now).unwrap();
        }
        if self.random.random_bool(0.003) {
            self.event(Event::Left { name: format!("r{i}") });
            writeln!(self.lines, "{} left router={i}", self.now).unwrap();
        }
        if self.random.random_bool(0.02) {
            self.event(Event::Tick);
        }
        let leaves = self.random.random_bool(0.002);
        if leaves {
            let at = self.routers[i].clock(self.now);
            let report = self.routers[i].pocket.leave(at);
            self.exchanged(i, &report, None);
            self.respond(report);
        }
        if leaves || self.random.random_bool(0.002) {
            let demand = self.routers[i].demand;
            let start = self.routers[i].start + 1;
            self.routers[i] = Router { demand, ..self.start_router(i, start) };
            writeln!(self.lines, "{} restarted router={i}", self.now).unwrap();
        }
    }

    fn requests(&mut self, i: usize) {
        for (tenant, name) in TENANTS.iter().enumerate() {
            let expected = self.routers[i].demand[tenant] * TURN as f64 / 1e6;
            let count = expected as u64 + u64::from(self.random.random_bool(expected.fract()));
            let name = if *name == "b" && self.random.random_bool(0.2) { "unknown" } else { name };
            let router = &mut self.routers[i];
            for _ in 0..count {
                match router.pocket.admit(router.clock(self.now), name) {
                    Admission::Admitted => router.admitted += 1,
                    Admission::Refused { come_back } => {
                        router.shed += 1;
                        router.waits += come_back;
                    }
                }
            }
        }
    }

    fn exchange(&mut self, i: usize) {
        let router = &mut self.routers[i];
        router.next_exchange = self.now + EXCHANGE_INTERVAL;
        router.last_exchange = self.now;
        let report = router.pocket.report(router.clock(self.now));
        let answer = if self.random.random_bool(0.04) { None } else { self.respond(report.clone()) };
        if self.random.random_bool(0.05) {
            // What arrives twice is answered once at most.
            let twice = self.respond(report.clone());
            assert!(
                twice.is_none() || answer.is_none() || twice.as_ref().is_some_and(|a| is_refusal(&a.body))
            );
        }
        self.exchanged(i, &report, answer.as_ref());
        let Some(answer) = answer else { return self.routers[i].pocket.lost() };
        match self.random.random_range(0..20) {
            0 => self.routers[i].pocket.lost(),
            1 | 2 => {
                let at = self.now + self.random.random_range(0..2_500_000);
                self.routers[i].late.push((at, answer));
                if self.random.random_bool(0.5) {
                    self.routers[i].pocket.lost();
                }
            }
            _ => {
                let at = self.routers[i].clock(self.now);
                self.routers[i].pocket.answered(at, answer);
            }
        }
    }

    fn late_responses(&mut self, i: usize) {
        let router = &mut self.routers[i];
        let (due, late) = router.late.drain(..).partition(|(at, _)| *at <= self.now);
        router.late = late;
        let due: Vec<(i64, Answer)> = due;
        for (_, answer) in due {
            let at = router.clock(self.now);
            router.pocket.answered(at, answer);
        }
    }

    fn learn(&mut self, i: usize) {
        let version = self.versions.len();
        let router = &mut self.routers[i];
        if router.pocket.version() < version as u64 && self.random.random_bool(0.1) {
            router.pocket.config(router.clock(self.now), version as u64, self.versions[version - 1].clone());
        }
    }

    /// Writes one exchange and what the router has admitted until it.
    fn exchanged(&mut self, i: usize, report: &Report, answer: Option<&Answer>) {
        let router = &self.routers[i];
        let report_hash = fnv(&postcard::to_stdvec(report).unwrap());
        let answer_hash = answer.map_or(0, |a| fnv(&postcard::to_stdvec(a).unwrap()));
        let kind = match answer.map(|a| &a.body) {
            None => "none",
            Some(Body::Whole) => "full-report",
            Some(Body::Wait) => "not-renewed",
            Some(Body::Lent { fresh: true, .. }) => "reset",
            Some(Body::Lent { fresh: false, .. }) => "renewed",
        };
        let (admitted, shed, waits) = (router.admitted, router.shed, router.waits);
        writeln!(
            self.lines,
            "{} r{i} seq={} report={report_hash:016x} response={kind}:{answer_hash:016x} admitted={admitted} \
             shed={shed} waits={waits} metrics={:016x}",
            self.now,
            report.seq,
            fnv(metrics(&router.pocket).as_bytes()),
        )
        .unwrap();
    }

    fn turn(&mut self) {
        self.now += TURN + self.random.random_range(0..TURN / 10);
        self.faults();
        for i in 0..ROUTERS {
            self.late_responses(i);
            self.learn(i);
            self.requests(i);
            let router = &self.routers[i];
            let early = router.pocket.urgent() && self.now - router.last_exchange > 2 * TURN;
            if early || router.next_exchange <= self.now {
                self.exchange(i);
            }
        }
    }

    fn end(mut self) -> String {
        for i in 0..ROUTERS {
            let text = metrics(&self.routers[i].pocket);
            writeln!(self.lines, "{} r{i} {text}", self.now).unwrap();
        }
        let (routers, tenants) = self.allocator.figures();
        writeln!(self.lines, "{} allocator routers={routers} tenants={tenants}", self.now).unwrap();
        self.lines
    }
}

fn is_refusal(body: &Body) -> bool {
    matches!(body, Body::Whole | Body::Wait)
}

fn metrics(pocket: &Pocket) -> String {
    let figures = pocket.figures();
    let mut text = format!("version={} share={:?} holds={}", figures.version, figures.place, figures.holds);
    for t in figures.tenants {
        write!(text, " {}:{}/{}/{:?}/{:?}", t.name, t.admitted, t.refused, t.rate, t.cap).unwrap();
    }
    text
}

fn run(seed: u64, plant: Plant) -> String {
    let mut run = Run::new(seed, plant);
    for _ in 0..TURNS {
        run.turn();
    }
    run.end()
}

/// Leaves what was run beside the test's temporary files, and compares it line by line.
fn assert_same(name: &str, actual: &str, recorded: &str) {
    std::fs::write(std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name), actual).unwrap();
    for (n, (actual, recorded)) in actual.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(actual, recorded, "{name}, line {}", n + 1);
    }
    assert_eq!(actual.lines().count(), recorded.lines().count(), "{name}: number of lines");
}

#[test]
fn run_of_one_seed_is_the_recorded_one() {
    assert_same("recorded_run.txt", &run(1, Plant::None), FULL_RUN);
}

#[test]
fn runs_of_many_seeds_hash_to_the_recorded_ones() {
    let mut lines = String::new();
    for seed in 1..=40 {
        writeln!(lines, "seed {seed}: {:016x}", fnv(run(seed, Plant::None).as_bytes())).unwrap();
    }
    for (n, plant) in
        [Plant::LendTwice, Plant::SkipQuiet, Plant::Unchecked, Plant::TakeLate].into_iter().enumerate()
    {
        for seed in 1..=5 {
            writeln!(lines, "fault {n}, seed {seed}: {:016x}", fnv(run(seed, plant).as_bytes())).unwrap();
        }
    }
    assert_same("recorded_run_hashes.txt", &lines, RUN_HASHES);
}
