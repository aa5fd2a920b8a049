//! Capability flags, by which the client and the server of a connection announce the protocol features that
//! they support.

/// `CLIENT_LONG_PASSWORD`: the client uses the improved version of the old password authentication.
pub const LONG_PASSWORD: u32 = 1;
/// `CLIENT_LONG_FLAG`: column definitions have flags of two bytes.
pub const LONG_FLAG: u32 = 1 << 2;
/// `CLIENT_CONNECT_WITH_DB`: the handshake response contains a database name.
pub const CONNECT_WITH_DB: u32 = 1 << 3;
/// `CLIENT_PROTOCOL_41`: the connection uses protocol 4.1.
pub const PROTOCOL_41: u32 = 1 << 9;
/// `CLIENT_TRANSACTIONS`: responses contain status flags.
pub const TRANSACTIONS: u32 = 1 << 13;
/// `CLIENT_SECURE_CONNECTION`: the client sends a scrambled password instead of the password itself.
pub const SECURE_CONNECTION: u32 = 1 << 15;
/// `CLIENT_MULTI_RESULTS`: a text statement can return several result sets.
pub const MULTI_RESULTS: u32 = 1 << 17;
/// `CLIENT_PS_MULTI_RESULTS`: executing a prepared statement can return several result sets.
pub const PS_MULTI_RESULTS: u32 = 1 << 18;
/// `CLIENT_PLUGIN_AUTH`: the handshake contains the name of the authentication plugin.
pub const PLUGIN_AUTH: u32 = 1 << 19;
/// `CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA`: the length of the authentication response is a length-encoded
/// integer.
pub const PLUGIN_AUTH_LENENC: u32 = 1 << 21;

/// Capabilities that the router offers to clients.
pub const OFFERED_TO_CLIENTS: u32 = LONG_PASSWORD
    | LONG_FLAG
    | CONNECT_WITH_DB
    | PROTOCOL_41
    | TRANSACTIONS
    | SECURE_CONNECTION
    | MULTI_RESULTS
    | PS_MULTI_RESULTS
    | PLUGIN_AUTH
    | PLUGIN_AUTH_LENENC;

/// Capabilities that the router uses with servers. On both sides, EOF payloads are not deprecated and session
/// tracking and multi-statements are disabled, so the router can forward responses unchanged.
pub const USED_WITH_SERVERS: u32 = OFFERED_TO_CLIENTS & !PLUGIN_AUTH_LENENC;
