//! What is wrong with a configuration, and under which keys.
use serde_json::Value;
use std::borrow::Cow;
use std::fmt::Display;
use thiserror::Error;

/// What is wrong with a configuration. The message begins with the keys that lead to the fault, the outermost first:
/// `mysql: class[2]: expected safe or unsafe in 'effect', found 'odd'`.
#[derive(Debug, Error)]
#[error("{}{fault}", path_prefix(.path))]
pub struct Error {
    /// The keys around the fault, the innermost first.
    path: Vec<String>,
    fault: Box<Fault>,
}

/// The fault itself.
#[derive(Debug, Error)]
pub enum Fault {
    /// A key that must be set is not.
    #[error("expected the field '{0}', found none")]
    MissingKey(String),
    /// A key's value can't be used.
    #[error("expected {expected} in '{key}', found {found}")]
    InvalidValue {
        /// The key.
        key: String,
        /// What may stand there.
        expected: Cow<'static, str>,
        /// What stands there; never the value of a key that takes a secret.
        found: String,
    },
    /// What stands under the innermost key of the path can't be used, or its keys contradict each other.
    #[error("expected {expected}, found {found}")]
    Invalid {
        /// What may stand there.
        expected: Cow<'static, str>,
        /// What stands there.
        found: String,
    },
    /// A key that nothing reads: most often a misspelling.
    #[error("the key '{key}' is not known; known are {}", known.join(", "))]
    UnknownKey {
        /// The key.
        key: String,
        /// The keys that may stand beside it.
        known: Vec<String>,
    },
    /// The table `[fleet]` can't be used.
    #[error(transparent)]
    Fleet(#[from] crate::fleet::FleetError),
    /// The table `[members]` can't be used.
    #[error(transparent)]
    Members(#[from] crate::members::Error),
    /// The bounds of discovery's watch are inconsistent.
    #[error(transparent)]
    Watch(#[from] crate::limits::WatchError),
    /// The text is not JSON.
    #[error("expected JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The text is not TOML.
    #[error("expected TOML: {0}")]
    Toml(#[from] toml::de::Error),
}

/// The keys before the message, the outermost first.
fn path_prefix(path: &[String]) -> String {
    path.iter().rev().map(|key| format!("{key}: ")).collect()
}

/// The kind of a value, for messages; not the value itself, which may be a secret.
pub fn json_kind(v: &Value) -> &'static str {
    match v {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "an array",
        Value::Object(_) => "a table",
    }
}

impl Error {
    /// The error for a key that must be set and is not.
    pub fn missing(key: &str) -> Error {
        Fault::MissingKey(key.into()).into()
    }

    /// The error for a key whose value can't be used: what may stand there, and what does.
    pub fn invalid_value(key: &str, expected: impl Into<Cow<'static, str>>, found: impl Display) -> Error {
        Fault::InvalidValue { key: key.into(), expected: expected.into(), found: found.to_string() }.into()
    }

    /// The error for what can't be used as a whole: [`Error::under_key`] names it, or `expected` does.
    pub fn invalid(expected: impl Into<Cow<'static, str>>, found: impl Display) -> Error {
        Fault::Invalid { expected: expected.into(), found: found.to_string() }.into()
    }

    /// The same fault, under this key.
    #[must_use]
    pub fn under_key(mut self, key: impl Into<String>) -> Error {
        self.path.push(key.into());
        self
    }

    /// The keys around the fault, the outermost first.
    pub fn path(&self) -> impl Iterator<Item = &str> {
        self.path.iter().rev().map(String::as_str)
    }

    /// The fault itself.
    pub fn fault(&self) -> &Fault {
        &self.fault
    }
}

impl<F: Into<Fault>> From<F> for Error {
    fn from(fault: F) -> Error {
        Error { path: Vec::new(), fault: Box::new(fault.into()) }
    }
}
