//! Scans the text of a statement: normalizes it, extracts the fields of its comments, and checks whether it
//! can run on server connections that clients share.
use crate::errors::{CommandError, UNSUPPORTED};
use crate::protocol::SERVER_VERSION;
use crate::results::NamedValue;
use std::iter::Peekable;
use std::str::CharIndices;

const TRANSACTIONS_UNSUPPORTED: &str =
    "transactions are not carried: each statement is routed and committed by itself";
const SESSION_STATE_UNSUPPORTED: &str =
    "statements that set session state are not carried: server connections are shared";
const FILES_UNSUPPORTED: &str = "files are not carried";
const SESSION_FUNCTIONS_UNSUPPORTED: &str =
    "functions of the server's session are not carried: server connections are shared";

/// Functions whose result depends on the state of the server session.
const SESSION_FUNCTIONS: [&str; 6] =
    ["last_insert_id", "found_rows", "row_count", "get_lock", "release_lock", "connection_id"];

/// First words of the statements that a server runs as a whole.
const ATOMIC_STATEMENTS: [&str; 17] = [
    "select", "show", "describe", "desc", "explain", "table", "values", "with", "do", "insert", "replace",
    "update", "delete", "create", "alter", "drop", "truncate",
];

/// A `name=value` field in a comment.
#[derive(Debug)]
struct CommentField {
    name: String,
    value: String,
}

/// Result of scanning a statement.
#[derive(Debug, Default)]
pub struct ScannedStatement {
    /// Text in lower case without comments. Each sequence of white space is one space, and each quoted string
    /// is `''`.
    pub normalized: String,
    /// Number of parameter markers, limited to the maximum of the type.
    pub parameters: u16,
    comment_fields: Vec<CommentField>,
}

/// Scans a statement. The contents of quoted strings and comments are ignored, except for the fields of
/// comments.
pub fn scan(text: &str) -> ScannedStatement {
    let mut scanner = Scanner {
        text,
        rest: text.char_indices().peekable(),
        statement: ScannedStatement::default(),
        comments: String::new(),
    };
    while let Some((offset, c)) = scanner.rest.next() {
        scanner.scan_char(offset, c);
    }
    scanner.finish()
}

struct Scanner<'a> {
    text: &'a str,
    rest: Peekable<CharIndices<'a>>,
    statement: ScannedStatement,
    /// Contents of all comments, each followed by a comma.
    comments: String,
}

impl Scanner<'_> {
    fn scan_char(&mut self, offset: usize, c: char) {
        let remaining = &self.text[offset..];
        match c {
            '\'' | '"' | '`' => self.skip_quoted(c),
            // Servers execute the contents of `/*!` comments.
            '/' if remaining.starts_with("/*") && !remaining.starts_with("/*!") => self.scan_comment(offset),
            '#' => self.skip_line(),
            '-' if remaining.starts_with("-- ") || remaining.starts_with("--\n") => self.skip_line(),
            c if c.is_whitespace() => self.push_space(),
            '?' => {
                self.statement.parameters = self.statement.parameters.saturating_add(1);
                self.statement.normalized.push('?');
            }
            c => self.statement.normalized.extend(c.to_lowercase()),
        }
    }

    /// Skips quoted text but copies the quotes. A name between backticks is copied as well.
    fn skip_quoted(&mut self, quote: char) {
        self.statement.normalized.push(quote);
        while let Some((_, c)) = self.rest.next() {
            if c == '\\' && quote != '`' {
                self.rest.next();
            } else if c == quote {
                // A doubled quote is an escaped quote and does not end the quoted text.
                if self.rest.next_if(|(_, next)| *next == quote).is_none() {
                    break;
                }
            } else if quote == '`' {
                self.statement.normalized.extend(c.to_lowercase());
            }
        }
        self.statement.normalized.push(quote);
    }

    fn scan_comment(&mut self, offset: usize) {
        let remaining = &self.text[offset..];
        let length = remaining.find("*/").map_or(remaining.len(), |end| end + 2);
        self.comments.push_str(remaining[2..length].trim_end_matches("*/"));
        self.comments.push(',');
        while self.rest.next_if(|(next, _)| *next < offset + length).is_some() {}
        self.push_space();
    }

    fn skip_line(&mut self) {
        while self.rest.next_if(|(_, c)| *c != '\n').is_some() {}
    }

    fn push_space(&mut self) {
        let normalized = &mut self.statement.normalized;
        if !normalized.is_empty() && !normalized.ends_with(' ') {
            normalized.push(' ');
        }
    }

    fn finish(mut self) -> ScannedStatement {
        let normalized = &mut self.statement.normalized;
        normalized.truncate(normalized.trim_end_matches([' ', ';']).len());
        let pairs = self.comments.split(',').filter_map(|pair| pair.split_once('='));
        let fields = pairs.map(|(name, value)| CommentField {
            name: name.trim().to_string(),
            value: value.trim().to_string(),
        });
        self.statement.comment_fields = fields.collect();
        self.statement
    }
}

