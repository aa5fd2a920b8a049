//! Tests the rules of the state machine one by one, and checks with random events that no view has a member
//! outside its boundary.
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
/// The default site settle time, in microseconds.
const SITE_SETTLE_TIME: i64 = 2_000_000;
/// A time after the end of every test.
const FAR_FUTURE: Time = Time(1 << 50);
const GROUP: GroupId = GroupId(0);

fn rule(sites: &[&str], strict: bool, classes: Option<&[&str]>) -> PlacementRule {
    let set = |names: &[&str]| names.iter().map(ToString::to_string).collect();
    PlacementRule { sites: set(sites), strict, classes: classes.map(set) }
}

fn fleet(tenants: Vec<(&str, Vec<PlacementRule>)>) -> Arc<Fleet> {
    let tenants = tenants
        .into_iter()
        .map(|(n, rules)| (n.to_string(), Tenant { placement_rules: rules, ..Tenant::default() }));
    Arc::new(Fleet { default_tenant: "anyone".into(), tenants: tenants.collect(), ..Fleet::default() })
}

fn member(name: &str, site: &str) -> Member {
    let site = (!site.is_empty()).then(|| site.into());
    Member { name: name.into(), group: GROUP, site, state: MemberState::Ready, primary: false }
}

/// Drives a state machine and records the effects of its actions.
struct Driver {
    engine: PlacementEngine,
    now: Time,
    view_members: BTreeMap<GroupId, Vec<Arc<str>>>,
    timers: Vec<Time>,
    reroutes: usize,
}

impl Driver {
    fn new() -> Self {
        let engine = PlacementEngine::new(Settings::new(vec!["read".into(), "write".into()]));
        Driver {
            engine,
            now: Time(1_000_000),
            view_members: BTreeMap::new(),
            timers: Vec::new(),
            reroutes: 0,
        }
    }

    /// Creates a driver with members and with rules whose confirmation does not expire.
    fn with_rules(tenants: Vec<(&str, Vec<PlacementRule>)>, members: &[(&str, &str)]) -> Self {
        let mut driver = Driver::new();
        driver.rules(1, tenants);
        driver.handle(Event::RulesUpdated(RulesUpdate::Confirmed { until: FAR_FUTURE }));
        driver.members(true, members.iter().map(|(n, s)| member(n, s)).collect());
        driver
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::UpdateView { view, base, members } => {
                    assert_eq!(base, GROUP);
                    self.view_members.insert(view, members);
                }
                Action::RerouteQueued => self.reroutes += 1,
                Action::SetTimer { at } => self.timers.push(at),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        self.apply_actions(actions);
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

    /// Advances to a time and passes in a timer event if one is due.
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
        let query = RoutingQuery { tenant: Some(tenant), class, group: GROUP, needs_primary: class == WRITE };
        let to = self.engine.route(self.now, &query, &mut actions);
        self.apply_actions(actions);
        to
    }

    fn routed_members(&mut self, tenant: &str, class: usize) -> Vec<String> {
        let view = self.route(tenant, class).unwrap();
        self.view_members[&view].iter().map(ToString::to_string).collect()
    }
}

fn strict(sites: &[&str]) -> Vec<PlacementRule> {
    vec![rule(sites, true, None)]
}

fn preferred(sites: &[&str]) -> Vec<PlacementRule> {
    vec![rule(sites, false, None)]
}

#[test]
fn strict_views_contain_only_permitted_sites_and_equal_boundaries_share_views() {
    let sites = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("x", "")];
    let mut driver = Driver::with_rules(
        vec![("t", strict(&["a"])), ("u", strict(&["a"])), ("v", strict(&["b", "c"]))],
        &sites,
    );
    assert_eq!(driver.routed_members("t", READ), ["a1", "a2"]);
    assert_eq!(driver.routed_members("v", READ), ["b1"]);
    assert_eq!(driver.route("t", READ), driver.route("u", WRITE));
    assert_eq!(driver.engine.views().count(), 2);
    // A tenant without a rule is routed to the group itself, without a new view; so is an unknown tenant.
    assert_eq!(driver.route("nobody", READ), Ok(GROUP));
    assert_eq!(driver.engine.views().count(), 2);
}

