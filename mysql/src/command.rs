//! Codes of the supported protocol commands. The code is the first byte of a command's payload.

/// Ends the session and closes the connection.
pub const QUIT: u8 = 1;
/// Selects the default database.
pub const INIT_DB: u8 = 2;
/// Runs a statement that is sent as text.
pub const QUERY: u8 = 3;
/// Checks whether the connection is alive.
pub const PING: u8 = 14;
/// Prepares a statement for later executions.
pub const STMT_PREPARE: u8 = 22;
/// Executes a prepared statement.
pub const STMT_EXECUTE: u8 = 23;
/// Sends a part of a long parameter before the statement's execution.
pub const STMT_SEND_LONG_DATA: u8 = 24;
/// Closes a prepared statement.
pub const STMT_CLOSE: u8 = 25;
/// Discards the long parameters and the cursor of a prepared statement.
pub const STMT_RESET: u8 = 26;
/// Enables or disables multi-statements.
pub const SET_OPTION: u8 = 27;
/// Fetches rows from a cursor.
pub const STMT_FETCH: u8 = 28;
/// Resets the connection's session state.
pub const RESET_CONNECTION: u8 = 31;
