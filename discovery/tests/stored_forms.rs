//! What discovery sends: the objects of its answer, and objects that are refused. The request is compared in
//! `watch/request.rs`.
//! The fixtures were written before the code's names and files changed.
use discovery::endpoint_list::EndpointListParser;
use discovery::json_objects::{ObjectSplitter, StreamItem};
use routing::{EndpointEntry, EndpointUpdate, GroupId, MemberState, Time};
use serde_json::Value;

const COMPLETE_LIST: &[u8] = include_bytes!("fixtures/complete_list.json");
const CHANGE: &[u8] = include_bytes!("fixtures/change.json");
const STREAM: &[u8] = include_bytes!("fixtures/stream.txt");
const REFUSED: &str = include_str!("fixtures/refused_objects.txt");

fn parser() -> EndpointListParser {
    EndpointListParser::new(vec!["a".into(), "b".into()])
}

fn plain(id: &str, addr: &str, group: u32, zone: u32, state: MemberState) -> EndpointEntry {
    let (id, addr, group) = (id.to_string(), addr.parse().unwrap(), GroupId(group));
    let (site, listed_primary, weight, started_at) = (None, false, 1.0, None);
    EndpointEntry { id, addr, group, zone, site, state, listed_primary, weight, started_at }
}

fn complete_list() -> EndpointUpdate {
    let first = EndpointEntry {
        listed_primary: true,
        weight: 2.5,
        started_at: Some(Time(1_700_000_000_123_500)),
        ..plain("s-1", "10.0.0.1:5432", 3, 1, MemberState::Ready)
    };
    let second = plain("s-2", "[::1]:5433", 4_294_967_295, 0, MemberState::Draining);
    let third = plain("s \u{e9}\"3", "10.0.0.3:5432", 0, 2, MemberState::Removed);
    EndpointUpdate { version: 9_007_199_254_740_993, complete: true, endpoints: vec![first, second, third] }
}

#[track_caller]
fn assert_same(found: &EndpointUpdate, expected: &EndpointUpdate) {
    assert_eq!((found.version, found.complete), (expected.version, expected.complete));
    assert_eq!(found.endpoints, expected.endpoints);
}

#[test]
fn complete_list_is_read_to_the_recorded_entries() {
    assert_same(&parser().parse(COMPLETE_LIST).unwrap(), &complete_list());
    // From a value, as the configuration's own list is read.
    let value: Value = serde_json::from_slice(COMPLETE_LIST).unwrap();
    assert_same(&parser().parse_value(&value).unwrap(), &complete_list());
}

#[test]
fn change_without_optional_keys_is_read_with_their_defaults() {
    let gone = plain("s-2", "10.0.0.2:5432", 7, 2, MemberState::Removed);
    let expected = EndpointUpdate { version: 46, complete: false, endpoints: vec![gone] };
    assert_same(&parser().parse(CHANGE).unwrap(), &expected);
}

#[test]
fn stream_is_cut_into_the_recorded_objects() {
    let (mut objects, mut pieces) = (ObjectSplitter::new(4096), Vec::new());
    objects.push(STREAM, &mut pieces).unwrap();
    let trimmed = |bytes: &[u8]| StreamItem::Object(bytes.trim_ascii_end().to_vec());
    let expected = [
        StreamItem::EmptyLine,
        trimmed(COMPLETE_LIST),
        StreamItem::EmptyLine,
        trimmed(CHANGE),
        StreamItem::EmptyLine,
    ];
    assert_eq!(pieces, expected);
}

/// Each line of the fixture is an object and, behind ` => `, what is said of it.
#[test]
fn refused_objects_give_the_recorded_errors() {
    assert_eq!(REFUSED.lines().count(), 22);
    for line in REFUSED.lines() {
        let (object, expected) = line.split_once(" => ").unwrap();
        let said = parser().parse(object.as_bytes()).unwrap_err().to_string();
        assert_eq!(said, expected, "{object}");
    }
}
