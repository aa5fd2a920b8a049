//! Cursors, from which a client fetches rows in batches. The router buffers the rows, because server
//! connections are shared between clients.
use crate::request::{Response, ResponsePayloads};
use crate::results::{AUTOCOMMIT, CURSOR_EXISTS, LAST_ROW_SENT, ResponseState, encode_eof, eof_status};
use client_listener::memory::ResponseMemory;
use std::collections::VecDeque;

/// Buffered rows that the client has not fetched yet.
pub struct Cursor {
    rows: VecDeque<Vec<u8>>,
    /// Memory of the rows, until the cursor is closed.
    _memory: Option<ResponseMemory>,
}

/// A new cursor, and the response that the client receives when the cursor is opened.
pub struct OpenedCursor {
    /// Column definitions and the EOF payload that terminates them.
    pub column_payloads: ResponsePayloads,
    /// Cursor with all rows of the result set.
    pub cursor: Cursor,
}

impl Cursor {
    /// Opens a cursor on a response.
    ///
    /// # Errors
    /// Returns the response, for immediate delivery to the client, if it is not a single result set.
    pub fn open(response: Response) -> Result<OpenedCursor, Response> {
        let Some(first_row_index) = first_row_index(&response.payloads) else { return Err(response) };
        let Response { payloads: mut column_payloads, memory } = response;
        let mut rows: VecDeque<Vec<u8>> = column_payloads.split_off(first_row_index).into();
        rows.pop_back();
        // The response has several result sets, which a cursor does not support.
        if rows.iter().any(|row| eof_status(row).is_some()) {
            column_payloads.extend(rows);
            column_payloads.push(encode_eof(AUTOCOMMIT).to_vec());
            return Err(Response { payloads: column_payloads, memory });
        }
        if let Some(end_of_columns) = column_payloads.last_mut() {
            *end_of_columns = encode_eof(AUTOCOMMIT | CURSOR_EXISTS).to_vec();
        }
        Ok(OpenedCursor { column_payloads, cursor: Cursor { rows, _memory: memory } })
    }

    /// Returns up to `count` rows and the EOF payload that terminates them.
    pub fn fetch(&mut self, count: usize) -> ResponsePayloads {
        let count = count.min(self.rows.len());
        let mut payloads: Vec<Vec<u8>> = self.rows.drain(..count).collect();
        let status = if self.rows.is_empty() { LAST_ROW_SENT } else { CURSOR_EXISTS };
        payloads.push(encode_eof(AUTOCOMMIT | status).to_vec());
        payloads
    }
}

/// Returns the index of the payload after the column definitions of the first result set. Returns `None` if
/// the response is incomplete or has no result set.
fn first_row_index(response: &ResponsePayloads) -> Option<usize> {
    let (mut state, mut first_row_index) = (ResponseState::Start, None);
    for (index, payload) in response.iter().enumerate() {
        state.advance(payload);
        if state == ResponseState::Rows && first_row_index.is_none() {
            first_row_index = Some(index + 1);
        }
    }
    first_row_index.filter(|_| matches!(state, ResponseState::Done(_)))
}