#[test]
fn rule_for_class_takes_precedence_over_general_rule() {
    let rules = vec![rule(&["a"], true, None), rule(&["b"], true, Some(&["write"]))];
    let mut driver = Driver::with_rules(vec![("t", rules)], &[("a1", "a"), ("b1", "b")]);
    assert_eq!(driver.routed_members("t", READ), ["a1"]);
    assert_eq!(driver.routed_members("t", WRITE), ["b1"]);
    // The general rule applies to an unknown class.
    assert_eq!(driver.routed_members("t", 99), ["a1"]);
    // Without a general rule, other classes are not restricted.
    driver.rules(2, vec![("t", vec![rule(&["b"], true, Some(&["write"]))])]);
    assert_eq!(driver.route("t", READ), Ok(GROUP));
    assert_eq!(driver.routed_members("t", WRITE), ["b1"]);
    // The default tenant's rules apply to an unknown tenant.
    driver.rules(3, vec![("anyone", strict(&["b"]))]);
    assert_eq!(driver.routed_members("who", READ), ["b1"]);
}

#[test]
fn rejections_state_their_reason() {
    let mut driver = Driver::new();
    assert_eq!(driver.route("t", READ), Err(PlacementError::NoRules));
    driver.rules(7, vec![("t", strict(&["a"])), ("p", preferred(&["a"]))]);
    driver.members(true, vec![member("a1", "a"), member("b1", "b")]);
    assert_eq!(driver.route("t", READ), Err(PlacementError::Unconfirmed { version: 7 }));
    // Strict placement rules require a confirmation, preferences do not.
    assert!(driver.route("p", READ).is_ok());
    assert_eq!(driver.route("nobody", READ), Ok(GROUP));
    driver.handle(Event::RulesUpdated(RulesUpdate::Confirmed { until: FAR_FUTURE }));
    assert!(driver.route("t", WRITE).is_ok());
    driver.report_role("b1", true, ReportSource::Response);
    let outside = |site: &str| PlacementError::PrimaryOutside {
        group: GROUP,
        primary: "b1".into(),
        site: site.into(),
        sites: "a".into(),
    };
    assert_eq!(driver.route("t", WRITE), Err(outside("b")));
    assert!(driver.route("t", READ).is_ok(), "a read does not need the primary");
    let text = outside("b").to_string();
    assert!(text.contains("'b1'") && text.contains("at b, outside of a"), "{text}");
    driver.members(false, vec![Member { state: MemberState::Draining, ..member("a1", "a") }]);
    assert_eq!(driver.route("t", READ), Err(PlacementError::NoneInside { group: GROUP, sites: "a".into() }));
    let mut actions = Vec::new();
    let group = GroupId(FIRST_VIEW);
    // A request must not name the number of a view.
    let query = RoutingQuery { tenant: None, class: READ, group, needs_primary: false };
    assert_eq!(
        driver.engine.route(driver.now, &query, &mut actions),
        Err(PlacementError::Reserved { group })
    );
}

#[test]
fn reported_primary_takes_precedence_over_listed_one() {
    let mut driver = Driver::with_rules(vec![("t", strict(&["a"]))], &[("a1", "a"), ("b1", "b")]);
    driver.members(false, vec![Member { primary: true, ..member("b1", "b") }]);
    assert!(matches!(driver.route("t", WRITE), Err(PlacementError::PrimaryOutside { .. })));
    driver.report_role("a1", true, ReportSource::Probe);
    assert!(driver.route("t", WRITE).is_ok());
    // A probe may have started before the response that denied the role, so the probe must not restore the
    // role.
    driver.report_role("a1", false, ReportSource::Response);
    driver.report_role("b1", false, ReportSource::Probe);
    driver.report_role("a1", true, ReportSource::Probe);
    assert_eq!(driver.engine.primary(GROUP), None);
    driver.advance_to(Time(driver.now.0 + 1_000_000));
    driver.report_role("a1", true, ReportSource::Probe);
    assert_eq!(driver.engine.primary(GROUP).map(|p| &**p), Some("a1"));
    driver.handle(Event::ReachabilityChanged { member: "a1".into(), reachable: false });
    assert_eq!(driver.engine.primary(GROUP), None, "an unreachable member must not be the primary");
}

