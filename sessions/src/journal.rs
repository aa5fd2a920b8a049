//! The journal that stores commits on disk.
//!
//! The journal is one file, `sessions.N`; N increases with each rewrite. It begins with a magic number, a
//! version and a first record that identifies the instance, followed by records that are appended and synced
//! in batches. A record consists of a length, a checksum of the length, a checksum of the body (XXH3), and
//! the body (postcard).
//!
//! A process that stops in the middle of a write leaves an incomplete record at the end. That tail is cut
//! off; it was never confirmed. Bytes that are not a valid record but are followed by one mean that the disk
//! is faulty: the file is rejected, and the offset is reported. In both cases the caller raises the floor. A
//! rewrite creates a new file, which is synced before it is renamed to its final name; only then is the old
//! file deleted.
mod checkpoint;
mod error;
mod files;
mod folder;
mod record;
mod writer;

pub use checkpoint::Checkpoint;
pub use error::JournalError;
pub use files::read_newest;
pub use folder::{JournalWarning, OpenedFolder, open};
pub use record::{JournalContents, JournalFault, Record, VERSION, read};
pub use writer::Journal;
