//! Each rule by itself.
mod sim;
use decision::Time;
use quotas::{
    Action, Admission, Allocator, AllocatorMetrics, Event, Grant, GrantChange, GrantResponse, QuotaClient,
    QuotaClientSettings, Report, ResponseBody, Settings, TenantDemand,
};
use settings::fleet::{Fleet, OnLoss, Tenant};
use sim::{Fault, World, fleet, quota};
use std::sync::Arc;

const SECOND: i64 = 1_000_000;
const TTL: i64 = 2 * SECOND;

fn pocket(name: &str, start: u64, slot: Option<u32>) -> QuotaClient {
    QuotaClient::new(QuotaClientSettings {
        router: name.into(),
        incarnation: start,
        slot,
        settings: Settings::default(),
        seed: start,
    })
}

/// An allocator past its quiet time, and pockets that exchange at once.
struct Small {
    now: i64,
    version: u64,
    fleet: Arc<Fleet>,
    allocator: Allocator,
    pockets: Vec<QuotaClient>,
}

impl Small {
    fn new(fleet: Fleet, pockets: usize) -> Small {
        let mut small = Small {
            now: 0,
            version: 0,
            fleet: Arc::default(),
            allocator: Allocator::new(Settings::default()),
            pockets: (0..pockets).map(|i| pocket(&format!("r{i}"), 1, Some(i as u32 + 1))).collect(),
        };
        small.lead(1);
        small.config(fleet);
        small.now = 3 * SECOND;
        small
    }

    fn lead(&mut self, term: u64) {
        self.allocator.handle(Time(self.now), Event::BecameLeader { term }, &mut Vec::new());
    }

    fn config(&mut self, fleet: Fleet) {
        self.version += 1;
        self.fleet = Arc::new(fleet);
        let event = Event::Config { version: self.version, fleet: self.fleet.clone() };
        self.allocator.handle(Time(self.now), event, &mut Vec::new());
        (0..self.pockets.len()).for_each(|i| self.learn(i));
    }

    fn learn(&mut self, i: usize) {
        self.pockets[i].apply_config(Time(self.now), self.version, &self.fleet);
    }

    fn handle(&mut self, report: Report) -> Option<GrantResponse> {
        let mut actions = Vec::new();
        self.allocator.handle(Time(self.now), Event::Report { connection: 7, report }, &mut actions);
        actions.pop().map(|Action::Respond { connection: to, response: answer }| {
            assert_eq!(to, 7);
            answer
        })
    }

    fn exchange(&mut self, i: usize) -> Option<ResponseBody> {
        let report = self.pockets[i].report(Time(self.now));
        let answer = self.handle(report);
        match answer.clone() {
            Some(answer) => self.pockets[i].handle_response(Time(self.now), answer),
            None => self.pockets[i].exchange_failed(),
        }
        answer.map(|a| a.body)
    }

    /// All exchange each 200 ms.
    fn run(&mut self, span: i64) {
        let end = self.now + span;
        while self.now < end {
            self.now += SECOND / 5;
            (0..self.pockets.len()).for_each(|i| drop(self.exchange(i)));
        }
    }

    fn admits(&mut self, i: usize, tenant: &str) -> bool {
        self.pockets[i].admit(Time(self.now), tenant) == Admission::Admitted
    }

    fn held(&self, i: usize, tenant: &str) -> (f64, f64) {
        let figures = self.pockets[i].metrics();
        let t = figures.tenants.iter().find(|t| t.name == tenant).unwrap();
        (t.rate.unwrap(), t.capacity.unwrap())
    }
}

fn one(routers: u32, rate: f64, burst: u32) -> Fleet {
    fleet(routers, &[("a".to_string(), quota(rate, burst, OnLoss::Closed))])
}

fn come_back(p: &mut QuotaClient, now: i64, tenant: &str) -> i64 {
    match p.admit(Time(now), tenant) {
        Admission::Shed { retry_after: come_back } => come_back,
        Admission::Admitted => panic!("admitted"),
    }
}

#[test]
fn what_has_no_quota_is_admitted_and_unknown_names_count_as_the_unnamed() {
    let mut p = pocket("r", 1, None);
    assert_eq!(p.admit(Time(0), "a"), Admission::Admitted);
    let mut fleet = one(1, 0.0, 5);
    fleet.tenants.insert("free".into(), Tenant::default());
    p.apply_config(Time(0), 1, &fleet);
    assert_eq!(p.admit(Time(0), "free"), Admission::Admitted);
    let never = Settings::default().zero_quota_retry_after;
    let wait = come_back(&mut p, 0, "who");
    assert!((never..=2 * never).contains(&wait), "{wait}");
    let figures = p.metrics();
    assert_eq!((figures.tenants[0].shed, figures.tenants[1].admitted), (1, 1));
}