#[test]
fn member_with_changed_site_is_outside_during_settle_time() {
    let mut driver = Driver::with_rules(
        vec![("a", strict(&["a"])), ("b", strict(&["b"]))],
        &[("m", "a"), ("b1", "b"), ("a1", "a")],
    );
    assert_eq!(driver.routed_members("a", READ), ["a1", "m"]);
    let moved = driver.now;
    driver.members(false, vec![member("m", "b")]);
    assert_eq!(
        (driver.routed_members("a", READ), driver.routed_members("b", READ)),
        (vec!["a1".to_string()], vec!["b1".to_string()])
    );
    driver.advance_to(Time(moved.0 + SITE_SETTLE_TIME - 1));
    assert_eq!(driver.routed_members("b", READ), ["b1"]);
    driver.advance_to(Time(moved.0 + SITE_SETTLE_TIME));
    assert_eq!(driver.routed_members("b", READ), ["b1", "m"]);
    // The settle time also applies to a member that leaves the list and returns at another site, and to a
    // member whose site was unknown.
    driver.members(true, vec![member("b1", "b"), member("a1", "a")]);
    driver.members(true, vec![member("b1", "b"), member("a1", "a"), member("m", "a"), member("n", "")]);
    driver.members(false, vec![member("n", "a")]);
    assert_eq!(driver.routed_members("a", READ), ["a1"]);
    driver.advance_to(Time(driver.now.0 + SITE_SETTLE_TIME));
    assert_eq!(driver.routed_members("a", READ), ["a1", "m", "n"]);
}

#[test]
fn preferred_view_falls_back_to_all_members_and_includes_primary() {
    let mut driver =
        Driver::with_rules(vec![("p", preferred(&["a"]))], &[("a1", "a"), ("b1", "b"), ("b2", "b")]);
    assert_eq!(driver.routed_members("p", READ), ["a1"]);
    driver.report_role("b2", true, ReportSource::Response);
    assert_eq!(driver.routed_members("p", WRITE), ["a1", "b2"]);
    driver.handle(Event::ReachabilityChanged { member: "a1".into(), reachable: false });
    assert_eq!(driver.routed_members("p", READ), ["a1", "b1", "b2"]);
    driver.handle(Event::ReachabilityChanged { member: "a1".into(), reachable: true });
    assert_eq!(driver.routed_members("p", READ), ["a1", "b2"]);
    driver.members(false, vec![Member { state: MemberState::Draining, ..member("a1", "a") }]);
    assert_eq!(driver.routed_members("p", READ), ["a1", "b1", "b2"]);
}

#[test]
fn newer_rules_apply_immediately_and_view_numbers_are_not_reused() {
    let mut driver = Driver::with_rules(
        vec![("t", strict(&["a", "b"])), ("u", strict(&["a", "b"]))],
        &[("a1", "a"), ("b1", "b")],
    );
    let first = driver.route("t", READ).unwrap();
    let reroutes = driver.reroutes;
    driver.rules(2, vec![("t", strict(&["a"])), ("u", strict(&["a", "b"]))]);
    assert!(driver.reroutes > reroutes, "queued requests must be routed again");
    assert_eq!(driver.routed_members("t", READ), ["a1"]);
    assert_eq!(driver.route("u", READ), Ok(first), "a boundary that is still used must retain its view");
    driver.rules(1, vec![]);
    assert_eq!(driver.routed_members("t", READ), ["a1"]);
    driver.rules(3, vec![("t", strict(&["a"]))]);
    assert!(driver.view_members[&first].is_empty(), "the view of an unused boundary must be empty");
    driver.rules(4, vec![("t", strict(&["b", "a"]))]);
    assert_ne!(driver.route("t", READ), Ok(first));
}

