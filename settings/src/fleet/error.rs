//! Errors in a fleet document or in the table `[fleet]` of an operator's file.
use thiserror::Error;

/// Why a fleet document or the table `[fleet]` was rejected. No part of a rejected document or table takes
/// effect.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The document is not valid TOML, has an unknown key, lacks a required key, or has a value of the wrong
    /// type.
    #[error("{0}correct the key that is named and try again; nothing of the document is used")]
    Toml(#[from] toml::de::Error),
    /// The value of a key is invalid.
    #[error("{key}: expected {expected}, found {found}")]
    Value {
        /// The faulty key, prefixed with its table.
        key: String,
        /// Description of the accepted values.
        expected: String,
        /// The value found in the document.
        found: String,
    },
    /// Two placement rules of a tenant apply to the same class.
    #[error("{key}: two placement rules apply to {class}; remove one of them")]
    Overlap {
        /// The key of the second rule, prefixed with its tenant.
        key: String,
        /// The class in both rules, or a phrase for all classes that no rule names.
        class: String,
    },
    /// A name is listed more than once.
    #[error("{key}: '{name}' stands twice, here and at {first_key}; take one away")]
    Duplicate {
        /// The configuration key at which the name is repeated.
        key: String,
        /// The repeated name.
        name: String,
        /// The configuration key at which the name occurs first.
        first_key: String,
    },
    /// A strict placement rule names only sites that have no server.
    #[error(
        "{key}: no server is at any of these sites ({sites}), so no request could be served; name a site that \
         has a server, or list a server there first"
    )]
    NoServer {
        /// The key of the strict rule.
        key: String,
        /// The sites that the rule names, separated by commas.
        sites: String,
    },
    /// The table `[fleet]` cannot be deserialized.
    #[error("{0}; correct the key that is named")]
    Table(#[from] serde_json::Error),
}

/// Creates the error for a key with an invalid value.
pub(super) fn invalid_value(
    key: impl Into<String>,
    expected: impl Into<String>,
    found: impl ToString,
) -> FleetError {
    FleetError::Value { key: key.into(), expected: expected.into(), found: found.to_string() }
}
