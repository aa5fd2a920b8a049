//! The checker on histories made by hand: each fault of one is found, and a good one is accepted.
use multiprocess::check::{Bounds, Verdict, Violation, check};
use multiprocess::history::{
    Bound, Down, History, Micros, Outcome, Request, Server, Sites, Statement, Step, Tenant,
};

const S: Micros = 1_000_000;

fn server(name: &str, site: &str, primary: bool) -> Server {
    Server { name: name.into(), site: site.into(), group: 0, primary }
}

/// A tenant with 10 a second and a burst of 5 whose reads stay in hall-a; a primary and a replica in each hall.
fn empty() -> History {
    let sites = |names: &[&str]| Some(names.iter().map(|s| s.to_string()).collect());
    let tenant = Tenant {
        name: "tills".into(),
        quotas: vec![Step { begun: 0, committed: 0, is: Some(Bound { rate: 10.0, burst: 5.0 }) }],
        places: vec![Step { begun: 0, committed: 0, is: Sites { reads: sites(&["hall-a"]), writes: None } }],
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

trait Played {
    /// Adds a request that was sent and run at these times.
    fn play(self, sent: Micros, ran: Micros, write: bool, server: usize) -> History;
}

impl Played for History {
    fn play(mut self, sent: Micros, ran: Micros, write: bool, server: usize) -> History {
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

/// So many reads within one second of `from`, each run 1 ms after it was sent.
fn burst(h: History, from: Micros, n: u64) -> History {
    (0..n).fold(h, |h, i| {
        let at = from + i * S / n;
        h.play(at, at + 1000, false, 1)
    })
}

fn found(h: &History) -> Verdict {
    check(h, &Bounds::default())
}

#[test]
fn what_is_within_the_bound_is_accepted_and_one_more_is_not() {
    // Within 0.93 s: 5 and 9.3 more.
    let good = burst(empty(), S, 14);
    assert_eq!(found(&good).violations, []);
    let lent_twice = burst(empty(), S, 30);
    let verdict = found(&lent_twice);
    let [Violation::Quota { tenant, worst }] = &verdict.violations[..] else { panic!("{verdict:?}") };
    assert!(tenant == "tills" && worst.over > 14.0 && worst.from == S, "{worst}");
    // The bound is over every window: a later burst beside a quiet time is as wrong.
    let later = burst(burst(empty(), S, 3), 60 * S, 17);
    assert!(
        matches!(&found(&later).violations[..], [Violation::Quota { worst, .. }] if worst.from >= 60 * S)
    );
}

#[test]
fn what_waited_on_the_way_counts_when_it_may_have_been_admitted() {
    // Admitted one by one, and all run at once: by arrival alone it is too many.
    let h = (0..20).fold(empty(), |h, i| h.play(S + i * S / 10, 4 * S, false, 1));
    let verdict = found(&h);
    assert_eq!(verdict.violations, []);
    assert!(verdict.spent[0].by_arrival.unwrap().over > 14.0 && verdict.spent[0].certain.unwrap().over < 0.0);
    // A further attempt of one request costs nothing.
    let mut again = burst(empty(), S, 14);
    again.statements.extend_from_within(..);
    assert_eq!(found(&again).violations, []);
}

#[test]
fn a_lowered_quota_binds_once_it_has_settled() {
    let with_change = |at: Micros| {
        let mut h = burst(empty(), at, 14);
        let lower = Some(Bound { rate: 1.0, burst: 1.0 });
        h.tenants[0].quotas.push(Step { begun: 10 * S, committed: 10 * S + 5000, is: lower });
        found(&h).violations
    };
    assert_eq!(with_change(11 * S), []);
    assert!(matches!(with_change(13 * S)[..], [Violation::Quota { .. }]));
    // One that is raised may be used from the begin of its change.
    let mut h = burst(empty(), 10 * S, 40);
    let higher = Some(Bound { rate: 100.0, burst: 5.0 });
    h.tenants[0].quotas.push(Step { begun: 10 * S, committed: 11 * S, is: higher });
    assert_eq!(found(&h).violations, []);
}

#[test]
fn a_strict_rule_holds_for_reads_it_names_and_not_before_it_has_settled() {
    let outside = empty().play(S, S + 1000, false, 2);
    let [Violation::Outside { server, statements: 1, .. }] = &found(&outside).violations[..] else {
        panic!("{:?}", found(&outside).violations)
    };
    assert_eq!(server, "b");
    assert_eq!(found(&empty().play(S, S + 1000, true, 0)).violations, []);
    let tightened = |at: Micros| {
        let mut h = empty().play(at, at + 1000, false, 1);
        let is = Sites { reads: Some(["hall-b".to_string()].into()), writes: None };
        h.tenants[0].places.push(Step { begun: 10 * S, committed: 10 * S + 5000, is });
        found(&h).violations
    };
    assert_eq!(tightened(12 * S), []);
    assert!(matches!(&tightened(13 * S)[..], [Violation::Outside { latest, .. }] if *latest > 2_900_000));
}

#[test]
fn a_write_that_ran_twice_a_missing_answer_and_a_second_one_are_found() {
    let mut twice = empty().play(S, S + 1000, true, 0);
    twice.statements.push(Statement { at: 2 * S, ..twice.statements[0] });
    assert_eq!(found(&twice).violations, [Violation::Twice { id: 1, times: 2 }]);
    let mut never = empty().play(S, S + 1000, true, 0);
    never.statements.clear();
    assert_eq!(found(&never).violations, [Violation::NeverRan { id: 1 }]);
    let mut refused = empty().play(S, S + 1000, true, 0);
    refused.requests[0].outcome = Outcome::Refused;
    assert_eq!(found(&refused).violations, [Violation::RanRefused { id: 1 }]);
    let mut stray = empty();
    stray.strays = vec![(7, S), (7, 2 * S)];
    assert_eq!(found(&stray).violations, [Violation::Stray { router: 7, answers: 2 }]);
    let mut lost = empty().play(S, S + 1000, true, 0);
    lost.requests[0].outcome = Outcome::Lost;
    assert!(matches!(found(&lost).violations[..], [Violation::NoAnswer { id: 1, .. }]));
    // Its router was killed meanwhile.
    lost.downs = vec![Down { router: 0, from: S + 500, to: 3 * S }];
    assert_eq!(found(&lost).violations, []);
}

#[test]
fn spread_is_told_beside_chance() {
    let even = (0..200).fold(empty(), |h, i| h.play(S + i, S + i, false, 1 + i as usize % 2));
    let spread = found(&even).spread[0];
    assert_eq!((spread.replicas, spread.max_by_mean, spread.idle), (2, 1.0, 0));
    assert!(spread.chance > 1.02 && spread.chance < 1.12, "{spread:?}");
    let one = (0..200).fold(empty(), |h, i| h.play(S + i, S + i, false, 1));
    assert!(matches!(found(&one).spread[0], s if s.worst == 2.0 && s.idle == 1));
}
