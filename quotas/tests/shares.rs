//! What routers hold: reserved shares, fixed shares and grants by demand; and what a client does without them.
mod common;
use common::{EXCHANGE_INTERVAL, SECOND, SmallFleet, client, fleet, retry_after};
use decision::Time;
use quotas::{Admission, AllocatorMetrics, QuotaClient, Settings};
use settings::fleet::{OnLoss, Tenant};

/// How many of 100 requests at one time are admitted.
fn admitted_at(client: &mut QuotaClient, now: i64) -> usize {
    (0..100).filter(|_| client.admit(Time(now), "a") == Admission::Admitted).count()
}

#[test]
fn client_without_configuration_admits_everything() {
    assert_eq!(client("r", 1, None).admit(Time(0), "a"), Admission::Admitted);
}

#[test]
fn tenant_without_quota_is_admitted_and_unknown_name_counts_as_unnamed() {
    let mut client = client("r", 1, None);
    let mut fleet = fleet(1, 0.0, 5, OnLoss::Closed);
    fleet.tenants.insert("free".into(), Tenant::default());
    // What is admitted before the first configuration counts for no tenant.
    assert_eq!(client.admit(Time(0), "a"), Admission::Admitted);
    client.apply_config(Time(0), 1, &fleet);
    assert_eq!(client.admit(Time(0), "free"), Admission::Admitted);
    let zero_quota = Settings::default().zero_quota_retry_after;
    let wait = retry_after(&mut client, 0, "who");
    assert!((zero_quota..=2 * zero_quota).contains(&wait), "{wait}");
    let metrics = client.metrics();
    assert_eq!((metrics.tenants[0].shed, metrics.tenants[1].admitted), (1, 1));
}

#[test]
fn reserved_shares_admit_first_requests_and_are_no_more_than_configured_routers() {
    let mut small = SmallFleet::new(fleet(4, 40.0, 8, OnLoss::Closed), 5);
    small.run(SECOND);
    let shares: Vec<_> = small.clients.iter().map(|client| client.metrics().reserved_share).collect();
    assert_eq!(shares, [Some(0), Some(1), Some(2), Some(3), None]);
    for i in 0..4 {
        assert_eq!(small.granted(i, "a"), (10.0, 2.0));
        assert!(small.admits(i, "a") && small.admits(i, "a") && !small.admits(i, "a"));
    }
}

#[test]
fn router_without_reserved_share_wants_an_early_report_and_gets_a_grant_by_demand() {
    let mut small = SmallFleet::new(fleet(4, 40.0, 8, OnLoss::Closed), 5);
    small.run(SECOND);
    for i in 0..4 {
        while small.admits(i, "a") {}
    }
    assert!(!small.admits(4, "a"));
    assert!(small.clients[4].wants_early_report() && !small.clients[0].wants_early_report());
    let is_granted = (0..10).any(|_| {
        small.run(EXCHANGE_INTERVAL);
        small.admits(4, "a")
    });
    assert!(is_granted);
}

#[test]
fn grants_by_demand_are_fair_and_end_with_the_demand() {
    let mut small = SmallFleet::new(fleet(4, 100.0, 40, OnLoss::Closed), 4);
    small.run(SECOND);
    // Router 0 has little demand, 1 and 2 have more than the quota.
    for _ in 0..20 {
        for (i, requests) in [(0, 2), (1, 40), (2, 40)] {
            for _ in 0..requests {
                small.admits(i, "a");
            }
        }
        small.run(EXCHANGE_INTERVAL);
    }
    let rates: Vec<f64> = (0..4).map(|i| small.granted(i, "a").0).collect();
    assert!(rates[0] >= 10.0 && rates[0] < 25.0 && rates[3] < 1.0, "{rates:?}");
    assert!((rates[1] - rates[2]).abs() < 1.0 && rates[1] > 37.0, "{rates:?}");
    small.run(8 * SECOND);
    assert!((0..4).all(|i| small.granted(i, "a") == (25.0, 10.0)));
    assert_eq!(small.allocator.metrics(), AllocatorMetrics { routers: 4, tenants_by_demand: 0 });
}

#[test]
fn fixed_share_begins_empty_after_settling_and_never_expires() {
    let fleet = fleet(2, 100.0, 40, OnLoss::Share(0.5));
    let settle_time = Settings::default().settle_time;
    let mut alone = client("alone", 1, Some(2));
    alone.apply_config(Time(0), 1, &fleet);
    assert_eq!(admitted_at(&mut alone, settle_time - 1), 0);
    assert_eq!(admitted_at(&mut alone, settle_time), 0);
    assert_eq!(admitted_at(&mut alone, settle_time + SECOND / 5), 4);
    assert_eq!(admitted_at(&mut alone, 900 * SECOND), 10);
}

#[test]
fn quota_without_fixed_shares_is_granted_beside_them() {
    let mut small = SmallFleet::new(fleet(2, 100.0, 40, OnLoss::Share(0.5)), 2);
    small.run(SECOND);
    small.now += Settings::default().settle_time;
    small.run(SECOND);
    assert_eq!(small.granted(0, "a"), (50.0, 20.0));
}

#[test]
fn slot_beyond_the_configured_routers_has_no_fixed_share() {
    let mut client = client("none", 1, Some(3));
    client.apply_config(Time(0), 1, &fleet(2, 100.0, 40, OnLoss::Share(0.5)));
    assert_eq!(admitted_at(&mut client, 900 * SECOND), 0);
}

#[test]
fn freed_fixed_shares_are_granted_only_after_settling() {
    let with = |on_loss| fleet(2, 100.0, 40, on_loss);
    let mut small = SmallFleet::new(with(OnLoss::Share(0.5)), 2);
    small.run(4 * SECOND);
    assert_eq!(small.granted(0, "a"), (50.0, 20.0));
    small.commit(with(OnLoss::Closed));
    small.run(2 * SECOND);
    assert_eq!(small.granted(0, "a"), (25.0, 10.0));
    small.run(SECOND);
    assert_eq!(small.granted(0, "a"), (50.0, 20.0));
    // And back: granted shares are lowered at once, the fixed ones follow.
    small.commit(with(OnLoss::Share(0.5)));
    assert_eq!(small.granted(0, "a"), (25.0, 10.0));
    small.run(3 * SECOND);
    assert_eq!(small.granted(0, "a"), (50.0, 20.0));
}

#[test]
fn retry_times_are_bounded_and_spread() {
    let mut small = SmallFleet::new(fleet(1, 10.0, 1, OnLoss::Closed), 1);
    small.run(SECOND);
    while small.admits(0, "a") {}
    let now = small.now;
    let mut waits: Vec<i64> = (0..100).map(|_| retry_after(&mut small.clients[0], now, "a")).collect();
    assert!(waits.iter().all(|wait| (20_000..=10 * SECOND).contains(wait)), "{waits:?}");
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 90);
}
