//! Tests of the effect of placement rules on requests, on their attempts, and on endpoints whose site
//! changes.
use crate::script::{
    ANY, Core, DEFAULT_HOLD_MICROS, GROUP, LATEST, Paused, Rule, WRITE, endpoint, four_endpoints, preferred,
    strict,
};
use decision::{MemberState, Outcome};
use routing::{EndpointEntry, FinalResponse, PlacementError};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use testkit::routing::{TIMEOUT, addr};

#[test]
fn retries_of_strict_tenant_stay_in_allowed_site() {
    let core = Core::with(&four_endpoints(), &[strict("t", &["a"])]);
    for (n, end) in
        [Outcome::Reset, Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed].into_iter().enumerate()
    {
        // The first attempt fails at whichever endpoint of the site receives it, and the request is retried
        // at the remaining endpoint.
        core.script.with(addr(1), |e| e.outcomes = [end].into());
        core.script.with(addr(2), |e| e.outcomes = [end].into());
        for _ in 0..=n {
            let _ = core.request("t", ANY);
            let _ = core.request("t", WRITE);
        }
    }
    let inside = core.attempts(1) + core.attempts(2);
    assert!(inside > 20, "only {inside} attempts, so no request was retried");
    assert_eq!((core.attempts(3), core.attempts(4)), (0, 0));
}

#[test]
fn missing_rules_or_confirmation_deny_requests() {
    let mut core = Core::start(DEFAULT_HOLD_MICROS);
    assert_eq!(core.denied("t", ANY), PlacementError::NoRules);
    core.script.with(addr(1), |e| e.primary = true);
    core.rules(&[strict("t", &["a"]), preferred("p", &["a"])]);
    core.list(four_endpoints());
    assert_eq!(core.denied("t", ANY), PlacementError::Unconfirmed { version: 1 });
    core.served_by("p", ANY);
    core.confirm();
    core.served_by("t", WRITE);
}

#[test]
fn writes_are_denied_while_primary_is_outside_allowed_sites() {
    let core = Core::with(&four_endpoints(), &[strict("t", &["a"])]);
    assert_eq!(core.served_by("t", WRITE), addr(1));
    core.script.with(addr(1), |e| e.primary = false);
    core.script.with(addr(3), |e| e.primary = true);
    // Only tenant t sends requests, and no request may leave site a. The new primary is therefore found by
    // probes alone.
    let outside = PlacementError::PrimaryOutside {
        group: GROUP,
        primary: "b1".into(),
        site: "b".into(),
        sites: "a".into(),
    };
    assert_eq!(core.denied("t", WRITE), outside);
    let before = (core.attempts(1), core.attempts(2));
    assert_eq!(core.denied("t", WRITE), outside);
    assert_eq!(before, (core.attempts(1), core.attempts(2)), "a denied request must not cause an attempt");
    assert_eq!(core.attempts(3), 0);
    core.script.with(addr(3), |e| e.primary = false);
    core.script.with(addr(2), |e| e.primary = true);
    let started = Instant::now();
    let served = loop {
        match core.request("t", WRITE) {
            FinalResponse::Served(at, _) => break at,
            _ => assert!(started.elapsed() < TIMEOUT, "writes are still denied"),
        }
    };
    assert_eq!(served, addr(2));
}

