//! A journal file's bytes: records, and what they add up to.
use crate::SessionKey;
use decision::Time;
use serde::{Deserialize, Serialize};
use std::io;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

const MAGIC: &[u8; 6] = b"DVSESS";
/// Version of the format; others are refused.
pub const VERSION: u16 = 1;
/// Magic text and version.
const FILE_HEADER_BYTES: usize = MAGIC.len() + 2;
/// Length, its checksum, the body's checksum.
const RECORD_HEADER_BYTES: usize = 4 + 4 + 8;
/// The longest body that is accepted.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A record's body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Whose file it is; the first record of each file.
    Header {
        /// The instance.
        instance: u64,
        /// Its start.
        incarnation: u64,
        /// Commits of earlier starts are missing, and the floor that covers them is not written yet.
        incomplete: bool,
    },
    /// Sessions and their commits, in microseconds of Unix time.
    Commits(Vec<(SessionKey, i64)>),
    /// What every session must see; covers what an incomplete beginning lacks.
    Floor(i64),
}

/// What a file held.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct JournalContents {
    /// The instance.
    pub instance: u64,
    /// Its start.
    pub incarnation: u64,
    /// Sessions and their commits, oldest first.
    pub entries: Vec<(SessionKey, Time)>,
    /// What every session must see.
    pub floor: Option<Time>,
    /// Commits may be missing: all that were made before the next start must be seen.
    pub incomplete: bool,
    /// Bytes after the last complete record, with no record among them.
    pub torn_bytes: usize,
    /// Bytes of the complete records and the file's header.
    pub complete_bytes: usize,
    /// How many records.
    pub record_count: usize,
}

/// Why a file can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JournalFault {
    /// It is no journal, or of another version.
    #[error("{0}")]
    NotAJournal(String),
    /// No record stands at this offset, but there are some behind it.
    #[error("no whole record at offset {offset}, with records behind it")]
    DamagedRecord {
        /// In bytes from the file's beginning.
        offset: usize,
    },
}

/// What a new file begins with.
pub(super) fn file_header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes
}

/// Appends a record's header and body.
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

/// The record at the front, and its length with the header; `None` where there is none.
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

/// Reads a file's bytes. A tail that is no record, with none behind it, is reported in
/// [`JournalContents::torn_bytes`].
///
/// # Errors
/// [`JournalFault::NotAJournal`] where it is no journal of this version; [`JournalFault::DamagedRecord`] where something
/// that is no record has records behind it.
pub fn read(bytes: &[u8]) -> Result<JournalContents, JournalFault> {
    check_file_header(bytes)?;
    let (mut contents, mut offset) = read_header(bytes)?;
    while offset < bytes.len() {
        let Some((record, length)) = decode(&bytes[offset..]) else {
            if has_record_behind(bytes, offset) {
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

/// What the first record says, and the offset of the second.
fn read_header(bytes: &[u8]) -> Result<(JournalContents, usize), JournalFault> {
    let first = decode(&bytes[FILE_HEADER_BYTES..]);
    let Some((Record::Header { instance, incarnation, incomplete }, length)) = first else {
        return Err(JournalFault::DamagedRecord { offset: FILE_HEADER_BYTES });
    };
    let contents =
        JournalContents { instance, incarnation, incomplete, record_count: 1, ..JournalContents::default() };
    Ok((contents, FILE_HEADER_BYTES + length))
}

/// Whether anything behind the offset reads as a record: what is at the offset is no torn tail then.
fn has_record_behind(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|behind| decode(&bytes[behind..]).is_some())
}

impl JournalContents {
    /// Adds a record behind the first; `None` where it can't stand there.
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
    let header = header.ok_or_else(|| JournalFault::NotAJournal("it is no journal of sessions".into()))?;
    let version = u16::from_le_bytes([header[MAGIC.len()], header[MAGIC.len() + 1]]);
    if version != VERSION {
        return Err(JournalFault::NotAJournal(format!("its version is {version}, expected {VERSION}")));
    }
    Ok(())
}
