//! Checks that the encoding of each message between routers and the leader equals that of an earlier build.
//!
//! The messages are encoded in the postcard format, which contains no names of types or fields: only order
//! and kind matter. Instances of two builds run side by side during a release, so a change of the encoding
//! would break communication between them.
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

fn recorded_bytes(name: &str) -> Vec<u8> {
    hex::decode_line(&FIXTURES.text("exchanged_forms.txt"), &format!("{name}: "))
}

/// Checks that the recorded bytes decode to `expected` and that `expected` encodes to the same bytes.
fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, expected: &T) {
    let encoded = postcard::to_stdvec(expected).unwrap();
    assert_eq!(hex::encode(&encoded), hex::encode(&recorded_bytes(name)), "{name} is encoded differently");
    let bytes = recorded_bytes(name);
    let (decoded, rest) = postcard::take_from_bytes::<T>(&bytes).unwrap();
    assert_eq!(&decoded, expected, "{name} is decoded differently");
    assert!(rest.is_empty(), "{name}: {} bytes follow the message", rest.len());
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
fn encoding_of_report_without_changes_is_stable() {
    assert_encoding("report-without-changes", &report());
}

#[test]
fn encoding_of_report_with_changed_demand_is_stable() {
    let demand = vec![demand("tills", 12_500_000), demand("batch", 0)];
    assert_encoding("report-of-changed-demand", &Report { demand, ..report() });
}

#[test]
fn encoding_of_report_with_all_held_grants_is_stable() {
    let by_demand = vec![
        TenantGrant { tenant: "tills".into(), grant: Grant { rate: 40_000_000, capacity: 3_000_000 } },
        TenantGrant { tenant: "batch".into(), grant: Grant { rate: 0, capacity: 1_000_000 } },
    ];
    let reserved_share = Some(ReservedShare { index: 16, full: true });
    let held = HeldGrants { version: 300, reserved_share, by_demand };
    let demand = vec![demand("tills", 55_000_000)];
    assert_encoding("report-of-all-held-grants", &Report { held: Some(held), demand, ..report() });
}

#[test]
fn encoding_of_report_of_leaving_router_is_stable() {
    let held = Some(HeldGrants::default());
    assert_encoding(
        "report-of-a-leaving-router",
        &Report { leaving: true, held, applied_seq: 0, ..report() },
    );
}

#[test]
fn encoding_of_response_requiring_full_report_is_stable() {
    assert_encoding("response-full-report-required", &response(ResponseBody::FullReportRequired));
}

#[test]
fn encoding_of_response_without_renewal_is_stable() {
    assert_encoding("response-not-renewed", &response(ResponseBody::NotRenewed));
}

#[test]
fn encoding_of_response_renewing_with_changes_is_stable() {
    let grant = Grant { rate: 60_000_000, capacity: 5_000_000 };
    let changes = vec![
        GrantChange { tenant: "tills".into(), grant: Some(grant) },
        GrantChange { tenant: "batch".into(), grant: None },
    ];
    let reserved_share = Some(ReservedShare { index: 16, full: false });
    let body = ResponseBody::Renewed { reset: false, reserved_share, changes };
    assert_encoding("response-renewed-with-changes", &response(body));
}

#[test]
fn encoding_of_response_resetting_router_is_stable() {
    let body = ResponseBody::Renewed { reset: true, reserved_share: None, changes: Vec::new() };
    assert_encoding("response-reset", &response(body));
}
