//! Exchanges: from when to when a grant is valid, which responses apply, and changes of leaders and incarnations.
mod common;
use common::{SECOND, SmallFleet, TTL, client, fleet};
use quotas::{GrantResponse, ResponseBody};
use settings::fleet::OnLoss;

/// A fleet of one router with 1,000 requests per second and a burst of 10.
fn one_router() -> SmallFleet {
    SmallFleet::new(fleet(1, 1_000.0, 10, OnLoss::Closed), 1)
}

#[test]
fn grant_is_valid_from_its_report_until_its_lifetime_ends() {
    let mut small = one_router();
    let begin = small.now;
    let report = small.report(0);
    small.now += SECOND;
    let response = small.respond(report).unwrap();
    small.now += SECOND / 2;
    small.deliver(0, response);
    small.now = begin + TTL * 98 / 100 - 1;
    assert!(small.admits(0, "a"));
    small.now += 1;
    assert!(!small.admits(0, "a"));
}

#[test]
fn duplicated_report_gets_no_second_response() {
    let mut small = one_router();
    let report = small.report(0);
    assert!(small.respond(report.clone()).is_some());
    assert_eq!(small.respond(report), None);
}

#[test]
fn late_response_to_a_closed_or_earlier_exchange_is_ignored() {
    let mut small = one_router();
    let report = small.report(0);
    let late = small.respond(report).unwrap();
    small.clients[0].exchange_failed();
    small.deliver(0, late.clone());
    assert_eq!(small.granted(0, "a"), (0.0, 0.0));
    let report = small.report(0);
    small.deliver(0, late);
    assert_eq!(small.granted(0, "a"), (0.0, 0.0));
    // The response to the open exchange applies.
    let response = small.respond(report).unwrap();
    small.deliver(0, response);
    assert_eq!(small.granted(0, "a"), (1_000.0, 10.0));
}

#[test]
fn response_of_an_older_term_is_ignored() {
    let mut small = one_router();
    let report = small.report(0);
    let mut response = small.respond(report).unwrap();
    response.term = 2;
    small.deliver(0, response);
    assert_eq!(small.granted(0, "a"), (1_000.0, 10.0));
    // Term 1 is over for this router, and its report says so to the node.
    let report = small.report(0);
    assert_eq!(small.respond(report.clone()), None);
    let body = ResponseBody::Renewed { reset: true, reserved_share: None, changes: Vec::new() };
    let old = GrantResponse { term: 1, incarnation: 1, seq: report.seq, version: 1, body };
    small.deliver(0, old);
    assert_eq!(small.granted(0, "a"), (1_000.0, 10.0));
}

#[test]
fn renewal_of_expired_grants_is_ignored() {
    let mut small = one_router();
    small.run(SECOND);
    small.now += TTL * 97 / 100;
    let report = small.report(0);
    let response = small.respond(report).unwrap();
    small.now += SECOND / 10;
    small.deliver(0, response);
    assert!(!small.admits(0, "a"));
}

#[test]
fn new_leader_renews_but_grants_nothing_new_for_one_lifetime() {
    let mut small = SmallFleet::new(fleet(2, 100.0, 20, OnLoss::Closed), 1);
    small.run(SECOND);
    small.clients.push(client("late", 1, None));
    small.learn(1);
    small.replace_leader(2);
    small.run(2 * SECOND);
    assert!(small.admits(0, "a"));
    assert_eq!((small.granted(0, "a"), small.granted(1, "a")), ((50.0, 10.0), (0.0, 0.0)));
    small.run(SECOND);
    assert_eq!(small.granted(1, "a"), (50.0, 10.0));
}

/// Restarts the only router, and checks the rate of its next incarnation after a second and after a further lifetime.
fn assert_rate_after_restart(releases: bool, rate_after_a_second: f64) {
    let mut small = SmallFleet::new(fleet(1, 100.0, 20, OnLoss::Closed), 1);
    small.run(SECOND);
    if releases {
        let now = decision::Time(small.now);
        let report = small.clients[0].release_all(now);
        small.respond(report).unwrap();
        assert!(!small.admits(0, "a"));
    }
    small.clients[0] = client("r0", 2, None);
    small.learn(0);
    small.run(SECOND);
    assert_eq!(small.granted(0, "a").0, rate_after_a_second);
    small.run(TTL);
    assert_eq!(small.granted(0, "a").0, 100.0);
}

#[test]
fn grants_of_a_killed_incarnation_are_free_once_they_expire() {
    assert_rate_after_restart(false, 0.0);
}

#[test]
fn released_grants_are_free_at_once() {
    assert_rate_after_restart(true, 100.0);
}

#[test]
fn lowered_quota_binds_at_once_and_raised_one_after_all_agree() {
    let mut small = SmallFleet::new(fleet(2, 100.0, 20, OnLoss::Closed), 2);
    small.run(SECOND);
    small.commit(fleet(2, 10.0, 4, OnLoss::Closed));
    assert_eq!(small.granted(0, "a"), (5.0, 2.0));
    small.run(SECOND);
    // Router 1 does not learn the next version: what it has is not renewed, and router 0 waits until it expires.
    let disconnected = small.clients.pop().unwrap();
    small.commit(fleet(2, 200.0, 40, OnLoss::Closed));
    small.clients.push(disconnected);
    small.run(SECOND);
    assert_eq!(small.granted(0, "a"), (5.0, 2.0));
    assert_eq!(small.exchange(1), Some(ResponseBody::NotRenewed));
    small.run(2 * SECOND);
    assert!(!small.admits(1, "a"));
    assert_eq!(small.granted(0, "a"), (100.0, 20.0));
}
