//! Tests the validation of messages and settings, and the size of a message.
mod common;
use common::{SECOND, SmallFleet, TTL, fleet, fleet_of};
use quotas::{
    Grant, GrantChange, GrantResponse, InvalidMessage, InvalidSettings, Report, ResponseBody, Settings,
    TenantDemand,
};
use settings::fleet::{OnLoss, Quota};

#[test]
fn report_with_out_of_range_demand_is_rejected() {
    let mut small_fleet = SmallFleet::new(fleet(1, 1.0, 1, OnLoss::Closed), 1);
    let mut report = small_fleet.report(0);
    report.demand = vec![TenantDemand { tenant: "a".into(), rate: u64::MAX }];
    let error = InvalidMessage::OutOfRange { field: "demand rate", value: u64::MAX };
    assert_eq!(report.check(), Err(error));
    assert_eq!(small_fleet.respond(report), None);
}

#[test]
fn response_with_out_of_range_capacity_is_rejected() {
    let grant = Some(Grant { rate: 1, capacity: u64::MAX });
    let changes = vec![GrantChange { tenant: "a".into(), grant }];
    let body = ResponseBody::Renewed { reset: true, reserved_share: None, changes };
    let response = GrantResponse { term: 1, incarnation: 1, seq: 1, version: 1, body };
    let error = InvalidMessage::OutOfRange { field: "grant capacity", value: u64::MAX };
    assert_eq!(response.check(), Err(error));
}

#[test]
fn default_settings_are_valid() {
    assert_eq!(Settings::default().check(), Ok(()));
}

#[test]
fn zero_duration_is_rejected() {
    let error = InvalidSettings::Duration { key: "ttl", value: 0 };
    assert_eq!(Settings { ttl: 0, ..Settings::default() }.check(), Err(error));
}

#[test]
fn nan_clock_drift_is_rejected() {
    let settings = Settings { max_clock_drift: f64::NAN, ..Settings::default() };
    assert!(matches!(settings.check(), Err(InvalidSettings::Ratio { key: "max_clock_drift", .. })));
}

#[test]
fn settle_time_not_above_grant_lifetime_is_rejected() {
    let settings = Settings { settle_time: TTL, ..Settings::default() };
    assert!(matches!(settings.check(), Err(InvalidSettings::SettleTime { value: TTL, .. })));
}

#[test]
fn messages_without_changes_are_small_and_round_trip() {
    let names: Vec<String> = (0..1_000).map(|i| format!("tenant-{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let quota = Quota { rate: 100.0, burst: 50, on_loss: OnLoss::Closed };
    let mut small_fleet = SmallFleet::new(fleet_of(10, &names, &quota), 1);
    small_fleet.run(SECOND);
    let report = small_fleet.report(0);
    let response = small_fleet.respond(report.clone()).unwrap();
    let report_bytes = postcard::to_stdvec(&report).unwrap();
    let response_bytes = postcard::to_stdvec(&response).unwrap();
    assert!(report_bytes.len() < 24, "{}", report_bytes.len());
    assert!(response_bytes.len() < 24, "{}", response_bytes.len());
    assert_eq!(postcard::from_bytes::<Report>(&report_bytes).unwrap(), report);
    assert_eq!(postcard::from_bytes::<GrantResponse>(&response_bytes).unwrap(), response);
}
