//! Runs one allocator and five routers with fixed seeds and compares them with recorded output of an earlier
//! build: the hash of each report and response, each admission decision and retry time, and the metrics.
//!
//! A difference means that a decision, a limit or the order of random draws has changed. If the change is
//! intended, the output that the test writes to its folder of temporary files becomes the new fixture, and
//! the commit states the reason.
use decision::Time;
use quotas::{
    Action, Admission, Allocator, AllocatorMetrics, Event, GrantResponse, InjectedFault, QuotaClient,
    QuotaClientSettings, Report, ResponseBody, Settings,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use settings::fleet::{Fleet, OnLoss, Quota, Tenant};
use std::fmt::Write;
use std::sync::Arc;
use testkit::fixture::Fixtures;
use testkit::hash::fnv1a;

const FIXTURES: Fixtures = testkit::fixtures!();

const ROUTERS: usize = 5;
const TENANTS: [&str; 4] = ["a", "b", "c", "free"];
/// The length of a simulation step, microseconds; up to a tenth more is added at random.
const STEP: i64 = 20_000;
const STEPS: usize = 1_250;
const EXCHANGE_INTERVAL: i64 = 200_000;
const CONNECTION: u64 = 7;

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
    Arc::new(Fleet {
        max_routers: routers,
        default_tenant: "b".into(),
        tenants: tenants.collect(),
        ..Fleet::default()
    })
}

struct Router {
    client: QuotaClient,
    incarnation: u64,
    clock_offset: i64,
    next_exchange: i64,
    last_exchange: i64,
    /// Requests per second, by tenant.
    demand: [f64; TENANTS.len()],
    /// Delayed responses, with the time at which they arrive.
    delayed_responses: Vec<(i64, GrantResponse)>,
    admitted: u64,
    shed: u64,
    total_retry_after: i64,
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
    fn new(seed: u64, injected_fault: InjectedFault) -> Run {
        let mut random = SmallRng::seed_from_u64(seed);
        let settings = Settings { injected_fault, idle_timeout: 1_500_000, ..Settings::default() };
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
        run.elect_leader();
        for i in 0..ROUTERS {
            let router = run.start_router(i, 1);
            run.routers.push(router);
        }
        run
    }

    fn start_router(&mut self, i: usize, incarnation: u64) -> Router {
        let clock_offset = self.random.random_range(0..1 << 40);
        let mut client = QuotaClient::new(QuotaClientSettings {
            router: format!("r{i}"),
            incarnation,
            slot: i.is_multiple_of(2).then_some(i as u32 + 1),
            settings: self.settings.clone(),
            seed: i as u64 * 1_000 + incarnation,
        });
        let version = self.versions.len();
        client.apply_config(Time(self.now + clock_offset), version as u64, &self.versions[version - 1]);
        Router {
            client,
            incarnation,
            clock_offset,
            next_exchange: self.now + self.random.random_range(0..EXCHANGE_INTERVAL),
            last_exchange: i64::MIN / 2,
            demand: [0.0; TENANTS.len()],
            delayed_responses: Vec::new(),
            admitted: 0,
            shed: 0,
            total_retry_after: 0,
        }
    }

    fn handle_event(&mut self, event: Event) -> Option<GrantResponse> {
        let mut actions = Vec::new();
        self.allocator.handle(Time(self.now), event, &mut actions);
        assert!(actions.len() <= 1);
        actions.pop().map(|Action::Respond { connection, response }| {
            assert_eq!(connection, CONNECTION);
            response
        })
    }

    fn send_config(&mut self) {
        let version = self.versions.len() as u64;
        let fleet = self.versions[version as usize - 1].clone();
        self.handle_event(Event::Config { version, fleet });
    }

    fn elect_leader(&mut self) {
        self.term += 1;
        if self.random.random_bool(0.5) {
            self.allocator = Allocator::new(self.settings.clone());
        }
        self.send_config();
        let term = self.term;
        self.handle_event(Event::BecameLeader { term });
        writeln!(self.lines, "{} elected term={term}", self.now).unwrap();
    }

    fn respond(&mut self, report: Report) -> Option<GrantResponse> {
        self.handle_event(Event::Report { connection: CONNECTION, report })
    }

