//! The server's side of `MySQL`'s client/server protocol (handshake 10, protocol 4.1), as far as a router uses it. Any
//! user is accepted.
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The payload of an OK packet.
pub const OK: &[u8] = &[0, 1, 0, 2, 0, 0, 0];
/// The payload of an EOF packet.
pub const EOF: &[u8] = &[0xfe, 0, 0, 2, 0];

/// First byte of an OK packet.
pub const OK_HEADER: u8 = 0;
/// First byte of an error packet.
pub const ERROR_HEADER: u8 = 0xff;
/// First byte of an EOF packet.
pub const EOF_HEADER: u8 = 0xfe;
/// First byte of the greeting: the protocol's version.
pub const GREETING_HEADER: u8 = 10;

/// First byte of the command that ends a connection.
pub const COMMAND_QUIT: u8 = 1;
/// First byte of a command that runs a statement.
pub const COMMAND_QUERY: u8 = 3;

/// The code of an error for a statement that can't be parsed.
pub const ERROR_SYNTAX: u16 = 1064;
/// The code of an error for a write at a read-only server.
pub const ERROR_READ_ONLY: u16 = 1290;

/// The character set `utf8mb4_general_ci`.
pub const CHARACTER_SET: u8 = 45;
/// The general SQL state, which follows an error's code.
const GENERAL_SQL_STATE: &[u8] = b"#HY000";
const COLUMN_TYPE_VAR_STRING: u8 = 0xfd;

/// Capability: the login names a database.
pub const CLIENT_CONNECT_WITH_DB: u32 = 1 << 3;
/// Capability: protocol 4.1.
pub const CLIENT_PROTOCOL_41: u32 = 1 << 9;
/// Capability: OK and EOF packets have status flags.
pub const CLIENT_TRANSACTIONS: u32 = 1 << 13;
/// Capability: passwords are proven by a challenge.
pub const CLIENT_SECURE_CONNECTION: u32 = 1 << 15;
const CLIENT_MULTI_RESULTS: u32 = 1 << 17;
const CLIENT_PS_MULTI_RESULTS: u32 = 1 << 18;
/// Capability: the login names its method of authentication.
pub const CLIENT_PLUGIN_AUTH: u32 = 1 << 19;

/// Payloads as packets, numbered from `first` on.
pub fn packets(first: u8, payloads: &[&[u8]]) -> Vec<u8> {
    let framed = payloads.iter().enumerate().flat_map(|(index, payload)| {
        let length = (payload.len() as u32).to_le_bytes();
        let number = first.wrapping_add(index as u8);
        [&length[..3], &[number], payload].concat()
    });
    framed.collect()
}

/// A text with its length in front.
pub fn text(text: &str) -> Vec<u8> {
    [&[text.len() as u8][..], text.as_bytes()].concat()
}

/// The payload of a column's definition.
pub fn column(name: &str) -> Vec<u8> {
    let names = ["def", "", "", "", name, ""].map(text).concat();
    let types = [0x0c, CHARACTER_SET, 0, 0, 1, 0, 0, COLUMN_TYPE_VAR_STRING, 0, 0, 0, 0, 0];
    [&names[..], &types].concat()
}

/// A result of one row of text, as packets.
pub fn row(cells: &[&str]) -> Vec<u8> {
    let columns: Vec<Vec<u8>> = cells.iter().map(|_| column("c")).collect();
    let count = [cells.len() as u8];
    let cells: Vec<u8> = cells.iter().flat_map(|cell| text(cell)).collect();
    let mut payloads: Vec<&[u8]> = vec![&count];
    payloads.extend(columns.iter().map(Vec::as_slice));
    payloads.extend([EOF, &cells, EOF]);
    packets(1, &payloads)
}

/// An error, as a packet.
pub fn error(code: u16, text: &str) -> Vec<u8> {
    let payload = [&[ERROR_HEADER][..], &code.to_le_bytes(), GENERAL_SQL_STATE, text.as_bytes()].concat();
    packets(1, &[&payload])
}

/// Reads one packet; returns its payload.
///
/// # Errors
/// The connection has failed or ended.
pub fn read(mut socket: &TcpStream) -> io::Result<Vec<u8>> {
    let mut header = [0; 4];
    socket.read_exact(&mut header)?;
    let length = u32::from_le_bytes([header[0], header[1], header[2], 0]);
    let mut payload = vec![0; length as usize];
    socket.read_exact(&mut payload)?;
    Ok(payload)
}

/// The server's greeting, as a packet.
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

/// Greets a client and accepts its login.
///
/// # Errors
/// The connection has failed or ended.
pub fn greet(mut socket: &TcpStream) -> io::Result<()> {
    socket.write_all(&greeting())?;
    read(socket)?;
    socket.write_all(&packets(2, &[OK]))
}
