//! Why a folder can't be used.
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a folder can't be used; each message says what an operator can do.
#[derive(Debug, Error)]
pub enum JournalError {
    /// It, or the files in it, can't be read or written.
    #[error("{}: {source}; see that it exists and is this user's", .folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process has it.
    #[error("{}: another process uses this folder; end it, or name another folder", .0.display())]
    Locked(PathBuf),
    /// It is another instance's.
    #[error("{}: it belongs to instance {instance}; give each instance a folder of its own", .path.display())]
    OtherInstance {
        /// The file that says so.
        path: PathBuf,
        /// Whose it is.
        instance: u64,
    },
    /// No new file could be begun, and a later start would use the old ones.
    #[error("{}: {source}, and old files can't be deleted: {removal}; delete them by hand", .folder.display())]
    StaleFiles {
        /// The folder.
        folder: PathBuf,
        /// Why no new file could be begun.
        source: io::Error,
        /// Why the old ones could not be deleted.
        removal: io::Error,
    },
}
