//! Helpers that the tests of several packages share. Other packages name this one among their dev-dependencies only.
//!
//! - [`fixture`]: comparison with the files under a package's `tests/fixtures`.
//! - [`hash`]: the hash that recorded runs are kept as.
//! - [`hex`]: bytes as hexadecimal digits, and lines of named bytes.
//! - [`random`]: generators whose numbers follow from their seed alone.
//! - `routing` (feature `routing`): an endpoint list without backends, and entries of it.
//!
//! Everything here panics rather than returning an error: a test that can't go on fails.
pub mod fixture;
pub mod hash;
pub mod hex;
pub mod random;
#[cfg(feature = "routing")]
pub mod routing;
