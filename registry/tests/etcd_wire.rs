//! Decoding of values in the JSON of etcd's gateway.
use registry::etcd::wire::{item, number, prefix_end};
use serde_json::json;

#[test]
fn prefix_end_is_the_exclusive_upper_bound_of_the_prefix() {
    assert_eq!(prefix_end("/a/"), b"/a0");
    assert_eq!(prefix_end("\u{7f}"), [0x80]);
    assert_eq!(prefix_end(""), [0]);
}

#[test]
fn numbers_are_decoded_from_strings_or_numbers_and_default_to_zero() {
    let v = json!({"a": "18446744073709551615", "b": 7, "c": "x"});
    assert_eq!([number(&v, "a"), number(&v, "b"), number(&v, "c"), number(&v, "d")], [u64::MAX, 7, 0, 0]);
    assert!(item(&json!({"key": "!"})).is_err());
    assert_eq!(item(&json!({"key": "YQ==", "mod_revision": "4"})).unwrap().modified, 4);
}
