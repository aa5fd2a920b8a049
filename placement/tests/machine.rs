//! The state machine's rules one by one, and over random events: no view has a member outside its boundary.
use decision::{GroupId, MemberState, Time};
use placement::{
    Action, Event, FIRST_VIEW, Member, PlacementEngine, PlacementError, ReportSource, RoutingQuery,
    RulesUpdate, Settings,
};
use proptest::prelude::*;
use settings::fleet::{Fleet, PlacementRule, Tenant};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const READ: usize = 0;
const WRITE: usize = 1;
/// The default hold, in microseconds.
const HOLD: i64 = 2_000_000;
/// Later than any time of a test.
const FAR_FUTURE: Time = Time(1 << 50);
const BASE: GroupId = GroupId(0);

fn place(sites: &[&str], strict: bool, classes: Option<&[&str]>) -> PlacementRule {
    let set = |names: &[&str]| names.iter().map(ToString::to_string).collect();
    PlacementRule { sites: set(sites), strict, classes: classes.map(set) }
}

fn fleet(tenants: Vec<(&str, Vec<PlacementRule>)>) -> Arc<Fleet> {
    let tenants = tenants
        .into_iter()
        .map(|(n, places)| (n.to_string(), Tenant { placement_rules: places, ..Tenant::default() }));
    Arc::new(Fleet { default_tenant: "anyone".into(), tenants: tenants.collect(), ..Fleet::default() })
}

fn member(name: &str, site: &str) -> Member {
    let site = (!site.is_empty()).then(|| site.into());
    Member { name: name.into(), group: BASE, site, state: MemberState::Ready, primary: false }
}

/// Drives a state machine and keeps what its actions have shown.
struct Driver {
    engine: PlacementEngine,
    now: Time,
    shown: BTreeMap<GroupId, Vec<Arc<str>>>,
    timers: Vec<Time>,
    rechecks: usize,
}

impl Driver {
    fn new() -> Self {
        let engine = PlacementEngine::new(Settings::new(vec!["read".into(), "write".into()]));
        Driver { engine, now: Time(1_000_000), shown: BTreeMap::new(), timers: Vec::new(), rechecks: 0 }
    }

    /// Starts with rules that stay confirmed, and members.
    fn with_rules(tenants: Vec<(&str, Vec<PlacementRule>)>, members: &[(&str, &str)]) -> Self {
        let mut d = Driver::new();
        d.rules(1, tenants);
        d.handle(Event::RulesUpdated(RulesUpdate::Confirmed { until: FAR_FUTURE }));
        d.members(true, members.iter().map(|(n, s)| member(n, s)).collect());
        d
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::UpdateView { view, base, members } => {
                    assert_eq!(base, BASE);
                    self.shown.insert(view, members);
                }
                Action::RerouteQueued => self.rechecks += 1,
                Action::SetTimer { at } => self.timers.push(at),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        self.apply(actions);
    }

    fn rules(&mut self, version: u64, tenants: Vec<(&str, Vec<PlacementRule>)>) {
        self.handle(Event::RulesUpdated(RulesUpdate::Received { version, fleet: fleet(tenants) }));
    }

    fn members(&mut self, complete: bool, entries: Vec<Member>) {
        self.handle(Event::MembersUpdated { complete, entries });
    }

    fn report_role(&mut self, name: &str, primary: bool, source: ReportSource) {
        self.handle(Event::RoleReported { member: name.into(), primary, source });
    }

    /// Advances to a time; timers fire when they are due.
    fn advance_to(&mut self, at: Time) {
        self.now = at;
        let due = self.timers.iter().any(|t| *t <= at);
        self.timers.retain(|t| *t > at);
        if due {
            self.handle(Event::TimerExpired);
        }
    }

    fn route(&mut self, tenant: &str, class: usize) -> Result<GroupId, PlacementError> {
        let mut actions = Vec::new();
        let query = RoutingQuery { tenant: Some(tenant), class, group: BASE, needs_primary: class == WRITE };
        let to = self.engine.route(self.now, &query, &mut actions);
        self.apply(actions);
        to
    }

    fn routed_members(&mut self, tenant: &str, class: usize) -> Vec<String> {
        let view = self.route(tenant, class).unwrap();
        self.shown[&view].iter().map(ToString::to_string).collect()
    }
}

fn strict(sites: &[&str]) -> Vec<PlacementRule> {
    vec![place(sites, true, None)]
}

