//! The files of a folder by number: listed, begun and deleted.
use super::checkpoint::Checkpoint;
use super::record::{self, JournalContents, JournalFault, Record};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Files are named with this and their number.
const FILE_PREFIX: &str = "sessions.";
/// A new file's name until it is complete and synced.
const UNFINISHED_FILE: &str = "new";
/// Entries in one record of a checkpoint.
const CHECKPOINT_RECORD_ENTRIES: usize = 32_768;

/// The files of a folder, by number, in rising order.
pub(super) fn list(folder: &Path) -> io::Result<Vec<(u64, PathBuf)>> {
    let mut listed = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
        if let Some(number) = name.strip_prefix(FILE_PREFIX).and_then(|number| number.parse().ok()) {
            listed.push((number, path));
        }
    }
    listed.sort();
    Ok(listed)
}

/// The file of a folder that a start would use, read without changing anything; `None` where there is none.
///
/// # Errors
/// Where the folder or the file can't be read.
pub fn read_newest(folder: &Path) -> io::Result<Option<(PathBuf, Result<JournalContents, JournalFault>)>> {
    let Some((_, path)) = list(folder)?.pop() else { return Ok(None) };
    let contents = record::read(&std::fs::read(&path)?);
    Ok(Some((path, contents)))
}

/// The bytes that a file begins with.
fn encode(checkpoint: &Checkpoint) -> io::Result<Vec<u8>> {
    let mut bytes = record::file_header();
    let Checkpoint { instance, incarnation, incomplete, .. } = *checkpoint;
    record::encode(&mut bytes, &Record::Header { instance, incarnation, incomplete })?;
    if let Some(floor) = checkpoint.floor.filter(|_| !incomplete) {
        record::encode(&mut bytes, &Record::Floor(floor.0))?;
    }
    for chunk in checkpoint.entries.chunks(CHECKPOINT_RECORD_ENTRIES) {
        let commits = chunk.iter().map(|(session, committed_at)| (*session, committed_at.0)).collect();
        record::encode(&mut bytes, &Record::Commits(commits))?;
    }
    Ok(bytes)
}

/// Writes a new file: synced before it gets its name, and the name synced as well. Returns its length in bytes.
pub(super) fn create(folder: &Path, number: u64, checkpoint: &Checkpoint) -> io::Result<(File, u64)> {
    let bytes = encode(checkpoint)?;
    let unfinished = folder.join(UNFINISHED_FILE);
    let mut file = File::create(&unfinished)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    std::fs::rename(&unfinished, folder.join(format!("{FILE_PREFIX}{number}")))?;
    File::open(folder)?.sync_all()?;
    Ok((file, bytes.len() as u64))
}

/// Deletes every file.
pub(super) fn remove_all(folder: &Path) -> io::Result<()> {
    remove_below(folder, u64::MAX)
}

/// Deletes files with lower numbers.
pub(super) fn remove_below(folder: &Path, number: u64) -> io::Result<()> {
    let mut old = list(folder)?;
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