#[test]
fn strict_views_are_empty_without_confirmation() {
    let mut driver = Driver::new();
    driver.rules(1, vec![("t", strict(&["a"])), ("p", preferred(&["a"]))]);
    driver.members(true, vec![member("a1", "a")]);
    let ends = Time(driver.now.0 + 500);
    driver.handle(Event::RulesUpdated(RulesUpdate::Confirmed { until: ends }));
    let (view, other) = (driver.route("t", READ).unwrap(), driver.route("p", READ).unwrap());
    driver.advance_to(Time(ends.0 - 1));
    assert_eq!(driver.view_members[&view].len(), 1);
    assert!(!driver.engine.is_due(driver.now));
    driver.advance_to(ends);
    assert!(driver.view_members[&view].is_empty() && !driver.view_members[&other].is_empty());
    assert_eq!(driver.route("t", READ), Err(PlacementError::Unconfirmed { version: 1 }));
    // An older confirmation has no effect; a newer one restores the members.
    driver.handle(Event::RulesUpdated(RulesUpdate::Confirmed { until: Time(ends.0 - 1) }));
    assert!(driver.view_members[&view].is_empty());
    driver.handle(Event::RulesUpdated(RulesUpdate::Confirmed { until: Time(ends.0 + 500) }));
    assert_eq!((driver.route("t", READ), driver.view_members[&view].len()), (Ok(view), 1));
}