fn preferred(sites: &[&str]) -> Vec<PlacementRule> {
    vec![place(sites, false, None)]
}

#[test]
fn strict_views_have_only_named_sites_and_equal_boundaries_share_them() {
    let sites = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("x", "")];
    let mut d = Driver::with_rules(
        vec![("t", strict(&["a"])), ("u", strict(&["a"])), ("v", strict(&["b", "c"]))],
        &sites,
    );
    assert_eq!(d.routed_members("t", READ), ["a1", "a2"]);
    assert_eq!(d.routed_members("v", READ), ["b1"]);
    assert_eq!(d.route("t", READ), d.route("u", WRITE));
    assert_eq!(d.engine.views().count(), 2);
    // A tenant without a rule is routed to the group itself and makes no view; so is an unknown tenant.
    assert_eq!(d.route("nobody", READ), Ok(BASE));
    assert_eq!(d.engine.views().count(), 2);
}

#[test]
fn rule_for_class_precedes_rule_for_the_rest() {
    let rules = vec![place(&["a"], true, None), place(&["b"], true, Some(&["write"]))];
    let mut d = Driver::with_rules(vec![("t", rules)], &[("a1", "a"), ("b1", "b")]);
    assert_eq!(d.routed_members("t", READ), ["a1"]);
    assert_eq!(d.routed_members("t", WRITE), ["b1"]);
    // An unknown class is bound by the rule for the rest.
    assert_eq!(d.routed_members("t", 99), ["a1"]);
    // Without a rule for the rest, other classes are routed anywhere.
    d.rules(2, vec![("t", vec![place(&["b"], true, Some(&["write"]))])]);
    assert_eq!(d.route("t", READ), Ok(BASE));
    assert_eq!(d.routed_members("t", WRITE), ["b1"]);
    // An unknown tenant is bound by the rules of the unnamed one.
    d.rules(3, vec![("anyone", strict(&["b"]))]);
    assert_eq!(d.routed_members("who", READ), ["b1"]);
}

#[test]
fn refusals_name_their_reason() {
    let mut d = Driver::new();
    assert_eq!(d.route("t", READ), Err(PlacementError::NoRules));
    d.rules(7, vec![("t", strict(&["a"])), ("p", preferred(&["a"]))]);
    d.members(true, vec![member("a1", "a"), member("b1", "b")]);
    assert_eq!(d.route("t", READ), Err(PlacementError::Unconfirmed { version: 7 }));
    // Only strict rules depend on the confirmation.
    assert!(d.route("p", READ).is_ok());
    assert_eq!(d.route("nobody", READ), Ok(BASE));
    d.handle(Event::RulesUpdated(RulesUpdate::Confirmed { until: FAR_FUTURE }));
    assert!(d.route("t", WRITE).is_ok());
    d.report_role("b1", true, ReportSource::Response);
    let outside = |site: &str| PlacementError::PrimaryOutside {
        group: BASE,
        primary: "b1".into(),
        site: site.into(),
        sites: "a".into(),
    };
    assert_eq!(d.route("t", WRITE), Err(outside("b")));
    assert!(d.route("t", READ).is_ok(), "reads need no primary");
    let text = outside("b").to_string();
    assert!(text.contains("'b1'") && text.contains("at b, outside of a"), "{text}");
    d.members(false, vec![Member { state: MemberState::Draining, ..member("a1", "a") }]);
    assert_eq!(d.route("t", READ), Err(PlacementError::NoneInside { group: BASE, sites: "a".into() }));
    let mut actions = Vec::new();
    let group = GroupId(FIRST_VIEW);
    // No request may name a view's number.
    let query = RoutingQuery { tenant: None, class: READ, group, needs_primary: false };
    assert_eq!(d.engine.route(d.now, &query, &mut actions), Err(PlacementError::Reserved { group }));
}

