//! The bytes of each message that routers and the leader exchange, as an earlier build wrote them.
//!
//! The frames carry postcard, which writes neither the names of types nor those of fields: only order and kind matter.
//! Instances of two builds run side by side during a release, so a difference here breaks an installation.
use quotas::{
    Grant, GrantChange, GrantResponse, HeldGrants, Report, ReservedShare, ResponseBody, TenantDemand,
    TenantGrant,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use testkit::fixture::Fixtures;
use testkit::hex;

const FIXTURES: Fixtures = testkit::fixtures!();

fn recorded(name: &str) -> Vec<u8> {
    hex::decode_line(&FIXTURES.text("exchanged_forms.txt"), &format!("{name}: "))
}

/// Reads the recorded bytes to `expected`, and writes it to the same bytes again.
fn assert_form<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, expected: &T) {
    let written = postcard::to_stdvec(expected).unwrap();
    assert_eq!(hex::encode(&written), hex::encode(&recorded(name)), "{name} is written differently");
    let bytes = recorded(name);
    let (read, rest) = postcard::take_from_bytes::<T>(&bytes).unwrap();
    assert_eq!(&read, expected, "{name} is read differently");
    assert!(rest.is_empty(), "{name} has {} bytes too many", rest.len());
}

fn report() -> Report {
    Report {
        router: "router-17".into(),
        incarnation: 1_700_000_000_123,
        seq: 4_711,
        term: 9,
        applied_seq: 4_710,
        version: 301,
        leaving: false,
        held: None,
        demand: Vec::new(),
    }
}

fn demand(tenant: &str, rate: u64) -> TenantDemand {
    TenantDemand { tenant: tenant.into(), rate }
}

fn response(body: ResponseBody) -> GrantResponse {
    GrantResponse { term: 9, incarnation: 1_700_000_000_123, seq: 4_711, version: 301, body }
}

#[test]
fn report_without_changes_keeps_its_bytes() {
    assert_form("report-without-changes", &report());
}

#[test]
fn report_of_changed_demand_keeps_its_bytes() {
    let demand = vec![demand("tills", 12_500_000), demand("batch", 0)];
    assert_form("report-of-changed-demand", &Report { demand, ..report() });
}

#[test]
fn report_of_all_held_grants_keeps_its_bytes() {
    let by_demand = vec![
        TenantGrant { tenant: "tills".into(), grant: Grant { rate: 40_000_000, capacity: 3_000_000 } },
        TenantGrant { tenant: "batch".into(), grant: Grant { rate: 0, capacity: 1_000_000 } },
    ];
    let reserved_share = Some(ReservedShare { index: 16, full: true });
    let held = HeldGrants { version: 300, reserved_share, by_demand };
    let demand = vec![demand("tills", 55_000_000)];
    assert_form("report-of-all-held-grants", &Report { held: Some(held), demand, ..report() });
}

#[test]
fn report_of_a_leaving_router_keeps_its_bytes() {
    let held = Some(HeldGrants::default());
    assert_form("report-of-a-leaving-router", &Report { leaving: true, held, applied_seq: 0, ..report() });
}

#[test]
fn response_that_asks_for_a_full_report_keeps_its_bytes() {
    assert_form("response-full-report-required", &response(ResponseBody::FullReportRequired));
}

#[test]
fn response_that_renews_nothing_keeps_its_bytes() {
    assert_form("response-not-renewed", &response(ResponseBody::NotRenewed));
}

#[test]
fn response_that_renews_with_changes_keeps_its_bytes() {
    let grant = Grant { rate: 60_000_000, capacity: 5_000_000 };
    let changes = vec![
        GrantChange { tenant: "tills".into(), grant: Some(grant) },
        GrantChange { tenant: "batch".into(), grant: None },
    ];
    let reserved_share = Some(ReservedShare { index: 16, full: false });
    let body = ResponseBody::Renewed { reset: false, reserved_share, changes };
    assert_form("response-renewed-with-changes", &response(body));
}

#[test]
fn response_that_resets_a_router_keeps_its_bytes() {
    let body = ResponseBody::Renewed { reset: true, reserved_share: None, changes: Vec::new() };
    assert_form("response-reset", &response(body));
}
