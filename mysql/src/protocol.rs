//! Protocol constants that several modules use.

/// Protocol version of a greeting.
pub const PROTOCOL_VERSION: u8 = 10;
/// Server version that the router reports to clients.
pub const SERVER_VERSION: &str = "8.0.36-damsonvale";
/// ID of the collation `utf8mb4_general_ci`.
pub const UTF8MB4_GENERAL_CI: u8 = 45;
