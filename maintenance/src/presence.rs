//! Tracks which processes of this router are alive, and which of them accept clients.
//!
//! Each process has a file `damsonvale-present-PID-TIMESTAMP` in the shared folder and holds an exclusive
//! `flock` on it, which the kernel releases when the process dies, even by SIGKILL.
//!
//! A file gets its final name only once it is locked, and no name is used twice. So an unlocked file with
//! such a name belongs to a dead process, and any process may remove it. Readers take a shared lock, so that
//! two of them that test a dead process's file at the same time do not mistake each other for its owner.
use crate::error::{FileOperation, SharedFolderError};
use std::ffi::OsString;
use std::fs::{DirEntry, File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Read};
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const FILE_PREFIX: &str = "damsonvale-present-";
/// Suffix of a file's name until the file is locked.
const TEMPORARY_SUFFIX: &str = ".new";
/// File permissions: readable and writable by the router's user only.
const FILE_MODE: u32 = 0o600;
/// Age after which a temporary file counts as abandoned.
const TEMPORARY_LIFETIME: Duration = Duration::from_mins(1);
/// Maximum number of names tried: a clock that was set back may produce a name twice, and a process that was
/// stopped for a minute finds its first file removed.
const MAX_ATTEMPTS: u32 = 5;
/// File content of a process that does not accept clients. Both contents have the same length, and readers
/// use only the first byte, so that they never see a mixture.
const NOT_READY: &[u8] = b"starting\n";
/// File content of a process that accepts clients.
const READY: &[u8] = b"ready   \n";

/// The presence file of this process; it is removed on drop.
pub struct ProcessPresence {
    folder: PathBuf,
    file_name: OsString,
    path: PathBuf,
    file: File,
}

/// Another process of this router that is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OtherProcess {
    /// The name of the process, which no other process of this router ever has.
    pub name: String,
    /// Whether the process accepts clients.
    pub ready: bool,
}

/// Counts of the other processes of this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherProcesses {
    /// Number of other processes that are alive.
    pub alive: usize,
    /// Number of other processes that are alive and accept clients.
    pub ready: usize,
}

impl ProcessPresence {
    /// Creates the file of this process in `folder`, which is created if it is missing. The process counts as
    /// not ready.
    ///
    /// # Errors
    /// [`SharedFolderError::Io`].
    pub fn register(folder: &Path, pid: u32) -> Result<ProcessPresence, SharedFolderError> {
        std::fs::create_dir_all(folder).map_err(SharedFolderError::io(FileOperation::Create, folder))?;
        let mut attempts = 1;
        loop {
            match ProcessPresence::try_register(folder, pid) {
                Err(error) if attempts < MAX_ATTEMPTS && is_retryable(&error) => attempts += 1,
                result => return result,
            }
        }
    }

    fn try_register(folder: &Path, pid: u32) -> Result<ProcessPresence, SharedFolderError> {
        let timestamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
        let file_name = format!("{FILE_PREFIX}{pid}-{timestamp:x}");
        let path = folder.join(&file_name);
        let temporary = folder.join(format!("{file_name}{TEMPORARY_SUFFIX}"));
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .mode(FILE_MODE)
            .open(&temporary)
            .map_err(SharedFolderError::io(FileOperation::Create, &temporary))?;
        file.try_lock().map_err(|e| SharedFolderError::io(FileOperation::Lock, &temporary)(e.into()))?;
        file.write_all_at(NOT_READY, 0).map_err(SharedFolderError::io(FileOperation::Write, &temporary))?;
        // Unlike a rename, a hard link fails if the name is in use.
        std::fs::hard_link(&temporary, &path).map_err(SharedFolderError::io(FileOperation::Link, &path))?;
        std::fs::remove_file(&temporary).map_err(SharedFolderError::io(FileOperation::Remove, &temporary))?;
        Ok(ProcessPresence { folder: folder.to_path_buf(), file_name: file_name.into(), path, file })
    }

