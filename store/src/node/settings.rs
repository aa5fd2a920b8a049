//! How a node is set up.
use crate::change_log::RetentionLimits;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// How a node is set up.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The id of this node, not 0.
    pub node: u64,
    /// All nodes, this one included, and where they listen for each other.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Where the log is stored; in memory alone without it.
    pub folder: Option<PathBuf>,
    /// Keys and texts that are set once, when the store is new.
    pub seeds: Vec<(String, String)>,
    /// How many changes are retained for watches that resume.
    pub retention: RetentionLimits,
}
