//! What is wrong with a fleet's document or an operator's `[fleet]`.
use thiserror::Error;

/// Why a document or an operator's `[fleet]` can't be used. Nothing of it is.
#[derive(Debug, Error)]
pub enum FleetError {
    /// It is not TOML, has a key that is not known, lacks one, or has a value of another kind.
    #[error("{0}correct the key that is named and try again; nothing of the document is used")]
    Toml(#[from] toml::de::Error),
    /// A key's value can't be used.
    #[error("{key}: expected {expected}, found {found}")]
    Value {
        /// The key, behind the table that it belongs to.
        key: String,
        /// What may stand there.
        expected: String,
        /// What stands there.
        found: String,
    },
    /// Two rules of a tenant are for the same class.
    #[error("{key}: two rules are for {class}; leave it in one of them")]
    Overlap {
        /// The tenant's key.
        key: String,
        /// The class, or the words for all classes that no rule names.
        class: String,
    },
    /// A name is listed twice.
    #[error("{key}: '{name}' stands twice, here and at {before}; take one away")]
    Twice {
        /// The key.
        key: String,
        /// The name.
        name: String,
        /// Where it stood before.
        before: String,
    },
    /// A strict rule names only sites without a server.
    #[error(
        "{key}: no server is in any of these sites ({sites}), so nothing could be served; name a site that has one, or \
         list a server there first"
    )]
    NoMember {
        /// The rule's key.
        key: String,
        /// Its sites.
        sites: String,
    },
    /// The operator's table can't be read.
    #[error("{0}; correct the key that is named")]
    Table(#[from] serde_json::Error),
}

/// The error for a value that can't be used.
pub(super) fn value(key: impl Into<String>, expected: impl Into<String>, found: impl ToString) -> FleetError {
    FleetError::Value { key: key.into(), expected: expected.into(), found: found.to_string() }
}