    /// Draws the faults and changes of this step. The order of the draws is part of the recorded runs.
    fn draw_faults(&mut self) {
        let i = self.random.random_range(0..ROUTERS);
        if self.random.random_bool(0.003) {
            self.elect_leader();
        }
        if self.random.random_bool(0.004) {
            self.change_fleet();
        }
        if self.random.random_bool(0.03) {
            self.change_demand(i);
        }
        if self.random.random_bool(0.003) {
            self.handle_event(Event::RouterLeft { router: format!("r{i}") });
            writeln!(self.lines, "{} left router={i}", self.now).unwrap();
        }
        if self.random.random_bool(0.02) {
            self.handle_event(Event::Tick);
        }
        let releases = self.random.random_bool(0.002);
        if releases {
            self.release_all(i);
        }
        if releases || self.random.random_bool(0.002) {
            self.restart_router(i);
        }
    }

    fn change_fleet(&mut self) {
        let fleet = fleet(&mut self.random);
        self.versions.push(fleet);
        self.send_config();
        writeln!(self.lines, "{} configured version={}", self.now, self.versions.len()).unwrap();
    }

    fn change_demand(&mut self, i: usize) {
        let tenant = self.random.random_range(0..TENANTS.len());
        let rate = [0.0, 0.0, 1.0, 8.0, 40.0, 150.0][self.random.random_range(0..6)];
        self.routers[i].demand[tenant] = rate;
        writeln!(self.lines, "{} demand router={i} tenant={tenant} rate={rate}", self.now).unwrap();
    }

    fn release_all(&mut self, i: usize) {
        let at = self.routers[i].clock(self.now);
        let report = self.routers[i].client.release_all(at);
        self.record_exchange(i, &report, None);
        self.respond(report);
    }

    fn restart_router(&mut self, i: usize) {
        let demand = self.routers[i].demand;
        let incarnation = self.routers[i].incarnation + 1;
        self.routers[i] = Router { demand, ..self.start_router(i, incarnation) };
        writeln!(self.lines, "{} restarted router={i}", self.now).unwrap();
    }

    fn send_requests(&mut self, i: usize) {
        for (tenant, name) in TENANTS.iter().enumerate() {
            let expected = self.routers[i].demand[tenant] * STEP as f64 / 1e6;
            let count = expected as u64 + u64::from(self.random.random_bool(expected.fract()));
            let name = if *name == "b" && self.random.random_bool(0.2) { "unknown" } else { name };
            let router = &mut self.routers[i];
            for _ in 0..count {
                match router.client.admit(router.clock(self.now), name) {
                    Admission::Admitted => router.admitted += 1,
                    Admission::Shed { retry_after } => {
                        router.shed += 1;
                        router.total_retry_after += retry_after;
                    }
                }
            }
        }
    }

    fn exchange(&mut self, i: usize) {
        let router = &mut self.routers[i];
        router.next_exchange = self.now + EXCHANGE_INTERVAL;
        router.last_exchange = self.now;
        let report = router.client.report(router.clock(self.now));
        let response = if self.random.random_bool(0.04) { None } else { self.respond(report.clone()) };
        if self.random.random_bool(0.05) {
            // At most one of two duplicates of a report may get a response that renews grants.
            let duplicate = self.respond(report.clone());
            assert!(
                duplicate.is_none()
                    || response.is_none()
                    || duplicate.as_ref().is_some_and(|response| renews_nothing(&response.body))
            );
        }
        self.record_exchange(i, &report, response.as_ref());
        let Some(response) = response else { return self.routers[i].client.exchange_failed() };
        match self.random.random_range(0..20) {
            0 => self.routers[i].client.exchange_failed(),
            1 | 2 => {
                let at = self.now + self.random.random_range(0..2_500_000);
                self.routers[i].delayed_responses.push((at, response));
                if self.random.random_bool(0.5) {
                    self.routers[i].client.exchange_failed();
                }
            }
            _ => {
                let at = self.routers[i].clock(self.now);
                self.routers[i].client.handle_response(at, response);
            }
        }
    }

    fn deliver_delayed_responses(&mut self, i: usize) {
        let router = &mut self.routers[i];
        let (arrived, delayed_responses) =
            router.delayed_responses.drain(..).partition(|(at, _)| *at <= self.now);
        router.delayed_responses = delayed_responses;
        let arrived: Vec<(i64, GrantResponse)> = arrived;
        for (_, response) in arrived {
            let at = router.clock(self.now);
            router.client.handle_response(at, response);
        }
    }

