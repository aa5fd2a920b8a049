//! Helpers that the tests of several packages share. Other packages may have this one only as a
//! dev-dependency.
//!
//! - [`fixture`]: comparison with the files under a package's `tests/fixtures`.
//! - [`hash`]: the hash that recorded runs are stored as.
//! - [`hex`]: bytes as hexadecimal digits, and lines of named bytes.
//! - [`random`]: deterministic random number generators.
//! - `routing` (feature `routing`): an endpoint list without backends, and entries for it.
//!
//! All functions panic instead of returning an error, since a test that cannot go on has failed.
pub mod fixture;
pub mod hash;
pub mod hex;
pub mod random;
#[cfg(feature = "routing")]
pub mod routing;
