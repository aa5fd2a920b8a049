//! The bytes of each message that routers and the leader exchange, as an earlier build wrote them.
//!
//! The frames carry postcard, which writes neither the names of types nor those of fields: only order and kind matter.
//! Instances of two builds run side by side during a release, so a difference here breaks an installation.
use quotas::{Answer, Body, Holding, Loan, Report, Standing};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

const FIXTURE: &str = include_str!("fixtures/exchanged_forms.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).unwrap()).collect()
}

fn recorded(name: &str) -> Vec<u8> {
    let line = FIXTURE.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    unhex(line.unwrap_or_else(|| panic!("the fixture has no line {name}")))
}

/// Reads the recorded bytes to `expected`, and writes it to the same bytes again.
fn assert_form<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, expected: &T) {
    let written = postcard::to_stdvec(expected).unwrap();
    assert_eq!(hex(&written), hex(&recorded(name)), "{name} is written differently");
    let bytes = recorded(name);
    let (read, rest) = postcard::take_from_bytes::<T>(&bytes).unwrap();
    assert_eq!(&read, expected, "{name} is read differently");
    assert!(rest.is_empty(), "{name} has {} bytes too many", rest.len());
}

fn report() -> Report {
    Report {
        name: "router-17".into(),
        start: 1_700_000_000_123,
        seq: 4_711,
        term: 9,
        applied: 4_710,
        version: 301,
        leaving: false,
        whole: None,
        demand: Vec::new(),
    }
}

fn answer(body: Body) -> Answer {
    Answer { term: 9, start: 1_700_000_000_123, seq: 4_711, version: 301, body }
}

#[test]
fn report_without_changes_keeps_its_bytes() {
    assert_form("report-without-changes", &report());
}

#[test]
fn report_of_changed_demand_keeps_its_bytes() {
    let demand = vec![("tills".into(), 12_500_000), ("batch".into(), 0)];
    assert_form("report-of-changed-demand", &Report { demand, ..report() });
}

#[test]
fn report_of_all_held_grants_keeps_its_bytes() {
    let loans = vec![
        ("tills".into(), Loan { rate: 40_000_000, cap: 3_000_000 }),
        ("batch".into(), Loan { rate: 0, cap: 1_000_000 }),
    ];
    let whole = Holding { basis: 300, standing: Some(Standing { place: 16, full: true }), loans };
    let demand = vec![("tills".into(), 55_000_000)];
    assert_form("report-of-all-held-grants", &Report { whole: Some(whole), demand, ..report() });
}

#[test]
fn report_of_a_leaving_router_keeps_its_bytes() {
    let whole = Some(Holding::default());
    assert_form("report-of-a-leaving-router", &Report { leaving: true, whole, applied: 0, ..report() });
}

#[test]
fn response_that_asks_for_a_full_report_keeps_its_bytes() {
    assert_form("response-full-report-required", &answer(Body::Whole));
}

#[test]
fn response_that_renews_nothing_keeps_its_bytes() {
    assert_form("response-not-renewed", &answer(Body::Wait));
}

#[test]
fn response_that_renews_with_changes_keeps_its_bytes() {
    let loans =
        vec![("tills".into(), Some(Loan { rate: 60_000_000, cap: 5_000_000 })), ("batch".into(), None)];
    let standing = Some(Standing { place: 16, full: false });
    let body = Body::Lent { fresh: false, standing, loans };
    assert_form("response-renewed-with-changes", &answer(body));
}

#[test]
fn response_that_resets_a_router_keeps_its_bytes() {
    let body = Body::Lent { fresh: true, standing: None, loans: Vec::new() };
    assert_form("response-reset", &answer(body));
}
