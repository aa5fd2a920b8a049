//! Settings of a node.
use crate::change_log::RetentionLimits;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of a node.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The id of this node; 0 is not allowed.
    pub node: u64,
    /// All nodes, including this one, and the addresses where they listen for raft messages.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// The folder of the log file. Without a folder, the log is only in memory.
    pub folder: Option<PathBuf>,
    /// Keys and texts that are written once, when the store is new.
    pub seeds: Vec<(String, String)>,
    /// Limits on the changes that are retained for watches that resume.
    pub retention: RetentionLimits,
}
