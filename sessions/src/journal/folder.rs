//! An instance's journal folder: locking it, and reading it at a start.
use super::checkpoint::Checkpoint;
use super::error::JournalError;
use super::files;
use super::record::{self, JournalContents, JournalFault};
use super::writer::Journal;
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

const LOCK_FILE: &str = "lock";

/// A problem that was found in the newest file of a folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalWarning {
    /// The process stopped in the middle of a write: the incomplete record at the end is cut off.
    TornTail {
        /// Length of the tail in bytes.
        bytes: usize,
        /// Path of the journal file that was cut off.
        path: PathBuf,
    },
    /// The file can't be used and was renamed.
    Rejected {
        /// Path of the journal file before it was renamed.
        path: PathBuf,
        /// Why the file can't be used.
        fault: JournalFault,
        /// The file's new path.
        moved_to: PathBuf,
    },
}

/// A locked folder and the contents of its newest journal file.
pub struct OpenedFolder {
    /// The contents of the newest file; `None` if there is no usable file.
    pub contents: Option<JournalContents>,
    /// A problem with the newest file, to be logged.
    pub warning: Option<JournalWarning>,
    lock: File,
    folder: PathBuf,
    last_number: u64,
}

/// Locks a folder, which is created if it is missing, and reads its newest journal file.
///
/// # Errors
/// If another process has locked the folder, if its journal is another instance's, or if it can't be read or
/// created.
pub fn open(folder: &Path, instance: u64) -> Result<OpenedFolder, JournalError> {
    let failed = |source| JournalError::Folder { folder: folder.into(), source };
    std::fs::create_dir_all(folder).map_err(failed)?;
    let lock = lock(folder)?;
    let files = files::list(folder).map_err(failed)?;
    let last_number = files.last().map_or(0, |(number, _)| *number);
    let mut opened = OpenedFolder { contents: None, warning: None, lock, folder: folder.into(), last_number };
    if let Some((_, path)) = files.last() {
        opened.read_newest(path, instance)?;
    }
    Ok(opened)
}

fn lock(folder: &Path) -> Result<File, JournalError> {
    let failed = |source| JournalError::Folder { folder: folder.into(), source };
    let path = folder.join(LOCK_FILE);
    let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path).map_err(failed)?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(JournalError::Locked(folder.into())),
        Err(TryLockError::Error(error)) => Err(failed(error)),
    }
}

fn read_file(path: &Path) -> Result<JournalContents, JournalFault> {
    let bytes = std::fs::read(path).map_err(|error| JournalFault::NotAJournal(error.to_string()))?;
    record::read(&bytes)
}

impl OpenedFolder {
    fn read_newest(&mut self, path: &Path, instance: u64) -> Result<(), JournalError> {
        match read_file(path) {
            Ok(contents) if contents.instance != instance => {
                return Err(JournalError::OtherInstance { path: path.into(), instance: contents.instance });
            }
            Ok(mut contents) => {
                if contents.torn_bytes > 0 {
                    self.warning =
                        Some(JournalWarning::TornTail { bytes: contents.torn_bytes, path: path.into() });
                    // An unconfirmed write that was interrupted looks the same as a confirmed one whose last
                    // bytes the disk lost, so commits may be missing.
                    contents.incomplete = true;
                }
                self.contents = Some(contents);
            }
            Err(fault) => self.reject_file(path, fault),
        }
        Ok(())
    }

    /// Renames a faulty file. If that fails, the next new file still replaces the faulty one.
    fn reject_file(&mut self, path: &Path, fault: JournalFault) {
        let moved_to = self.folder.join(format!("refused.{}", self.last_number));
        _ = std::fs::rename(path, &moved_to);
        self.warning = Some(JournalWarning::Rejected { path: path.into(), fault, moved_to });
    }

    /// Creates a new file from the checkpoint and deletes the older files. If the new file can't be created,
    /// the older files are deleted anyway, so that no later start uses them, and the inner result has the
    /// reason.
    ///
    /// # Errors
    /// If older files can't be deleted.
    pub fn create_journal(self, checkpoint: &Checkpoint) -> Result<Result<Journal, io::Error>, JournalError> {
        let OpenedFolder { lock, folder, last_number, .. } = self;
        let number = last_number + 1;
        match files::create(&folder, number, checkpoint) {
            Ok((file, bytes)) => match files::remove_below(&folder, number) {
                Ok(()) => Ok(Ok(Journal::new(folder, lock, number, file, bytes))),
                Err(source) => Err(JournalError::Folder { folder, source }),
            },
            Err(source) => match files::remove_all(&folder) {
                Ok(()) => Ok(Err(source)),
                Err(removal) => Err(JournalError::StaleFiles { folder, source, removal }),
            },
        }
    }
}
