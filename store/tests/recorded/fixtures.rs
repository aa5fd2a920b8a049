//! The fixtures that the tests of this folder compare with.
use testkit::fixture::Fixtures;
use testkit::hex;

pub(crate) const FIXTURES: Fixtures = testkit::fixtures!();

/// Decodes the bytes with this name in a recorded text of lines `NAME HEX`.
pub(crate) fn recorded_bytes(recorded: &str, name: &str) -> Vec<u8> {
    hex::decode_line(recorded, &format!("{name} "))
}
