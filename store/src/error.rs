//! Errors that prevent a node from starting or make it stop.
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Errors that prevent a node from starting or make it stop.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings do not list this node among the peers.
    #[error("store: node {node} is not among the configured peers; list it under store.peer")]
    NotListed {
        /// The id of this node.
        node: u64,
    },
    /// An address is not on loopback.
    #[error("store: expected a loopback address, found {addr}; nodes and clients communicate without TLS")]
    NotLoopback {
        /// The address that is not a loopback address.
        addr: SocketAddr,
    },
    /// The folder or its log file cannot be opened or read.
    #[error("store: folder {path}: {source}; check that it exists and belongs to this user")]
    Folder {
        /// The path of the store's folder.
        path: PathBuf,
        /// Why the folder or its log file cannot be opened or read.
        source: std::io::Error,
    },
    /// Stored or received data has a format that this program does not know.
    #[error(
        "store: {what} has a format that this program does not know; start the program version that wrote \
         it, or give this node an empty folder while all other nodes run, so that it copies their data"
    )]
    UnknownFormat {
        /// The data with the unknown format.
        what: String,
    },
    /// Entries are missing in the log.
    #[error(
        "store: entry {index} of the log follows entry {previous}, the entries between them are missing; \
         give this node an empty folder while all other nodes run"
    )]
    LogGap {
        /// The index of the last log entry before the missing ones.
        previous: u64,
        /// The index of the first log entry after the missing ones.
        index: u64,
    },
    /// The raft library rejects the stored data as inconsistent.
    #[error(
        "store: {what} is inconsistent: {source}; give this node an empty folder while all other nodes run"
    )]
    Inconsistent {
        /// The inconsistent part of the data.
        what: &'static str,
        /// The raft library's error.
        source: raft::Error,
    },
    /// The raft library returned an error while the node was starting.
    #[error("store: {0}")]
    Raft(#[from] raft::Error),
    /// The node cannot listen on an address.
    #[error("store: cannot listen on {addr}: {source}; check which process listens there")]
    Listen {
        /// The address on which the node cannot listen.
        addr: SocketAddr,
        /// Why the node cannot listen on the address.
        source: std::io::Error,
    },
    /// A thread could not be started.
    #[error("store: cannot start a thread: {0}; raise this user's process limit")]
    SpawnThread(std::io::Error),
    /// The log cannot be written, so the node stops.
    #[error("store: cannot write the log: {0}; repair the disk and restart this node")]
    LogFile(#[from] std::io::Error),
}
