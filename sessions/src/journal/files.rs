//! Lists, creates and deletes the numbered journal files of a folder.
use super::checkpoint::Checkpoint;
use super::record::{self, JournalContents, JournalFault, Record};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Prefix of a journal file's name; the file's number follows.
const FILE_PREFIX: &str = "sessions.";
/// Temporary name of a new file until it is complete and synced.
const UNFINISHED_FILE: &str = "new";
/// Maximum number of entries in one record of a checkpoint.
const CHECKPOINT_RECORD_ENTRIES: usize = 32_768;

/// Lists a folder's journal files with their numbers, in ascending order.
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

/// Reads the journal file that a start would use, and changes no file; `None` if the folder has no journal
/// file.
///
/// # Errors
/// If the folder or the file can't be read.
pub fn read_newest(folder: &Path) -> io::Result<Option<(PathBuf, Result<JournalContents, JournalFault>)>> {
    let Some((_, path)) = list(folder)?.pop() else { return Ok(None) };
    let contents = record::read(&std::fs::read(&path)?);
    Ok(Some((path, contents)))
}

/// Encodes the bytes that a new file begins with.
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

/// Creates a new file from a checkpoint and returns it with its length in bytes. The file is synced before it
/// is renamed to its final name, and the folder is synced after that.
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

/// Deletes all journal files of a folder.
pub(super) fn remove_all(folder: &Path) -> io::Result<()> {
    remove_below(folder, u64::MAX)
}

/// Deletes the journal files with numbers below `number`.
pub(super) fn remove_below(folder: &Path, number: u64) -> io::Result<()> {
    let mut old = list(folder)?;
    old.retain(|(n, _)| *n < number);
    for (_, path) in &old {
        std::fs::remove_file(path)?;
    }
    if !old.is_empty() {
        // Syncs the folder, so that the deleted files do not reappear after a power failure.
        File::open(folder)?.sync_all()?;
    }
    Ok(())
}
