//! Results: reading a server's answer packet by packet, and the few that the router gives itself.
use crate::packet::{Fields, push, push_packed_bytes};

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
    let s = status.to_le_bytes();
    [0xfe, 0, 0, s[0], s[1]]
}

/// The status flags of an EOF payload; `None` for any other payload.
pub fn eof_status(payload: &[u8]) -> Option<u16> {
    match payload {
        [0xfe, _, _, a, b] => Some(u16::from_le_bytes([*a, *b])),
        _ => None,
    }
}

fn ok_status(payload: &[u8]) -> Option<u16> {
    let mut f = Fields(payload.get(1..)?);
    f.packed()?;
    f.packed()?;
    f.number(2).map(|n| n as u16)
}

/// Where an answer stands that is read payload by payload.
#[derive(Debug, PartialEq, Eq)]
pub enum State {
    /// The first payload of a result comes next.
    Start,
    /// So many column definitions come next, and then the end of them.
    Columns(u64),
    /// Rows come next.
    Rows,
    /// The answer is whole.
    Done,
    /// It ended in an error.
    Failed,
    /// It is nothing that this protocol knows.
    Malformed,
}

impl State {
    /// Takes the next payload.
    pub fn take(&mut self, payload: &[u8]) {
        let more = |status: Option<u16>| match status {
            Some(s) if s & MORE_RESULTS != 0 => State::Start,
            Some(_) => State::Done,
            None => State::Malformed,
        };
        *self = match (&*self, payload) {
            (State::Start | State::Rows, [0xff, _, _, ..]) => State::Failed,
            (State::Start, [0, ..]) => more(ok_status(payload)),
            // A server that asks for a local file: the router offers none.
            (State::Start, [0xfb, ..]) => State::Malformed,
            (State::Start, _) => match Fields(payload).packed() {
                Some(n) if n > 0 => State::Columns(n),
                _ => State::Malformed,
            },
            (State::Columns(0), _) => eof_status(payload).map_or(State::Malformed, |_| State::Rows),
            (State::Columns(n), _) => State::Columns(n - 1),
            (State::Rows, _) if eof_status(payload).is_some() => more(eof_status(payload)),
            (State::Rows, _) => State::Rows,
            _ => State::Malformed,
        };
    }
}

/// A column definition of a text.
fn column(name: &str) -> Vec<u8> {
    let mut b = Vec::new();
    for part in ["def", "", "", "", name, ""] {
        push_packed_bytes(&mut b, part.as_bytes());
    }
    b.extend_from_slice(&[0x0c, crate::auth::CHARSET, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0x1f, 0, 0]);
    b
}

/// A result of one row of texts, as packets after a command.
pub fn one_row(cells: &[(String, String)]) -> Vec<u8> {
    let mut to = Vec::new();
    let mut next = push(&mut to, 1, &[cells.len() as u8]);
    for (name, _) in cells {
        next = push(&mut to, next, &column(name));
    }
    next = push(&mut to, next, &eof(AUTOCOMMIT));
    let mut row = Vec::new();
    cells.iter().for_each(|(_, value)| push_packed_bytes(&mut row, value.as_bytes()));
    next = push(&mut to, next, &row);
    push(&mut to, next, &eof(AUTOCOMMIT));
    to
}

/// The cells of a text row; NULL is `None`.
pub fn text_row(payload: &[u8]) -> Vec<Option<&[u8]>> {
    let mut f = Fields(payload);
    let mut cells = Vec::new();
    while !f.0.is_empty() {
        if f.0[0] == 0xfb {
            f.0 = &f.0[1..];
            cells.push(None);
        } else if let Some(b) = f.packed_bytes() {
            cells.push(Some(b));
        } else {
            break;
        }
    }
    cells
}
