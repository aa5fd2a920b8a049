//! Constants that several parts of the protocol share.

/// The version of the protocol that a greeting states.
pub const PROTOCOL_VERSION: u8 = 10;
/// The server version that the router states.
pub const SERVER_VERSION: &str = "8.0.36-damsonvale";
/// The number of the character set `utf8mb4_general_ci`.
pub const UTF8MB4_GENERAL_CI: u8 = 45;
