//! What clients have prepared. The ids are the router's own; where a statement is prepared on a server is the
//! link's affair.
use crate::link::Payloads;
use crate::packet::Fields;
use crate::results::{AUTOCOMMIT, CURSOR_EXISTS, LAST_ROW_SENT, State, eof, eof_status};
use crate::statement::Need;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A statement that a client has prepared.
pub struct Prepared {
    /// Its text.
    pub text: Arc<[u8]>,
    /// What it needs.
    pub need: Need,
    /// Its parameters.
    pub parameters: Parameters,
    /// Long parameters sent ahead.
    pub long: BTreeMap<u16, Vec<u8>>,
    /// They grew beyond what is taken.
    pub long_too_large: bool,
    /// Rows not fetched yet.
    pub cursor: Option<Cursor>,
}

/// A statement's parameters.
pub struct Parameters {
    /// How many it takes.
    pub count: usize,
    /// Their types as the client last sent them.
    pub types: Vec<u8>,
}

/// An execution for a server: its body behind the statement's id.
#[derive(Debug, PartialEq, Eq)]
pub struct Execution {
    /// Flags, count and parameters.
    pub body: Vec<u8>,
    /// The client wants to fetch the rows.
    pub cursor: bool,
}

impl Prepared {
    /// A statement just prepared.
    pub fn new(text: Arc<[u8]>, need: Need, parameters: usize) -> Self {
        let parameters = Parameters { count: parameters, types: Vec::new() };
        Prepared { text, need, parameters, long: BTreeMap::new(), long_too_large: false, cursor: None }
    }

    /// Drops what a reset drops.
    pub fn reset(&mut self) {
        self.long.clear();
        self.long_too_large = false;
        self.cursor = None;
    }
}

impl Parameters {
    /// Reads the client's execution. Its types are always sent on: the server connection may be another one
    /// each time.
    pub fn execution(&mut self, payload: &[u8]) -> Option<Execution> {
        let mut f = Fields(payload);
        let (flags, count) = (f.number(1)?, f.number(4)?);
        if flags > 1 || count != 1 {
            return None;
        }
        let mut body = vec![0, 1, 0, 0, 0];
        if self.count > 0 {
            body.extend_from_slice(f.bytes(self.count.div_ceil(8))?);
            if f.number(1)? == 1 {
                self.types = f.bytes(2 * self.count)?.to_vec();
            }
            if self.types.len() != 2 * self.count {
                return None;
            }
            body.push(1);
            body.extend_from_slice(&self.types);
            body.extend_from_slice(f.0);
        }
        Some(Execution { body, cursor: flags == 1 })
    }
}

/// Rows that a client fetches a few at a time. They stand in the router: server connections are shared.
pub struct Cursor {
    rows: VecDeque<Vec<u8>>,
}

impl Cursor {
    /// Opens a cursor on an answer's payloads: what the client gets at once, and the rows. `None` where the
    /// answer is not one result with rows; then the client gets all of it at once.
    pub fn open(payloads: Payloads) -> Result<(Payloads, Cursor), Payloads> {
        let (mut state, mut first_row) = (State::Start, None);
        for (i, p) in payloads.iter().enumerate() {
            state.take(p);
            if state == State::Rows && first_row.is_none() {
                first_row = Some(i + 1);
            }
        }
        let (Some(at), State::Done) = (first_row, state) else { return Err(payloads) };
        let mut head = payloads;
        let mut rows: VecDeque<Vec<u8>> = head.split_off(at).into();
        rows.pop_back();
        // Several results do not go through a cursor.
        if rows.iter().any(|r| eof_status(r).is_some()) {
            head.extend(rows);
            head.push(eof(AUTOCOMMIT).to_vec());
            return Err(head);
        }
        if let Some(end) = head.last_mut() {
            *end = eof(AUTOCOMMIT | CURSOR_EXISTS).to_vec();
        }
        Ok((head, Cursor { rows }))
    }

    /// The next rows and their end.
    pub fn fetch(&mut self, n: usize) -> Vec<Vec<u8>> {
        let n = n.min(self.rows.len());
        let mut payloads: Vec<Vec<u8>> = self.rows.drain(..n).collect();
        let left = if self.rows.is_empty() { LAST_ROW_SENT } else { CURSOR_EXISTS };
        payloads.push(eof(AUTOCOMMIT | left).to_vec());
        payloads
    }
}
