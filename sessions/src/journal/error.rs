//! Errors of a journal's folder.
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Errors of a journal's folder. Each message tells the operator what to do.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The folder, or a file in it, can't be read or written.
    #[error("{}: {source}; check that the folder exists and is writable", .folder.display())]
    Folder {
        /// The folder of the journal.
        folder: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another process has locked the folder.
    #[error("{}: another process uses this folder; end it, or name another folder", .0.display())]
    Locked(PathBuf),
    /// The folder contains another instance's journal.
    #[error("{}: belongs to instance {instance}; give each instance a folder of its own", .path.display())]
    OtherInstance {
        /// The journal file that another instance owns.
        path: PathBuf,
        /// The number of the instance that owns the journal file.
        instance: u64,
    },
    /// No new file could be created, and the old files could not be deleted, so a later start would use them.
    #[error("{}: {source}; deleting old files failed: {removal}; delete them manually", .folder.display())]
    StaleFiles {
        /// The folder of the journal.
        folder: PathBuf,
        /// Why no new file could be created.
        source: io::Error,
        /// Why the old files could not be deleted.
        removal: io::Error,
    },
}
