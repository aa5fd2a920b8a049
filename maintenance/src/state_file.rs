//! The file that preserves the state across a kill or an upgrade: `damsonvale-holds`, in a folder that the
//! processes of a router share.
//!
//! The file is written under a temporary name, synced and renamed, so that after a kill either the old or the
//! new file is there. Changes are made under an exclusive `flock` on a separate lock file, which the kernel
//! releases when its holder dies.
mod encoding;

use crate::error::{FileOperation, SharedFolderError, UnusableReason};
use crate::limits::{LOCK_TIMEOUT, MAX_FILE_BYTES};
use crate::state::State;
use std::cell::RefCell;
use std::fs::{File, Metadata, OpenOptions, TryLockError};
use std::io::{ErrorKind, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Name of the state file. It contains the package's former name, as a process of an earlier version may
/// share the folder during an upgrade.
const FILE_NAME: &str = "damsonvale-holds";
/// File permissions: readable and writable by the router's user only.
const FILE_MODE: u32 = 0o600;
/// Interval between attempts to take the lock: `flock` waits either without a time limit or not at all.
const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Identifies one version of the file on the disk.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    device: u64,
    inode: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
    length: u64,
}

impl FileStamp {
    fn from_metadata(metadata: &Metadata) -> FileStamp {
        FileStamp {
            device: metadata.dev(),
            inode: metadata.ino(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
            length: metadata.len(),
        }
    }
}

/// The version of the file that was last read or written through a handle. The file stays open, so that its
/// inode number cannot be reused by a later file, which would hide a change.
struct KnownVersion {
    stamp: FileStamp,
    _open: File,
}

/// A handle on the state file.
pub struct StateFile {
    folder: PathBuf,
    path: PathBuf,
    lock_path: PathBuf,
    /// The last known version, in a cell because [`LockedStateFile`] changes it through a shared reference.
    /// `None` before the first read, while there is no file, and after a failed read or write.
    known: RefCell<Option<KnownVersion>>,
}

/// The locked state file; the lock is released on drop. Every change must begin with a [`read`](Self::read)
/// under the same lock.
pub struct LockedStateFile<'a> {
    file: &'a StateFile,
    _lock: File,
}

impl StateFile {
    /// Creates a handle on the state file in `folder`, which is created if it is missing. Nothing is read
    /// yet.
    ///
    /// # Errors
    /// [`SharedFolderError::Io`] if the folder cannot be created.
    pub fn open(folder: &Path) -> Result<StateFile, SharedFolderError> {
        std::fs::create_dir_all(folder).map_err(SharedFolderError::io(FileOperation::Create, folder))?;
        Ok(StateFile {
            folder: folder.to_path_buf(),
            path: folder.join(FILE_NAME),
            lock_path: folder.join(format!("{FILE_NAME}.lock")),
            known: RefCell::new(None),
        })
    }

    /// Locks the file against all other handles, including those of this process.
    ///
    /// # Errors
    /// [`SharedFolderError::LockTimeout`] if another handle does not release it within 200 ms, and
    /// [`SharedFolderError::Io`].
    pub fn lock(&self) -> Result<LockedStateFile<'_>, SharedFolderError> {
        let deadline = Instant::now() + LOCK_TIMEOUT;
        loop {
            let lock = self.open_lock_file()?;
            match lock.try_lock() {
                Ok(()) => {
                    if self.is_current_lock_file(&lock)? {
                        return Ok(LockedStateFile { file: self, _lock: lock });
                    }
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(e)) if e.kind() == ErrorKind::Interrupted => {}
                Err(TryLockError::Error(e)) => {
                    return Err(SharedFolderError::io(FileOperation::Lock, &self.lock_path)(e));
                }
            }
            if Instant::now() >= deadline {
                return Err(SharedFolderError::LockTimeout { path: self.lock_path.clone() });
            }
            std::thread::sleep(LOCK_POLL_INTERVAL);
        }
    }

    /// Whether the file differs from the version last read or written through this handle. This costs one
    /// `stat` and takes no lock. After a failed read or write an existing file counts as changed.
    pub fn has_changed(&mut self) -> bool {
        let current_stamp =
            std::fs::symlink_metadata(&self.path).ok().map(|metadata| FileStamp::from_metadata(&metadata));
        current_stamp != self.known.get_mut().as_ref().map(|known| known.stamp)
    }

    fn open_lock_file(&self) -> Result<File, SharedFolderError> {
        OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .mode(FILE_MODE)
            .open(&self.lock_path)
            .map_err(SharedFolderError::io(FileOperation::Open, &self.lock_path))
    }

    /// Whether the opened lock file is still the lock file in the folder: a lock on a file that was removed
    /// meanwhile excludes nobody.
    fn is_current_lock_file(&self, lock: &File) -> Result<bool, SharedFolderError> {
        let opened =
            lock.metadata().map_err(SharedFolderError::io(FileOperation::Inspect, &self.lock_path))?;
        Ok(std::fs::metadata(&self.lock_path)
            .is_ok_and(|current| (current.dev(), current.ino()) == (opened.dev(), opened.ino())))
    }
}

