//! Reads the log of another process.
use super::format::{
    CAPACITY, HEADER_BYTES, RECORD_BYTES, Record, decode_header, decode_record, record_offset,
};
use super::{CommitLogError, SharedCommit, is_linked};
use crate::peers::ServedBefore;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Result of reading the records that were appended since the last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogRead {
    /// All records were read that had been appended when the read began.
    Complete,
    /// Records were overwritten before they were read.
    PartMissed,
}

/// The open log of another process.
pub(crate) struct LogReader {
    file: File,
    /// Sequence number of the next record.
    next_sequence: u64,
}

impl LogReader {
    /// Opens a log. Returns `None` if the process has not created one.
    pub(crate) fn open(path: &Path) -> Result<Option<(LogReader, ServedBefore)>, CommitLogError> {
        let file = match File::open(path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(CommitLogError::io(path)(error)),
        };
        let mut header = [0; HEADER_BYTES];
        file.read_exact_at(&mut header, 0).map_err(CommitLogError::io(path))?;
        let unknown_format = || CommitLogError::UnknownFormat { path: path.to_path_buf() };
        let served_before = decode_header(&header).ok_or_else(unknown_format)?;
        Ok(Some((LogReader { file, next_sequence: 1 }, served_before)))
    }

    /// Returns whether the process still publishes this log. A process that stops to publish commits removes its
    /// log first.
    pub(crate) fn is_published(&self) -> bool {
        is_linked(&self.file)
    }

    /// Appends the commits that were published since the last call to `commits`.
    ///
    /// # Errors
    /// Returns the error of the operating system if the file cannot be read, or
    /// [`io::ErrorKind::InvalidData`] if a record is damaged. A record that is being overwritten looks like a
    /// damaged one.
    pub(crate) fn read_new(&mut self, commits: &mut Vec<SharedCommit>) -> io::Result<LogRead> {
        let mut result = LogRead::Complete;
        // The writer may append records as fast as they are read, so their number is limited.
        for _ in 0..CAPACITY {
            match self.read_record()? {
                Record::Commit { sequence, commit } if sequence >= self.next_sequence => {
                    if sequence > self.next_sequence {
                        result = LogRead::PartMissed;
                    }
                    commits.push(commit);
                    self.next_sequence = sequence + 1;
                }
                Record::Unused | Record::Commit { .. } => return Ok(result),
                Record::Incomplete => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
        Ok(result)
    }

    fn read_record(&self) -> io::Result<Record> {
        let mut record = [0; RECORD_BYTES];
        self.file.read_exact_at(&mut record, record_offset(self.next_sequence))?;
        Ok(decode_record(&record))
    }
}
