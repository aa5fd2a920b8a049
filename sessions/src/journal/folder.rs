//! An instance's folder: its lock, its files by number, and what a start finds there.
use super::record::{self, Fault, Found, Record};
use super::{Journal, Whole};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Files are named with this and their number.
const FILE_PREFIX: &str = "sessions.";
/// A new file's name until it is complete and synced.
const UNFINISHED_FILE: &str = "new";
const LOCK_FILE: &str = "lock";
/// Entries in one record of a checkpoint.
const CHECKPOINT_RECORD_ENTRIES: usize = 32_768;

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
    Other {
        /// The file that says so.
        path: PathBuf,
        /// Whose it is.
        instance: u64,
    },
    /// No new file could be begun, and a later start would use the old ones.
    #[error("{}: {source}, and old files can't be deleted: {stays}; delete them by hand", .folder.display())]
    Stale {
        /// The folder.
        folder: PathBuf,
        /// Why no new file could be begun.
        source: io::Error,
        /// Why the old ones could not be deleted.
        stays: io::Error,
    },
}

/// The files of a folder, by number.
fn files(folder: &Path) -> io::Result<Vec<(u64, PathBuf)>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
        if let Some(number) = name.strip_prefix(FILE_PREFIX).and_then(|number| number.parse().ok()) {
            found.push((number, path));
        }
    }
    found.sort();
    Ok(found)
}

/// The file of a folder that a start would use, read without changing anything; `None` where there is none.
///
/// # Errors
/// Where the folder or the file can't be read.
pub fn newest(folder: &Path) -> io::Result<Option<(PathBuf, Result<Found, Fault>)>> {
    let Some((_, path)) = files(folder)?.pop() else { return Ok(None) };
    let found = record::read(&std::fs::read(&path)?);
    Ok(Some((path, found)))
}

/// What a folder held at the start.
pub struct Opened {
    /// What the newest file held.
    pub found: Option<Found>,
    /// What was wrong, for the log.
    pub remark: Option<String>,
    lock: File,
    folder: PathBuf,
    last_number: u64,
}

/// Locks a folder, which is created where it is missing, and reads what it holds.
///
/// # Errors
/// Where another process has it locked, where it is another instance's, and where it can't be read or created.
pub fn open(folder: &Path, instance: u64) -> Result<Opened, JournalError> {
    let failed = |source| JournalError::Folder { folder: folder.into(), source };
    std::fs::create_dir_all(folder).map_err(failed)?;
    let lock = lock(folder)?;
    let files = files(folder).map_err(failed)?;
    let last_number = files.last().map_or(0, |(number, _)| *number);
    let mut opened = Opened { found: None, remark: None, lock, folder: folder.into(), last_number };
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

impl Opened {
    fn read_newest(&mut self, path: &Path, instance: u64) -> Result<(), JournalError> {
        let mut bytes = Vec::new();
        let read = File::open(path).and_then(|mut file| file.read_to_end(&mut bytes));
        let found =
            read.map_err(|error| Fault::Foreign(error.to_string())).and_then(|_| record::read(&bytes));
        match found {
            Ok(found) if found.instance != instance => {
                return Err(JournalError::Other { path: path.into(), instance: found.instance });
            }
            Ok(mut found) => {
                if found.torn > 0 {
                    let remark = format!("cut a torn tail of {} bytes off {}", found.torn, path.display());
                    self.remark = Some(remark);
                    // Whether that was confirmed can't be told from a disk that lost its last bytes.
                    found.incomplete = true;
                }
                self.found = Some(found);
            }
            Err(fault) => {
                let aside = self.folder.join(format!("refused.{}", self.last_number));
                // Where it can't be kept aside, the next new file still replaces it.
                _ = std::fs::rename(path, &aside);
                let remark = format!("refused {}: {fault}; kept as {}", path.display(), aside.display());
                self.remark = Some(remark);
            }
        }
        Ok(())
    }

    /// Begins a new file with what was found and deletes older ones. Where that fails, the old ones are deleted all
    /// the same, so that no later start uses them, and the inner result says why there is no journal.
    ///
    /// # Errors
    /// Where old files can't be deleted.
    pub fn begin(self, whole: &Whole) -> Result<Result<Journal, io::Error>, JournalError> {
        let Opened { lock, folder, last_number, .. } = self;
        let number = last_number + 1;
        match write_file(&folder, number, whole) {
            Ok((file, bytes)) => match remove_below(&folder, number) {
                Ok(()) => {
                    Ok(Ok(Journal { folder, number, file, bytes, checkpoint_bytes: bytes, _lock: lock }))
                }
                Err(source) => Err(JournalError::Folder { folder, source }),
            },
            Err(source) => match remove_below(&folder, u64::MAX) {
                Ok(()) => Ok(Err(source)),
                Err(stays) => Err(JournalError::Stale { folder, source, stays }),
            },
        }
    }
}

/// Writes a new file: synced before it gets its name, and the name synced as well. Returns its length in bytes.
pub(super) fn write_file(folder: &Path, number: u64, whole: &Whole) -> io::Result<(File, u64)> {
    let mut bytes = record::file_header();
    let Whole { instance, incarnation, incomplete, .. } = *whole;
    record::encode(&mut bytes, &Record::Began { instance, incarnation, incomplete })?;
    if let Some(floor) = whole.floor.filter(|_| !incomplete) {
        record::encode(&mut bytes, &Record::Floor(floor.0))?;
    }
    for chunk in whole.entries.chunks(CHECKPOINT_RECORD_ENTRIES) {
        let commits = chunk.iter().map(|(key, at)| (*key, at.0)).collect();
        record::encode(&mut bytes, &Record::Commits(commits))?;
    }
    let unfinished = folder.join(UNFINISHED_FILE);
    let mut file = File::create(&unfinished)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    std::fs::rename(&unfinished, folder.join(format!("{FILE_PREFIX}{number}")))?;
    File::open(folder)?.sync_all()?;
    Ok((file, bytes.len() as u64))
}

/// Deletes files with lower numbers.
pub(super) fn remove_below(folder: &Path, number: u64) -> io::Result<()> {
    let mut old = files(folder)?;
    old.retain(|(n, _)| *n < number);
    for (_, path) in &old {
        std::fs::remove_file(path)?;
    }
    if !old.is_empty() {
        // A power failure must not bring the files back: that they are gone has to be on disk.
        File::open(folder)?.sync_all()?;
    }
    Ok(())
}