impl LockedStateFile<'_> {
    /// Reads the stored state; `None` if there is no file. An unusable file is moved aside, so that the next
    /// read finds none.
    ///
    /// # Errors
    /// [`SharedFolderError::Unusable`] if the file was moved aside, and [`SharedFolderError::Io`].
    pub fn read(&mut self) -> Result<Option<State>, SharedFolderError> {
        let path = &self.file.path;
        self.file.known.replace(None);
        match std::fs::symlink_metadata(path) {
            // Opening a file that is not regular, such as a named pipe, could block.
            Ok(metadata) if !metadata.is_file() => {
                return Err(self.move_aside(UnusableReason::NotAStateFile));
            }
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(SharedFolderError::io(FileOperation::Inspect, path)(e)),
        }
        let file = File::open(path).map_err(SharedFolderError::io(FileOperation::Open, path))?;
        let stamp = stamp_of(&file, path)?;
        let mut bytes = Vec::new();
        (&file)
            .take(MAX_FILE_BYTES as u64 + 1)
            .read_to_end(&mut bytes)
            .map_err(SharedFolderError::io(FileOperation::Read, path))?;
        let state = encoding::decode(&bytes).map_err(|reason| self.move_aside(reason))?;
        self.file.known.replace(Some(KnownVersion { stamp, _open: file }));
        Ok(Some(state))
    }

    /// Replaces the stored state; the new state is on the disk when this returns.
    ///
    /// # Errors
    /// [`SharedFolderError::TooLarge`], [`SharedFolderError::Encode`] and [`SharedFolderError::Io`]. After an
    /// error either of the two states may be stored, so the file must be read again.
    pub fn write(&mut self, state: &State) -> Result<(), SharedFolderError> {
        let (folder, path) = (&self.file.folder, &self.file.path);
        self.file.known.replace(None);
        let bytes = encoding::encode(state, path)?;
        let new_path = folder.join(format!("{FILE_NAME}.new"));
        let new_file = write_synced(&new_path, &bytes)?;
        let stamp = stamp_of(&new_file, &new_path)?;
        std::fs::rename(&new_path, path).map_err(SharedFolderError::io(FileOperation::Replace, path))?;
        File::open(folder)
            .and_then(|folder| folder.sync_all())
            .map_err(SharedFolderError::io(FileOperation::Sync, folder))?;
        self.file.known.replace(Some(KnownVersion { stamp, _open: new_file }));
        Ok(())
    }

    /// Renames an unusable file, so that an operator can inspect it; a file moved aside earlier is replaced.
    /// Returns [`SharedFolderError::Unusable`], or the error of the rename.
    fn move_aside(&self, reason: UnusableReason) -> SharedFolderError {
        let path = self.file.path.clone();
        let moved_to = self.file.folder.join(format!("{FILE_NAME}.refused"));
        match std::fs::rename(&path, &moved_to) {
            Ok(()) => SharedFolderError::Unusable { path, reason, moved_to },
            Err(e) => SharedFolderError::io(FileOperation::MoveAside, &path)(e),
        }
    }
}

fn stamp_of(file: &File, path: &Path) -> Result<FileStamp, SharedFolderError> {
    let metadata = file.metadata().map_err(SharedFolderError::io(FileOperation::Inspect, path))?;
    Ok(FileStamp::from_metadata(&metadata))
}

/// Writes a file and syncs its content to the disk.
fn write_synced(path: &Path, bytes: &[u8]) -> Result<File, SharedFolderError> {
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(FILE_MODE)
        .open(path)
        .map_err(SharedFolderError::io(FileOperation::Open, path))?;
    file.write_all(bytes).map_err(SharedFolderError::io(FileOperation::Write, path))?;
    file.sync_all().map_err(SharedFolderError::io(FileOperation::Sync, path))?;
    Ok(file)
}
