//! Tests the text of a report, and the counts from which it is formatted.
use multiprocess::check::{QuotaUsage, QuotaWindow, ReplicaSpread, Verdict, Violation};
use multiprocess::history::{History, Outage, Outcome, Request, Server, Statement, Tenant};
use multiprocess::process::ResourceUsage;
use multiprocess::report::{Report, ResourceFigures, UnexpectedExit};
use std::time::Duration;

const REPORT: &str = include_str!("fixtures/report.txt");
const OUTCOMES: [(Outcome, u16); 7] = [
    (Outcome::Served, 0),
    (Outcome::Served, 0),
    (Outcome::Rejected, 1040),
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
        outages: vec![Outage { router: 1, from: 5, until: 9 }, Outage { router: 1, from: 15, until: 19 }],
        ..History::default()
    }
}

fn violations() -> Vec<Violation> {
    let worst = QuotaWindow { from: 1_000_000, until: 2_500_000, excess: 3.25 };
    vec![
        Violation::QuotaExceeded { tenant: "tills".into(), worst },
        Violation::OutsidePlacement {
            tenant: "books".into(),
            server: "g0-primary".into(),
            statements: 3,
            latest: 2_400_000,
        },
        Violation::WriteRepeated { id: 4, times: 2 },
        Violation::NoResponse { id: 5, router: 1, outcome: Outcome::Lost },
        Violation::UnexpectedResponses { router: 2, responses: 6 },
        Violation::RejectedWriteExecuted { id: 7 },
        Violation::ServedNotExecuted { id: 8 },
    ]
}

fn verdict() -> Verdict {
    let window = |excess| Some(QuotaWindow { from: 0, until: 1_500_000, excess });
    let bounded = QuotaUsage {
        tenant: "tills".into(),
        ran: 31,
        allowed_by_rate: Some(400.4),
        certain: window(-2.5),
        by_arrival: window(14.0),
    };
    let unbounded = QuotaUsage {
        tenant: "everyone".into(),
        ran: 5,
        allowed_by_rate: None,
        certain: None,
        by_arrival: None,
    };
    let spread = ReplicaSpread {
        group: 0,
        replicas: 4,
        windows: 9,
        max_by_mean: 1.254,
        worst: 1.5,
        idle: 1,
        random_max_by_mean: 1.21,
        random_idle: 0.35,
    };
    Verdict {
        violations: violations(),
        quota_usage: vec![unbounded, bounded],
        spread: vec![spread],
        max_time_to_server: 12_340,
    }
}

fn report() -> Report {
    let usage = |threads, resident_kb, private_kb| ResourceUsage { threads, resident_kb, private_kb };
    Report {
        routers: 2,
        startup_time: Duration::from_millis(1_250),
        total_time: Duration::from_millis(9_870),
        resources: ResourceFigures {
            routers: vec![usage(7, 10_240, 4_096), usage(8, 12_288, 4_608)],
            store_nodes: vec![usage(9, 20_480, 8_192)],
            store_bytes_per_s: Some(1_234.4),
        },
        unexpected_exits: vec![UnexpectedExit {
            router: 1,
            log_lines: vec!["first line".into(), "last line".into()],
        }],
        history: history(),
        verdict: verdict(),
    }
}

#[test]
fn text_of_complete_report_matches_fixture() {
    let text = report().to_string();
    assert_eq!(text, REPORT);
}

#[test]
fn outcomes_are_counted_by_tenant_in_plan_order() {
    let outcomes = report().outcomes();
    let names: Vec<&str> = outcomes.iter().map(|o| o.tenant.as_str()).collect();
    assert_eq!(names, ["everyone", "tills"]);
    assert_eq!(outcomes.iter().map(|o| o.counts.requests).collect::<Vec<_>>(), [3, 4]);
    assert_eq!(outcomes[0].counts.count(Outcome::Served), 1);
    assert_eq!(outcomes[0].counts.count(Outcome::Rejected), 0);
    assert_eq!(outcomes[1].counts.count(Outcome::Rejected), 1);
    assert_eq!(outcomes[1].counts.count(Outcome::Unsent), 1);
}

#[test]
fn report_is_good_only_without_violations_and_unexpected_exits() {
    let mut report = report();
    assert!(!report.is_good());
    report.verdict.violations.clear();
    assert!(!report.is_good());
    report.unexpected_exits.clear();
    assert!(report.is_good());
}

#[test]
fn report_lists_at_most_twenty_violations() {
    let mut report = report();
    report.verdict.violations = (0..25).map(|id| Violation::ServedNotExecuted { id }).collect();
    let text = report.to_string();
    assert!(text.contains("\n25 violations\n"), "{text}");
    assert_eq!(text.matches("no server ran it").count(), 20);
}
