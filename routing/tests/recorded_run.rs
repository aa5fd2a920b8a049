//! Golden tests of `ProbeSpacing` and `PlacementSubsets`: a seeded random sequence of events is applied, and
//! the resulting decisions are compared line by line with a recorded fixture. The text does not use
//! identifiers of the code, so that a rename does not change the fixture.
use decision::{
    Class, Freshness, GroupId, Idempotency, MemberEntry, MemberId, MemberReport, MemberState, Outcome,
    Settings, Time,
};
use routing::placement_subsets::{
    MemberIds, OutcomeEffects, PlacementSubsets, ProbeStart, ReportSource, ReportedRole, RoutingResult,
    SubsetChange,
};
use routing::probe_spacing::{ProbeSpacing, ProbeTiming};
use routing::{EndpointEntry, EndpointUpdate};
use settings::fleet::{Fleet, PlacementRule, Tenant};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

/// A xorshift generator, which produces the same events on every run.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.below(one_in) == 0
    }

    fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.below(from.len() as u64) as usize]
    }
}

fn class(freshness: Freshness) -> Class {
    let (latency_objective, deadline) = (1_000_000, 2_000_000);
    Class {
        freshness,
        idempotency: Idempotency::Idempotent,
        latency_objective,
        deadline,
        priority_weight: 1.0,
        late_weight_share: 0.5,
    }
}

fn base_settings() -> Settings {
    settings::operator::read(include_str!("../../deploy/mysql.toml")).unwrap().settings
}

fn report_text(report: Option<MemberReport>) -> String {
    report.map_or("nothing".into(), |r| format!("{:?}@{:?}", r.primary, r.position.map(|t| t.0)))
}

fn ids_text(ids: &[MemberId]) -> String {
    ids.iter().map(|id| id.0.to_string()).collect::<Vec<_>>().join(",")
}

fn source(with_response: bool) -> ReportSource {
    if with_response { ReportSource::Response } else { ReportSource::Probe }
}

fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Ready => "ready",
        MemberState::Draining => "draining",
        MemberState::Removed => "gone",
    }
}

/// Applies random probe events of three members with a changing number of processes, and returns the
/// decisions as text.
fn probe_spacing_run() -> String {
    let (mut random, mut text) = (Random(0x5eed_0001), String::new());
    let mut spacing = ProbeSpacing::new(&Settings { min_event_interval: 5_000, ..base_settings() });
    let mut now = 1_000_000_000;
    for _ in 0..400 {
        now += random.below(120_000) as i64;
        let member = MemberId(1 + random.below(3) as u32);
        match random.below(12) {
            0 => {
                let processes = random.below(4) as u32;
                spacing.set_process_count(processes);
                writeln!(text, "processes {processes}").unwrap();
            }
            1 => {
                spacing.attempt_failed(member);
                writeln!(text, "fault {}", member.0).unwrap();
            }
            2 if random.chance(3) => {
                spacing.remove(member);
                writeln!(text, "remove {}", member.0).unwrap();
            }
            2..=6 => {
                let primary = (!random.chance(3)).then(|| random.chance(2));
                let report = MemberReport { primary, position: primary.map(|_| Time(now - 1_000)) };
                spacing.probe_ended(member, report);
                writeln!(text, "end {} {}", member.0, report_text(Some(report))).unwrap();
            }
            _ => {
                let decided = match spacing.schedule(member, Time(now)) {
                    ProbeTiming::Now => "now".into(),
                    ProbeTiming::At(at) => format!("in {}", at.0 - now),
                    ProbeTiming::Cached(report) => report_text(Some(report)),
                };
                writeln!(text, "probe {}: {decided}", member.0).unwrap();
            }
        }
    }
    text
}

const SITES: [&str; 3] = ["a", "b", "c"];
const TENANTS: [Option<&str>; 4] = [Some("strict"), Some("preferred"), Some("wide"), None];

/// Simulates the state that the router actor holds for the subsets: the member ID of each endpoint, and which
/// member IDs are in use.
struct SubsetSimulation {
    subsets: PlacementSubsets,
    ids: MemberIds,
    endpoint_ids: BTreeMap<String, MemberId>,
    in_use: Vec<MemberId>,
    version: u64,
    now: i64,
}

