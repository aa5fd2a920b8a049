//! Encoding of a log's header and records.
use super::SharedCommit;
use crate::peers::ServedBefore;
use decision::{GroupId, SessionId};

/// Number of records in a log. A process that falls further behind misses commits, and knows it.
pub(super) const CAPACITY: u64 = 4096;
/// Size of the header.
pub(super) const HEADER_BYTES: usize = 24;
/// Size of one record.
pub(super) const RECORD_BYTES: usize = 32;

const MAGIC: &[u8; 8] = b"dvcommit";
const FORMAT_VERSION: u32 = 1;
/// Flag of the header: the process had served clients before it created the log.
const SERVED_BEFORE: u32 = 1;

/// Content of a record's place in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Record {
    /// Nothing was written there yet.
    Unused,
    /// A commit with its sequence number.
    Commit { sequence: u64, commit: SharedCommit },
    /// The record is being written, or is damaged.
    Incomplete,
}

pub(super) fn encode_header(served_before: ServedBefore) -> [u8; HEADER_BYTES] {
    let flags = if served_before == ServedBefore::Yes { SERVED_BEFORE } else { 0 };
    let mut header = [0; HEADER_BYTES];
    header[..8].copy_from_slice(MAGIC);
    header[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    header[12..16].copy_from_slice(&flags.to_le_bytes());
    header[16..20].copy_from_slice(&(CAPACITY as u32).to_le_bytes());
    let checksum = crc32fast::hash(&header[..20]);
    header[20..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Returns `None` for the header of another format.
pub(super) fn decode_header(header: &[u8; HEADER_BYTES]) -> Option<ServedBefore> {
    let expected = |served_before| (encode_header(served_before) == *header).then_some(served_before);
    expected(ServedBefore::No).or_else(|| expected(ServedBefore::Yes))
}

pub(super) fn encode_record(sequence: u64, commit: &SharedCommit) -> [u8; RECORD_BYTES] {
    let mut record = [0; RECORD_BYTES];
    record[..8].copy_from_slice(&sequence.to_le_bytes());
    record[8..16].copy_from_slice(&commit.session.0.to_le_bytes());
    record[16..24].copy_from_slice(&commit.commit_us.to_le_bytes());
    record[24..28].copy_from_slice(&commit.group.0.to_le_bytes());
    let checksum = crc32fast::hash(&record[..28]);
    record[28..].copy_from_slice(&checksum.to_le_bytes());
    record
}

pub(super) fn decode_record(record: &[u8; RECORD_BYTES]) -> Record {
    if record.iter().all(|byte| *byte == 0) {
        return Record::Unused;
    }
    let number = |at: usize| {
        let bytes: [u8; 8] = std::array::from_fn(|i| record[at + i]);
        u64::from_le_bytes(bytes)
    };
    let group_and_checksum = number(24);
    let checksum = (group_and_checksum >> 32) as u32;
    if crc32fast::hash(&record[..28]) != checksum {
        return Record::Incomplete;
    }
    let commit = SharedCommit {
        group: GroupId(group_and_checksum as u32),
        session: SessionId(number(8)),
        commit_us: number(16) as i64,
    };
    Record::Commit { sequence: number(0), commit }
}

/// Returns the offset in the file of the record with this sequence number.
pub(super) fn record_offset(sequence: u64) -> u64 {
    let index = sequence.wrapping_sub(1) % CAPACITY;
    HEADER_BYTES as u64 + index * RECORD_BYTES as u64
}

/// Size of the whole file.
pub(super) const FILE_BYTES: usize = HEADER_BYTES + CAPACITY as usize * RECORD_BYTES;
