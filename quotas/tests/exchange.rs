//! Tests exchanges: the time in which a grant is valid, which responses are applied, and changes of leaders
//! and incarnations.
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
    let mut small_fleet = one_router();
    let begin = small_fleet.now;
    let report = small_fleet.report(0);
    small_fleet.now += SECOND;
    let response = small_fleet.respond(report).unwrap();
    small_fleet.now += SECOND / 2;
    small_fleet.deliver(0, response);
    small_fleet.now = begin + TTL * 98 / 100 - 1;
    assert!(small_fleet.admits(0, "a"));
    small_fleet.now += 1;
    assert!(!small_fleet.admits(0, "a"));
}

#[test]
fn duplicated_report_gets_no_second_response() {
    let mut small_fleet = one_router();
    let report = small_fleet.report(0);
    assert!(small_fleet.respond(report.clone()).is_some());
    assert_eq!(small_fleet.respond(report), None);
}

#[test]
fn response_to_abandoned_exchange_is_ignored() {
    let mut small_fleet = one_router();
    let report = small_fleet.report(0);
    let late = small_fleet.respond(report).unwrap();
    small_fleet.clients[0].exchange_failed();
    small_fleet.deliver(0, late.clone());
    assert_eq!(small_fleet.granted(0, "a"), (0.0, 0.0));
    let report = small_fleet.report(0);
    small_fleet.deliver(0, late);
    assert_eq!(small_fleet.granted(0, "a"), (0.0, 0.0));
    // The response to the open exchange applies.
    let response = small_fleet.respond(report).unwrap();
    small_fleet.deliver(0, response);
    assert_eq!(small_fleet.granted(0, "a"), (1_000.0, 10.0));
}

#[test]
fn response_of_older_term_is_ignored() {
    let mut small_fleet = one_router();
    let report = small_fleet.report(0);
    let mut response = small_fleet.respond(report).unwrap();
    response.term = 2;
    small_fleet.deliver(0, response);
    assert_eq!(small_fleet.granted(0, "a"), (1_000.0, 10.0));
    // The router has seen term 2, so it ignores responses of term 1, and a node of term 1 ignores the
    // router's reports.
    let report = small_fleet.report(0);
    assert_eq!(small_fleet.respond(report.clone()), None);
    let body = ResponseBody::Renewed { reset: true, reserved_share: None, changes: Vec::new() };
    let old = GrantResponse { term: 1, incarnation: 1, seq: report.seq, version: 1, body };
    small_fleet.deliver(0, old);
    assert_eq!(small_fleet.granted(0, "a"), (1_000.0, 10.0));
}

#[test]
fn renewal_of_expired_grants_is_ignored() {
    let mut small_fleet = one_router();
    small_fleet.run(SECOND);
    small_fleet.now += TTL * 97 / 100;
    let report = small_fleet.report(0);
    let response = small_fleet.respond(report).unwrap();
    small_fleet.now += SECOND / 10;
    small_fleet.deliver(0, response);
    assert!(!small_fleet.admits(0, "a"));
}

#[test]
fn new_leader_only_renews_for_one_grant_lifetime() {
    let mut small_fleet = SmallFleet::new(fleet(2, 100.0, 20, OnLoss::Closed), 1);
    small_fleet.run(SECOND);
    small_fleet.clients.push(client("late", 1, None));
    small_fleet.apply_config(1);
    small_fleet.replace_leader(2);
    small_fleet.run(2 * SECOND);
    assert!(small_fleet.admits(0, "a"));
    assert_eq!((small_fleet.granted(0, "a"), small_fleet.granted(1, "a")), ((50.0, 10.0), (0.0, 0.0)));
    small_fleet.run(SECOND);
    assert_eq!(small_fleet.granted(1, "a"), (50.0, 10.0));
}

/// Restarts the only router and checks the rate of its next incarnation after one second and after a further
/// grant lifetime.
fn assert_rate_after_restart(releases: bool, rate_after_a_second: f64) {
    let mut small_fleet = SmallFleet::new(fleet(1, 100.0, 20, OnLoss::Closed), 1);
    small_fleet.run(SECOND);
    if releases {
        let now = decision::Time(small_fleet.now);
        let report = small_fleet.clients[0].release_all(now);
        small_fleet.respond(report).unwrap();
        assert!(!small_fleet.admits(0, "a"));
    }
    small_fleet.clients[0] = client("r0", 2, None);
    small_fleet.apply_config(0);
    small_fleet.run(SECOND);
    assert_eq!(small_fleet.granted(0, "a").0, rate_after_a_second);
    small_fleet.run(TTL);
    assert_eq!(small_fleet.granted(0, "a").0, 100.0);
}

#[test]
fn grants_of_killed_incarnation_are_available_after_expiry() {
    assert_rate_after_restart(false, 0.0);
}

#[test]
fn released_grants_are_available_immediately() {
    assert_rate_after_restart(true, 100.0);
}

#[test]
fn quota_is_lowered_immediately_and_raised_after_all_routers_acknowledge() {
    let mut small_fleet = SmallFleet::new(fleet(2, 100.0, 20, OnLoss::Closed), 2);
    small_fleet.run(SECOND);
    small_fleet.commit(fleet(2, 10.0, 4, OnLoss::Closed));
    assert_eq!(small_fleet.granted(0, "a"), (5.0, 2.0));
    small_fleet.run(SECOND);
    // Router 1 does not receive the next version: its grants are not renewed, and router 0 gets no more until
    // they expire.
    let disconnected = small_fleet.clients.pop().unwrap();
    small_fleet.commit(fleet(2, 200.0, 40, OnLoss::Closed));
    small_fleet.clients.push(disconnected);
    small_fleet.run(SECOND);
    assert_eq!(small_fleet.granted(0, "a"), (5.0, 2.0));
    assert_eq!(small_fleet.exchange(1), Some(ResponseBody::NotRenewed));
    small_fleet.run(2 * SECOND);
    assert!(!small_fleet.admits(1, "a"));
    assert_eq!(small_fleet.granted(0, "a"), (100.0, 20.0));
}
