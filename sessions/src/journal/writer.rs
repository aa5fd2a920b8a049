//! The file that commits are appended to.
use super::checkpoint::Checkpoint;
use super::files;
use super::record::{self, Record};
use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;

/// A file that has grown to more than this many times its beginning is rewritten.
const REWRITE_GROWTH: u64 = 3;

/// An instance's folder: locked, with at most one file that a later start uses.
pub struct Journal {
    folder: PathBuf,
    number: u64,
    file: File,
    bytes: u64,
    /// Bytes that the file began with.
    checkpoint_bytes: u64,
    /// Held open: its lock ends with the journal.
    _lock: File,
}

impl Journal {
    /// A folder whose newest file was just created with `bytes` bytes.
    pub(super) fn new(folder: PathBuf, lock: File, number: u64, file: File, bytes: u64) -> Journal {
        Journal { folder, number, file, bytes, checkpoint_bytes: bytes, _lock: lock }
    }

    /// Appends a record and syncs it.
    ///
    /// # Errors
    /// Where the file can't be written or synced; whether the record is on disk is not known then.
    pub fn append(&mut self, record: &Record) -> io::Result<()> {
        let mut bytes = Vec::new();
        record::encode(&mut bytes, record)?;
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.bytes += bytes.len() as u64;
        Ok(())
    }

    /// Whether the file has grown so far beyond what it began with that a rewrite pays; `min_bytes` is the least size
    /// at which one does.
    pub fn wants_rewrite(&self, min_bytes: u64) -> bool {
        self.bytes > min_bytes.max(REWRITE_GROWTH * self.checkpoint_bytes)
    }

    /// Writes a new file in place of this one.
    ///
    /// # Errors
    /// Where the new file can't be written or the old one can't be deleted.
    pub fn rewrite(&mut self, checkpoint: &Checkpoint) -> io::Result<()> {
        let (file, bytes) = files::create(&self.folder, self.number + 1, checkpoint)?;
        (self.number, self.file) = (self.number + 1, file);
        (self.bytes, self.checkpoint_bytes) = (bytes, bytes);
        files::remove_below(&self.folder, self.number)
    }

    /// Deletes every file, so that no later start uses what lacks commits from now on.
    ///
    /// # Errors
    /// Where a file can't be deleted.
    pub fn invalidate(&self) -> io::Result<()> {
        files::remove_all(&self.folder)
    }

    /// Bytes of the file.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
