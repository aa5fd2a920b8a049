//! Commits on disk.
//!
//! One file, `sessions.N`, N rising with each rewrite. It begins with a magic text, a version and a first record that
//! names the instance; behind that stand records, appended and synced together. A record is a length, the checksum of
//! the length, the checksum of the body (XXH3), and the body (postcard).
//!
//! A stop in the middle of a write leaves a tail that is no record and has nothing behind it: it is cut, and was
//! never confirmed. What is no record and has a record behind it is a fault of the disk: the file is refused, with
//! the offset. Both make the caller raise the floor. A rewrite goes to a new file that is synced before it gets its
//! name, and only then is the old one deleted.
mod folder;
mod record;

pub use folder::{JournalError, Opened, newest, open};
pub use record::{Fault, Found, Record, VERSION, read};

use crate::Key;
use decision::Time;
use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;

/// A file that has grown to more than this many times its beginning is rewritten.
const REWRITE_GROWTH: u64 = 3;

/// What a new file begins with.
pub struct Whole<'a> {
    /// The instance.
    pub instance: u64,
    /// Its start.
    pub incarnation: u64,
    /// Sessions and their commits, oldest first.
    pub entries: &'a [(Key, Time)],
    /// What every session must see.
    pub floor: Option<Time>,
    /// The floor that covers earlier starts follows later.
    pub incomplete: bool,
}

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
    /// Appends a record and syncs it.
    ///
    /// # Errors
    /// Where the file can't be written or synced; whether the record is on disk is not known then.
    pub fn add(&mut self, record: &Record) -> io::Result<()> {
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
    pub fn rewrite(&mut self, whole: &Whole) -> io::Result<()> {
        let (file, bytes) = folder::write_file(&self.folder, self.number + 1, whole)?;
        (self.number, self.file) = (self.number + 1, file);
        (self.bytes, self.checkpoint_bytes) = (bytes, bytes);
        folder::remove_below(&self.folder, self.number)
    }

    /// Deletes every file, so that no later start uses what lacks commits from now on.
    ///
    /// # Errors
    /// Where a file can't be deleted.
    pub fn invalidate(&self) -> io::Result<()> {
        folder::remove_below(&self.folder, u64::MAX)
    }

    /// Bytes of the file.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
