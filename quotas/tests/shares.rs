//! Tests what routers hold: reserved shares, fixed shares and grants by demand; and what a client does
//! without any of them.
mod common;
use common::{EXCHANGE_INTERVAL, SECOND, SmallFleet, client, fleet, retry_after};
use decision::Time;
use quotas::{Admission, AllocatorMetrics, QuotaClient, Settings};
use settings::fleet::{OnLoss, Tenant};

/// How many of 100 simultaneous requests are admitted.
fn admitted_at(client: &mut QuotaClient, now: i64) -> usize {
    (0..100).filter(|_| client.admit(Time(now), "a") == Admission::Admitted).count()
}

#[test]
fn client_without_configuration_admits_everything() {
    assert_eq!(client("r", 1, None).admit(Time(0), "a"), Admission::Admitted);
}

#[test]
fn tenant_without_quota_is_admitted_and_unknown_name_counts_for_default_tenant() {
    let mut client = client("r", 1, None);
    let mut fleet = fleet(1, 0.0, 5, OnLoss::Closed);
    fleet.tenants.insert("free".into(), Tenant::default());
    // Requests admitted before the first configuration are not counted for any tenant.
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
fn reserved_shares_admit_first_requests_and_are_limited_to_configured_routers() {
    let mut small_fleet = SmallFleet::new(fleet(4, 40.0, 8, OnLoss::Closed), 5);
    small_fleet.run(SECOND);
    let shares: Vec<_> = small_fleet.clients.iter().map(|client| client.metrics().reserved_share).collect();
    assert_eq!(shares, [Some(0), Some(1), Some(2), Some(3), None]);
    for i in 0..4 {
        assert_eq!(small_fleet.granted(i, "a"), (10.0, 2.0));
        assert!(small_fleet.admits(i, "a") && small_fleet.admits(i, "a") && !small_fleet.admits(i, "a"));
    }
}

#[test]
fn router_without_reserved_share_reports_early_and_gets_grant_by_demand() {
    let mut small_fleet = SmallFleet::new(fleet(4, 40.0, 8, OnLoss::Closed), 5);
    small_fleet.run(SECOND);
    for i in 0..4 {
        while small_fleet.admits(i, "a") {}
    }
    assert!(!small_fleet.admits(4, "a"));
    assert!(small_fleet.clients[4].wants_early_report() && !small_fleet.clients[0].wants_early_report());
    let is_granted = (0..10).any(|_| {
        small_fleet.run(EXCHANGE_INTERVAL);
        small_fleet.admits(4, "a")
    });
    assert!(is_granted);
}

#[test]
fn grants_by_demand_are_fair_and_end_when_demand_ends() {
    let mut small_fleet = SmallFleet::new(fleet(4, 100.0, 40, OnLoss::Closed), 4);
    small_fleet.run(SECOND);
    // Router 0 has little demand; the demand of 1 and 2 exceeds the quota.
    for _ in 0..20 {
        for (i, requests) in [(0, 2), (1, 40), (2, 40)] {
            for _ in 0..requests {
                small_fleet.admits(i, "a");
            }
        }
        small_fleet.run(EXCHANGE_INTERVAL);
    }
    let rates: Vec<f64> = (0..4).map(|i| small_fleet.granted(i, "a").0).collect();
    assert!(rates[0] >= 10.0 && rates[0] < 25.0 && rates[3] < 1.0, "{rates:?}");
    assert!((rates[1] - rates[2]).abs() < 1.0 && rates[1] > 37.0, "{rates:?}");
    small_fleet.run(8 * SECOND);
    assert!((0..4).all(|i| small_fleet.granted(i, "a") == (25.0, 10.0)));
    assert_eq!(small_fleet.allocator.metrics(), AllocatorMetrics { routers: 4, tenants_by_demand: 0 });
}

#[test]
fn fixed_share_starts_empty_after_settle_time_and_never_expires() {
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
fn quota_less_fixed_shares_is_granted() {
    let mut small_fleet = SmallFleet::new(fleet(2, 100.0, 40, OnLoss::Share(0.5)), 2);
    small_fleet.run(SECOND);
    small_fleet.now += Settings::default().settle_time;
    small_fleet.run(SECOND);
    assert_eq!(small_fleet.granted(0, "a"), (50.0, 20.0));
}

#[test]
fn slot_above_configured_router_count_has_no_fixed_share() {
    let mut client = client("none", 1, Some(3));
    client.apply_config(Time(0), 1, &fleet(2, 100.0, 40, OnLoss::Share(0.5)));
    assert_eq!(admitted_at(&mut client, 900 * SECOND), 0);
}

#[test]
fn removed_fixed_shares_are_granted_only_after_settle_time() {
    let with = |on_loss| fleet(2, 100.0, 40, on_loss);
    let mut small_fleet = SmallFleet::new(with(OnLoss::Share(0.5)), 2);
    small_fleet.run(4 * SECOND);
    assert_eq!(small_fleet.granted(0, "a"), (50.0, 20.0));
    small_fleet.commit(with(OnLoss::Closed));
    small_fleet.run(2 * SECOND);
    assert_eq!(small_fleet.granted(0, "a"), (25.0, 10.0));
    small_fleet.run(SECOND);
    assert_eq!(small_fleet.granted(0, "a"), (50.0, 20.0));
    // When fixed shares are introduced, the granted shares are lowered immediately and the fixed shares are
    // raised later.
    small_fleet.commit(with(OnLoss::Share(0.5)));
    assert_eq!(small_fleet.granted(0, "a"), (25.0, 10.0));
    small_fleet.run(3 * SECOND);
    assert_eq!(small_fleet.granted(0, "a"), (50.0, 20.0));
}

#[test]
fn retry_times_are_bounded_and_randomised() {
    let mut small_fleet = SmallFleet::new(fleet(1, 10.0, 1, OnLoss::Closed), 1);
    small_fleet.run(SECOND);
    while small_fleet.admits(0, "a") {}
    let now = small_fleet.now;
    let mut waits: Vec<i64> = (0..100).map(|_| retry_after(&mut small_fleet.clients[0], now, "a")).collect();
    assert!(waits.iter().all(|wait| (20_000..=10 * SECOND).contains(wait)), "{waits:?}");
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() > 90);
}