// Random events, compared with a simple model.

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
    let rule = (0u8..8, any::<bool>(), 0u8..3);
    let entry = (0u8..5, 0u8..4, 0u8..4);
    prop_oneof![
        1 => prop::collection::vec(prop::collection::vec(rule, 0..3), 3).prop_map(Step::Rules),
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

/// A simple model of the members: the present site of each and when it last changed.
#[derive(Default)]
struct Model {
    sites: BTreeMap<String, (String, Option<Time>)>,
    listed: BTreeMap<String, MemberState>,
    left_at: BTreeMap<String, Time>,
    until: Time,
    fleet: Option<Arc<Fleet>>,
}

impl Model {
    fn apply_list(&mut self, now: Time, complete: bool, entries: &[Member]) {
        let leave = |model: &mut Model, name: &str| {
            if model.listed.remove(name).is_some() {
                model.left_at.insert(name.to_string(), now);
            }
        };
        if complete {
            let unlisted = self.listed.keys().filter(|n| !entries.iter().any(|e| *e.name == ***n)).cloned();
            unlisted.collect::<Vec<_>>().iter().for_each(|n| leave(self, n));
        }
        for e in entries {
            let (name, site) = (e.name.to_string(), e.site.as_deref().unwrap_or("").to_string());
            // A member that left the list longer than the settle time ago has no connections to its old site.
            let expired = !self.listed.contains_key(&name)
                && self.left_at.get(&name).is_none_or(|t| now.0 - t.0 >= SITE_SETTLE_TIME);
            match self.sites.get(&name).filter(|_| !expired) {
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
                sites.contains(site) && changed.is_none_or(|t| now.0 - t.0 >= SITE_SETTLE_TIME)
            })
    }

    fn rule(&self, tenant: &str, class: &str) -> Option<PlacementRule> {
        let rules = &self.fleet.as_ref()?.tenants[tenant].placement_rules;
        let named = rules.iter().find(|p| p.classes.as_ref().is_some_and(|c| c.contains(class)));
        named.or_else(|| rules.iter().find(|p| p.classes.is_none())).cloned()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
    #[test]
    fn views_never_have_members_outside_their_boundary(steps in prop::collection::vec(step(), 1..60)) {
        let (mut driver, mut model) = (Driver::new(), Model::default());
        let mut boundaries: BTreeMap<GroupId, (BTreeSet<String>, bool)> = BTreeMap::new();
        for (n, step) in steps.into_iter().enumerate() {
            match step {
                Step::Rules(tenants) => {
                    let set = |bits: u8| SITES[1..].iter().enumerate().filter(move |(i, _)| bits >> i & 1 == 1);
                    let rule = |(bits, strict, class): (u8, bool, u8)| PlacementRule {
                        sites: set(bits).map(|(_, s)| s.to_string()).collect(),
                        strict,
                        classes: [None, Some("read"), Some("write")][class as usize].map(|c| [c.to_string()].into()),
                    };
                    let of = |rules: Vec<_>| rules.into_iter().map(rule).collect();
                    let fleet = fleet(TENANTS.into_iter().zip(tenants.into_iter().map(of)).collect());
                    model.fleet = Some(fleet.clone());
                    driver.handle(Event::RulesUpdated(RulesUpdate::Received { version: n as u64 + 1, fleet }));
                }
                Step::Confirmed(by) => {
                    let until = Time(driver.now.0 + by);
                    model.until = model.until.max(until);
                    driver.handle(Event::RulesUpdated(RulesUpdate::Confirmed { until }));
                }
                Step::List(complete, entries) => {
                    let entry = |(m, s, state): (u8, u8, u8)| Member {
                        state: [MemberState::Ready, MemberState::Ready, MemberState::Draining, MemberState::Removed][state as usize],
                        primary: m == s,
                        ..member(&format!("m{m}"), SITES[s as usize])
                    };
                    let entries: BTreeMap<u8, Member> = entries.into_iter().map(|e| (e.0, entry(e))).collect();
                    let entries: Vec<Member> = entries.into_values().collect();
                    model.apply_list(driver.now, complete, &entries);
                    driver.members(complete, entries);
                }
                Step::ReportRole(m, primary, source) => driver.report_role(&format!("m{m}"), primary, source),
                Step::SetReachability(m, reachable) => driver.handle(Event::ReachabilityChanged { member: format!("m{m}").into(), reachable }),
                Step::Wait(by) => driver.advance_to(Time(driver.now.0 + by)),
                Step::Route(t, class) => {
                    let tenant = TENANTS[t as usize];
                    let to = driver.route(tenant, class);
                    let rule = model.rule(tenant, ["read", "write"][class]);
                    match (&to, rule) {
                        (Err(PlacementError::NoRules), _) => prop_assert!(model.fleet.is_none()),
                        (to, None) => prop_assert_eq!(to, &Ok(GROUP)),
                        (Ok(view), Some(rule)) => {
                            prop_assert!(view.0 >= FIRST_VIEW);
                            prop_assert!(!rule.strict || driver.now < model.until);
                            let b = (rule.sites, rule.strict);
                            // A view's number must not be reused for another boundary.
                            prop_assert_eq!(boundaries.entry(*view).or_insert(b.clone()), &b);
                        }
                        (Err(_), Some(rule)) => prop_assert!(rule.strict),
                    }
                }
            }
            for (view, members) in &driver.view_members {
                let Some((sites, strict)) = boundaries.get(view) else { continue };
                for m in members {
                    if *strict {
                        prop_assert!(driver.now < model.until, "a strict view has members after its confirmation expired");
                        prop_assert!(model.inside(driver.now, m, sites), "{} is not at any of the sites {:?}", m, sites);
                    }
                }
                // Every listed member inside the boundary must be in the view.
                if driver.engine.views().any(|(v, ..)| v == *view) && (!strict || driver.now < model.until) {
                    let all = model.listed.keys().filter(|n| model.inside(driver.now, n, sites));
                    for name in all {
                        prop_assert!(members.iter().any(|m| **m == **name), "{} is not in the view", name);
                    }
                }
            }
        }
    }
}