#[test]
fn tightened_rule_stops_unstarted_and_further_attempts() {
    let members = [endpoint("a1", 1, "a"), endpoint("b1", 3, "b")];
    let both: &[&str] = &["a", "b"];
    // Without a rule, the tenant is routed to the group itself. With one, it is routed to a subset that
    // continues to exist for another tenant.
    for before in [&[strict("u", both)][..], &[strict("u", both), strict("t", both)][..]] {
        let mut core = Core::with(&members, before);
        // The replica, which gets reads, is outside the sites of the later rule.
        core.request_until_served_by("t", 3, "the replica served no request");
        let before = core.attempts(3);
        core.script.with(addr(3), |e| e.paused.attempts = true);
        let running = core.submit("t", ANY);
        core.script.wait_until(addr(3), |e| e.attempts == before + 1);
        core.script.with(addr(3), |e| e.paused.connections = true);
        let unstarted = core.submit("t", ANY);
        // The second request waits for its connection to open.
        core.script.wait_until(addr(3), |e| e.waiting == 2);
        core.rules(&[strict("t", &["a"]), strict("u", both)]);
        // The backends actor handles commands in order, so this attempt is handled after the new rule.
        assert_eq!(core.served_by("t", ANY), addr(1));
        core.script.with(addr(3), |e| {
            e.outcomes = [Outcome::Reset].into();
            e.paused = Paused::default();
        });
        let running = running.recv_timeout(TIMEOUT).unwrap();
        assert!(
            matches!(running, FinalResponse::Failed(Some(Outcome::Reset))),
            "a request that may have run must fail: {running:?}"
        );
        let unstarted = unstarted.recv_timeout(TIMEOUT).unwrap();
        assert!(
            matches!(unstarted, FinalResponse::Rejected(None)),
            "a request that has not run must be rejected: {unstarted:?}"
        );
        assert_eq!(core.attempts(3), before + 1, "a further attempt was sent outside the allowed sites");
        core.request_until_served_by("u", 3, "a tenant whose rule allows site b was not served there");
    }
}

#[test]
fn site_change_reroutes_attempt_that_is_connecting() {
    let unchanged = endpoint("a1", 1, "a");
    let mut core = Core::with(&[unchanged.clone(), endpoint("m", 5, "a")], &[strict("t", &["a"])]);
    core.request_until_served_by("t", 5, "the replica served no request");
    core.script.with(addr(5), |e| e.paused.connections = true);
    let waiting = core.submit("t", ANY);
    core.script.wait_until(addr(5), |e| e.waiting > 0);
    let before = core.attempts(5);
    core.list(vec![unchanged, endpoint("m", 5, "b")]);
    assert_eq!(core.served_by("t", ANY), addr(1));
    core.script.with(addr(5), |e| e.paused.connections = false);
    let response = waiting.recv_timeout(TIMEOUT).unwrap();
    assert!(matches!(response, FinalResponse::Served(at, _) if at == addr(1)), "{response:?}");
    assert_eq!(core.attempts(5), before);
}

#[test]
fn new_rule_reroutes_waiting_request() {
    let mut core = Core::with(&four_endpoints(), &[]);
    core.script.with(addr(1), |e| e.paused.probes = true);
    core.script.with(addr(1), |e| e.primary = false);
    core.script.with(addr(3), |e| (e.primary, e.paused.probes) = (true, true));
    // The primary is unknown, and the probes that search for it are paused.
    let waiting = core.submit("t", LATEST);
    core.script.wait_until(addr(3), |e| e.probes == 1 && e.waiting == 1);
    core.rules(&[strict("t", &["a"])]);
    core.barrier();
    core.script.with(addr(3), |e| e.paused.probes = false);
    let response = waiting.recv_timeout(TIMEOUT).unwrap();
    assert!(
        matches!(response, FinalResponse::PlacementDenied(PlacementError::PrimaryOutside { .. })),
        "{response:?}"
    );
    assert_eq!(core.attempts(3), 0);
}