impl SubsetSimulation {
    fn new() -> SubsetSimulation {
        let classes = [Freshness::Any, Freshness::Write, Freshness::Latest].map(class);
        let names = ["any", "write", "fresh"].map(String::from).to_vec();
        SubsetSimulation {
            subsets: PlacementSubsets::new(placement::Settings::new(names), &classes),
            ids: MemberIds::default(),
            endpoint_ids: BTreeMap::new(),
            in_use: Vec::new(),
            version: 0,
            now: 1_000_000_000,
        }
    }

    fn describe_change(&mut self, change: &SubsetChange) -> String {
        let mut text = String::new();
        for (id, e) in &change.entries {
            write!(text, " {}:{}:{}:{}", id.0, e.group.0, state_text(e.state), e.listed_primary).unwrap();
            if !self.in_use.contains(id) {
                self.in_use.push(*id);
            }
        }
        let timer = change.timer.map(|t| t.0 - self.now);
        write!(text, " left[{}] again {} timer {timer:?}", ids_text(&change.removed_aliases), change.reroute)
            .unwrap();
        text
    }

    fn update_endpoints(&mut self, random: &mut Random) -> String {
        self.version += 1;
        let complete = random.chance(4);
        let names: Vec<u64> = (0..6).filter(|_| random.chance(if complete { 2 } else { 4 })).collect();
        let endpoint = |n: u64, random: &mut Random| EndpointEntry {
            id: format!("e{n}"),
            addr: std::net::SocketAddr::from(([127, 0, 0, 1], n as u16 + 1)),
            group: GroupId((n / 3) as u32),
            zone: 0,
            site: (!random.chance(8)).then(|| Arc::from(SITES[n as usize % 3])),
            state: random.pick(&[
                MemberState::Ready,
                MemberState::Ready,
                MemberState::Ready,
                MemberState::Draining,
                MemberState::Removed,
            ]),
            listed_primary: random.chance(4),
            weight: 1.0,
            started_at: None,
        };
        let endpoints: Vec<EndpointEntry> = names.into_iter().map(|n| endpoint(n, random)).collect();
        let mut members = Vec::new();
        for e in &endpoints {
            let id = *self.endpoint_ids.entry(e.id.clone()).or_insert_with(|| self.ids.allocate());
            if !self.in_use.contains(&id) {
                self.in_use.push(id);
            }
            members.push(MemberEntry {
                id,
                group: e.group,
                zone: e.zone,
                state: e.state,
                listed_primary: e.listed_primary,
                weight: e.weight,
                started_at: e.started_at,
            });
        }
        let update = EndpointUpdate { version: self.version, complete, endpoints };
        let change = self.subsets.update_endpoints(Time(self.now), &update, &members, &mut self.ids);
        format!("list complete {complete} {}:{}", members.len(), self.describe_change(&change))
    }

    fn update_rules(&mut self, random: &mut Random) -> String {
        self.version += 1;
        let mut tenants = BTreeMap::new();
        for (name, sites, strict) in
            [("strict", vec!["a"], true), ("preferred", vec!["b"], false), ("wide", vec!["a", "b"], true)]
        {
            let sites = if random.chance(4) { vec!["c"] } else { sites };
            let sites = sites.into_iter().map(String::from).collect();
            let tenant_rules = vec![PlacementRule { sites, strict, classes: None }];
            tenants.insert(name.to_string(), Tenant { placement_rules: tenant_rules, ..Tenant::default() });
        }
        let fleet = Arc::new(Fleet { tenants: tenants.into_iter().collect(), ..Fleet::default() });
        let rules = placement::RulesUpdate::Received { version: self.version, fleet };
        let change =
            self.subsets.handle(Time(self.now), placement::Event::RulesUpdated(rules), &mut self.ids);
        let first = self.describe_change(&change);
        let confirmed = placement::RulesUpdate::Confirmed { until: Time(self.now + 5_000_000) };
        let change =
            self.subsets.handle(Time(self.now), placement::Event::RulesUpdated(confirmed), &mut self.ids);
        format!("rules:{first};{}", self.describe_change(&change))
    }

    fn route(&mut self, random: &mut Random) -> String {
        let (tenant, class) = (random.pick(&TENANTS), random.below(4) as usize);
        let group = GroupId(random.below(2) as u32);
        let RoutingResult { group: to, change } =
            self.subsets.route(Time(self.now), tenant, class, group, &mut self.ids);
        let to = to.map_or("refused".into(), |g| g.0.to_string());
        format!("route {tenant:?} {class} {}: {to}{}", group.0, self.describe_change(&change))
    }

