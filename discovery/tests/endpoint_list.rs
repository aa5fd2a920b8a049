//! Parsing of endpoint list entries with values that differ between installations: group numbers and zone
//! names.
use discovery::endpoint_list::EndpointListParser;
use serde_json::{Value, json};

fn list(entry: Value) -> Value {
    json!({"version": 1, "full": true, "servers": [entry]})
}

fn entry(cell: Value, zone: Value) -> Value {
    json!({"id": "s-1", "addr": "127.0.0.1:5433", "zone": zone, "kind": "ignored", "cell": cell,
        "state": "in_service", "weight": 1.0, "started_ms": 0})
}

#[test]
fn cell_outside_32_bits_is_rejected_naming_server_and_key() {
    let mut parser = EndpointListParser::new(vec![]);
    let update = parser.parse_value(&list(entry(json!(u32::MAX), json!("a")))).unwrap();
    assert_eq!(update.endpoints[0].group.0, u32::MAX);
    for cell in [json!((1u64 << 32) + 3), json!(-1), json!(0.5), json!("3"), json!(null)] {
        let error = parser.parse_value(&list(entry(cell.clone(), json!("a")))).unwrap_err().to_string();
        assert!(error.starts_with("server s-1: ") && error.contains("'cell'"), "{cell}: {error}");
    }
}

#[test]
fn unknown_zones_get_the_numbers_after_the_configured_ones() {
    let mut parser = EndpointListParser::new(vec!["a".into(), "b".into()]);
    let mut zone = |name: Value| parser.parse_value(&list(entry(json!(3), name))).unwrap().endpoints[0].zone;
    let seen =
        [json!("b"), json!("new"), json!("a"), json!("newer"), json!("new"), json!(null)].map(&mut zone);
    assert_eq!(seen, [1, 2, 0, 3, 2, 4]);
}
