//! Protocol constants that several modules use.

/// Protocol version of a greeting.
pub const PROTOCOL_VERSION: u8 = 10;
/// Server version that the router reports to clients.
pub const SERVER_VERSION: &str = "8.0.36-damsonvale";
/// ID of the collation `utf8mb4_general_ci`.
pub const UTF8MB4_GENERAL_CI: u8 = 45;

/// Returns whether texts of a client with this collation ID are UTF-8: its character set is `utf8mb4`, `utf8mb3`,
/// `ascii` or `binary`. 0 leaves the choice to the server.
pub fn is_utf8_collation(id: u8) -> bool {
    matches!(id, 0 | 11 | 33 | 45 | 46 | 63 | 65 | 76 | 83 | 192..=215 | 223..=247 | 255)
}
