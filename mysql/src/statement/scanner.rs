//! Normalizes the text of a statement and extracts the fields of its comments.
use super::{COMMENT_FIELD_NAMES, CommentField, ScannedStatement};
use std::iter::Peekable;
use std::str::CharIndices;

/// Openings of a comment whose contents a server runs: of any server, and of `MariaDB` alone.
const EXECUTABLE_COMMENTS: [&str; 2] = ["/*!", "/*M!"];

/// Scans a statement. The contents of quoted strings and comments are ignored, except for the fields of
/// comments and the contents of executable comments.
pub fn scan(text: &str) -> ScannedStatement {
    let mut scanner = Scanner {
        text,
        rest: text.char_indices().peekable(),
        statement: ScannedStatement::default(),
        unconditional: String::new(),
        comments: String::new(),
        position: Position::Statement,
        after_semicolon: false,
    };
    while let Some((offset, c)) = scanner.rest.next() {
        scanner.scan_char(offset, c);
    }
    scanner.finish()
}

/// Whether the scanner is within an executable comment. These comments do not nest.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Position {
    Statement,
    ExecutableComment,
}

struct Scanner<'a> {
    text: &'a str,
    rest: Peekable<CharIndices<'a>>,
    statement: ScannedStatement,
    /// The normalized text without executable comments.
    unconditional: String,
    /// Contents of all comments that are not executable, each followed by a comma.
    comments: String,
    position: Position,
    /// Whether the text so far ends with a semicolon.
    after_semicolon: bool,
}

impl Scanner<'_> {
    fn scan_char(&mut self, offset: usize, c: char) {
        let remaining = &self.text[offset..];
        let executable_comment = EXECUTABLE_COMMENTS.iter().find(|opening| remaining.starts_with(**opening));
        match c {
            '\'' | '"' | '`' => self.skip_quoted(c),
            '/' if let Some(opening) = executable_comment => self.enter_executable_comment(offset, opening),
            '/' if remaining.starts_with("/*") => self.scan_comment(offset),
            '*' if self.position == Position::ExecutableComment && remaining.starts_with("*/") => {
                self.leave_executable_comment();
            }
            '#' => self.skip_line(),
            '-' if starts_line_comment(remaining) => self.skip_line(),
            c if c.is_whitespace() => self.push_space(),
            ';' => {
                self.push(c);
                self.after_semicolon = true;
            }
            '?' => {
                self.statement.parameters = self.statement.parameters.saturating_add(1);
                self.push(c);
            }
            c => c.to_lowercase().for_each(|c| self.push(c)),
        }
    }

    /// Skips quoted text but copies the quotes. A name between backticks is copied as well.
    fn skip_quoted(&mut self, quote: char) {
        self.push(quote);
        while let Some((_, c)) = self.rest.next() {
            if c == '\\' && quote != '`' {
                self.rest.next();
            } else if c == quote {
                // A doubled quote is an escaped quote and does not end the quoted text.
                if self.rest.next_if(|(_, next)| *next == quote).is_none() {
                    break;
                }
            } else if quote == '`' {
                c.to_lowercase().for_each(|c| self.push(c));
            }
        }
        self.push(quote);
    }

    fn scan_comment(&mut self, offset: usize) {
        let remaining = &self.text[offset..];
        let length = remaining.find("*/").map_or(remaining.len(), |end| end + 2);
        self.comments.push_str(remaining[2..length].trim_end_matches("*/"));
        self.comments.push(',');
        self.skip_to(offset + length);
        self.push_space();
    }

    /// Skips the opening of an executable comment and the number of the server version from which on it runs.
    fn enter_executable_comment(&mut self, offset: usize, opening: &str) {
        self.push_space();
        self.skip_to(offset + opening.len());
        while self.rest.next_if(|(_, c)| c.is_ascii_digit()).is_some() {}
        self.position = Position::ExecutableComment;
        self.statement.has_executable_comment = true;
    }

    fn leave_executable_comment(&mut self) {
        // Skips the slash of the comment's end.
        self.rest.next();
        self.position = Position::Statement;
        self.push_space();
    }

    fn skip_to(&mut self, end: usize) {
        while self.rest.next_if(|(next, _)| *next < end).is_some() {}
    }

    fn skip_line(&mut self) {
        while self.rest.next_if(|(_, c)| *c != '\n').is_some() {}
    }

    fn push(&mut self, c: char) {
        if self.after_semicolon && c != ';' {
            self.statement.has_text_after_semicolon = true;
        }
        self.statement.normalized.push(c);
        if self.position == Position::Statement {
            self.unconditional.push(c);
        }
    }

    fn push_space(&mut self) {
        for normalized in [&mut self.statement.normalized, &mut self.unconditional] {
            if !normalized.is_empty() && !normalized.ends_with(' ') {
                normalized.push(' ');
            }
        }
    }

    fn finish(mut self) -> ScannedStatement {
        trim_end(&mut self.statement.normalized);
        trim_end(&mut self.unconditional);
        if self.statement.has_executable_comment {
            self.statement.unconditional = Some(Box::new(ScannedStatement {
                normalized: self.unconditional,
                has_text_after_semicolon: self.statement.has_text_after_semicolon,
                ..ScannedStatement::default()
            }));
        }
        for pair in self.comments.split(',') {
            let Some((name, value)) = pair.split_once('=') else { continue };
            let (name, value) = (name.trim(), value.trim());
            let is_first = self.statement.comment_field(name).is_none();
            if COMMENT_FIELD_NAMES.contains(&name) && is_first {
                let field = CommentField { name: name.to_string(), value: value.to_string() };
                self.statement.comment_fields.push(field);
            }
        }
        self.statement
    }
}

/// Returns whether a text that begins with `-` begins a comment: two dashes, and white space, a control character or
/// the end of the text.
fn starts_line_comment(text: &str) -> bool {
    let Some(rest) = text.strip_prefix("--") else { return false };
    rest.chars().next().is_none_or(|c| c.is_whitespace() || c.is_control())
}

fn trim_end(normalized: &mut String) {
    normalized.truncate(normalized.trim_end_matches([' ', ';']).len());
}
