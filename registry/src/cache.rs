//! The node list on disk, used at startup while no registry member responds. Truncated or corrupt files are
//! rejected.
use crate::machine::Item;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// File header: a magic number with the format version.
const MAGIC: &[u8; 8] = b"DVREGI\x01\n";
/// The size of the checksum that follows the header.
const CHECKSUM_BYTES: usize = 8;
const FILE_NAME: &str = "registry";
/// The temporary file that is renamed to `FILE_NAME` once it is complete.
const NEW_FILE_NAME: &str = "registry.new";

/// The contents of the file with the saved node list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct CachedList {
    /// When the list was current, as a Unix time in microseconds.
    pub at: i64,
    /// The registry revision at which the list was current.
    pub revision: u64,
    /// The listed keys, as tuples of name, value, creation revision and modification revision.
    pub items: Vec<(String, Vec<u8>, u64, u64)>,
}

impl CachedList {
    /// Converts the keys to the items that a registry would return.
    pub fn items(self) -> impl Iterator<Item = Item> {
        let item = |(key, value, created, modified)| Item { key, value, created, modified };
        self.items.into_iter().map(item)
    }
}

/// Why the saved list cannot be used. The router then starts without it.
#[derive(Debug, Error)]
pub enum CacheError {
    /// The file cannot be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// The path of the saved list's file.
        path: PathBuf,
        /// The I/O error of that file.
        source: io::Error,
    },
    /// The file is truncated, corrupt or has another format version.
    #[error("{}: the saved list is truncated, corrupt or of another version", .0.display())]
    Invalid(PathBuf),
}

fn file_path(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// Replaces the list on disk atomically: after a crash the file holds either the old list or the new one.
///
/// # Errors
/// If the folder or the file cannot be written; the old list is then unchanged.
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

/// Reads the list from disk; `None` if the file does not exist.
///
/// # Errors
/// If the file cannot be read, is truncated or corrupt, or has another format version.
pub fn read(folder: &Path) -> Result<Option<CachedList>, CacheError> {
    let path = file_path(folder);
    let bytes = match std::fs::read(&path) {
        Ok(b) => b,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(CacheError::Read { path, source }),
    };
    decode(&bytes).map(Some).ok_or(CacheError::Invalid(path))
}

/// Decodes the file; `None` if the header, the checksum or the contents are invalid.
fn decode(bytes: &[u8]) -> Option<CachedList> {
    let (checksum, body) = bytes.strip_prefix(MAGIC)?.split_at_checked(CHECKSUM_BYTES)?;
    if xxh3_64(body).to_le_bytes() != *checksum {
        return None;
    }
    postcard::from_bytes(body).ok()
}
