//! Commits on disk.
//!
//! One file, `sessions.N`, N rising with each rewrite. It begins with a magic text, a version and a first record that
//! names the instance; behind that are records, appended and synced together. A record is a length, the checksum of
//! the length, the checksum of the body (XXH3), and the body (postcard).
//!
//! A stop in the middle of a write leaves a tail that is no record and has nothing behind it: it is cut, and was
//! never confirmed. What is no record and has a record behind it is a fault of the disk: the file is refused, with
//! the offset. Both make the caller raise the floor. A rewrite goes to a new file that is synced before it gets its
//! name, and only then is the old one deleted.
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
