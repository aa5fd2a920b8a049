//! The server side of the `MySQL` client/server protocol (handshake version 10, protocol 4.1), as far as a
//! router uses it. The login of any user is accepted.
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Payload of an OK packet.
pub const OK: &[u8] = &[0, 1, 0, 2, 0, 0, 0];
/// Payload of an EOF packet.
pub const EOF: &[u8] = &[0xfe, 0, 0, 2, 0];

/// First byte of an OK packet.
pub const OK_HEADER: u8 = 0;
/// First byte of an error packet.
pub const ERROR_HEADER: u8 = 0xff;
/// First byte of an EOF packet.
pub const EOF_HEADER: u8 = 0xfe;
/// First byte of the greeting: the handshake version.
pub const GREETING_HEADER: u8 = 10;

/// Command byte that closes a connection.
pub const COMMAND_QUIT: u8 = 1;
/// Command byte that resets the session of a connection.
pub const COMMAND_RESET_CONNECTION: u8 = 31;
/// Statement that restores the settings of a session after it was reset.
pub const SET_DEFAULTS: &str = "SET NAMES utf8mb4 COLLATE utf8mb4_general_ci, autocommit = 1";
/// Command byte that runs a statement.
pub const COMMAND_QUERY: u8 = 3;

/// Error code for a statement that can't be parsed.
pub const ERROR_SYNTAX: u16 = 1064;
/// Error code for a write on a read-only server.
pub const ERROR_READ_ONLY: u16 = 1290;

/// Id of the character set `utf8mb4_general_ci`.
pub const CHARACTER_SET: u8 = 45;
/// The general SQL state, which follows the code in an error packet.
const GENERAL_SQL_STATE: &[u8] = b"#HY000";
const COLUMN_TYPE_VAR_STRING: u8 = 0xfd;

/// Capability: the login contains a database name.
pub const CLIENT_CONNECT_WITH_DB: u32 = 1 << 3;
/// Capability: the sender uses protocol 4.1.
pub const CLIENT_PROTOCOL_41: u32 = 1 << 9;
/// Capability: OK and EOF packets contain status flags.
pub const CLIENT_TRANSACTIONS: u32 = 1 << 13;
/// Capability: passwords are verified by challenge and response.
pub const CLIENT_SECURE_CONNECTION: u32 = 1 << 15;
const CLIENT_MULTI_RESULTS: u32 = 1 << 17;
const CLIENT_PS_MULTI_RESULTS: u32 = 1 << 18;
/// Capability: the login contains the name of its authentication plugin.
pub const CLIENT_PLUGIN_AUTH: u32 = 1 << 19;

/// Encodes payloads as packets with consecutive sequence ids, starting with `first`.
pub fn packets(first: u8, payloads: &[&[u8]]) -> Vec<u8> {
    let framed = payloads.iter().enumerate().flat_map(|(index, payload)| {
        let length = (payload.len() as u32).to_le_bytes();
        let sequence_id = first.wrapping_add(index as u8);
        [&length[..3], &[sequence_id], payload].concat()
    });
    framed.collect()
}

/// Encodes a text with its length as a prefix.
pub fn text(text: &str) -> Vec<u8> {
    [&[text.len() as u8][..], text.as_bytes()].concat()
}

/// Encodes the payload of a column definition.
pub fn column(name: &str) -> Vec<u8> {
    let names = ["def", "", "", "", name, ""].map(text).concat();
    let types = [0x0c, CHARACTER_SET, 0, 0, 1, 0, 0, COLUMN_TYPE_VAR_STRING, 0, 0, 0, 0, 0];
    [&names[..], &types].concat()
}

/// Encodes a result set with one row of text cells as packets.
pub fn row(cells: &[&str]) -> Vec<u8> {
    let columns: Vec<Vec<u8>> = cells.iter().map(|_| column("c")).collect();
    let count = [cells.len() as u8];
    let cells: Vec<u8> = cells.iter().flat_map(|cell| text(cell)).collect();
    let mut payloads: Vec<&[u8]> = vec![&count];
    payloads.extend(columns.iter().map(Vec::as_slice));
    payloads.extend([EOF, &cells, EOF]);
    packets(1, &payloads)
}

/// Encodes an error packet.
pub fn error(code: u16, text: &str) -> Vec<u8> {
    let payload = [&[ERROR_HEADER][..], &code.to_le_bytes(), GENERAL_SQL_STATE, text.as_bytes()].concat();
    packets(1, &[&payload])
}

/// Reads a packet and returns its payload.
///
/// # Errors
/// Returns an error if the connection fails or is closed.
pub fn read(mut socket: &TcpStream) -> io::Result<Vec<u8>> {
    let mut header = [0; 4];
    socket.read_exact(&mut header)?;
    let length = u32::from_le_bytes([header[0], header[1], header[2], 0]);
    let mut payload = vec![0; length as usize];
    socket.read_exact(&mut payload)?;
    Ok(payload)
}

/// Encodes the server's greeting as a packet.
pub fn greeting() -> Vec<u8> {
    let capabilities = CLIENT_CONNECT_WITH_DB
        | CLIENT_PROTOCOL_41
        | CLIENT_TRANSACTIONS
        | CLIENT_SECURE_CONNECTION
        | CLIENT_MULTI_RESULTS
        | CLIENT_PS_MULTI_RESULTS
        | CLIENT_PLUGIN_AUTH;
    let (capabilities, nonce) = (capabilities.to_le_bytes(), [7u8; 20]);
    let greeting = [
        &b"\x0a8.0.1\0\x01\0\0\0"[..],
        &nonce[..8],
        &[0],
        &capabilities[..2],
        &[CHARACTER_SET, 2, 0],
        &capabilities[2..],
        &[21],
        &[0; 10],
        &nonce[8..],
        &[0],
        b"mysql_native_password\0",
    ]
    .concat();
    packets(0, &[&greeting])
}

/// Sends the greeting to a client and accepts its login.
///
/// # Errors
/// Returns an error if the connection fails or is closed.
pub fn greet(mut socket: &TcpStream) -> io::Result<()> {
    socket.write_all(&greeting())?;
    read(socket)?;
    socket.write_all(&packets(2, &[OK]))
}