#[test]
fn last_claimed_primary_precedes_listed_one() {
    let mut d = Driver::with_rules(vec![("t", strict(&["a"]))], &[("a1", "a"), ("b1", "b")]);
    d.members(false, vec![Member { primary: true, ..member("b1", "b") }]);
    assert!(matches!(d.route("t", WRITE), Err(PlacementError::PrimaryOutside { .. })));
    d.report_role("a1", true, ReportSource::Probe);
    assert!(d.route("t", WRITE).is_ok());
    // A probe that began before the response that denies it must not restore it.
    d.report_role("a1", false, ReportSource::Response);
    d.report_role("b1", false, ReportSource::Probe);
    d.report_role("a1", true, ReportSource::Probe);
    assert_eq!(d.engine.primary(BASE), None);
    d.advance_to(Time(d.now.0 + 1_000_000));
    d.report_role("a1", true, ReportSource::Probe);
    assert_eq!(d.engine.primary(BASE).map(|p| &**p), Some("a1"));
    d.handle(Event::ReachabilityChanged { member: "a1".into(), reachable: false });
    assert_eq!(d.engine.primary(BASE), None, "an unreachable primary is none");
}

#[test]
fn member_with_changed_site_is_outside_for_the_hold() {
    let mut d = Driver::with_rules(
        vec![("a", strict(&["a"])), ("b", strict(&["b"]))],
        &[("m", "a"), ("b1", "b"), ("a1", "a")],
    );
    assert_eq!(d.routed_members("a", READ), ["a1", "m"]);
    let moved = d.now;
    d.members(false, vec![member("m", "b")]);
    assert_eq!(
        (d.routed_members("a", READ), d.routed_members("b", READ)),
        (vec!["a1".to_string()], vec!["b1".to_string()])
    );
    d.advance_to(Time(moved.0 + HOLD - 1));
    assert_eq!(d.routed_members("b", READ), ["b1"]);
    d.advance_to(Time(moved.0 + HOLD));
    assert_eq!(d.routed_members("b", READ), ["b1", "m"]);
    // So is a member that leaves the list and returns at another site, and one whose site becomes known.
    d.members(true, vec![member("b1", "b"), member("a1", "a")]);
    d.members(true, vec![member("b1", "b"), member("a1", "a"), member("m", "a"), member("n", "")]);
    d.members(false, vec![member("n", "a")]);
    assert_eq!(d.routed_members("a", READ), ["a1"]);
    d.advance_to(Time(d.now.0 + HOLD));
    assert_eq!(d.routed_members("a", READ), ["a1", "m", "n"]);
}

#[test]
fn preferred_view_spills_over_without_inside_members_and_has_any_primary() {
    let mut d = Driver::with_rules(vec![("p", preferred(&["a"]))], &[("a1", "a"), ("b1", "b"), ("b2", "b")]);
    assert_eq!(d.routed_members("p", READ), ["a1"]);
    d.report_role("b2", true, ReportSource::Response);
    assert_eq!(d.routed_members("p", WRITE), ["a1", "b2"]);
    d.handle(Event::ReachabilityChanged { member: "a1".into(), reachable: false });
    assert_eq!(d.routed_members("p", READ), ["a1", "b1", "b2"]);
    d.handle(Event::ReachabilityChanged { member: "a1".into(), reachable: true });
    assert_eq!(d.routed_members("p", READ), ["a1", "b2"]);
    d.members(false, vec![Member { state: MemberState::Draining, ..member("a1", "a") }]);
    assert_eq!(d.routed_members("p", READ), ["a1", "b1", "b2"]);
}

#[test]
fn newer_rules_bind_at_once_and_view_numbers_are_not_reused() {
    let mut d = Driver::with_rules(
        vec![("t", strict(&["a", "b"])), ("u", strict(&["a", "b"]))],
        &[("a1", "a"), ("b1", "b")],
    );
    let first = d.route("t", READ).unwrap();
    let rechecks = d.rechecks;
    d.rules(2, vec![("t", strict(&["a"])), ("u", strict(&["a", "b"]))]);
    assert!(d.rechecks > rechecks, "queued requests must be checked again");
    assert_eq!(d.routed_members("t", READ), ["a1"]);
    assert_eq!(d.route("u", READ), Ok(first), "a boundary that remains keeps its view");
    d.rules(1, vec![]);
    assert_eq!(d.routed_members("t", READ), ["a1"]);
    d.rules(3, vec![("t", strict(&["a"]))]);
    assert!(d.shown[&first].is_empty(), "a boundary that no rule draws any more loses its members");
    d.rules(4, vec![("t", strict(&["b", "a"]))]);
    assert_ne!(d.route("t", READ), Ok(first));
}