#[test]
fn endpoint_with_changed_site_serves_only_new_site_after_hold_time() {
    let mut core = Core::start(300_000);
    core.rules(&[strict("a", &["a"]), strict("b", &["b"])]);
    core.confirm();
    let unchanged = [endpoint("a1", 1, "a"), endpoint("b1", 3, "b")];
    core.list([&unchanged[..], &[endpoint("m", 5, "a")]].concat());
    let mut started = Instant::now();
    while core.attempts(5) == 0 {
        assert!(started.elapsed() < TIMEOUT, "endpoint m received no attempt from site a's tenant");
        core.served_by("a", ANY);
    }
    core.list(unchanged.to_vec());
    core.list([&unchanged[..], &[endpoint("m", 6, "b")]].concat());
    started = Instant::now();
    let old = core.attempts(5);
    while core.attempts(6) == 0 {
        assert!(started.elapsed() < TIMEOUT, "endpoint m received no attempt from site b's tenant");
        assert_eq!(core.served_by("a", ANY), addr(1));
        core.served_by("b", ANY);
    }
    assert!(
        started.elapsed() >= Duration::from_millis(150),
        "endpoint m served before its hold time had expired"
    );
    assert_eq!(core.attempts(5), old);
}

#[test]
fn preferred_tenant_uses_other_sites_during_drain_and_returns() {
    let mut core = Core::with(&four_endpoints(), &[preferred("p", &["b"])]);
    let inside = [addr(3), addr(4)];
    // The primary may serve reads until the roles of the group's other endpoints are known.
    let started = Instant::now();
    while !inside.contains(&core.served_by("p", ANY)) {
        assert!(started.elapsed() < TIMEOUT, "no endpoint in the preferred site served a read");
    }
    assert!((0..20).all(|_| inside.contains(&core.served_by("p", ANY))));
    // Writes of a tenant with a preferred site go to the primary regardless of its site.
    assert_eq!(core.served_by("p", WRITE), addr(1));
    let drained = |e: EndpointEntry| EndpointEntry { state: MemberState::Draining, ..e };
    let [a1, a2, b1, b2] = <[EndpointEntry; 4]>::try_from(four_endpoints()).unwrap();
    core.list(vec![a1, a2, drained(b1), drained(b2)]);
    assert!((0..20).all(|_| !inside.contains(&core.served_by("p", ANY))));
    core.list(four_endpoints());
    let served_after_drain: Vec<SocketAddr> = (0..20).map(|_| core.served_by("p", ANY)).collect();
    assert!(served_after_drain.iter().all(|at| inside.contains(at)), "{served_after_drain:?}");
    let mut served_by = BTreeSet::new();
    let started = Instant::now();
    while served_by.len() < 3 {
        assert!(started.elapsed() < TIMEOUT, "a tenant without rules was served only by {served_by:?}");
        served_by.insert(core.served_by("nobody", ANY));
    }
}

#[test]
fn one_probe_serves_all_subsets() {
    let tenants: Vec<(String, Vec<String>)> =
        (0..8).map(|n| (format!("t{n}"), vec!["a".into(), "b".into(), format!("c{n}")])).collect();
    let sites: Vec<Vec<&str>> = tenants.iter().map(|(_, s)| s.iter().map(String::as_str).collect()).collect();
    let rules: Vec<Rule<'_>> = tenants.iter().zip(&sites).map(|((n, _), s)| strict(n, s)).collect();
    let core = Core::with(&four_endpoints(), &rules);
    (1..=4).for_each(|n| core.script.with(addr(n), |e| e.paused.probes = true));
    let waiting: Vec<_> = rules.iter().map(|rule| core.submit(rule.tenant, LATEST)).collect();
    core.barrier();
    (1..=4).for_each(|n| core.script.wait_until(addr(n), |e| e.probes > 0));
    (1..=4).for_each(|n| core.script.with(addr(n), |e| e.paused.probes = false));
    for receiver in waiting {
        let response = receiver.recv_timeout(TIMEOUT).unwrap();
        assert!(matches!(response, FinalResponse::Served(at, _) if at == addr(1)), "{response:?}");
    }
    let probes: Vec<usize> = (1..=4).map(|n| core.script.with(addr(n), |e| e.probes)).collect();
    assert!(probes.iter().all(|n| *n <= 2), "eight subsets caused {probes:?} probes per endpoint");
}
