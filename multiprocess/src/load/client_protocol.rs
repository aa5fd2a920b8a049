//! The client's side of `MySQL`'s protocol, as far as the load needs it.
use test_servers::wire;

const CLIENT_CONNECT_WITH_DB: u32 = 1 << 3;
const CLIENT_PROTOCOL_41: u32 = 1 << 9;
const CLIENT_TRANSACTIONS: u32 = 1 << 13;
const CLIENT_SECURE_CONNECTION: u32 = 1 << 15;
const CLIENT_PLUGIN_AUTH: u32 = 1 << 19;
const MAX_PACKET_BYTES: u32 = 1 << 24;
/// `utf8mb4_general_ci`.
const CHARACTER_SET: u8 = 45;
const COMMAND_QUERY: u8 = 3;

/// First byte of an OK packet.
pub(super) const OK_HEADER: u8 = 0;
/// First byte of the greeting: the protocol's version.
pub(super) const GREETING_HEADER: u8 = 10;
/// First byte of an error packet.
pub(super) const ERROR_HEADER: u8 = 0xff;
const EOF_HEADER: u8 = 0xfe;
/// An EOF packet is shorter than this.
const EOF_MAX_BYTES: usize = 9;
/// Stands for the code of an error packet that is cut off.
const UNREADABLE_ERROR: u16 = 1;
/// The code of an error that routers answer to a request they reject.
pub(super) const ERROR_REJECTED: u16 = 1040;

/// The login of user `load`, who has an empty password.
pub(super) fn login() -> Vec<u8> {
    let capabilities = CLIENT_CONNECT_WITH_DB
        | CLIENT_PROTOCOL_41
        | CLIENT_TRANSACTIONS
        | CLIENT_SECURE_CONNECTION
        | CLIENT_PLUGIN_AUTH;
    let user_database_plugin = b"load\0\0shop\0mysql_native_password\0";
    let payload = [
        &capabilities.to_le_bytes()[..],
        &MAX_PACKET_BYTES.to_le_bytes(),
        &[CHARACTER_SET],
        &[0; 23],
        user_database_plugin,
    ];
    wire::packets(1, &[&payload.concat()])
}

/// A statement as a query command.
pub(super) fn query(sql: &str) -> Vec<u8> {
    let payload = [&[COMMAND_QUERY], sql.as_bytes()].concat();
    wire::packets(0, &[&payload])
}

/// A complete answer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    /// The error's code; 0 for none.
    pub(super) code: u16,
    /// The number in the first cell of the row.
    pub(super) id: Option<u64>,
}

/// Reads an answer from its packets; `None` until all of them have arrived.
pub(super) fn parse_answer(packets: &[Vec<u8>]) -> Option<Answer> {
    match packets.first()?.first() {
        Some(&OK_HEADER) | None => Some(Answer { code: 0, id: None }),
        Some(&ERROR_HEADER) => Some(Answer { code: error_code(&packets[0]), id: None }),
        Some(columns) => parse_rows(packets, usize::from(*columns)),
    }
}

/// Reads a result set: the number of columns, their definitions, EOF, rows, and EOF or an error.
fn parse_rows(packets: &[Vec<u8>], columns: usize) -> Option<Answer> {
    let error = packets.last().filter(|packet| packets.len() > 1 && packet.first() == Some(&ERROR_HEADER));
    if let Some(error) = error {
        return Some(Answer { code: error_code(error), id: None });
    }
    if packets.iter().filter(|packet| is_eof(packet)).count() < 2 {
        return None;
    }
    let row = packets.get(columns + 2)?;
    let cell = row.split_first().and_then(|(length, rest)| rest.get(..usize::from(*length)));
    let id = cell.and_then(|cell| std::str::from_utf8(cell).ok()).and_then(|cell| cell.parse().ok());
    Some(Answer { code: 0, id })
}

fn is_eof(packet: &[u8]) -> bool {
    packet.first() == Some(&EOF_HEADER) && packet.len() < EOF_MAX_BYTES
}

fn error_code(packet: &[u8]) -> u16 {
    packet.get(1..3).map_or(UNREADABLE_ERROR, |code| u16::from_le_bytes([code[0], code[1]]))
}
