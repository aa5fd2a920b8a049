//! The commands of the protocol that are supported here: the first byte of a command's payload.

/// The client leaves.
pub const QUIT: u8 = 1;
/// Names the default database.
pub const INIT_DB: u8 = 2;
/// A statement as text.
pub const QUERY: u8 = 3;
/// Asks whether the connection is alive.
pub const PING: u8 = 14;
/// Prepares a statement.
pub const STMT_PREPARE: u8 = 22;
/// Executes a prepared statement.
pub const STMT_EXECUTE: u8 = 23;
/// Sends a part of a long parameter ahead.
pub const STMT_SEND_LONG_DATA: u8 = 24;
/// Closes a prepared statement.
pub const STMT_CLOSE: u8 = 25;
/// Drops long parameters and the cursor of a prepared statement.
pub const STMT_RESET: u8 = 26;
/// Switches several statements in one text on or off.
pub const SET_OPTION: u8 = 27;
/// Fetches rows of a cursor.
pub const STMT_FETCH: u8 = 28;
/// Clears the connection's state.
pub const RESET_CONNECTION: u8 = 31;
