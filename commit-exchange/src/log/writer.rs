//! Writes the log of this process.
use super::format::{FILE_BYTES, HEADER_BYTES, encode_header, encode_record, record_offset};
use super::{CommitLogError, SharedCommit, is_linked};
use crate::peers::ServedBefore;
use std::fs::{File, OpenOptions};
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// File permissions: readable and writable by the router's user only.
const FILE_MODE: u32 = 0o600;
/// Suffix of the file's name until its header is complete.
const TEMPORARY_SUFFIX: &str = ".new";

/// A complete log under a temporary name, which no other process reads.
pub(crate) struct PreparedLog {
    temporary: PathBuf,
    writer: LogWriter,
}

impl PreparedLog {
    /// Writes an empty log.
    pub(crate) fn create(path: &Path, served_before: ServedBefore) -> Result<PreparedLog, CommitLogError> {
        let mut temporary = path.as_os_str().to_owned();
        temporary.push(TEMPORARY_SUFFIX);
        let temporary = PathBuf::from(temporary);
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .mode(FILE_MODE)
            .open(&temporary)
            .map_err(CommitLogError::io(&temporary))?;
        // The whole file is written now, so that no later write can fail for lack of space.
        let mut content = vec![0; FILE_BYTES];
        content[..HEADER_BYTES].copy_from_slice(&encode_header(served_before));
        file.write_all_at(&content, 0).map_err(CommitLogError::io(&temporary))?;
        let writer = LogWriter { path: path.to_path_buf(), file, last_sequence: 0 };
        Ok(PreparedLog { temporary, writer })
    }

    /// Makes the log visible to other processes. From then on it has to contain each commit that is served.
    pub(crate) fn publish(self) -> Result<LogWriter, CommitLogError> {
        std::fs::rename(&self.temporary, &self.writer.path).map_err(CommitLogError::io(&self.writer.path))?;
        Ok(self.writer)
    }
}

/// The log of this process. The file stays when the process ends, so that others can read it to its end.
pub(crate) struct LogWriter {
    path: PathBuf,
    file: File,
    last_sequence: u64,
}

impl LogWriter {
    /// Appends a commit. Other processes see it once this returns.
    pub(crate) fn append(&mut self, commit: &SharedCommit) -> Result<(), CommitLogError> {
        let sequence = self.last_sequence + 1;
        let record = encode_record(sequence, commit);
        self.file.write_all_at(&record, record_offset(sequence)).map_err(CommitLogError::io(&self.path))?;
        self.last_sequence = sequence;
        Ok(())
    }

    /// Returns whether other processes can find the log: nobody has removed its file.
    pub(crate) fn is_published(&self) -> bool {
        is_linked(&self.file)
    }

    /// Removes the log: other processes notice that this one publishes no commits from now on.
    pub(crate) fn withdraw(self) {
        // If the removal fails, the file has been removed already.
        _ = std::fs::remove_file(&self.path);
    }
}
