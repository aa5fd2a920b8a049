//! Why a plan can't be played.
use thiserror::Error;

/// Why a plan can't be played.
#[derive(Debug, Error)]
pub enum PlanError {
    /// It is not TOML, or has a key that is not known or of another kind.
    #[error("{0}; correct the key that is named")]
    Toml(#[from] toml::de::Error),
    /// A key's value can't be used.
    #[error("{key}: expected {expected}, found {found}")]
    Value {
        /// The key, with the tables around it.
        key: String,
        /// The values that it may have.
        expected: String,
        /// The value that it has.
        found: String,
    },
}

impl PlanError {
    /// The error for a value that can't be used.
    pub(super) fn value(
        key: impl Into<String>,
        expected: impl Into<String>,
        found: impl ToString,
    ) -> PlanError {
        PlanError::Value { key: key.into(), expected: expected.into(), found: found.to_string() }
    }
}
