//! The text of a statement: its normalized form, the fields of its comments, and whether it can run on server
//! connections that clients share.
mod scanner;
mod support;

pub use scanner::scan;

use crate::errors::{CommandError, UNSUPPORTED};
use crate::protocol::SERVER_VERSION;
use crate::results::NamedValue;

/// First words of the statements that a server runs as a whole.
const ATOMIC_STATEMENTS: [&str; 17] = [
    "select", "show", "describe", "desc", "explain", "table", "values", "with", "do", "insert", "replace",
    "update", "delete", "create", "alter", "drop", "truncate",
];

/// Names of the comment fields that are kept: class, group, wait time, session and tenant.
const COMMENT_FIELD_NAMES: [&str; 5] = ["c", "cluster", "d", "s", "t"];

/// A `name=value` field in a comment.
#[derive(Debug)]
struct CommentField {
    name: String,
    value: String,
}

/// Result of scanning a statement.
#[derive(Debug, Default)]
pub struct ScannedStatement {
    /// Text in lower case without comments, but with the contents of executable comments. Each sequence of white space is one space, and each quoted string
    /// is `''`.
    pub normalized: String,
    /// Whether the text holds an executable comment (`/*! ... */`).
    pub has_executable_comment: bool,
    /// Whether text other than comments follows a semicolon.
    has_text_after_semicolon: bool,
    /// The statement that a server runs if it skips the executable comments; `None` if there are none.
    unconditional: Option<Box<ScannedStatement>>,
    /// Number of parameter markers, limited to the maximum of the type.
    pub parameters: u16,
    comment_fields: Vec<CommentField>,
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

    /// Returns the statements that a server may run: with and without the contents of executable comments,
    /// depending on its version. A reading without any words runs nothing.
    fn readings(&self) -> impl Iterator<Item = &ScannedStatement> {
        let unconditional = self.unconditional.as_deref().filter(|reading| !reading.normalized.is_empty());
        std::iter::once(self).chain(unconditional)
    }

    /// Returns whether the statement calls a stored procedure.
    pub fn is_call(&self) -> bool {
        self.readings().any(|statement| statement.words().next() == Some("call"))
    }

    /// Returns whether the server runs the statement as a whole: if it fails, none of its changes remain. Each
    /// statement of a stored procedure, or of a block of statements, takes effect by itself.
    pub fn is_atomic(&self) -> bool {
        let is_atomic = |word: &str| ATOMIC_STATEMENTS.contains(&word);
        self.readings().all(|statement| statement.words().next().is_some_and(is_atomic))
    }

    /// Returns whether the statement only reads. Any other statement is sent only to a primary and never
    /// retried.
    pub fn is_read_only(&self) -> bool {
        self.readings().all(ScannedStatement::starts_like_read)
    }

    fn starts_like_read(&self) -> bool {
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
        match support::unsupported_feature(self) {
            Some(text) => Err(CommandError::new(UNSUPPORTED, text)),
            None => Ok(()),
        }
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
