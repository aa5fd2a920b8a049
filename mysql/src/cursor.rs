//! Cursors: rows that a client fetches a few at a time. They stay in the router, since server connections are shared.
use crate::request::ResponsePayloads;
use crate::results::{AUTOCOMMIT, CURSOR_EXISTS, LAST_ROW_SENT, ResponseState, eof, eof_status};
use std::collections::VecDeque;

/// The rows that a client has not fetched yet.
pub struct Cursor {
    rows: VecDeque<Vec<u8>>,
}

/// A cursor with what its client gets at once.
pub struct OpenedCursor {
    /// Column definitions and their end.
    pub head: ResponsePayloads,
    /// The rows.
    pub cursor: Cursor,
}

impl Cursor {
    /// Opens a cursor on a response.
    ///
    /// # Errors
    /// The response, which the client gets at once, where it is not a single result with rows.
    pub fn open(response: ResponsePayloads) -> Result<OpenedCursor, ResponsePayloads> {
        let Some(first_row) = first_row(&response) else { return Err(response) };
        let mut head = response;
        let mut rows: VecDeque<Vec<u8>> = head.split_off(first_row).into();
        rows.pop_back();
        // Several results do not go through a cursor.
        if rows.iter().any(|row| eof_status(row).is_some()) {
            head.extend(rows);
            head.push(eof(AUTOCOMMIT).to_vec());
            return Err(head);
        }
        if let Some(end_of_columns) = head.last_mut() {
            *end_of_columns = eof(AUTOCOMMIT | CURSOR_EXISTS).to_vec();
        }
        Ok(OpenedCursor { head, cursor: Cursor { rows } })
    }

    /// The next rows, up to `count`, and their end.
    pub fn fetch(&mut self, count: usize) -> ResponsePayloads {
        let count = count.min(self.rows.len());
        let mut payloads: Vec<Vec<u8>> = self.rows.drain(..count).collect();
        let status = if self.rows.is_empty() { LAST_ROW_SENT } else { CURSOR_EXISTS };
        payloads.push(eof(AUTOCOMMIT | status).to_vec());
        payloads
    }
}

/// The index of the payload behind the first result's column definitions; `None` where the response is not complete or
/// has no result with rows.
fn first_row(response: &ResponsePayloads) -> Option<usize> {
    let (mut state, mut first_row) = (ResponseState::Start, None);
    for (index, payload) in response.iter().enumerate() {
        state.advance(payload);
        if state == ResponseState::Rows && first_row.is_none() {
            first_row = Some(index + 1);
        }
    }
    first_row.filter(|_| state == ResponseState::Done)
}
