//! Fixed limits of the protocol; they are the same at every router.

/// Maximum length of a router's name in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum size of a datagram that is sent or accepted, in bytes; small enough not to be fragmented on any
/// path.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Highest incarnation that a member may have; it leaves enough values above it for later incarnations.
pub const MAX_INCARNATION: u64 = 1 << 62;
/// Highest generation of a start; milliseconds since the Unix epoch stay below it for another thousand years.
pub const MAX_GENERATION: u64 = 1 << 45;
