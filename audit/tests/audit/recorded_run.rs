//! Regression test: seeded random events are applied to the tracker and to the routers' fences, and the
//! output is compared with recorded output. One run is recorded in readable form, many longer ones as hashes.
use crate::encoding::to_json;
use audit::{
    Action, Batch, Directive, Event, FenceReason, LeaderResponse, RING_SLOTS, Settings, VersionFence,
    VersionReport, VersionTracker,
};
use decision::{Micros, Time};
use settings::fleet::AuditConfig;
use std::collections::BTreeMap;
use std::fmt::Write;
use testkit::fixture::Fixtures;
use testkit::hash::fnv1a;
use testkit::random::{Random, SplitMix64};

const FIXTURES: Fixtures = testkit::fixtures!();
const MS: Micros = 1000;
const ROUTERS: usize = 6;
const SILENCE_TIMEOUT: Micros = 2000 * MS;
const ROUTER_LEASE: Micros = 1960 * MS;
const READABLE_STEPS: u32 = 400;
const HASHED_STEPS: u32 = 3000;
const HASHED_SEEDS: u64 = 40;

/// Formats the report's numbers in field order.
fn report_text(report: &VersionReport) -> String {
    let VersionReport { version_age, last_fence_duration, routing, members_version, epoch } = report;
    format!("{version_age}/{last_fence_duration}/{routing}/{members_version}/{epoch}")
}

fn directive_text(directive: &Directive) -> String {
    match directive {
        Directive::AuditDisabled => "none".into(),
        Directive::Continue { epoch } => format!("continue {epoch}"),
        Directive::Refetch { epoch } => format!("refetch {epoch}"),
        Directive::FenceOut { epoch } => format!("fence-out {epoch}"),
    }
}

struct Router {
    fence: VersionFence,
    version: u64,
    incarnation: u64,
    /// Whether the router cannot fetch the current version.
    cannot_fetch: bool,
}

impl Router {
    fn new(incarnation: u64) -> Router {
        Router { fence: VersionFence::new(ROUTER_LEASE), version: 0, incarnation, cannot_fetch: false }
    }
}

/// A simulated leader, its store and the routers that report to it.
struct Run {
    random: SplitMix64,
    now: Micros,
    tracker: VersionTracker,
    term: u64,
    current: u64,
    stored: BTreeMap<u64, Batch>,
    pending_writes: Vec<Batch>,
    routers: Vec<Router>,
    lines: String,
    last_fences: String,
}

impl Run {
    fn new(seed: u64) -> Run {
        let tracker = VersionTracker::new(Settings::new(&AuditConfig::default(), SILENCE_TIMEOUT, seed));
        Run {
            random: SplitMix64::new(seed),
            now: 0,
            tracker,
            term: 0,
            current: 5,
            stored: BTreeMap::new(),
            pending_writes: Vec::new(),
            routers: (0..ROUTERS).map(|_| Router::new(1)).collect(),
            lines: String::new(),
            last_fences: String::new(),
        }
    }

    fn advance_clock(&mut self, bound_ms: Micros) {
        self.now += self.random.time_below(bound_ms * MS);
    }

    fn push_line(&mut self, text: &str) {
        writeln!(self.lines, "{} {text}", self.now).unwrap();
    }

    fn handle(&mut self, event: Event) -> Directive {
        let mut actions = Vec::new();
        self.tracker.handle(Time(self.now), event, &mut actions);
        let mut response = Directive::AuditDisabled;
        for action in actions {
            match action {
                Action::Respond { router, directive } => {
                    self.push_line(&format!("  reply {router} {}", directive_text(&directive)));
                    response = directive;
                }
                Action::LogEntry(entry) => self.push_line(&format!("  entry {}", to_json(&entry))),
                Action::WriteBatch(batch) => {
                    let hash = fnv1a(to_json(&batch));
                    let count = batch.entries.len();
                    self.push_line(&format!(
                        "  write {} of term {}, {count} entries, {hash:016x}",
                        batch.seq, batch.term
                    ));
                    self.pending_writes.push(batch);
                }
            }
        }
        response
    }

    fn gain_leadership(&mut self) {
        self.term += 1 + self.random.below(2);
        let batches: Vec<Batch> = self.stored.values().cloned().collect();
        self.push_line(&format!("term {} begins with {} batches", self.term, batches.len()));
        self.pending_writes.clear();
        self.handle(Event::LeadershipGained { term: self.term, batches });
        self.handle(Event::CurrentVersion { version: self.current });
    }

