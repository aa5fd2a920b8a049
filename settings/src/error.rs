//! Configuration errors and the keys at which they occur.
use serde_json::Value;
use std::borrow::Cow;
use std::fmt::Display;
use thiserror::Error;

/// A configuration error. The message starts with the path of keys to the faulty value, outermost key first:
/// `mysql: class[2]: expected safe or unsafe in 'effect', found 'odd'`.
#[derive(Debug, Error)]
#[error("{}{fault}", path_prefix(.path))]
pub struct Error {
    /// The keys that enclose the faulty value, innermost first.
    path: Vec<String>,
    fault: Box<Fault>,
}

/// The kind of a configuration error, without the path of enclosing keys.
#[derive(Debug, Error)]
pub enum Fault {
    /// A required key is missing.
    #[error("expected the field '{0}', found none")]
    MissingKey(String),
    /// The value of a key is invalid.
    #[error("expected {expected} in '{key}', found {found}")]
    InvalidValue {
        /// Name of the faulty key.
        key: String,
        /// Description of the accepted values.
        expected: Cow<'static, str>,
        /// The value found in the configuration, or only its kind where it may be a secret.
        found: String,
    },
    /// The value at the path is invalid as a whole, or its keys contradict each other.
    #[error("expected {expected}, found {found}")]
    Invalid {
        /// Description of the accepted values.
        expected: Cow<'static, str>,
        /// Description of the value found in the configuration.
        found: String,
    },
    /// A key that the configuration format does not define, usually a misspelling.
    #[error("the key '{key}' is not known; known are {}", known.join(", "))]
    UnknownKey {
        /// Name of the faulty key.
        key: String,
        /// The keys that the enclosing table may contain.
        known: Vec<String>,
    },
    /// The table `[fleet]` is invalid.
    #[error(transparent)]
    Fleet(#[from] crate::fleet::FleetError),
    /// The table `[members]` is invalid.
    #[error(transparent)]
    Members(#[from] crate::members::Error),
    /// The limits for the watch of discovery contradict each other.
    #[error(transparent)]
    Watch(#[from] crate::limits::WatchError),
    /// The configuration text is not valid JSON.
    #[error("expected JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The configuration text is not valid TOML.
    #[error("expected TOML: {0}")]
    Toml(#[from] toml::de::Error),
}

/// Formats the path of enclosing keys as the prefix of an error message, outermost key first.
fn path_prefix(path: &[String]) -> String {
    path.iter().rev().map(|key| format!("{key}: ")).collect()
}

/// Name of a JSON value's type for error messages, which must not show the value because it may be a secret.
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
    /// Creates the error for a required key that is missing.
    pub fn missing(key: &str) -> Error {
        Fault::MissingKey(key.into()).into()
    }

    /// Creates the error for a key with an invalid value; `expected` describes the accepted values.
    pub fn invalid_value(key: &str, expected: impl Into<Cow<'static, str>>, found: impl Display) -> Error {
        Fault::InvalidValue { key: key.into(), expected: expected.into(), found: found.to_string() }.into()
    }

    /// Creates the error for a table or value that is invalid as a whole. The message names no key of its
    /// own: add it with [`Error::under_key`], or name it in `expected`.
    pub fn invalid(expected: impl Into<Cow<'static, str>>, found: impl Display) -> Error {
        Fault::Invalid { expected: expected.into(), found: found.to_string() }.into()
    }

    /// Adds an enclosing key to the error's path.
    #[must_use]
    pub fn under_key(mut self, key: impl Into<String>) -> Error {
        self.path.push(key.into());
        self
    }

    /// Returns the keys that enclose the faulty value, outermost first.
    pub fn path(&self) -> impl Iterator<Item = &str> {
        self.path.iter().rev().map(String::as_str)
    }

    /// Returns the kind of the error, without the path of enclosing keys.
    pub fn fault(&self) -> &Fault {
        &self.fault
    }
}

impl<F: Into<Fault>> From<F> for Error {
    fn from(fault: F) -> Error {
        Error { path: Vec::new(), fault: Box::new(fault.into()) }
    }
}
