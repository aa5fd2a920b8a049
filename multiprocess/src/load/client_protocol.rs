//! The subset of the `MySQL` client protocol that the load needs.
use test_servers::wire::{
    CHARACTER_SET, CLIENT_CONNECT_WITH_DB, CLIENT_PLUGIN_AUTH, CLIENT_PROTOCOL_41, CLIENT_SECURE_CONNECTION,
    CLIENT_TRANSACTIONS, COMMAND_QUERY, EOF_HEADER, ERROR_HEADER, OK_HEADER, packets,
};

const MAX_PACKET_BYTES: u32 = 1 << 24;
/// EOF packets are shorter than this; longer packets with the same header byte are rows.
const EOF_PACKET_LIMIT_BYTES: usize = 9;
/// Error code reported for a truncated error packet.
const TRUNCATED_ERROR_CODE: u16 = 1;
/// Error code (`ER_CON_COUNT_ERROR`) that routers return for a rejected request.
pub(super) const ERROR_REJECTED: u16 = 1040;

/// Encodes the login of user `load`, who has an empty password.
pub(super) fn encode_login() -> Vec<u8> {
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

/// Encodes a statement as a query command.
pub(super) fn encode_query(sql: &str) -> Vec<u8> {
    let payload = [&[COMMAND_QUERY], sql.as_bytes()].concat();
    packets(0, &[&payload])
}

/// A complete response to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Response {
    /// Error code; 0 for no error.
    pub(super) code: u16,
    /// The request number in the first column of the returned row.
    pub(super) id: Option<u64>,
}

/// Parses a response from the payloads of its packets; returns `None` if packets are missing.
pub(super) fn parse_response(payloads: &[Vec<u8>]) -> Option<Response> {
    match payloads.first()?.first() {
        Some(&OK_HEADER) | None => Some(Response { code: 0, id: None }),
        Some(&ERROR_HEADER) => Some(Response { code: error_code(&payloads[0]), id: None }),
        Some(columns) => parse_rows(payloads, usize::from(*columns)),
    }
}

/// Parses a result set: column count, column definitions, EOF, rows, and EOF or an error.
fn parse_rows(payloads: &[Vec<u8>], columns: usize) -> Option<Response> {
    let error = payloads.last().filter(|packet| payloads.len() > 1 && packet.first() == Some(&ERROR_HEADER));
    if let Some(error) = error {
        return Some(Response { code: error_code(error), id: None });
    }
    if payloads.iter().filter(|packet| is_eof(packet)).count() < 2 {
        return None;
    }
    let row = payloads.get(columns + 2)?;
    let cell = row.split_first().and_then(|(length, rest)| rest.get(..usize::from(*length)));
    let id = cell.and_then(|cell| std::str::from_utf8(cell).ok()).and_then(|cell| cell.parse().ok());
    Some(Response { code: 0, id })
}

fn is_eof(packet: &[u8]) -> bool {
    packet.first() == Some(&EOF_HEADER) && packet.len() < EOF_PACKET_LIMIT_BYTES
}

fn error_code(packet: &[u8]) -> u16 {
    packet.get(1..3).map_or(TRUNCATED_ERROR_CODE, |code| u16::from_le_bytes([code[0], code[1]]))
}
