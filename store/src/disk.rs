//! What a node must not forget, in one file: records of a length, a checksum, a kind and bytes, added at its end
//! and synced before anything is said that stands on them. A tail that a stop has torn off is cut away.
use protobuf::Message;
use raft::eraftpb::{Entry, HardState, Snapshot};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const HARD_STATE: u8 = 1;
const ENTRY: u8 = 2;
const SNAPSHOT: u8 = 3;
/// Length and checksum.
const HEAD: usize = 8;

/// What a file held.
#[derive(Default)]
pub struct Kept {
    /// The last hard state.
    pub hard_state: HardState,
    /// The log behind the snapshot.
    pub entries: Vec<Entry>,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// Bytes cut away at the end.
    pub torn: u64,
}

/// The file of one node.
pub struct Disk {
    path: PathBuf,
    file: File,
}

fn record(to: &mut Vec<u8>, kind: u8, message: &impl Message) -> io::Result<()> {
    let body = message.write_to_bytes().map_err(io::Error::other)?;
    let mut sum = crc32fast::Hasher::new();
    sum.update(&[kind]);
    sum.update(&body);
    to.extend_from_slice(&(body.len() as u32 + 1).to_le_bytes());
    to.extend_from_slice(&sum.finalize().to_le_bytes());
    to.push(kind);
    to.extend_from_slice(&body);
    Ok(())
}

fn number(bytes: &[u8]) -> u32 {
    bytes.iter().rev().fold(0, |x, b| x << 8 | u32::from(*b))
}

/// Takes whole records from the front; the length of what could be read comes back.
fn read(bytes: &[u8]) -> io::Result<(Kept, usize)> {
    let (mut kept, mut at) = (Kept::default(), 0);
    while let Some(head) = bytes.get(at..at + HEAD) {
        let length = number(&head[..4]) as usize;
        let Some(body) = bytes.get(at + HEAD..at + HEAD + length) else { break };
        if length == 0 || crc32fast::hash(body) != number(&head[4..]) {
            break;
        }
        match body[0] {
            HARD_STATE => {
                kept.hard_state = HardState::parse_from_bytes(&body[1..]).map_err(io::Error::other)?
            }
            ENTRY => {
                let entry = Entry::parse_from_bytes(&body[1..]).map_err(io::Error::other)?;
                // A new leader's entry takes the place of what stood there and of all behind it.
                kept.entries.retain(|e| e.index < entry.index);
                kept.entries.push(entry);
            }
            SNAPSHOT => {
                kept.snapshot = Snapshot::parse_from_bytes(&body[1..]).map_err(io::Error::other)?;
                let index = kept.snapshot.get_metadata().index;
                kept.entries.retain(|e| e.index > index);
            }
            _ => break,
        }
        at += HEAD + length;
    }
    Ok((kept, at))
}

impl Disk {
    /// Opens a node's file in a folder, which is made where it is missing.
    pub fn open(folder: &Path) -> io::Result<(Disk, Kept)> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("log");
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (mut kept, whole) = read(&bytes)?;
        kept.torn = (bytes.len() - whole) as u64;
        if kept.torn > 0 {
            file.set_len(whole as u64)?;
            file.sync_all()?;
        }
        file.seek(SeekFrom::End(0))?;
        File::open(folder)?.sync_all()?;
        Ok((Disk { path, file }, kept))
    }

    /// Adds entries and a hard state, and syncs them.
    pub fn add(&mut self, entries: &[Entry], hard_state: Option<&HardState>) -> io::Result<()> {
        let mut bytes = Vec::new();
        for e in entries {
            record(&mut bytes, ENTRY, e)?;
        }
        if let Some(h) = hard_state {
            record(&mut bytes, HARD_STATE, h)?;
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.file.write_all(&bytes)?;
        self.file.sync_data()
    }

    /// Writes the file anew with a snapshot and what stands behind it.
    pub fn rewrite(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        hard_state: &HardState,
    ) -> io::Result<()> {
        let mut bytes = Vec::new();
        record(&mut bytes, SNAPSHOT, snapshot)?;
        for e in entries {
            record(&mut bytes, ENTRY, e)?;
        }
        record(&mut bytes, HARD_STATE, hard_state)?;
        let new = self.path.with_extension("new");
        let mut file = File::create(&new)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&new, &self.path)?;
        if let Some(folder) = self.path.parent() {
            File::open(folder)?.sync_all()?;
        }
        self.file = file;
        Ok(())
    }
}