    fn record_outcome(&mut self, member: MemberId, random: &mut Random) -> String {
        let outcome = random.pick(&[Outcome::Ok, Outcome::Ok, Outcome::ConnectFailed, Outcome::TimedOut]);
        let role = (outcome == Outcome::Ok).then(|| (random.chance(2), random.chance(2)));
        let reported =
            role.map(|(primary, with_response)| ReportedRole { primary, source: source(with_response) });
        let OutcomeEffects { change, to_notify } =
            self.subsets.record_outcome(Time(self.now), member, outcome, reported, &mut self.ids);
        let ok = outcome == Outcome::Ok;
        format!(
            "heard {} {ok} {role:?}: [{}]{}",
            member.0,
            ids_text(&to_notify),
            self.describe_change(&change)
        )
    }

    fn request_probe(&mut self, member: MemberId) -> String {
        let decided = match self.subsets.request_probe(member, Time(self.now)) {
            ProbeStart::Now(canonical_id) => format!("begin {}", canonical_id.0),
            ProbeStart::At(canonical_id, at) => format!("{} in {}", canonical_id.0, at.0 - self.now),
            ProbeStart::AlreadyPending => "under way".into(),
        };
        let unknown = self.subsets.group_without_primary(member);
        let search_targets = unknown.map(|group| self.subsets.primary_search_targets(group, Time(self.now)));
        let search_targets = search_targets.map(|ids| ids_text(&ids));
        format!("probe {}: {decided}, {:?} {search_targets:?}", member.0, unknown.map(|g| g.0))
    }

    fn probe_ended(&mut self, member: MemberId, random: &mut Random) -> String {
        let canonical_id = self.subsets.canonical_id(member);
        let outcome = random.pick(&[Outcome::Ok, Outcome::Ok, Outcome::ConnectFailed, Outcome::TimedOut]);
        let primary = (outcome == Outcome::Ok && random.chance(2)).then(|| random.chance(2));
        let report = MemberReport { primary, position: None };
        let to_notify = self.subsets.probe_ended(canonical_id, Time(self.now), outcome, report);
        format!("probed {}: [{}]", canonical_id.0, ids_text(&to_notify))
    }

    fn remove(&mut self, member: MemberId) -> String {
        self.in_use.retain(|id| *id != member);
        let removed_endpoint = self.subsets.remove_member(member);
        if let Some(canonical_id) = removed_endpoint {
            self.endpoint_ids.retain(|_, id| *id != canonical_id);
        }
        format!("forget {}: {:?}", member.0, removed_endpoint.map(|id| id.0))
    }

    fn step(&mut self, random: &mut Random) -> String {
        self.now += random.below(80_000) as i64;
        let Some(member) = (!self.in_use.is_empty())
            .then(|| random.below(self.in_use.len() as u64))
            .map(|n| self.in_use[n as usize])
        else {
            return self.update_endpoints(random);
        };
        match random.below(20) {
            0..=2 => self.update_endpoints(random),
            3 if random.chance(2) => self.update_rules(random),
            3..=8 => self.route(random),
            9..=11 => self.record_outcome(member, random),
            12..=14 => self.request_probe(member),
            15..=16 => self.probe_ended(member, random),
            17 if random.chance(2) => self.remove(member),
            _ => {
                let due = self.subsets.is_due(Time(self.now));
                let event = placement::Event::TimerExpired;
                let change = self.subsets.handle(Time(self.now), event, &mut self.ids);
                format!(
                    "timer {due} unhealthy {}:{}",
                    self.subsets.unhealthy_endpoints(7),
                    self.describe_change(&change)
                )
            }
        }
    }
}

/// Applies random list updates, rules, requests, probes and removals to two groups of three endpoints each,
/// and returns the decisions as text.
fn subsets_run() -> String {
    let (mut random, mut text, mut simulation) =
        (Random(0x5eed_0002), String::new(), SubsetSimulation::new());
    for _ in 0..500 {
        let line = simulation.step(&mut random);
        writeln!(text, "{line}").unwrap();
    }
    text
}

#[test]
fn probe_spacing_matches_recorded_run() {
    assert_eq!(probe_spacing_run(), include_str!("fixtures/probe_spacing.txt"));
}

#[test]
fn placement_subsets_match_recorded_run() {
    assert_eq!(subsets_run(), include_str!("fixtures/placement_subsets.txt"));
}