    fn apply_latest_config(&mut self, i: usize) {
        let version = self.versions.len();
        let router = &mut self.routers[i];
        if router.client.version() < version as u64 && self.random.random_bool(0.1) {
            router.client.apply_config(router.clock(self.now), version as u64, &self.versions[version - 1]);
        }
    }

    /// Writes a line for one exchange, with the router's admission counts so far.
    fn record_exchange(&mut self, i: usize, report: &Report, response: Option<&GrantResponse>) {
        let router = &self.routers[i];
        let report_hash = fnv1a(postcard::to_stdvec(report).unwrap());
        let response_hash = response.map_or(0, |response| fnv1a(postcard::to_stdvec(response).unwrap()));
        let kind = match response.map(|response| &response.body) {
            None => "none",
            Some(ResponseBody::FullReportRequired) => "full-report",
            Some(ResponseBody::NotRenewed) => "not-renewed",
            Some(ResponseBody::Renewed { reset: true, .. }) => "reset",
            Some(ResponseBody::Renewed { reset: false, .. }) => "renewed",
        };
        let (admitted, shed, total_retry_after) = (router.admitted, router.shed, router.total_retry_after);
        writeln!(
            self.lines,
            "{} r{i} seq={} report={report_hash:016x} response={kind}:{response_hash:016x} admitted={admitted} \
             shed={shed} waits={total_retry_after} metrics={:016x}",
            self.now,
            report.seq,
            fnv1a(metrics(&router.client)),
        )
        .unwrap();
    }

    fn step(&mut self) {
        self.now += STEP + self.random.random_range(0..STEP / 10);
        self.draw_faults();
        for i in 0..ROUTERS {
            self.deliver_delayed_responses(i);
            self.apply_latest_config(i);
            self.send_requests(i);
            let router = &self.routers[i];
            let early = router.client.wants_early_report() && self.now - router.last_exchange > 2 * STEP;
            if early || router.next_exchange <= self.now {
                self.exchange(i);
            }
        }
    }

    fn finish(mut self) -> String {
        for i in 0..ROUTERS {
            let text = metrics(&self.routers[i].client);
            writeln!(self.lines, "{} r{i} {text}", self.now).unwrap();
        }
        let AllocatorMetrics { routers, tenants_by_demand } = self.allocator.metrics();
        writeln!(self.lines, "{} allocator routers={routers} tenants={tenants_by_demand}", self.now).unwrap();
        self.lines
    }
}

fn renews_nothing(body: &ResponseBody) -> bool {
    matches!(body, ResponseBody::FullReportRequired | ResponseBody::NotRenewed)
}

fn metrics(client: &QuotaClient) -> String {
    let metrics = client.metrics();
    let mut text = format!(
        "version={} share={:?} holds={}",
        metrics.version, metrics.reserved_share, metrics.holds_grants
    );
    for tenant in metrics.tenants {
        write!(
            text,
            " {}:{}/{}/{:?}/{:?}",
            tenant.name, tenant.admitted, tenant.shed, tenant.rate, tenant.capacity
        )
        .unwrap();
    }
    text
}

fn run(seed: u64, injected_fault: InjectedFault) -> String {
    let mut run = Run::new(seed, injected_fault);
    for _ in 0..STEPS {
        run.step();
    }
    run.finish()
}

#[test]
fn run_with_one_seed_matches_recorded_output() {
    FIXTURES.assert_same("recorded_run.txt", run(1, InjectedFault::None));
}

#[test]
fn runs_with_many_seeds_match_recorded_hashes() {
    let mut lines = String::new();
    for seed in 1..=40 {
        writeln!(lines, "seed {seed}: {:016x}", fnv1a(run(seed, InjectedFault::None))).unwrap();
    }
    for (n, injected_fault) in [
        InjectedFault::GrantTwice,
        InjectedFault::SkipQuietPeriod,
        InjectedFault::IgnoreExpiry,
        InjectedFault::AcceptLateResponse,
    ]
    .into_iter()
    .enumerate()
    {
        for seed in 1..=5 {
            writeln!(lines, "fault {n}, seed {seed}: {:016x}", fnv1a(run(seed, injected_fault))).unwrap();
        }
    }
    FIXTURES.assert_same("recorded_run_hashes.txt", lines);
}
