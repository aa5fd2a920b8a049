//! The recorded texts and bytes that the tests of this folder compare with.
use testkit::fixture::Fixtures;
use testkit::hex;

pub(crate) const FIXTURES: Fixtures = testkit::fixtures!();

/// The bytes that a recorded text of lines `NAME HEX` has under this name.
pub(crate) fn recorded_bytes(recorded: &str, name: &str) -> Vec<u8> {
    hex::decode_line(recorded, &format!("{name} "))
}
