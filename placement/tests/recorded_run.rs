//! Runs random events with fixed seeds and compares every action and decision with recorded output under
//! `fixtures/`, which was written before the state machine's identifiers were renamed.
use decision::{GroupId, MemberState, Time};
use placement::{Action, Event, Member, PlacementEngine, ReportSource, RoutingQuery, RulesUpdate, Settings};
use settings::fleet::{Fleet, PlacementRule, Tenant};
use std::fmt::Write;
use std::sync::Arc;
use testkit::fixture::Fixtures;
use testkit::hash::fnv1a;
use testkit::random::{Random, SplitMix64};

const FIXTURES: Fixtures = testkit::fixtures!();
const SEEDS: u64 = 20;
const EVENTS: usize = 2_000;
/// The number of lines of the first seed's run that the fixture contains as text; the remaining lines are
/// only hashed.
const READABLE_LINES: usize = 200;
const SITES: [&str; 4] = ["", "a", "b", "c"];
const TENANTS: [&str; 3] = ["t", "u", "anyone"];
const CLASSES: [&str; 2] = ["read", "write"];

fn pick(random: &mut SplitMix64, names: &[&str]) -> String {
    random.pick(names).to_string()
}

fn random_rule(random: &mut SplitMix64) -> PlacementRule {
    let sites = SITES[1..].iter().filter(|_| random.coin()).map(ToString::to_string).collect();
    let classes = random.coin().then(|| [pick(random, &CLASSES)].into());
    PlacementRule { sites, strict: random.below(3) > 0, classes }
}

fn random_fleet(random: &mut SplitMix64) -> Fleet {
    let tenants = TENANTS.map(|name| {
        let rules = (0..random.below(3)).map(|_| random_rule(random)).collect();
        (name.to_string(), Tenant { placement_rules: rules, ..Tenant::default() })
    });
    Fleet { default_tenant: "anyone".into(), tenants: tenants.into(), ..Fleet::default() }
}

fn random_name(random: &mut SplitMix64) -> Arc<str> {
    format!("m{}", random.below(6)).into()
}

fn random_member(random: &mut SplitMix64) -> Member {
    let site = pick(random, &SITES);
    Member {
        name: random_name(random),
        group: GroupId(random.below(2) as u32),
        site: (!site.is_empty()).then(|| site.as_str().into()),
        state: match random.below(6) {
            0 => MemberState::Draining,
            1 => MemberState::Removed,
            _ => MemberState::Ready,
        },
        primary: random.below(4) == 0,
    }
}

struct Run {
    random: SplitMix64,
    engine: PlacementEngine,
    now: Time,
    version: u64,
    timers: Vec<Time>,
    record: String,
}

impl Run {
    fn new(seed: u64) -> Run {
        let engine = PlacementEngine::new(Settings::new(CLASSES.map(String::from).to_vec()));
        let now = Time(1_000_000);
        Run {
            random: SplitMix64::new(seed),
            engine,
            now,
            version: 0,
            timers: Vec::new(),
            record: String::new(),
        }
    }

    fn record_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::UpdateView { view, base, members } => {
                    writeln!(self.record, "  show {} of {}: {}", view.0, base.0, members.join(" ")).unwrap();
                }
                Action::RerouteQueued => writeln!(self.record, "  recheck").unwrap(),
                Action::SetTimer { at } => {
                    self.timers.push(at);
                    writeln!(self.record, "  timer {}", at.0).unwrap();
                }
            }
        }
    }

    fn handle(&mut self, label: &str, event: Event) {
        writeln!(self.record, "{} {label}", self.now.0).unwrap();
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        self.record_actions(actions);
    }

    fn wait(&mut self) {
        self.now.0 += self.random.below(900_000) as i64;
        let now = self.now;
        let is_due = self.timers.iter().any(|at| *at <= now);
        self.timers.retain(|at| *at > now);
        if is_due {
            self.handle("time", Event::TimerExpired);
        }
    }

    fn route(&mut self) {
        let tenant = pick(&mut self.random, &TENANTS);
        let class = self.random.below(3) as usize;
        let group = GroupId(self.random.below(2) as u32);
        let needs_primary = self.random.coin();
        let mut actions = Vec::new();
        let tenant = (tenant != "anyone").then_some(tenant.as_str());
        let query = RoutingQuery { tenant, class, group, needs_primary };
        let routed = self.engine.route(self.now, &query, &mut actions);
        let result = routed.map_or_else(|error| error.to_string(), |routed_group| routed_group.0.to_string());
        let query_text = format!("{tenant:?} {class} {} {needs_primary}", group.0);
        writeln!(self.record, "{} route {query_text}: {result}", self.now.0).unwrap();
        self.record_actions(actions);
    }

    fn step(&mut self) {
        match self.random.below(16) {
            0 => {
                self.version += 1;
                let fleet = Arc::new(random_fleet(&mut self.random));
                self.handle(
                    "rules",
                    Event::RulesUpdated(RulesUpdate::Received { version: self.version, fleet }),
                );
            }
            1 | 2 => {
                let until = Time(self.now.0 + self.random.below(3_000_000) as i64);
                self.handle("confirmed", Event::RulesUpdated(RulesUpdate::Confirmed { until }));
            }
            3..=5 => {
                let complete = self.random.coin();
                let count = self.random.below(5);
                let entries = (0..count).map(|_| random_member(&mut self.random)).collect();
                self.handle("members", Event::MembersUpdated { complete, entries });
            }
            6 | 7 => {
                let member = random_name(&mut self.random);
                let primary = self.random.coin();
                let source = if self.random.coin() { ReportSource::Response } else { ReportSource::Probe };
                self.handle("role", Event::RoleReported { member, primary, source });
            }
            8 => {
                let member = random_name(&mut self.random);
                let reachable = self.random.coin();
                self.handle("reach", Event::ReachabilityChanged { member, reachable });
            }
            9..=11 => self.wait(),
            _ => self.route(),
        }
    }
}

#[test]
fn actions_and_decisions_match_recorded_run() {
    let mut output = String::new();
    for seed in 1..=SEEDS {
        let mut run = Run::new(seed);
        (0..EVENTS).for_each(|_| run.step());
        writeln!(
            output,
            "seed {seed}: {} lines, hash {:016x}",
            run.record.lines().count(),
            fnv1a(&run.record)
        )
        .unwrap();
        if seed == 1 {
            for line in run.record.lines().take(READABLE_LINES) {
                writeln!(output, "{line}").unwrap();
            }
        }
    }
    FIXTURES.assert_same("recorded_run.txt", output);
}
