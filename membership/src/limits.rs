//! Hard limits of the protocol, the same at every router.

/// Longest name of a router, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest datagram sent or accepted, in bytes: below the size at which any path fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Highest incarnation that a member may carry: there must be headroom to rise past it.
pub const MAX_INCARNATION: u64 = 1 << 62;
/// Highest generation of a start; milliseconds since 1970 stay below it for another thousand years.
pub const MAX_GENERATION: u64 = 1 << 45;
