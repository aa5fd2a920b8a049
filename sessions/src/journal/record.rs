//! The format of a journal file: its records, and the contents that are read from them.
use crate::SessionKey;
use decision::Time;
use serde::{Deserialize, Serialize};
use std::io;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

const MAGIC: &[u8; 6] = b"DVSESS";
/// Version of the file format; files of other versions are rejected.
pub const VERSION: u16 = 1;
/// Size of the file header (magic number and version) in bytes.
const FILE_HEADER_BYTES: usize = MAGIC.len() + 2;
/// Size of a record's header (length, the length's checksum, the body's checksum) in bytes.
const RECORD_HEADER_BYTES: usize = 4 + 4 + 8;
/// Maximum size of a record's body in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The body of a journal record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Identifies the instance that wrote the file; the first record of each file.
    Header {
        /// The number of the instance that wrote the journal file.
        instance: u64,
        /// The incarnation of the instance that wrote the journal file.
        incarnation: u64,
        /// Commits of earlier starts may be missing, and no floor record that covers them had been written
        /// yet.
        incomplete: bool,
    },
    /// Sessions and the times of their commits, in microseconds since the Unix epoch.
    Commits(Vec<(SessionKey, i64)>),
    /// The commit time that reads of every session must reflect, in microseconds since the Unix epoch. It
    /// covers the commits that an incomplete checkpoint lacks.
    Floor(i64),
}

/// The contents of a journal file.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct JournalContents {
    /// The number of the instance that wrote the journal file.
    pub instance: u64,
    /// The incarnation of the instance that wrote the journal file.
    pub incarnation: u64,
    /// Sessions and the times of their commits, oldest first.
    pub entries: Vec<(SessionKey, Time)>,
    /// The commit time that reads of every session must reflect.
    pub floor: Option<Time>,
    /// Commits may be missing, so reads must reflect everything committed before the next start.
    pub incomplete: bool,
    /// Number of bytes after the last complete record; they contain no valid record.
    pub torn_bytes: usize,
    /// Total size of the file header and the complete records, in bytes.
    pub complete_bytes: usize,
    /// Number of complete records.
    pub record_count: usize,
}

/// Why a journal file can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JournalFault {
    /// The file is not a journal, or has another format version.
    #[error("{0}")]
    NotAJournal(String),
    /// There is no valid record at this offset, but there are valid records after it.
    #[error("invalid record at offset {offset}, followed by valid records")]
    DamagedRecord {
        /// The offset from the beginning of the file, in bytes.
        offset: usize,
    },
}

/// Returns the file header: magic number and version.
pub(super) fn file_header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes
}

/// Appends an encoded record (header and body) to `bytes`.
pub(super) fn encode(bytes: &mut Vec<u8>, record: &Record) -> io::Result<()> {
    let body = postcard::to_stdvec(record).map_err(io::Error::other)?;
    let length = (body.len() as u32).to_le_bytes();
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&length_checksum(&length));
    bytes.extend_from_slice(&body_checksum(&body));
    bytes.extend_from_slice(&body);
    Ok(())
}

fn length_checksum(length: &[u8]) -> [u8; 4] {
    (xxh3_64(length) as u32).to_le_bytes()
}

fn body_checksum(body: &[u8]) -> [u8; 8] {
    xxh3_64(body).to_le_bytes()
}

/// Decodes the record at the start of `bytes` and returns it with its total length; `None` if there is no
/// valid record.
fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    let (length, checksum) = (bytes.get(..4)?, bytes.get(4..8)?);
    if length_checksum(length) != checksum {
        return None;
    }
    let body_bytes = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let end = RECORD_HEADER_BYTES + body_bytes;
    let body = bytes.get(RECORD_HEADER_BYTES..end).filter(|_| body_bytes <= MAX_BODY_BYTES)?;
    if body_checksum(body) != bytes[8..RECORD_HEADER_BYTES] {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, end))
}

/// Decodes the bytes of a journal file. The length of an incomplete record at the end is reported in
/// [`JournalContents::torn_bytes`].
///
/// # Errors
/// [`JournalFault::NotAJournal`] if the bytes are not a journal of this version;
/// [`JournalFault::DamagedRecord`] if an invalid record is followed by a valid one.
pub fn read(bytes: &[u8]) -> Result<JournalContents, JournalFault> {
    check_file_header(bytes)?;
    let (mut contents, mut offset) = read_header(bytes)?;
    while offset < bytes.len() {
        let Some((record, length)) = decode(&bytes[offset..]) else {
            if has_record_after(bytes, offset) {
                return Err(JournalFault::DamagedRecord { offset });
            }
            contents.torn_bytes = bytes.len() - offset;
            break;
        };
        contents.apply(record).ok_or(JournalFault::DamagedRecord { offset })?;
        offset += length;
    }
    contents.complete_bytes = offset;
    Ok(contents)
}

/// Reads the first record, and returns its contents and the offset of the second record.
fn read_header(bytes: &[u8]) -> Result<(JournalContents, usize), JournalFault> {
    let first = decode(&bytes[FILE_HEADER_BYTES..]);
    let Some((Record::Header { instance, incarnation, incomplete }, length)) = first else {
        return Err(JournalFault::DamagedRecord { offset: FILE_HEADER_BYTES });
    };
    let contents =
        JournalContents { instance, incarnation, incomplete, record_count: 1, ..JournalContents::default() };
    Ok((contents, FILE_HEADER_BYTES + length))
}

/// Whether a valid record begins anywhere after `offset`. If so, the bytes at `offset` are damaged and not a
/// torn tail.
fn has_record_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|start| decode(&bytes[start..]).is_some())
}

impl JournalContents {
    /// Applies a record after the first one; `None` if a record of this kind is not allowed there.
    fn apply(&mut self, record: Record) -> Option<()> {
        match record {
            Record::Commits(entries) => {
                let entries =
                    entries.into_iter().map(|(session, committed_at)| (session, Time(committed_at)));
                self.entries.extend(entries);
            }
            Record::Floor(floor) => {
                self.floor = self.floor.max(Some(Time(floor)));
                self.incomplete = false;
            }
            Record::Header { .. } => return None,
        }
        self.record_count += 1;
        Some(())
    }
}

fn check_file_header(bytes: &[u8]) -> Result<(), JournalFault> {
    let header = bytes.get(..FILE_HEADER_BYTES).filter(|header| header.starts_with(MAGIC));
    let header =
        header.ok_or_else(|| JournalFault::NotAJournal("the file is not a session journal".into()))?;
    let version = u16::from_le_bytes([header[MAGIC.len()], header[MAGIC.len() + 1]]);
    if version != VERSION {
        return Err(JournalFault::NotAJournal(format!("journal version {version}, expected {VERSION}")));
    }
    Ok(())
}
