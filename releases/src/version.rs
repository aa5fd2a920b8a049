//! The version that a release rolls out.
use serde::{Deserialize, Serialize};
use std::fmt;

/// The version that a release rolls out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Version {
    /// A configuration, identified by its revision in the store.
    #[serde(rename = "Config")]
    Configuration(settings::fleet::Version),
    /// A program, identified by its version name.
    Program(String),
}

impl Version {
    /// Whether both are configurations or both are programs.
    pub(crate) fn is_same_kind(&self, other: &Version) -> bool {
        matches!(self, Version::Configuration(_)) == matches!(other, Version::Configuration(_))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Version::Configuration(revision) => write!(f, "configuration {revision}"),
            Version::Program(name) => write!(f, "program {name}"),
        }
    }
}