#[test]
fn standing_parts_let_first_requests_pass_at_each_place_and_no_more_places_are_given() {
    let mut s = Small::new(one(4, 40.0, 8), 5);
    s.run(SECOND);
    let places: Vec<_> = s.pockets.iter().map(|p| p.metrics().reserved_share).collect();
    assert_eq!(places, [Some(0), Some(1), Some(2), Some(3), None]);
    for i in 0..4 {
        assert_eq!(s.held(i, "a"), (10.0, 2.0));
        assert!(s.admits(i, "a") && s.admits(i, "a") && !s.admits(i, "a"));
    }
    assert!(!s.admits(4, "a"));
    assert!(s.pockets[4].wants_early_report() && !s.pockets[0].wants_early_report());
    // By demand, it gets what it asks for.
    let passes = (0..10).any(|_| {
        s.run(SECOND / 5);
        s.admits(4, "a")
    });
    assert!(passes);
}

#[test]
fn a_loan_counts_from_its_report_and_is_over_on_time() {
    let mut s = Small::new(one(1, 1_000.0, 10), 1);
    let began = s.now;
    let report = s.pockets[0].report(Time(began));
    s.now += SECOND;
    let answer = s.handle(report).unwrap();
    s.now += SECOND / 2;
    s.pockets[0].handle_response(Time(s.now), answer);
    s.now = began + TTL * 98 / 100 - 1;
    assert!(s.admits(0, "a"));
    s.now += 1;
    assert!(!s.admits(0, "a"));
}

#[test]
fn answers_that_are_late_doubled_or_of_an_older_term_do_nothing() {
    let mut s = Small::new(one(1, 1_000.0, 10), 1);
    let report = s.pockets[0].report(Time(s.now));
    let late = s.handle(report.clone()).unwrap();
    assert_eq!(s.handle(report), None, "what is sent twice is answered once");
    s.pockets[0].exchange_failed();
    s.pockets[0].handle_response(Time(s.now), late.clone());
    assert_eq!(s.held(0, "a"), (0.0, 0.0));
    let report = s.pockets[0].report(Time(s.now));
    s.pockets[0].handle_response(Time(s.now), late);
    assert_eq!(s.held(0, "a"), (0.0, 0.0));
    let mut answer = s.handle(report).unwrap();
    answer.term = 2;
    s.pockets[0].handle_response(Time(s.now), answer);
    assert_eq!(s.held(0, "a"), (1_000.0, 10.0));
    // Term 1 is over for this router, and it tells the node so.
    let report = s.pockets[0].report(Time(s.now));
    assert_eq!(s.handle(report.clone()), None);
    let body = ResponseBody::Renewed { reset: true, reserved_share: None, changes: Vec::new() };
    let old = GrantResponse { term: 1, incarnation: 1, seq: report.seq, version: 1, body };
    s.pockets[0].handle_response(Time(s.now), old);
    assert_eq!(s.held(0, "a"), (1_000.0, 10.0));
}

#[test]
fn a_renewal_of_what_has_run_out_is_not_taken() {
    let mut s = Small::new(one(1, 1_000.0, 10), 1);
    s.run(SECOND);
    s.now += TTL * 97 / 100;
    let report = s.pockets[0].report(Time(s.now));
    let answer = s.handle(report).unwrap();
    s.now += SECOND / 10;
    s.pockets[0].handle_response(Time(s.now), answer);
    assert!(!s.admits(0, "a"));
}

#[test]
fn a_new_leader_renews_but_lends_nothing_for_a_loans_time() {
    let mut s = Small::new(one(2, 100.0, 20), 1);
    s.run(SECOND);
    s.pockets.push(pocket("late", 1, None));
    s.learn(1);
    s.allocator = Allocator::new(Settings::default());
    let event = Event::Config { version: 1, fleet: s.fleet.clone() };
    s.allocator.handle(Time(s.now), event, &mut Vec::new());
    s.lead(2);
    s.run(2 * SECOND);
    assert!(s.admits(0, "a"));
    assert_eq!((s.held(0, "a"), s.held(1, "a")), ((50.0, 10.0), (0.0, 0.0)));
    s.run(SECOND);
    assert_eq!(s.held(1, "a"), (50.0, 10.0));
}

#[test]
fn what_a_killed_start_held_waits_for_its_time_and_what_one_gives_back_does_not() {
    for leaves in [false, true] {
        let mut s = Small::new(one(1, 100.0, 20), 1);
        s.run(SECOND);
        if leaves {
            let report = s.pockets[0].release_all(Time(s.now));
            s.handle(report).unwrap();
            assert!(!s.admits(0, "a"));
        }
        s.pockets[0] = pocket("r0", 2, None);
        s.learn(0);
        s.run(SECOND);
        assert_eq!(s.held(0, "a").0, if leaves { 100.0 } else { 0.0 });
        s.run(TTL);
        assert_eq!(s.held(0, "a").0, 100.0);
    }
}