#[test]
fn strict_views_are_empty_without_confirmation() {
    let mut d = Driver::new();
    d.rules(1, vec![("t", strict(&["a"])), ("p", preferred(&["a"]))]);
    d.members(true, vec![member("a1", "a")]);
    let ends = Time(d.now.0 + 500);
    d.handle(Event::RulesUpdated(RulesUpdate::Confirmed { until: ends }));
    let (view, other) = (d.route("t", READ).unwrap(), d.route("p", READ).unwrap());
    d.advance_to(Time(ends.0 - 1));
    assert_eq!(d.shown[&view].len(), 1);
    assert!(!d.engine.is_due(d.now));
    d.advance_to(ends);
    assert!(d.shown[&view].is_empty() && !d.shown[&other].is_empty());
    assert_eq!(d.route("t", READ), Err(PlacementError::Unconfirmed { version: 1 }));
    // An older confirmation changes nothing; a newer one restores the members.
    d.handle(Event::RulesUpdated(RulesUpdate::Confirmed { until: Time(ends.0 - 1) }));
    assert!(d.shown[&view].is_empty());
    d.handle(Event::RulesUpdated(RulesUpdate::Confirmed { until: Time(ends.0 + 500) }));
    assert_eq!((d.route("t", READ), d.shown[&view].len()), (Ok(view), 1));
}

// ---- random events ----

const SITES: [&str; 4] = ["", "a", "b", "c"];
const TENANTS: [&str; 3] = ["t", "u", "anyone"];

#[derive(Clone, Debug)]
enum Step {
    Rules(Vec<Vec<(u8, bool, u8)>>),
    Confirmed(i64),
    List(bool, Vec<(u8, u8, u8)>),
    ReportRole(u8, bool, ReportSource),
    SetReachability(u8, bool),
    Wait(i64),
    Route(u8, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let place = (0u8..8, any::<bool>(), 0u8..3);
    let entry = (0u8..5, 0u8..4, 0u8..4);
    prop_oneof![
        1 => prop::collection::vec(prop::collection::vec(place, 0..3), 3).prop_map(Step::Rules),
        2 => (0..3_000_000i64).prop_map(Step::Confirmed),
        3 => (any::<bool>(), prop::collection::vec(entry, 0..5)).prop_map(|(c, e)| Step::List(c, e)),
        2 => (0u8..5, any::<bool>(), any::<bool>()).prop_map(|(m, p, is_response)| {
            Step::ReportRole(m, p, if is_response { ReportSource::Response } else { ReportSource::Probe })
        }),
        1 => (0u8..5, any::<bool>()).prop_map(|(m, r)| Step::SetReachability(m, r)),
        3 => (0..1_500_000i64).prop_map(Step::Wait),
        4 => (0u8..3, 0usize..2).prop_map(|(t, c)| Step::Route(t, c)),
    ]
}

/// A simple model of the members: the present site of each, and when it last changed.
#[derive(Default)]
struct Model {
    sites: BTreeMap<String, (String, Option<Time>)>,
    listed: BTreeMap<String, MemberState>,
    left: BTreeMap<String, Time>,
    until: Time,
    fleet: Option<Arc<Fleet>>,
}

impl Model {
    fn apply_list(&mut self, now: Time, complete: bool, entries: &[Member]) {
        let leave = |model: &mut Model, name: &str| {
            if model.listed.remove(name).is_some() {
                model.left.insert(name.to_string(), now);
            }
        };
        if complete {
            let gone = self.listed.keys().filter(|n| !entries.iter().any(|e| *e.name == ***n)).cloned();
            gone.collect::<Vec<_>>().iter().for_each(|n| leave(self, n));
        }
        for e in entries {
            let (name, site) = (e.name.to_string(), e.site.as_deref().unwrap_or("").to_string());
            // Long after a member has left, no connection to its old site is alive.
            let forgotten =
                !self.listed.contains_key(&name) && self.left.get(&name).is_none_or(|t| now.0 - t.0 >= HOLD);
            match self.sites.get(&name).filter(|_| !forgotten) {
                Some((before, _)) if *before != site => {
                    self.sites.insert(name.clone(), (site, Some(now)));
                }
                Some(_) => {}
                None if e.state == MemberState::Removed => continue,
                None => _ = self.sites.insert(name.clone(), (site, None)),
            }
            if e.state == MemberState::Removed {
                leave(self, &name);
            } else {
                self.listed.insert(name, e.state);
            }
        }
    }

    fn inside(&self, now: Time, name: &str, sites: &BTreeSet<String>) -> bool {
        self.listed.contains_key(name)
            && self.sites.get(name).is_some_and(|(site, changed)| {
                sites.contains(site) && changed.is_none_or(|t| now.0 - t.0 >= HOLD)
            })
    }

