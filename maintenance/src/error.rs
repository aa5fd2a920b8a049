//! Errors with the files in the shared folder. Operators see their texts at the admin address and in the log.
use crate::limits::{FORMAT_VERSION, LOCK_TIMEOUT, MAX_FILE_BYTES};
use std::fmt::{self, Display, Formatter};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a file is not a valid state file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum UnusableReason {
    /// The file ends before its content is complete.
    #[error("it is truncated")]
    Truncated,
    /// The file does not begin with a state file's magic bytes, is longer than its header says, or is not a
    /// regular file.
    #[error("it is not a state file")]
    NotAStateFile,
    /// The file was written in a format version that this program does not support.
    #[error("its format version is {0}, and this program supports only {known}", known = FORMAT_VERSION)]
    UnsupportedVersion(u32),
    /// The checksum does not match: the content has changed since it was written.
    #[error("its checksum does not match its content")]
    ChecksumMismatch,
}

/// An operation on a file of the shared folder, as named in [`SharedFolderError::Io`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOperation {
    /// Create a file or the folder.
    Create,
    /// Open an existing file.
    Open,
    /// Read a file's metadata.
    Inspect,
    /// Lock a file.
    Lock,
    /// Read a file's content.
    Read,
    /// Write a file's content.
    Write,
    /// Sync a file or the folder to the disk.
    Sync,
    /// Replace the old file by renaming the new one to its name.
    Replace,
    /// Rename an unusable file.
    MoveAside,
    /// Link a file to its final name.
    Link,
    /// Remove a file.
    Remove,
}

impl Display for FileOperation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FileOperation::Create => "make",
            FileOperation::Open => "open",
            FileOperation::Inspect => "inspect",
            FileOperation::Lock => "lock",
            FileOperation::Read => "read",
            FileOperation::Write => "write",
            FileOperation::Sync => "sync",
            FileOperation::Replace => "replace",
            FileOperation::MoveAside => "move aside",
            FileOperation::Link => "name",
            FileOperation::Remove => "remove",
        })
    }
}

/// An error with the files in the shared folder.
#[derive(Debug, Error)]
pub enum SharedFolderError {
    /// A file operation failed.
    #[error("cannot {operation} {path}: {source}; check that the folder exists, is writable and not full")]
    Io {
        /// The operation that failed.
        operation: FileOperation,
        /// Path of the file or folder that the operation was applied to.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another handle has not released the lock in time.
    #[error(
        "{path} has been locked for over {ms} ms: a process of this router may be stopped; find it with \
         `fuser {path}`, resume it (kill -CONT) or end it (kill -KILL), then repeat the command",
        ms = LOCK_TIMEOUT.as_millis()
    )]
    LockTimeout {
        /// Path of the lock file.
        path: PathBuf,
    },
    /// The state file is unusable and was moved aside; the state is empty from now on.
    #[error(
        "{path} is unusable: {reason}; it was moved to {moved_to} and its state is lost: repeat SUSPEND for \
         each instance that must stay in maintenance, and PAUSE if the router should drain"
    )]
    Unusable {
        /// Path of the state file.
        path: PathBuf,
        /// Why the file is unusable.
        reason: UnusableReason,
        /// Path that the file was moved to.
        moved_to: PathBuf,
    },
    /// The encoded state exceeds the maximum file size.
    #[error(
        "the maintenance state needs {bytes} bytes, but {path} may have at most {max}: RESTORE some first",
        max = MAX_FILE_BYTES
    )]
    TooLarge {
        /// Path of the state file.
        path: PathBuf,
        /// Size that the state file would have, in bytes.
        bytes: usize,
    },
    /// The state could not be encoded.
    #[error("the maintenance state cannot be encoded for {path}: {source}; this is a bug, report it")]
    Encode {
        /// Path of the state file.
        path: PathBuf,
        /// Why the state could not be encoded.
        source: postcard::Error,
    },
}

impl SharedFolderError {
    /// Returns a function that converts an error of the operating system to [`SharedFolderError::Io`].
    pub(crate) fn io(operation: FileOperation, path: &Path) -> impl FnOnce(io::Error) -> SharedFolderError {
        let path = path.to_path_buf();
        move |source| SharedFolderError::Io { operation, path, source }
    }
}