#[test]
fn few_tokens_go_round_among_the_routers_that_ask() {
    let mut w = World::new(3, 6, one(6, 20.0, 2), Settings::default(), false);
    (0..6).for_each(|r| w.plan(1, Fault::Demand(r, 0, 50.0)));
    w.run(20 * SECOND);
    w.check().unwrap();
    for r in 0..6 {
        let n = w.history[0].iter().filter(|(at, by)| *by == r && *at > 3 * SECOND).count();
        assert!(n > 10, "router {r} has {n}");
    }
}

#[test]
fn demand_that_moves_gets_the_quota_within_two_seconds_and_costs_others_nothing() {
    let quotas = ["a", "b"].map(|n| (n.to_string(), quota(200.0, 100, OnLoss::Closed)));
    let mut w = World::new(1, 20, fleet(20, &quotas), Settings::default(), false);
    (0..20).for_each(|r| w.plan(1, Fault::Demand(r, 1, 0.5)));
    w.run(6 * SECOND);
    for spread in [false, true, false] {
        let at = w.now;
        for r in 0..20 {
            let rate = if spread {
                50.0
            } else if r == 3 {
                800.0
            } else {
                0.0
            };
            w.plan(at, Fault::Demand(r, 0, rate));
        }
        w.run(at + 6 * SECOND);
        let n = w.admitted(0, at + 2 * SECOND, w.now);
        assert!(n >= 760, "{n} of 800");
    }
    w.check().unwrap();
    let asked = 20.0 * 0.5 * 18.0;
    let others = w.admitted(1, 6 * SECOND, w.now) as f64;
    assert!(others > asked * 0.75, "{others} of {asked}");
}

#[test]
fn shares_are_fair_and_go_back_to_standing_parts_once_nobody_asks() {
    let mut s = Small::new(one(4, 100.0, 40), 4);
    s.run(SECOND);
    // Router 0 asks for little, 1 and 2 for all.
    for _ in 0..20 {
        for (i, n) in [(0, 2), (1, 40), (2, 40)] {
            (0..n).for_each(|_| _ = s.admits(i, "a"));
        }
        s.run(SECOND / 5);
    }
    let rates: Vec<f64> = (0..4).map(|i| s.held(i, "a").0).collect();
    assert!(rates[0] >= 10.0 && rates[0] < 25.0 && rates[3] < 1.0, "{rates:?}");
    assert!((rates[1] - rates[2]).abs() < 1.0 && rates[1] > 37.0, "{rates:?}");
    s.run(8 * SECOND);
    assert!((0..4).all(|i| s.held(i, "a") == (25.0, 10.0)));
    assert_eq!(s.allocator.metrics(), AllocatorMetrics { routers: 4, tenants_by_demand: 0 });
}

#[test]
fn fixed_parts_begin_empty_after_settling_and_never_run_out() {
    let quotas = [("a".to_string(), quota(100.0, 40, OnLoss::Share(0.5)))];
    let mut s = Small::new(fleet(2, &quotas), 2);
    let settle = Settings::default().settle_time;
    let mut p = pocket("alone", 1, Some(2));
    p.apply_config(Time(0), 1, &s.fleet);
    let spends =
        |p: &mut QuotaClient, at| (0..100).filter(|_| p.admit(Time(at), "a") == Admission::Admitted).count();
    assert_eq!(spends(&mut p, settle - 1), 0);
    assert_eq!(spends(&mut p, settle), 0);
    assert_eq!(spends(&mut p, settle + SECOND / 5), 4);
    assert_eq!(spends(&mut p, 900 * SECOND), 10);
    // The other half is lent.
    s.run(SECOND);
    s.now += settle;
    s.run(SECOND);
    assert_eq!(s.held(0, "a"), (50.0, 20.0));
    let mut none = pocket("none", 1, Some(3));
    none.apply_config(Time(0), 1, &s.fleet);
    assert_eq!(spends(&mut none, 900 * SECOND), 0);
}

#[test]
fn a_lowered_quota_binds_at_once_where_it_is_known_and_is_raised_only_after_all_agree() {
    let mut s = Small::new(one(2, 100.0, 20), 2);
    s.run(SECOND);
    s.config(one(2, 10.0, 4));
    assert_eq!(s.held(0, "a"), (5.0, 2.0));
    s.run(SECOND);
    // Router 1 does not learn of the next version: what it has is not renewed, and router 0 waits for its end.
    let cut = s.pockets.pop().unwrap();
    s.config(one(2, 200.0, 40));
    s.pockets.push(cut);
    s.run(SECOND);
    assert_eq!(s.held(0, "a"), (5.0, 2.0));
    assert_eq!(s.exchange(1), Some(ResponseBody::NotRenewed));
    s.run(2 * SECOND);
    assert!(!s.admits(1, "a"));
    assert_eq!(s.held(0, "a"), (100.0, 20.0));
}

