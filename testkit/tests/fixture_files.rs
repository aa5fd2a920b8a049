//! Tests of the comparison with fixtures: equal output passes; different output fails and leaves the
//! fixture unchanged.
use testkit::fixture::Fixtures;
use testkit::hex;

const FIXTURES: Fixtures = testkit::fixtures!();
const NAME: &str = "two_lines.txt";

#[test]
fn equal_text_passes() {
    FIXTURES.assert_same(NAME, "first line\nsecond line\n");
    assert_eq!(FIXTURES.text(NAME).as_bytes(), FIXTURES.bytes(NAME));
}

#[test]
#[should_panic(expected = r#"at line 2: recorded "second line", found "other line""#)]
fn different_text_fails_and_names_the_first_differing_line() {
    FIXTURES.assert_same(NAME, "first line\nother line\n");
}

#[test]
#[should_panic(expected = "in length: 23 bytes recorded, 11 found")]
fn shorter_text_fails() {
    FIXTURES.assert_same(NAME, "first line\n");
}

#[test]
fn missing_fixture_fails_even_for_empty_output_and_is_not_written() {
    let result = std::panic::catch_unwind(|| FIXTURES.assert_same("missing.txt", ""));
    assert!(result.is_err());
    assert!(!FIXTURES.path("missing.txt").exists());
}

#[test]
fn hexadecimal_digits_are_decoded_and_encoded() {
    assert_eq!(hex::encode(&[0, 0x7f, 0xff]), "007fff");
    assert_eq!(hex::decode(" 007fff\n"), [0, 0x7f, 0xff]);
    assert_eq!(hex::decode_line("a: 01\nab: 02\n", "ab: "), [2]);
}

#[test]
#[should_panic(expected = "two digits for each byte")]
fn odd_number_of_digits_is_rejected() {
    hex::decode("007");
}

#[test]
#[should_panic(expected = r#"no line begins with "b: ""#)]
fn missing_line_is_rejected() {
    hex::decode_line("a: 01\n", "b: ");
}
