//! The client's side of `MySQL`'s protocol, as far as the load needs it.
use test_servers::wire::{
    CHARACTER_SET, CLIENT_CONNECT_WITH_DB, CLIENT_PLUGIN_AUTH, CLIENT_PROTOCOL_41, CLIENT_SECURE_CONNECTION,
    CLIENT_TRANSACTIONS, COMMAND_QUERY, EOF_HEADER, ERROR_HEADER, OK_HEADER, packets,
};

const MAX_PACKET_BYTES: u32 = 1 << 24;
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
    packets(1, &[&payload.concat()])
}

/// A statement as a query command.
pub(super) fn query(sql: &str) -> Vec<u8> {
    let payload = [&[COMMAND_QUERY], sql.as_bytes()].concat();
    packets(0, &[&payload])
}

/// A complete answer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    /// The error's code; 0 for none.
    pub(super) code: u16,
    /// The number in the first cell of the row.
    pub(super) id: Option<u64>,
}

/// Reads an answer from its packets' payloads; `None` until all of them have arrived.
pub(super) fn parse_answer(payloads: &[Vec<u8>]) -> Option<Answer> {
    match payloads.first()?.first() {
        Some(&OK_HEADER) | None => Some(Answer { code: 0, id: None }),
        Some(&ERROR_HEADER) => Some(Answer { code: error_code(&payloads[0]), id: None }),
        Some(columns) => parse_rows(payloads, usize::from(*columns)),
    }
}

/// Reads a result set: the number of columns, their definitions, EOF, rows, and EOF or an error.
fn parse_rows(payloads: &[Vec<u8>], columns: usize) -> Option<Answer> {
    let error = payloads.last().filter(|packet| payloads.len() > 1 && packet.first() == Some(&ERROR_HEADER));
    if let Some(error) = error {
        return Some(Answer { code: error_code(error), id: None });
    }
    if payloads.iter().filter(|packet| is_eof(packet)).count() < 2 {
        return None;
    }
    let row = payloads.get(columns + 2)?;
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
