//! What can go wrong with the files in the shared folder. Operators read these texts at the admin address and in the log.
use crate::limits::{FORMAT_VERSION, LOCK_TIMEOUT, MAX_FILE_BYTES};
use std::fmt::{self, Display, Formatter};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a file is not a valid state file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum UnusableReason {
    /// It ends too early.
    #[error("it ends too early")]
    Truncated,
    /// It does not begin as a state file does, is longer than its header says, or is no regular file.
    #[error("it is something else")]
    NotAStateFile,
    /// Another version of the program wrote it.
    #[error("its form has version {0}, and this program knows only {known}", known = FORMAT_VERSION)]
    UnsupportedVersion(u32),
    /// Its bytes are not the ones that were written.
    #[error("its bytes have changed since they were written")]
    ChecksumMismatch,
}

/// An operation on a file of the shared folder, as it is named in [`SharedFolderError::Io`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOperation {
    /// Create a file or the folder.
    Create,
    /// Open an existing file.
    Open,
    /// Read its metadata.
    Inspect,
    /// Lock it.
    Lock,
    /// Read its content.
    Read,
    /// Write its content.
    Write,
    /// Flush it, or the folder, to the disk.
    Sync,
    /// Rename the new file over the old one.
    Replace,
    /// Rename a file that cannot be used.
    MoveAside,
    /// Give it its final name.
    Link,
    /// Remove it.
    Remove,
}

impl Display for FileOperation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FileOperation::Create => "make",
            FileOperation::Open => "open",
            FileOperation::Inspect => "look at",
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

/// What can go wrong with the files in the shared folder.
#[derive(Debug, Error)]
pub enum SharedFolderError {
    /// The operating system failed an operation.
    #[error("cannot {operation} {path}: {source}; check that the folder is there, writable and not full")]
    Io {
        /// The operation.
        operation: FileOperation,
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another process has not released the lock in time.
    #[error(
        "{path} has been locked for over {ms} ms: a process of this router may be stopped; find it with `fuser {path}`, \
         let it go on (kill -CONT) or end it (kill -KILL), then ask again",
        ms = LOCK_TIMEOUT.as_millis()
    )]
    LockTimeout {
        /// The lock file.
        path: PathBuf,
    },
    /// The state file cannot be used and was moved aside; the state begins empty.
    #[error(
        "{path} is not used: {reason}; it was moved to {moved_to} and nothing is held by it: SUSPEND again what must \
         stay out, and PAUSE again if the router should drain"
    )]
    Unusable {
        /// Where it was.
        path: PathBuf,
        /// What is wrong with it.
        reason: UnusableReason,
        /// Where it is now.
        moved_to: PathBuf,
    },
    /// The state is too large for the file.
    #[error("the holds need {bytes} bytes and {path} may have {max}: RESTORE some first", max = MAX_FILE_BYTES)]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// The size that the file would have.
        bytes: usize,
    },
    /// The state could not be encoded.
    #[error("the holds cannot be written to {path}: {source}; this is a fault of the program, report it")]
    Encode {
        /// The file.
        path: PathBuf,
        /// The encoder's error.
        source: postcard::Error,
    },
}

impl SharedFolderError {
    /// Maps an error of the operating system to [`SharedFolderError::Io`].
    pub(crate) fn io(operation: FileOperation, path: &Path) -> impl FnOnce(io::Error) -> SharedFolderError {
        let path = path.to_path_buf();
        move |source| SharedFolderError::Io { operation, path, source }
    }
}
