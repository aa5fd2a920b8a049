//! The statements that a session runs, as text and prepared.
use super::program::{self, ProgramResult};
use super::session::Session;
use super::{LoggedStatement, Shared};
use crate::wire::{EOF, ERROR_SYNTAX, SET_DEFAULTS, column, error, packets, row};

/// Error code for a prepared statement that does not exist.
const ERROR_UNKNOWN_STATEMENT: u16 = 1243;

impl Session {
    pub(super) fn run(&mut self, shared: &mut Shared, text: &str) -> Vec<u8> {
        if text.starts_with("SELECT probe") {
            return row(&["0", "1"]);
        }
        let statement = effective_text(text);
        shared.log.push(LoggedStatement { session: self.number, text: statement.clone() });
        if text == SET_DEFAULTS {
            self.autocommit = true;
            return packets(1, &[&self.ok()]);
        }
        let argument = statement.split('\'').nth(1).unwrap_or("").to_string();
        if statement.starts_with("insert into orders") {
            self.insert(shared, &argument);
            return packets(1, &[&self.ok()]);
        }
        match program::run(self, shared, &statement, &argument) {
            Some(ProgramResult::Done) => packets(1, &[&self.ok()]),
            Some(ProgramResult::Value(value)) => row(&[&value]),
            Some(ProgramResult::Error(code)) => error(code, "failed"),
            None => error(ERROR_SYNTAX, "not known here"),
        }
    }

    /// Prepares a statement without parameters.
    pub(super) fn prepare(&mut self, text: &str) -> Vec<u8> {
        let id = self.prepared.len() as u32 + 1;
        self.prepared.insert(id, text.to_string());
        let returns_rows = u8::from(effective_text(text).starts_with("select"));
        let head = [&[0][..], &id.to_le_bytes(), &[returns_rows, 0, 0, 0, 0, 0, 0]].concat();
        let definition = column("c");
        if returns_rows == 0 {
            return packets(1, &[&head]);
        }
        packets(1, &[&head, &definition, EOF])
    }

    /// Executes a prepared statement that returns no rows.
    pub(super) fn execute(&mut self, shared: &mut Shared, body: &[u8]) -> Vec<u8> {
        let id = body.first_chunk().map(|bytes| u32::from_le_bytes(*bytes)).unwrap_or_default();
        match self.prepared.get(&id).cloned() {
            Some(text) => self.run(shared, &text),
            None => error(ERROR_UNKNOWN_STATEMENT, "not prepared in this session"),
        }
    }
}

/// Returns the statement as a server of version 8.0.36 runs it, in lower case: without comments, but with the contents
/// of executable ones.
fn effective_text(text: &str) -> String {
    let (mut result, mut rest) = (String::new(), text);
    while let Some((before, comment)) = rest.split_once("/*") {
        result.push_str(before);
        let (contents, after) = comment.split_once("*/").unwrap_or((comment, ""));
        if let Some(executable) = contents.strip_prefix('!') {
            result.push_str(executable.trim_start_matches(|c: char| c.is_ascii_digit()));
        }
        rest = after;
    }
    result.push_str(rest);
    let words: Vec<&str> = result.split_whitespace().collect();
    words.join(" ").to_lowercase()
}
