//! The log file of one process: a ring of fixed-size records behind a header.
//!
//! All numbers are little-endian. Header: 8 magic bytes; then format version, flags and capacity in records as 32-bit
//! numbers; then the CRC-32 of these bytes. Record: sequence number, session and commit time as 64-bit numbers, then
//! the group and the CRC-32 of the bytes before it as 32-bit numbers. The record with sequence number `n`, counted
//! from 1, is at index `(n - 1) % capacity`.
mod format;
mod reader;
mod writer;

pub(crate) use reader::{LogRead, LogReader};
pub(crate) use writer::{LogWriter, PreparedLog};

use decision::{GroupId, SessionId};
use std::fs::File;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The commit of a session's write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedCommit {
    /// The group that the write went to.
    pub group: GroupId,
    /// The session of the write.
    pub session: SessionId,
    /// The commit's time, as Unix time in microseconds.
    pub commit_us: i64,
}

/// Why a log cannot be used.
#[derive(Debug, Error)]
pub enum CommitLogError {
    /// An operation on the file failed.
    #[error("commit log {}: {source}", path.display())]
    Io {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file has another format, or is damaged.
    #[error("commit log {}: not a log of this version", path.display())]
    UnknownFormat {
        /// The path of the file.
        path: PathBuf,
    },
}

impl CommitLogError {
    fn io(path: &Path) -> impl Fn(io::Error) -> CommitLogError + '_ {
        |source| CommitLogError::Io { path: path.to_path_buf(), source }
    }
}

/// Returns whether an open file still has a name.
fn is_linked(file: &File) -> bool {
    file.metadata().is_ok_and(|metadata| metadata.nlink() > 0)
}
