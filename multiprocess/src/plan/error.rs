//! Errors of reading a plan.
use thiserror::Error;

/// An error of parsing or validating a plan.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The plan is not valid TOML, or has an unknown key or a value of the wrong type.
    #[error("{0}; correct the key that is named")]
    Toml(#[from] toml::de::Error),
    /// The value of a key is out of range or inconsistent with other keys.
    #[error("{key}: expected {expected}, found {found}")]
    Value {
        /// The key, with the tables that contain it.
        key: String,
        /// Valid values of the key.
        expected: String,
        /// Value in the plan.
        found: String,
    },
}

impl PlanError {
    /// Creates the error for an invalid value.
    pub(super) fn value(
        key: impl Into<String>,
        expected: impl Into<String>,
        found: impl ToString,
    ) -> PlanError {
        PlanError::Value { key: key.into(), expected: expected.into(), found: found.to_string() }
    }
}
