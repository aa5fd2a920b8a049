//! The last node list on disk, for a start while no registry answers. A file that is incomplete or damaged is refused.
use crate::machine::Item;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Begins the file; names its version.
const MAGIC: &[u8; 8] = b"DVREGI\x01\n";
/// The size of the checksum behind it.
const CHECKSUM_BYTES: usize = 8;
const FILE_NAME: &str = "registry";
/// The file while it is written.
const NEW_FILE_NAME: &str = "registry.new";

/// What the file holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct CachedList {
    /// When it was current, in microseconds of Unix time.
    pub at: i64,
    /// The revision at which it was read.
    pub revision: u64,
    /// Keys: name, value, created, modified.
    pub items: Vec<(String, Vec<u8>, u64, u64)>,
}

impl CachedList {
    /// The keys as a registry would give them.
    pub fn items(self) -> impl Iterator<Item = Item> {
        let item = |(key, value, created, modified)| Item { key, value, created, modified };
        self.items.into_iter().map(item)
    }
}

/// Why the last list is not used. A start goes on without it.
#[derive(Debug, Error)]
pub enum CacheError {
    /// It can't be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// It is incomplete, damaged, or of another version.
    #[error("{}: it is not whole, or of another version", .0.display())]
    Invalid(PathBuf),
}

fn file_path(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// Replaces the list on disk; a crash leaves the old one or the new one.
///
/// # Errors
/// The folder or the file can't be written; the old list stays.
pub fn write(folder: &Path, list: &CachedList) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let body = postcard::to_stdvec(list).map_err(io::Error::other)?;
    let new = folder.join(NEW_FILE_NAME);
    let mut file = File::create(&new)?;
    file.write_all(&[&MAGIC[..], &xxh3_64(&body).to_le_bytes(), &body].concat())?;
    file.sync_all()?;
    std::fs::rename(&new, file_path(folder))?;
    File::open(folder)?.sync_all()
}

/// Reads the list on disk; `None` where there is none.
///
/// # Errors
/// It can't be read, or is incomplete, damaged, or of another version.
pub fn read(folder: &Path) -> Result<Option<CachedList>, CacheError> {
    let path = file_path(folder);
    let bytes = match std::fs::read(&path) {
        Ok(b) => b,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(CacheError::Read { path, source }),
    };
    decode(&bytes).map(Some).ok_or(CacheError::Invalid(path))
}

/// The list, if the checksum fits.
fn decode(bytes: &[u8]) -> Option<CachedList> {
    let (checksum, body) = bytes.strip_prefix(MAGIC)?.split_at_checked(CHECKSUM_BYTES)?;
    if xxh3_64(body).to_le_bytes() != *checksum {
        return None;
    }
    postcard::from_bytes(body).ok()
}
