//! The file with the persistent raft state of a node. Records are appended and synced before any message is
//! sent that depends on them.
//!
//! A record consists of the length of kind and body (four bytes, little-endian), the CRC-32 of kind and body
//! (four bytes, little-endian), the kind (one byte) and the body, a protobuf message of the `raft` library.
//! An incomplete record at the end of the file is the torn tail that a crash leaves, and is truncated. A
//! crash never leaves a complete record after an incomplete one, so an invalid record followed by a complete
//! one is reported as damage.
use protobuf::Message;
use raft::eraftpb::{Entry, HardState, Snapshot};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "log";
/// Extension of the new file that replaces the log file by a rename.
const NEW_FILE_EXTENSION: &str = "new";

const HARD_STATE: u8 = 1;
const ENTRY: u8 = 2;
const SNAPSHOT: u8 = 3;

/// Length of a record's length field, in bytes.
const LENGTH_BYTES: usize = 4;
/// Length of a record's length field and checksum, in bytes.
const HEADER_BYTES: usize = 8;

/// Why a log file is rejected. The records have been acknowledged, so none of them may be dropped.
#[derive(Debug, thiserror::Error)]
enum LogDamage {
    #[error(
        "the log is damaged at byte {damaged_at}, and a record that was confirmed later begins at byte \
         {record_at}"
    )]
    BeforeRecord { damaged_at: usize, record_at: usize },
    #[error("the record at byte {at} of the log is of an unknown kind, {kind}")]
    UnknownKind { at: usize, kind: u8 },
}

impl From<LogDamage> for io::Error {
    fn from(damage: LogDamage) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, damage)
    }
}

/// The contents of a log file.
#[derive(Default)]
pub struct LogContents {
    /// The most recent hard state.
    pub hard_state: HardState,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The most recent snapshot.
    pub snapshot: Snapshot,
    /// Length of the torn tail that was truncated.
    pub torn_bytes: u64,
}

impl LogContents {
    /// Parses the complete records at the start of `bytes`. Also returns their total length.
    fn parse(bytes: &[u8]) -> io::Result<(LogContents, usize)> {
        let mut contents = LogContents::default();
        let mut complete = 0;
        while let Some((kind, body)) = complete_record(&bytes[complete..]) {
            match kind {
                HARD_STATE => contents.hard_state = parse(body)?,
                ENTRY => contents.push_entry(parse(body)?),
                SNAPSHOT => contents.set_snapshot(parse(body)?),
                _ => return Err(LogDamage::UnknownKind { at: complete, kind }.into()),
            }
            complete += HEADER_BYTES + 1 + body.len();
        }
        match next_record(bytes, complete) {
            Some(record_at) => Err(LogDamage::BeforeRecord { damaged_at: complete, record_at }.into()),
            None => Ok((contents, complete)),
        }
    }

    /// Adds an entry. An entry of a new leader replaces the existing one at its index and all later ones.
    fn push_entry(&mut self, entry: Entry) {
        self.entries.retain(|existing| existing.index < entry.index);
        self.entries.push(entry);
    }

    fn set_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.get_metadata().index;
        self.entries.retain(|entry| entry.index > index);
        self.snapshot = snapshot;
    }
}

/// Returns the kind and body of the record at the start of `bytes`; `None` if it is incomplete or its
/// checksum differs.
fn complete_record(bytes: &[u8]) -> Option<(u8, &[u8])> {
    let header = bytes.get(..HEADER_BYTES)?;
    let length = little_endian(&header[..LENGTH_BYTES]) as usize;
    let kind_and_body = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    if crc32fast::hash(kind_and_body) != little_endian(&header[LENGTH_BYTES..]) {
        return None;
    }
    kind_and_body.split_first().map(|(kind, body)| (*kind, body))
}

/// Returns the offset of the first complete record of a known kind that starts after offset `after`.
fn next_record(bytes: &[u8], after: usize) -> Option<usize> {
    let of_known_kind = |&at: &usize| matches!(bytes[at + HEADER_BYTES], HARD_STATE | ENTRY | SNAPSHOT);
    let mut candidates = (after + 1..bytes.len().saturating_sub(HEADER_BYTES)).filter(of_known_kind);
    candidates.find(|&at| complete_record(&bytes[at..]).is_some())
}

fn little_endian(bytes: &[u8]) -> u32 {
    bytes.iter().rev().fold(0, |number, byte| number << 8 | u32::from(*byte))
}

fn parse<T: Message>(body: &[u8]) -> io::Result<T> {
    T::parse_from_bytes(body).map_err(io::Error::other)
}

fn write_record(buffer: &mut Vec<u8>, kind: u8, message: &impl Message) -> io::Result<()> {
    let body = message.write_to_bytes().map_err(io::Error::other)?;
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&[kind]);
    checksum.update(&body);
    buffer.extend_from_slice(&(body.len() as u32 + 1).to_le_bytes());
    buffer.extend_from_slice(&checksum.finalize().to_le_bytes());
    buffer.push(kind);
    buffer.extend_from_slice(&body);
    Ok(())
}

/// The log file of a node.
pub struct LogFile {
    path: PathBuf,
    file: File,
}

impl LogFile {
    /// Opens the log file in a folder; creates both if they are missing.
    ///
    /// # Errors
    /// Fails if the file cannot be created, read or synced, a complete record cannot be parsed, or there is
    /// damage before a complete record.
    pub fn open(folder: &Path) -> io::Result<(LogFile, LogContents)> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join(FILE_NAME);
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (mut contents, complete) = LogContents::parse(&bytes)?;
        contents.torn_bytes = (bytes.len() - complete) as u64;
        if contents.torn_bytes > 0 {
            file.set_len(complete as u64)?;
            file.sync_all()?;
        }
        file.seek(SeekFrom::End(0))?;
        File::open(folder)?.sync_all()?;
        Ok((LogFile { path, file }, contents))
    }

    /// Appends entries and a hard state to the log file, and syncs it.
    ///
    /// # Errors
    /// Fails if the file cannot be written or synced. The file's contents are unknown after that.
    pub fn append(&mut self, entries: &[Entry], hard_state: Option<&HardState>) -> io::Result<()> {
        let mut bytes = Vec::new();
        for entry in entries {
            write_record(&mut bytes, ENTRY, entry)?;
        }
        if let Some(hard_state) = hard_state {
            write_record(&mut bytes, HARD_STATE, hard_state)?;
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.file.write_all(&bytes)?;
        self.file.sync_data()
    }

    /// Replaces the file by one with a snapshot, the log entries after it and the hard state.
    ///
    /// # Errors
    /// Fails if the new file cannot be written, synced or renamed to the log file.
    pub fn rewrite(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        hard_state: &HardState,
    ) -> io::Result<()> {
        let mut bytes = Vec::new();
        write_record(&mut bytes, SNAPSHOT, snapshot)?;
        for entry in entries {
            write_record(&mut bytes, ENTRY, entry)?;
        }
        write_record(&mut bytes, HARD_STATE, hard_state)?;
        let new_path = self.path.with_extension(NEW_FILE_EXTENSION);
        let mut file = File::create(&new_path)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&new_path, &self.path)?;
        if let Some(folder) = self.path.parent() {
            File::open(folder)?.sync_all()?;
        }
        self.file = file;
        Ok(())
    }
}
