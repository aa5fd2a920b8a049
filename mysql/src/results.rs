//! Results of commands: tracks a server's response payload by payload, and encodes the results that the
//! router itself returns.
use crate::fields::{FieldReader, NULL, push_length_encoded_bytes};
use crate::packet::push_packets;
use crate::protocol::UTF8MB4_GENERAL_CI;

/// Status flag: a transaction is open.
pub const IN_TRANSACTION: u16 = 1;
/// Status flag: the session is in autocommit mode.
pub const AUTOCOMMIT: u16 = 2;
/// Status flag: another result follows.
pub const MORE_RESULTS: u16 = 8;
/// Status flag: a cursor is open and has rows left to fetch.
pub const CURSOR_EXISTS: u16 = 64;
/// Status flag: all rows of the cursor have been fetched.
pub const LAST_ROW_SENT: u16 = 128;

/// First byte of an OK payload.
const OK_HEADER: u8 = 0;

/// Payload of an OK packet in which only the autocommit status flag is set.
pub const OK: &[u8] = &[0, 0, 0, AUTOCOMMIT as u8, 0, 0, 0];

/// Encodes an EOF payload with these status flags.
pub fn encode_eof(status: u16) -> [u8; 5] {
    let status = status.to_le_bytes();
    [0xfe, 0, 0, status[0], status[1]]
}

/// Returns the status flags of an EOF payload, and `None` for any other payload.
pub fn eof_status(payload: &[u8]) -> Option<u16> {
    match payload {
        [0xfe, _, _, low, high] => Some(u16::from_le_bytes([*low, *high])),
        _ => None,
    }
}

/// State of a session as its server reports it in the status flags of an OK or EOF payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionStatus(u16);

impl SessionStatus {
    /// Returns the status in an OK payload, and `None` for any other payload.
    pub fn from_ok(payload: &[u8]) -> Option<SessionStatus> {
        let fields = payload.strip_prefix(&[OK_HEADER])?;
        let mut fields = FieldReader::new(fields);
        let _affected_rows = fields.length_encoded_integer()?;
        let _last_insert_id = fields.length_encoded_integer()?;
        fields.integer(2).map(|status| SessionStatus(status as u16))
    }

    /// Returns whether a transaction is open.
    pub fn in_transaction(self) -> bool {
        self.0 & IN_TRANSACTION != 0
    }

    /// Returns whether the server commits each statement by itself.
    pub fn is_autocommit(self) -> bool {
        self.0 & AUTOCOMMIT != 0
    }

    fn has_more_results(self) -> bool {
        self.0 & MORE_RESULTS != 0
    }
}

/// State of a response that is read payload by payload.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseState {
    /// The next payload is the first one of a result.
    Start,
    /// The next payloads are this number of column definitions and an EOF.
    Columns(u64),
    /// The next payload is a row or the EOF after the rows.
    Rows,
    /// The response is complete, and leaves the session in this state.
    Done(SessionStatus),
    /// The response ended with an error.
    Failed,
    /// The response is malformed or not supported.
    Malformed,
}

impl ResponseState {
    /// Updates the state with the next payload.
    pub fn advance(&mut self, payload: &[u8]) {
        *self = match (&*self, payload) {
            (ResponseState::Start | ResponseState::Rows, [0xff, _, _, ..]) => ResponseState::Failed,
            (ResponseState::Start, [OK_HEADER, ..]) => {
                ResponseState::after_result(SessionStatus::from_ok(payload))
            }
            // The server requests a local file for `LOAD DATA LOCAL INFILE`, which the router does not
            // support.
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
                Some(status) => ResponseState::after_result(Some(SessionStatus(status))),
                None => ResponseState::Rows,
            },
            (ResponseState::Done(_) | ResponseState::Failed | ResponseState::Malformed, _) => {
                ResponseState::Malformed
            }
        };
    }

    /// Returns the state after a result with these status flags.
    fn after_result(status: Option<SessionStatus>) -> ResponseState {
        match status {
            Some(status) if status.has_more_results() => ResponseState::Start,
            Some(status) => ResponseState::Done(status),
            None => ResponseState::Malformed,
        }
    }
}

/// Name and value of a column in a result of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedValue {
    /// Name of the column.
    pub name: String,
    /// Value of the column, as text.
    pub value: String,
}

/// Encodes the definition of a text column.
fn encode_column_definition(name: &str) -> Vec<u8> {
    let mut definition = Vec::new();
    for part in ["def", "", "", "", name, ""] {
        push_length_encoded_bytes(&mut definition, part.as_bytes());
    }
    definition.extend_from_slice(&[0x0c, UTF8MB4_GENERAL_CI, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0x1f, 0, 0]);
    definition
}

/// Encodes a result of one row, as the packets of the response to a command.
pub fn encode_single_row(row: &[NamedValue]) -> Vec<u8> {
    let mut packets = Vec::new();
    let mut sequence = push_packets(&mut packets, 1, &[row.len() as u8]);
    for column in row {
        sequence = push_packets(&mut packets, sequence, &encode_column_definition(&column.name));
    }
    sequence = push_packets(&mut packets, sequence, &encode_eof(AUTOCOMMIT));
    let mut values = Vec::new();
    row.iter().for_each(|column| push_length_encoded_bytes(&mut values, column.value.as_bytes()));
    sequence = push_packets(&mut packets, sequence, &values);
    push_packets(&mut packets, sequence, &encode_eof(AUTOCOMMIT));
    packets
}

/// Parses the columns of a text row up to the first malformed one. A NULL value is `None`.
pub fn parse_text_row(payload: &[u8]) -> Vec<Option<&[u8]>> {
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