#[test]
fn times_to_come_back_are_spread() {
    let mut s = Small::new(one(1, 10.0, 1), 1);
    s.run(SECOND);
    while s.admits(0, "a") {}
    let mut waits: Vec<i64> = (0..100).map(|_| come_back(&mut s.pockets[0], s.now, "a")).collect();
    assert!(waits.iter().all(|w| *w >= 20_000 && *w <= 10 * SECOND), "{waits:?}");
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 90);
}

#[test]
fn an_exchange_without_changes_is_small_and_the_messages_survive_their_frames() {
    let quotas: Vec<_> =
        (0..1_000).map(|t| (format!("tenant-{t}"), quota(100.0, 50, OnLoss::Closed))).collect();
    let mut s = Small::new(fleet(10, &quotas), 1);
    s.run(SECOND);
    let report = s.pockets[0].report(Time(s.now));
    let answer = s.handle(report.clone()).unwrap();
    let frames = (postcard::to_stdvec(&report).unwrap(), postcard::to_stdvec(&answer).unwrap());
    assert!(frames.0.len() < 24 && frames.1.len() < 24, "{} {}", frames.0.len(), frames.1.len());
    assert_eq!(postcard::from_bytes::<Report>(&frames.0).unwrap(), report);
    assert_eq!(postcard::from_bytes::<GrantResponse>(&frames.1).unwrap(), answer);
}

#[test]
fn absurd_messages_and_unfit_settings_are_refused() {
    let mut s = Small::new(one(1, 1.0, 1), 1);
    let mut report = s.pockets[0].report(Time(s.now));
    report.demand = vec![TenantDemand { tenant: "a".into(), rate: u64::MAX }];
    assert!(report.check().is_err());
    assert_eq!(s.handle(report), None);
    let loans = vec![GrantChange { tenant: "a".into(), grant: Some(Grant { rate: 1, capacity: u64::MAX }) }];
    let body = ResponseBody::Renewed { reset: true, reserved_share: None, changes: loans };
    assert!(GrantResponse { term: 1, incarnation: 1, seq: 1, version: 1, body }.check().is_err());
    assert!(Settings::default().check().is_ok());
    for settings in [
        Settings { ttl: 0, ..Settings::default() },
        Settings { max_clock_drift: f64::NAN, ..Settings::default() },
        Settings { settle_time: TTL, ..Settings::default() },
    ] {
        assert!(settings.check().is_err(), "{settings:?}");
    }
}

#[test]
fn what_fixed_parts_gave_up_is_lent_only_after_settling() {
    let with = |on_loss| fleet(2, &[("a".to_string(), quota(100.0, 40, on_loss))]);
    let mut s = Small::new(with(OnLoss::Share(0.5)), 2);
    s.run(4 * SECOND);
    assert_eq!(s.held(0, "a"), (50.0, 20.0));
    s.config(with(OnLoss::Closed));
    s.run(2 * SECOND);
    assert_eq!(s.held(0, "a"), (25.0, 10.0));
    s.run(SECOND);
    assert_eq!(s.held(0, "a"), (50.0, 20.0));
    // And back: lent parts are lowered at once, the fixed ones follow.
    s.config(with(OnLoss::Share(0.5)));
    assert_eq!(s.held(0, "a"), (25.0, 10.0));
    s.run(3 * SECOND);
    assert_eq!(s.held(0, "a"), (50.0, 20.0));
}

#[test]
fn thin_demand_at_many_routers_gets_the_quota_and_is_seen_to_move() {
    let mut w = World::new(1, 30, one(30, 20.0, 150), Settings::default(), false);
    (0..30).for_each(|r| w.plan(1, Fault::Demand(r, 0, 1.0)));
    w.run(40 * SECOND);
    let n = w.admitted(0, 10 * SECOND, w.now);
    assert!(n >= 540, "{n} of 600");
    // None of them can tell by itself within this time that nobody asks any more.
    (0..30).for_each(|r| w.plan(w.now, Fault::Demand(r, 0, if r == 3 { 100.0 } else { 0.0 })));
    w.run(46 * SECOND);
    let n = w.admitted(0, 42 * SECOND, w.now);
    assert!(n >= 76, "{n} of 80");
    // Few that ask for all of it.
    (0..30).for_each(|r| w.plan(w.now, Fault::Demand(r, 0, if r < 10 { 2.0 } else { 0.0 })));
    w.run(86 * SECOND);
    let n = w.admitted(0, 50 * SECOND, w.now);
    assert!(n >= 630, "{n} of 720");
    w.check().unwrap();
}
