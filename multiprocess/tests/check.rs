//! Tests the checker on hand-written histories: each violation is found, and correct histories have none.
use multiprocess::check::{CheckSettings, Verdict, Violation, check};
use multiprocess::history::{
    AllowedSites, ConfigVersion, History, Micros, Outage, Outcome, QuotaLimit, Request, Server, Statement,
    Tenant, UnexpectedResponse,
};

const SECOND: Micros = 1_000_000;

/// Returns a version that is in force from the start of the run.
fn from_start<T>(value: T) -> ConfigVersion<T> {
    ConfigVersion { requested: 0, committed: 0, value }
}

fn server(name: &str, site: &str, primary: bool) -> Server {
    Server { name: name.into(), site: site.into(), group: 0, primary }
}

/// Returns a history without requests. Its tenant has a quota of 10 requests per second with a burst of 5,
/// and its reads must stay in hall-a. The group has its primary and a replica in hall-a, and a replica in
/// hall-b.
fn history() -> History {
    let sites = |names: &[&str]| Some(names.iter().copied().map(String::from).collect());
    let tenant = Tenant {
        name: "tills".into(),
        quotas: vec![from_start(Some(QuotaLimit { rate: 10.0, burst: 5.0 }))],
        placements: vec![from_start(AllowedSites { reads: sites(&["hall-a"]), writes: None })],
    };
    History {
        servers: vec![
            server("p", "hall-a", true),
            server("a", "hall-a", false),
            server("b", "hall-b", false),
        ],
        tenants: vec![tenant],
        ..History::default()
    }
}

trait WithRequest {
    /// Adds a request that was sent at `sent` and that a server ran at `ran`.
    fn with_request(self, sent: Micros, ran: Micros, write: bool, server: usize) -> History;
}

impl WithRequest for History {
    fn with_request(mut self, sent: Micros, ran: Micros, write: bool, server: usize) -> History {
        let h = &mut self;
        let id = h.requests.len() as u64 + 1;
        let (outcome, code) = (Outcome::Served, 0);
        let ended = ran + 1000;
        h.requests.push(Request {
            id,
            due: sent,
            sent: Some(sent),
            ended,
            router: 0,
            tenant: 0,
            write,
            outcome,
            code,
        });
        h.statements.push(Statement { id, at: ran, server, tenant: 0, write });
        self
    }
}

/// Adds `n` reads spread over the second after `from`; each runs 1 ms after it was sent.
fn with_reads(h: History, from: Micros, n: u64) -> History {
    (0..n).fold(h, |h, i| {
        let at = from + i * SECOND / n;
        h.with_request(at, at + 1000, false, 1)
    })
}

fn check_history(history: &History) -> Verdict {
    check(history, &CheckSettings::default())
}

#[test]
fn quota_violation_is_found_in_any_window() {
    // The 14 reads span 0.93 s, in which the quota admits a burst of 5 and 9.3 by rate.
    let good = with_reads(history(), SECOND, 14);
    assert_eq!(check_history(&good).violations, []);
    let granted_twice = with_reads(history(), SECOND, 30);
    let verdict = check_history(&granted_twice);
    let [Violation::QuotaExceeded { tenant, worst }] = &verdict.violations[..] else { panic!("{verdict:?}") };
    assert!(tenant == "tills" && worst.excess > 14.0 && worst.from == SECOND, "{worst}");
    // The limit holds for every window: a later burst is a violation even after a period with few requests.
    let later = with_reads(with_reads(history(), SECOND, 3), 60 * SECOND, 17);
    assert!(
        matches!(&check_history(&later).violations[..], [Violation::QuotaExceeded { worst, .. }] if worst.from >= 60 * SECOND)
    );
}

#[test]
fn delayed_requests_count_at_their_possible_admission_times() {
    // The requests were admitted one by one but ran at the same time, so by arrival alone there are too many.
    let h = (0..20).fold(history(), |h, i| h.with_request(SECOND + i * SECOND / 10, 4 * SECOND, false, 1));
    let verdict = check_history(&h);
    assert_eq!(verdict.violations, []);
    assert!(
        verdict.quota_usage[0].by_arrival.unwrap().excess > 14.0
            && verdict.quota_usage[0].certain.unwrap().excess < 0.0
    );
    // A retry of a request does not count against the quota.
    let mut retried = with_reads(history(), SECOND, 14);
    retried.statements.extend_from_within(..);
    assert_eq!(check_history(&retried).violations, []);
}

