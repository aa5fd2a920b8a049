//! Capability flags: what the two sides of a connection support.

/// Passwords are long ones.
pub const LONG_PASSWORD: u32 = 1;
/// Column flags are long ones.
pub const LONG_FLAG: u32 = 1 << 2;
/// The handshake response names a database.
pub const CONNECT_WITH_DB: u32 = 1 << 3;
/// Protocol 4.1.
pub const PROTOCOL_41: u32 = 1 << 9;
/// Status flags are understood.
pub const TRANSACTIONS: u32 = 1 << 13;
/// Passwords are proved, not sent.
pub const SECURE_CONNECTION: u32 = 1 << 15;
/// A text may bring several results.
pub const MULTI_RESULTS: u32 = 1 << 17;
/// An execution may bring several results.
pub const PS_MULTI_RESULTS: u32 = 1 << 18;
/// The authentication plugin is named.
pub const PLUGIN_AUTH: u32 = 1 << 19;
/// The authentication response has a length-encoded length.
pub const PLUGIN_AUTH_LENENC: u32 = 1 << 21;

/// What the router offers its clients.
pub const OFFERED: u32 = LONG_PASSWORD
    | LONG_FLAG
    | CONNECT_WITH_DB
    | PROTOCOL_41
    | TRANSACTIONS
    | SECURE_CONNECTION
    | MULTI_RESULTS
    | PS_MULTI_RESULTS
    | PLUGIN_AUTH
    | PLUGIN_AUTH_LENENC;

/// What the router uses with servers. Neither side offers the newer end of rows, session tracking or several
/// statements in one text, so responses can be forwarded as they are.
pub const USED_WITH_SERVERS: u32 = OFFERED & !PLUGIN_AUTH_LENENC;
