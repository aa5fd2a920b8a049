//! Tests fences and tracker with random reports, version changes and lost responses: no router routes
//! requests while it is recorded as silent.
use crate::harness::{FIRST_VERSION, MS, TrackerHarness};
use audit::{EntryKind, LeaderResponse, VersionFence};
use decision::{Micros, Time};
use settings::fleet::Version;
use testkit::random::{Random, XorShift64};

const SEEDS: u64 = 200;
const STEPS: u32 = 400;
const ROUTERS: usize = 4;
/// The tracker's silence timeout minus the maximum clock difference.
const LEASE: Micros = 1960 * MS;

struct Router {
    fence: VersionFence,
    version: Version,
    recorded_silent: bool,
}

struct Run {
    random: XorShift64,
    harness: TrackerHarness,
    routers: Vec<Router>,
    now_ms: i64,
    current: Version,
}

impl Run {
    fn new(seed: u64) -> Run {
        let router = || Router { fence: VersionFence::new(LEASE), version: 0, recorded_silent: false };
        Run {
            random: XorShift64::new(seed + 1),
            harness: TrackerHarness::new(),
            routers: (0..ROUTERS).map(|_| router()).collect(),
            now_ms: 0,
            current: FIRST_VERSION,
        }
    }

    fn step(&mut self) {
        self.now_ms += self.random.below(300) as i64;
        match self.random.below(10) {
            0 => {
                self.current += 1 + self.random.below(3);
                self.harness.set_version(self.now_ms, self.current);
            }
            1 => self.now_ms += self.random.below(1500) as i64,
            2 => self.harness.tick(self.now_ms),
            _ => self.exchange(),
        }
        for entry in self.harness.entries.drain(..).filter(|entry| !entry.router.is_empty()) {
            let i: usize = entry.router.parse().unwrap();
            self.routers[i].recorded_silent = entry.kind == EntryKind::Silent;
        }
    }

    /// Has a router report and, if the response is not lost, apply it and possibly fetch the current version.
    fn exchange(&mut self) {
        let i = self.random.below(ROUTERS as u64) as usize;
        let report_sent_at = Time(self.now_ms * MS);
        let report = self.routers[i].fence.report(report_sent_at, 0);
        self.now_ms += self.random.below(50) as i64;
        let reported_version = self.routers[i].version;
        let directive = self.harness.report_with(self.now_ms, &i.to_string(), 1, reported_version, report);
        if self.random.below(5) == 0 {
            return;
        }
        let now = Time(self.now_ms * MS);
        let router = &mut self.routers[i];
        let current_version = self.current;
        let response = LeaderResponse { report_sent_at, reported_version, current_version, directive };
        router.fence.response_received(now, &response);
        if router.version != current_version && self.random.below(2) == 0 {
            router.version = current_version;
            router.fence.version_applied(now, current_version);
        }
    }
}

#[test]
fn no_router_routes_while_it_is_recorded_as_silent() {
    for seed in 0..SEEDS {
        let mut run = Run::new(seed);
        for _ in 0..STEPS {
            run.step();
            let now = Time(run.now_ms * MS);
            for (i, router) in run.routers.iter_mut().enumerate() {
                let routes = router.fence.check(now).is_ok();
                let at = run.now_ms;
                assert!(!(routes && router.recorded_silent), "seed {seed}, router {i} at {at}");
            }
        }
    }
}
