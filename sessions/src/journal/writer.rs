//! Appends commits to the current journal file, and rewrites it.
use super::checkpoint::Checkpoint;
use super::files;
use super::record::{self, Record};
use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;

/// A file that has grown to more than this many times the size of its checkpoint is rewritten.
const REWRITE_GROWTH: u64 = 3;

/// The journal of an instance. Its folder is locked and contains at most one file that a later start would
/// use.
pub struct Journal {
    folder: PathBuf,
    number: u64,
    file: File,
    bytes: u64,
    /// Size of the checkpoint at the beginning of the file, in bytes.
    checkpoint_bytes: u64,
    /// The folder's lock file. It stays open, because closing it releases the lock.
    _lock: File,
}

impl Journal {
    /// A journal whose newest file was just created with a size of `bytes`.
    pub(super) fn new(folder: PathBuf, lock: File, number: u64, file: File, bytes: u64) -> Journal {
        Journal { folder, number, file, bytes, checkpoint_bytes: bytes, _lock: lock }
    }

    /// Appends a record and syncs it.
    ///
    /// # Errors
    /// If the file can't be written or synced. It is then unknown whether the record is on disk.
    pub fn append(&mut self, record: &Record) -> io::Result<()> {
        let mut bytes = Vec::new();
        record::encode(&mut bytes, record)?;
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.bytes += bytes.len() as u64;
        Ok(())
    }

    /// Whether the file is larger than `min_bytes` and has grown far enough beyond its checkpoint to be
    /// rewritten.
    pub fn needs_rewrite(&self, min_bytes: u64) -> bool {
        self.bytes > min_bytes.max(REWRITE_GROWTH * self.checkpoint_bytes)
    }

    /// Replaces the file by a new one that begins with `checkpoint`.
    ///
    /// # Errors
    /// If the new file can't be written or the old one can't be deleted.
    pub fn rewrite(&mut self, checkpoint: &Checkpoint) -> io::Result<()> {
        let (file, bytes) = files::create(&self.folder, self.number + 1, checkpoint)?;
        (self.number, self.file) = (self.number + 1, file);
        (self.bytes, self.checkpoint_bytes) = (bytes, bytes);
        files::remove_below(&self.folder, self.number)
    }

    /// Deletes all journal files, because they will lack later commits and a later start must not use them.
    ///
    /// # Errors
    /// If a file can't be deleted.
    pub fn invalidate(&self) -> io::Result<()> {
        files::remove_all(&self.folder)
    }

    /// Current size of the journal file in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