    fn rule(&self, tenant: &str, class: &str) -> Option<PlacementRule> {
        let places = &self.fleet.as_ref()?.tenants[tenant].placement_rules;
        let named = places.iter().find(|p| p.classes.as_ref().is_some_and(|c| c.contains(class)));
        named.or_else(|| places.iter().find(|p| p.classes.is_none())).cloned()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
    #[test]
    fn views_never_have_members_outside_their_boundary(steps in prop::collection::vec(step(), 1..60)) {
        let (mut d, mut model) = (Driver::new(), Model::default());
        let mut boundaries: BTreeMap<GroupId, (BTreeSet<String>, bool)> = BTreeMap::new();
        for (n, step) in steps.into_iter().enumerate() {
            match step {
                Step::Rules(tenants) => {
                    let set = |bits: u8| SITES[1..].iter().enumerate().filter(move |(i, _)| bits >> i & 1 == 1);
                    let place = |(bits, strict, class): (u8, bool, u8)| PlacementRule {
                        sites: set(bits).map(|(_, s)| s.to_string()).collect(),
                        strict,
                        classes: [None, Some("read"), Some("write")][class as usize].map(|c| [c.to_string()].into()),
                    };
                    let of = |places: Vec<_>| places.into_iter().map(place).collect();
                    let fleet = fleet(TENANTS.into_iter().zip(tenants.into_iter().map(of)).collect());
                    model.fleet = Some(fleet.clone());
                    d.handle(Event::RulesUpdated(RulesUpdate::Received { version: n as u64 + 1, fleet }));
                }
                Step::Confirmed(by) => {
                    let until = Time(d.now.0 + by);
                    model.until = model.until.max(until);
                    d.handle(Event::RulesUpdated(RulesUpdate::Confirmed { until }));
                }
                Step::List(complete, entries) => {
                    let entry = |(m, s, state): (u8, u8, u8)| Member {
                        state: [MemberState::Ready, MemberState::Ready, MemberState::Draining, MemberState::Removed][state as usize],
                        primary: m == s,
                        ..member(&format!("m{m}"), SITES[s as usize])
                    };
                    let entries: BTreeMap<u8, Member> = entries.into_iter().map(|e| (e.0, entry(e))).collect();
                    let entries: Vec<Member> = entries.into_values().collect();
                    model.apply_list(d.now, complete, &entries);
                    d.members(complete, entries);
                }
                Step::ReportRole(m, primary, source) => d.report_role(&format!("m{m}"), primary, source),
                Step::SetReachability(m, reachable) => d.handle(Event::ReachabilityChanged { member: format!("m{m}").into(), reachable }),
                Step::Wait(by) => d.advance_to(Time(d.now.0 + by)),
                Step::Route(t, class) => {
                    let tenant = TENANTS[t as usize];
                    let to = d.route(tenant, class);
                    let rule = model.rule(tenant, ["read", "write"][class]);
                    match (&to, rule) {
                        (Err(PlacementError::NoRules), _) => prop_assert!(model.fleet.is_none()),
                        (to, None) => prop_assert_eq!(to, &Ok(BASE)),
                        (Ok(view), Some(rule)) => {
                            prop_assert!(view.0 >= FIRST_VIEW);
                            prop_assert!(!rule.strict || d.now < model.until);
                            let b = (rule.sites, rule.strict);
                            // A view's number is never given to another boundary.
                            prop_assert_eq!(boundaries.entry(*view).or_insert(b.clone()), &b);
                        }
                        (Err(_), Some(rule)) => prop_assert!(rule.strict),
                    }
                }
            }
            for (view, members) in &d.shown {
                let Some((sites, strict)) = boundaries.get(view) else { continue };
                for m in members {
                    if *strict {
                        prop_assert!(d.now < model.until, "a strict view has members after the confirmation");
                        prop_assert!(model.inside(d.now, m, sites), "{} is outside of {:?}", m, sites);
                    }
                }
                // No member inside is missing either.
                if d.engine.views().any(|(v, ..)| v == *view) && (!strict || d.now < model.until) {
                    let all = model.listed.keys().filter(|n| model.inside(d.now, n, sites));
                    for name in all {
                        prop_assert!(members.iter().any(|m| **m == **name), "{} is missing", name);
                    }
                }
            }
        }
    }
}