    fn set_version(&mut self) {
        self.current += 1 + self.random.below(3);
        self.push_line(&format!("version {} is set", self.current));
        for router in &mut self.routers {
            router.cannot_fetch = self.random.one_in(3);
        }
        self.handle(Event::CurrentVersion { version: self.current });
    }

    fn finish_write(&mut self) {
        if self.pending_writes.is_empty() {
            return;
        }
        let batch = self.pending_writes.remove(0);
        let (seq, committed) = (batch.seq, !self.random.one_in(4));
        self.push_line(&format!("write {seq} ends, {committed}"));
        if committed {
            self.stored.insert(seq % RING_SLOTS, batch);
        }
        self.handle(Event::WriteCompleted { seq, committed });
    }

    fn report(&mut self, i: usize, leaving: bool) {
        let report_sent_at = Time(self.now);
        let router = &self.routers[i];
        let (report, version) = (router.fence.report(report_sent_at, 3), router.version);
        // Occasionally an earlier process of the same name still reports.
        let stale = self.random.one_in(40);
        let incarnation = router.incarnation - u64::from(stale);
        self.advance_clock(60);
        self.push_line(&format!(
            "router {i} reports {version} of start {incarnation} {} leaving {leaving}",
            report_text(&report)
        ));
        let event =
            Event::ReportReceived { router: format!("router-{i}"), incarnation, version, report, leaving };
        let directive = self.handle(event);
        // Some of the leader's responses are lost, among them all responses to an earlier process, and some
        // of the remaining responses are received late.
        if stale || self.random.one_in(6) {
            return;
        }
        let max_delay_ms = if self.random.one_in(30) { 2500 } else { 20 };
        self.advance_clock(max_delay_ms);
        let router = &mut self.routers[i];
        let response = LeaderResponse {
            report_sent_at,
            reported_version: version,
            current_version: self.current,
            directive,
        };
        let changed = router.fence.response_received(Time(self.now), &response);
        if version != self.current && !router.cannot_fetch && !self.random.one_in(3) {
            router.version = self.current;
            router.fence.version_applied(Time(self.now), self.current);
        }
        self.push_line(&format!("  answer changes the fence: {changed}"));
    }

    fn restart(&mut self, i: usize) {
        let incarnation = self.routers[i].incarnation + 1;
        self.push_line(&format!("router {i} starts again"));
        self.routers[i] = Router::new(incarnation);
    }

    fn check_fences(&mut self) {
        let mut text = String::from("  routing by");
        for router in &mut self.routers {
            let found = match router.fence.check(Time(self.now)) {
                Ok(version) => version.to_string(),
                Err(fenced) => {
                    let reason = match fenced.reason {
                        FenceReason::LeaseExpired => "lease",
                        FenceReason::FencedOut => "shutout",
                    };
                    format!("{reason}/{}/{}/{}", fenced.version, fenced.epoch, fenced.since.0)
                }
            };
            let until = router.fence.lease_expires_at().0;
            write!(text, " {found}@{}", until.max(-1)).unwrap();
        }
        if text != self.last_fences {
            self.push_line(&text);
            self.last_fences = text;
        }
    }

    fn step(&mut self) {
        self.advance_clock(60);
        let i = self.random.below(ROUTERS as u64) as usize;
        match self.random.below(24) {
            0 if self.random.one_in(4) => self.set_version(),
            1 if self.random.one_in(4) => self.advance_clock(2500),
            2..=5 => {
                self.push_line("tick");
                self.handle(Event::Tick);
            }
            6..=8 => self.finish_write(),
            9 if self.random.one_in(4) => self.gain_leadership(),
            10 if self.random.one_in(4) => self.restart(i),
            11 if self.random.one_in(4) => self.report(i, true),
            _ => self.report(i, false),
        }
        self.check_fences();
    }
}

fn record(seed: u64, steps: u32) -> String {
    let mut run = Run::new(seed);
    run.gain_leadership();
    (0..steps).for_each(|_| run.step());
    run.lines
}

#[test]
fn readable_run_matches_recorded_output() {
    FIXTURES.assert_same("run.txt", record(1, READABLE_STEPS));
}

#[test]
fn hashed_runs_match_recorded_hashes() {
    let hash = |seed| format!("{seed} {:016x}\n", fnv1a(record(seed, HASHED_STEPS)));
    let found: String = (0..HASHED_SEEDS).map(hash).collect();
    FIXTURES.assert_same("run-hashes.txt", &found);
}
