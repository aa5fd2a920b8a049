//! The report of a run as text, and the figures that it is made of.
use multiprocess::check::{Spent, Spread, Verdict, Violation, Window};
use multiprocess::child::Cost;
use multiprocess::history::{Down, History, Outcome, Request, Server, Statement, Tenant};
use multiprocess::report::{Costs, Report};
use std::time::Duration;

const REPORT: &str = include_str!("fixtures/report.txt");
const OUTCOMES: [(Outcome, u16); 7] = [
    (Outcome::Served, 0),
    (Outcome::Served, 0),
    (Outcome::Refused, 1040),
    (Outcome::Failed, 1105),
    (Outcome::Lost, 0),
    (Outcome::Unanswered, 0),
    (Outcome::Unsent, 0),
];

fn request(id: u64, tenant: usize, outcome: Outcome, code: u16) -> Request {
    let due = id * 10_000;
    let sent = (outcome != Outcome::Unsent).then_some(due + 100);
    Request { id, due, sent, ended: due + id * 1_500, router: 1, tenant, write: false, outcome, code }
}

fn history() -> History {
    let requests =
        (1..).zip(OUTCOMES).map(|(id, (outcome, code))| request(id, (id % 2) as usize, outcome, code));
    let server = |name: &str, primary| Server { name: name.into(), site: "hall-a".into(), group: 0, primary };
    let tenant = |name: &str| Tenant { name: name.into(), ..Tenant::default() };
    History {
        requests: requests.collect(),
        statements: vec![Statement { id: 1, at: 12_000, server: 1, tenant: 1, write: false }],
        servers: vec![server("g0-primary", true), server("g0-replica-1", false)],
        tenants: vec![tenant("everyone"), tenant("tills")],
        downs: vec![Down { router: 1, from: 5, to: 9 }, Down { router: 1, from: 15, to: 19 }],
        ..History::default()
    }
}

fn violations() -> Vec<Violation> {
    let worst = Window { from: 1_000_000, to: 2_500_000, over: 3.25 };
    vec![
        Violation::Quota { tenant: "tills".into(), worst },
        Violation::Outside {
            tenant: "books".into(),
            server: "g0-primary".into(),
            statements: 3,
            latest: 2_400_000,
        },
        Violation::Twice { id: 4, times: 2 },
        Violation::NoAnswer { id: 5, router: 1, outcome: Outcome::Lost },
        Violation::Stray { router: 2, answers: 6 },
        Violation::RanRefused { id: 7 },
        Violation::NeverRan { id: 8 },
    ]
}

fn verdict() -> Verdict {
    let window = |over| Some(Window { from: 0, to: 1_500_000, over });
    let bounded = Spent {
        tenant: "tills".into(),
        ran: 31,
        made: Some(400.4),
        certain: window(-2.5),
        by_arrival: window(14.0),
    };
    let unbounded = Spent { tenant: "everyone".into(), ran: 5, made: None, certain: None, by_arrival: None };
    let spread = Spread {
        group: 0,
        replicas: 4,
        windows: 9,
        max_by_mean: 1.254,
        worst: 1.5,
        idle: 1,
        chance: 1.21,
        chance_idle: 0.35,
    };
    Verdict {
        violations: violations(),
        spent: vec![unbounded, bounded],
        spread: vec![spread],
        longest_way: 12_340,
    }
}

fn report() -> Report {
    let cost = |threads, resident_kb, own_kb| Cost { threads, resident_kb, own_kb };
    Report {
        routers: 2,
        started: Duration::from_millis(1_250),
        took: Duration::from_millis(9_870),
        costs: Costs {
            routers: vec![cost(7, 10_240, 4_096), cost(8, 12_288, 4_608)],
            nodes: vec![cost(9, 20_480, 8_192)],
            talk_bytes_per_s: Some(1_234.4),
        },
        dead: vec![(1, vec!["first line".into(), "last line".into()])],
        history: history(),
        verdict: verdict(),
    }
}

#[test]
fn text_of_a_whole_report_keeps_its_form() {
    let text = report().to_string();
    assert_eq!(text, REPORT);
}

#[test]
fn outcomes_are_counted_by_tenant_in_plan_order() {
    let ended = report().ended();
    let names: Vec<&str> = ended.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["everyone", "tills"]);
    assert_eq!(ended.iter().map(|(_, e)| e.asked).collect::<Vec<_>>(), [3, 4]);
    assert_eq!(ended[0].1.count(Outcome::Served), 1);
    assert_eq!(ended[0].1.count(Outcome::Refused), 0);
    assert_eq!(ended[1].1.count(Outcome::Refused), 1);
    assert_eq!(ended[1].1.count(Outcome::Unsent), 1);
}

#[test]
fn report_is_good_only_without_violations_and_dead_routers() {
    let mut report = report();
    assert!(!report.good());
    report.verdict.violations.clear();
    assert!(!report.good());
    report.dead.clear();
    assert!(report.good());
}

#[test]
fn report_lists_at_most_twenty_violations() {
    let mut report = report();
    report.verdict.violations = (0..25).map(|id| Violation::NeverRan { id }).collect();
    let text = report.to_string();
    assert!(text.contains("\n25 violations\n"), "{text}");
    assert_eq!(text.matches("no server ran it").count(), 20);
}
