//! Parsing of discovery's wire format, compared with fixtures: valid objects, a stream of them, and invalid
//! objects. The request is tested in `watch/request.rs`. The fixtures predate the renaming of types and
//! files.
use discovery::endpoint_list::EndpointListParser;
use discovery::json_objects::{ObjectSplitter, StreamItem};
use routing::{EndpointEntry, EndpointUpdate, GroupId, MemberState, Time};
use serde_json::Value;

const COMPLETE_LIST: &[u8] = include_bytes!("fixtures/complete_list.json");
const CHANGE: &[u8] = include_bytes!("fixtures/change.json");
const STREAM: &[u8] = include_bytes!("fixtures/stream.txt");
const INVALID_OBJECTS: &str = include_str!("fixtures/refused_objects.txt");

fn parser() -> EndpointListParser {
    EndpointListParser::new(vec!["a".into(), "b".into()])
}

fn entry(id: &str, addr: &str, group: u32, zone: u32, state: MemberState) -> EndpointEntry {
    let (id, addr, group) = (id.to_string(), addr.parse().unwrap(), GroupId(group));
    let (site, listed_primary, weight, started_at) = (None, false, 1.0, None);
    EndpointEntry { id, addr, group, zone, site, state, listed_primary, weight, started_at }
}

fn complete_list() -> EndpointUpdate {
    let first = EndpointEntry {
        listed_primary: true,
        weight: 2.5,
        started_at: Some(Time(1_700_000_000_123_500)),
        ..entry("s-1", "10.0.0.1:5432", 3, 1, MemberState::Ready)
    };
    let second = entry("s-2", "[::1]:5433", 4_294_967_295, 0, MemberState::Draining);
    let third = entry("s \u{e9}\"3", "10.0.0.3:5432", 0, 2, MemberState::Removed);
    EndpointUpdate { version: 9_007_199_254_740_993, complete: true, endpoints: vec![first, second, third] }
}

#[track_caller]
fn assert_same(found: &EndpointUpdate, expected: &EndpointUpdate) {
    assert_eq!((found.version, found.complete), (expected.version, expected.complete));
    assert_eq!(found.endpoints, expected.endpoints);
}

#[test]
fn complete_list_is_parsed_to_the_expected_entries() {
    assert_same(&parser().parse(COMPLETE_LIST).unwrap(), &complete_list());
    // From a JSON value, as the endpoint list in the configuration is parsed.
    let value: Value = serde_json::from_slice(COMPLETE_LIST).unwrap();
    assert_same(&parser().parse_value(&value).unwrap(), &complete_list());
}

#[test]
fn change_without_optional_keys_gets_their_defaults() {
    let gone = entry("s-2", "10.0.0.2:5432", 7, 2, MemberState::Removed);
    let expected = EndpointUpdate { version: 46, complete: false, endpoints: vec![gone] };
    assert_same(&parser().parse(CHANGE).unwrap(), &expected);
}

#[test]
fn stream_is_split_into_the_expected_objects() {
    let (mut objects, mut items) = (ObjectSplitter::new(4096), Vec::new());
    objects.push(STREAM, &mut items).unwrap();
    let trimmed = |bytes: &[u8]| StreamItem::Object(bytes.trim_ascii_end().to_vec());
    let expected = [
        StreamItem::EmptyLine,
        trimmed(COMPLETE_LIST),
        StreamItem::EmptyLine,
        trimmed(CHANGE),
        StreamItem::EmptyLine,
    ];
    assert_eq!(items, expected);
}

/// Each line of the fixture contains an object and, after ` => `, the expected error.
#[test]
fn invalid_objects_result_in_the_recorded_errors() {
    assert_eq!(INVALID_OBJECTS.lines().count(), 22);
    for line in INVALID_OBJECTS.lines() {
        let (object, expected) = line.split_once(" => ").unwrap();
        let error = parser().parse(object.as_bytes()).unwrap_err().to_string();
        assert_eq!(error, expected, "{object}");
    }
}
