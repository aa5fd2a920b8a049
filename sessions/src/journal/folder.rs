//! An instance's folder: its lock, and what a start finds there.
use super::checkpoint::Checkpoint;
use super::error::JournalError;
use super::files;
use super::record::{self, JournalContents, JournalFault};
use super::writer::Journal;
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

const LOCK_FILE: &str = "lock";

/// What was wrong with the newest file of a folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalWarning {
    /// The last stop came in the middle of a write: the tail is no record and was cut off.
    TornTail {
        /// Bytes of the tail.
        bytes: usize,
        /// The file.
        path: PathBuf,
    },
    /// The file can't be used and was moved aside.
    Refused {
        /// The file.
        path: PathBuf,
        /// Why.
        fault: JournalFault,
        /// Where it is now.
        moved_to: PathBuf,
    },
}

/// What a folder held at the start.
pub struct OpenedFolder {
    /// What the newest file held.
    pub contents: Option<JournalContents>,
    /// What was wrong, for the log.
    pub warning: Option<JournalWarning>,
    lock: File,
    folder: PathBuf,
    last_number: u64,
}

/// Locks a folder, which is created where it is missing, and reads what it holds.
///
/// # Errors
/// Where another process has it locked, where it is another instance's, and where it can't be read or created.
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
                    // Whether that was confirmed can't be told from a disk that lost its last bytes.
                    contents.incomplete = true;
                }
                self.contents = Some(contents);
            }
            Err(fault) => self.refuse_file(path, fault),
        }
        Ok(())
    }

    /// Moves a faulty file aside. Where that fails, the next new file still replaces it.
    fn refuse_file(&mut self, path: &Path, fault: JournalFault) {
        let moved_to = self.folder.join(format!("refused.{}", self.last_number));
        _ = std::fs::rename(path, &moved_to);
        self.warning = Some(JournalWarning::Refused { path: path.into(), fault, moved_to });
    }

    /// Begins a new file with what was found and deletes older ones. Where that fails, the old ones are deleted all
    /// the same, so that no later start uses them, and the inner result says why there is no journal.
    ///
    /// # Errors
    /// Where old files can't be deleted.
    pub fn begin(self, checkpoint: &Checkpoint) -> Result<Result<Journal, io::Error>, JournalError> {
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