impl ScannedStatement {
    /// Returns the value of the first comment field with this name.
    pub fn comment_field(&self, name: &str) -> Option<&str> {
        let field = self.comment_fields.iter().find(|field| field.name == name);
        field.map(|field| field.value.as_str())
    }

    fn words(&self) -> impl Iterator<Item = &str> {
        let is_separator = |c: char| !(c.is_alphanumeric() || matches!(c, '_' | '@'));
        self.normalized.split(is_separator).filter(|word| !word.is_empty())
    }

    /// Returns whether the statement calls a stored procedure.
    pub fn is_call(&self) -> bool {
        self.words().next() == Some("call")
    }

    /// Returns whether the server runs the statement as a whole: if it fails, none of its changes remain. Each
    /// statement of a stored procedure, or of a block of statements, takes effect by itself.
    pub fn is_atomic(&self) -> bool {
        self.words().next().is_some_and(|word| ATOMIC_STATEMENTS.contains(&word))
    }

    /// Returns whether the statement only reads. Any other statement is sent only to a primary and never
    /// retried.
    pub fn is_read_only(&self) -> bool {
        match self.words().next().unwrap_or("") {
            "select" | "show" | "describe" | "desc" | "explain" | "table" | "values" => true,
            "with" => !self.words().any(|word| matches!(word, "insert" | "update" | "delete" | "replace")),
            _ => false,
        }
    }

    /// Checks that the statement is supported. Server connections are shared, so a statement must not change
    /// the state of a server session.
    ///
    /// # Errors
    /// The statement uses or changes the state of a server session, or uses files.
    pub fn check_supported(&self) -> Result<(), CommandError> {
        match self.unsupported_feature() {
            Some(text) => Err(CommandError::new(UNSUPPORTED, text)),
            None => Ok(()),
        }
    }

    fn unsupported_feature(&self) -> Option<&'static str> {
        let mut words = self.words();
        let (first, second) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        match (first, second) {
            ("begin" | "commit" | "rollback" | "savepoint" | "release" | "xa", _)
            | ("start", "transaction") => Some(TRANSACTIONS_UNSUPPORTED),
            ("set", _) if self.sets_default_state() => None,
            ("set" | "use" | "lock" | "unlock" | "prepare" | "execute" | "deallocate" | "handler", _)
            | ("create" | "drop", "temporary") => Some(SESSION_STATE_UNSUPPORTED),
            ("load", _) => Some(FILES_UNSUPPORTED),
            _ if self.uses_user_variables() => Some(SESSION_STATE_UNSUPPORTED),
            _ if self.calls_session_function() => Some(SESSION_FUNCTIONS_UNSUPPORTED),
            _ => None,
        }
    }

    fn uses_user_variables(&self) -> bool {
        let is_user_variable = |word: &str| word.starts_with('@') && !word.starts_with("@@");
        self.normalized.contains(":=") || self.words().any(is_user_variable)
    }

    fn calls_session_function(&self) -> bool {
        self.words()
            .any(|word| SESSION_FUNCTIONS.contains(&word) && self.normalized.contains(&format!("{word}(")))
    }

    /// Returns whether the statement is a SET that assigns a value that every connection has by default.
    /// Drivers send such statements when they connect.
    pub fn sets_default_state(&self) -> bool {
        let assignment = self.normalized.replace(" = ", "=").replace("session ", "").replace("@@", "");
        matches!(assignment.as_str(), "set names utf8mb4" | "set autocommit=1" | "set autocommit=on")
    }

    /// Returns the router's values if the statement is a SELECT of system variables only, and `None` for any
    /// other statement.
    pub fn selected_system_variables(&self, max_allowed_packet: usize) -> Option<Vec<NamedValue>> {
        let list = self.normalized.strip_prefix("select ")?;
        let list = list.strip_suffix(" limit 1").unwrap_or(list);
        list.split(',')
            .map(|item| {
                let name = item.trim().strip_prefix("@@")?;
                let value = system_variable(name, max_allowed_packet)?;
                Some(NamedValue { name: format!("@@{name}"), value })
            })
            .collect()
    }
}

fn system_variable(name: &str, max_allowed_packet: usize) -> Option<String> {
    match name.trim_start_matches("session.").trim_start_matches("global.") {
        "max_allowed_packet" => Some(max_allowed_packet.to_string()),
        "wait_timeout" | "interactive_timeout" => Some("28800".into()),
        "version" => Some(SERVER_VERSION.into()),
        "version_comment" => Some("damsonvale".into()),
        "autocommit" => Some("1".into()),
        "character_set_client" | "character_set_connection" | "character_set_results" => {
            Some("utf8mb4".into())
        }
        _ => None,
    }
}
