//! Results: following a server's response payload by payload, and the few that the router gives itself.
use crate::fields::{FieldReader, NULL, push_length_encoded_bytes};
use crate::packet::push_packets;
use crate::protocol::UTF8MB4_GENERAL_CI;

/// The status flag of a session that commits each statement by itself.
pub const AUTOCOMMIT: u16 = 2;
/// Another result follows.
pub const MORE_RESULTS: u16 = 8;
/// Rows wait to be fetched.
pub const CURSOR_EXISTS: u16 = 64;
/// All rows have been fetched.
pub const LAST_ROW_SENT: u16 = 128;

/// An OK payload.
pub const OK: &[u8] = &[0, 0, 0, AUTOCOMMIT as u8, 0, 0, 0];

/// An EOF payload with these status flags.
pub fn eof(status: u16) -> [u8; 5] {
    let status = status.to_le_bytes();
    [0xfe, 0, 0, status[0], status[1]]
}

/// The status flags of an EOF payload; `None` for any other payload.
pub fn eof_status(payload: &[u8]) -> Option<u16> {
    match payload {
        [0xfe, _, _, low, high] => Some(u16::from_le_bytes([*low, *high])),
        _ => None,
    }
}

fn ok_status(payload: &[u8]) -> Option<u16> {
    let mut fields = FieldReader::new(payload.get(1..)?);
    let _affected_rows = fields.length_encoded_integer()?;
    let _last_insert_id = fields.length_encoded_integer()?;
    fields.integer(2).map(|status| status as u16)
}

/// Where a response stands that is read payload by payload.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseState {
    /// The first payload of a result comes next.
    Start,
    /// So many column definitions come next, and then the end of them.
    Columns(u64),
    /// Rows come next.
    Rows,
    /// The response is complete.
    Done,
    /// It ended in an error.
    Failed,
    /// It is nothing that this protocol knows.
    Malformed,
}

impl ResponseState {
    /// Takes the next payload.
    pub fn advance(&mut self, payload: &[u8]) {
        *self = match (&*self, payload) {
            (ResponseState::Start | ResponseState::Rows, [0xff, _, _, ..]) => ResponseState::Failed,
            (ResponseState::Start, [0, ..]) => ResponseState::behind_result(ok_status(payload)),
            // The server asks for a local file: the router offers none.
            (ResponseState::Start, [0xfb, ..]) => ResponseState::Malformed,
            (ResponseState::Start, _) => match FieldReader::new(payload).length_encoded_integer() {
                Some(columns) if columns > 0 => ResponseState::Columns(columns),
                _ => ResponseState::Malformed,
            },
            (ResponseState::Columns(0), _) => match eof_status(payload) {
                Some(_) => ResponseState::Rows,
                None => ResponseState::Malformed,
            },
            (ResponseState::Columns(remaining), _) => ResponseState::Columns(remaining - 1),
            (ResponseState::Rows, _) => match eof_status(payload) {
                Some(status) => ResponseState::behind_result(Some(status)),
                None => ResponseState::Rows,
            },
            (ResponseState::Done | ResponseState::Failed | ResponseState::Malformed, _) => {
                ResponseState::Malformed
            }
        };
    }

    /// The state behind a result with these status flags.
    fn behind_result(status: Option<u16>) -> ResponseState {
        match status {
            Some(status) if status & MORE_RESULTS != 0 => ResponseState::Start,
            Some(_) => ResponseState::Done,
            None => ResponseState::Malformed,
        }
    }
}

/// A column with its value in a result of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedValue {
    /// The column's name.
    pub name: String,
    /// The value.
    pub value: String,
}

/// The definition of a column of texts.
fn column_definition(name: &str) -> Vec<u8> {
    let mut definition = Vec::new();
    for part in ["def", "", "", "", name, ""] {
        push_length_encoded_bytes(&mut definition, part.as_bytes());
    }
    definition.extend_from_slice(&[0x0c, UTF8MB4_GENERAL_CI, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0x1f, 0, 0]);
    definition
}

/// A result of one row, as packets that answer a command.
pub fn encode_single_row(row: &[NamedValue]) -> Vec<u8> {
    let mut packets = Vec::new();
    let mut sequence = push_packets(&mut packets, 1, &[row.len() as u8]);
    for column in row {
        sequence = push_packets(&mut packets, sequence, &column_definition(&column.name));
    }
    sequence = push_packets(&mut packets, sequence, &eof(AUTOCOMMIT));
    let mut values = Vec::new();
    row.iter().for_each(|column| push_length_encoded_bytes(&mut values, column.value.as_bytes()));
    sequence = push_packets(&mut packets, sequence, &values);
    push_packets(&mut packets, sequence, &eof(AUTOCOMMIT));
    packets
}

/// The cells of a text row up to the first malformed one; NULL is `None`.
pub fn text_row(payload: &[u8]) -> Vec<Option<&[u8]>> {
    let mut fields = FieldReader::new(payload);
    let mut cells = Vec::new();
    while let Some(first) = fields.rest().first() {
        if *first == NULL {
            fields.bytes(1);
            cells.push(None);
        } else if let Some(cell) = fields.length_encoded_bytes() {
            cells.push(Some(cell));
        } else {
            break;
        }
    }
    cells
}