    /// Marks this process as accepting clients.
    ///
    /// # Errors
    /// [`SharedFolderError::Io`].
    pub fn mark_ready(&mut self) -> Result<(), SharedFolderError> {
        self.write_content(READY)
    }

    /// Marks this process as no longer accepting clients, so that other processes do not rely on it.
    ///
    /// # Errors
    /// [`SharedFolderError::Io`].
    pub fn mark_not_ready(&mut self) -> Result<(), SharedFolderError> {
        self.write_content(NOT_READY)
    }

    /// Returns the name of this process, which no other process of this router ever has.
    pub fn name(&self) -> String {
        process_name(&self.file_name.to_string_lossy())
    }

    /// Counts the other processes of this router, as [`ProcessPresence::others`] returns them.
    pub fn count_others(&self) -> OtherProcesses {
        OtherProcesses::count(&self.others())
    }

    /// Returns the other processes of this router and removes the files of dead processes. Reads the whole
    /// folder; if the folder cannot be read, there are none.
    pub fn others(&self) -> Vec<OtherProcess> {
        let entries = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        entries.filter_map(|entry| self.other_process(&entry)).collect()
    }

    fn write_content(&self, content: &[u8]) -> Result<(), SharedFolderError> {
        self.file.write_all_at(content, 0).map_err(SharedFolderError::io(FileOperation::Write, &self.path))
    }

    /// Returns the process that owns this file; `None` if no live process other than this one owns it. Removes
    /// the file of a dead process.
    fn other_process(&self, entry: &DirEntry) -> Option<OtherProcess> {
        let file_name = entry.file_name();
        let text = file_name.to_str().filter(|name| name.starts_with(FILE_PREFIX))?;
        let temporary = text.ends_with(TEMPORARY_SUFFIX);
        if file_name == self.file_name || (temporary && !is_abandoned(entry)) {
            return None;
        }
        // Opening a file that is not regular, such as a named pipe, could block.
        if !entry.file_type().is_ok_and(|file_type| file_type.is_file()) {
            return None;
        }
        let mut file = File::open(entry.path()).ok()?;
        match file.try_lock_shared() {
            Ok(()) => {
                // If the removal fails, the file was already removed, or the next count tries again.
                let _ = std::fs::remove_file(entry.path());
                None
            }
            Err(TryLockError::WouldBlock) if !temporary => {
                Some(OtherProcess { name: process_name(text), ready: is_ready(&mut file) })
            }
            Err(_) => None,
        }
    }
}

impl Drop for ProcessPresence {
    fn drop(&mut self) {
        // If the removal fails, the lock still ends with the process, and another process removes the file.
        let _ = std::fs::remove_file(&self.path);
    }
}

impl OtherProcesses {
    /// Counts these processes.
    pub fn count(others: &[OtherProcess]) -> OtherProcesses {
        OtherProcesses { alive: others.len(), ready: others.iter().filter(|process| process.ready).count() }
    }
}

/// Returns the name of the process that owns the file with this name.
fn process_name(file_name: &str) -> String {
    file_name.strip_prefix(FILE_PREFIX).unwrap_or(file_name).to_string()
}

/// Returns whether a live process has marked itself as accepting clients.
fn is_ready(file: &mut File) -> bool {
    let mut first_byte = [0];
    file.read_exact(&mut first_byte).is_ok() && first_byte[0] == READY[0]
}

/// Whether an attempt with another name may succeed.
fn is_retryable(error: &SharedFolderError) -> bool {
    let SharedFolderError::Io { source, .. } = error else { return false };
    matches!(
        source.kind(),
        ErrorKind::AlreadyExists | ErrorKind::NotFound | ErrorKind::WouldBlock | ErrorKind::Interrupted
    )
}

/// Whether a temporary file is so old that its process will not rename it any more.
fn is_abandoned(entry: &DirEntry) -> bool {
    let modified = entry.metadata().and_then(|metadata| metadata.modified());
    modified.is_ok_and(|at| at.elapsed().is_ok_and(|age| age > TEMPORARY_LIFETIME))
}