#[test]
fn lowered_quota_applies_after_settle_time() {
    let with_change = |at: Micros| {
        let mut h = with_reads(history(), at, 14);
        let lower = Some(QuotaLimit { rate: 1.0, burst: 1.0 });
        h.tenants[0].quotas.push(ConfigVersion {
            requested: 10 * SECOND,
            committed: 10 * SECOND + 5000,
            value: lower,
        });
        check_history(&h).violations
    };
    assert_eq!(with_change(11 * SECOND), []);
    assert!(matches!(with_change(13 * SECOND)[..], [Violation::QuotaExceeded { .. }]));
    // A raised quota may be used as soon as its change has been requested.
    let mut h = with_reads(history(), 10 * SECOND, 40);
    let higher = Some(QuotaLimit { rate: 100.0, burst: 5.0 });
    h.tenants[0].quotas.push(ConfigVersion { requested: 10 * SECOND, committed: 11 * SECOND, value: higher });
    assert_eq!(check_history(&h).violations, []);
}

#[test]
fn strict_placement_applies_to_its_classes_after_settle_time() {
    let outside = history().with_request(SECOND, SECOND + 1000, false, 2);
    let [Violation::OutsidePlacement { server, statements: 1, .. }] = &check_history(&outside).violations[..]
    else {
        panic!("{:?}", check_history(&outside).violations)
    };
    assert_eq!(server, "b");
    assert_eq!(check_history(&history().with_request(SECOND, SECOND + 1000, true, 0)).violations, []);
    let tightened = |at: Micros| {
        let mut h = history().with_request(at, at + 1000, false, 1);
        let value = AllowedSites { reads: Some(["hall-b".to_string()].into()), writes: None };
        h.tenants[0].placements.push(ConfigVersion {
            requested: 10 * SECOND,
            committed: 10 * SECOND + 5000,
            value,
        });
        check_history(&h).violations
    };
    assert_eq!(tightened(12 * SECOND), []);
    assert!(
        matches!(&tightened(13 * SECOND)[..], [Violation::OutsidePlacement { latest, .. }] if *latest > 2_900_000)
    );
}

#[test]
fn repeated_writes_and_missing_or_unexpected_responses_are_found() {
    let mut twice = history().with_request(SECOND, SECOND + 1000, true, 0);
    twice.statements.push(Statement { at: 2 * SECOND, ..twice.statements[0] });
    assert_eq!(check_history(&twice).violations, [Violation::WriteRepeated { id: 1, times: 2 }]);
    let mut not_executed = history().with_request(SECOND, SECOND + 1000, true, 0);
    not_executed.statements.clear();
    assert_eq!(check_history(&not_executed).violations, [Violation::ServedNotExecuted { id: 1 }]);
    let mut rejected = history().with_request(SECOND, SECOND + 1000, true, 0);
    rejected.requests[0].outcome = Outcome::Rejected;
    assert_eq!(check_history(&rejected).violations, [Violation::RejectedWriteExecuted { id: 1 }]);
    let mut unexpected = history();
    unexpected.unexpected_responses =
        [SECOND, 2 * SECOND].map(|at| UnexpectedResponse { router: 7, at }).to_vec();
    assert_eq!(
        check_history(&unexpected).violations,
        [Violation::UnexpectedResponses { router: 7, responses: 2 }]
    );
    let mut lost = history().with_request(SECOND, SECOND + 1000, true, 0);
    lost.requests[0].outcome = Outcome::Lost;
    assert!(matches!(check_history(&lost).violations[..], [Violation::NoResponse { id: 1, .. }]));
    // The router was killed while the request was in flight, so the missing response is no violation.
    lost.outages = vec![Outage { router: 0, from: SECOND + 500, until: 3 * SECOND }];
    assert_eq!(check_history(&lost).violations, []);
}

#[test]
fn spread_is_compared_with_random_spread() {
    let even =
        (0..200).fold(history(), |h, i| h.with_request(SECOND + i, SECOND + i, false, 1 + i as usize % 2));
    let spread = check_history(&even).spread[0];
    assert_eq!((spread.replicas, spread.max_by_mean, spread.idle), (2, 1.0, 0));
    assert!(spread.random_max_by_mean > 1.02 && spread.random_max_by_mean < 1.12, "{spread:?}");
    let one_replica = (0..200).fold(history(), |h, i| h.with_request(SECOND + i, SECOND + i, false, 1));
    assert!(matches!(check_history(&one_replica).spread[0], s if s.worst == 2.0 && s.idle == 1));
}
