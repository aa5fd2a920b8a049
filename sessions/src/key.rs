//! The keys that identify sessions on the wire between instances and on disk.
use decision::{GroupId, Time};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A time later than any commit. A read that requires it is sent to the primary.
pub const AFTER_EVERY_COMMIT: Time = Time(i64::MAX / 4);

/// Kind byte, in a key's hashed input, of a session that the client names.
const KIND_NAMED: u8 = 0;
/// Kind byte, in a key's hashed input, of a session that is a single connection.
const KIND_CONNECTION: u8 = 1;

/// Identifies a session of a replication group: XXH3 (64 bits, seed 0) over the group's number in four
/// little-endian bytes, the kind byte (0 for a named session, 1 for a connection) and the session's name or
/// connection number. The key is the same at every instance and in every build. If two sessions collide,
/// their reads only require fresher data than necessary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey(pub u64);

impl SessionKey {
    /// The key of a session that the client names.
    pub fn named(group: GroupId, session: &str) -> SessionKey {
        SessionKey::of(group, KIND_NAMED, session.as_bytes())
    }

    /// The key of a session that is a single connection of this process.
    pub fn connection(group: GroupId, connection: u64) -> SessionKey {
        SessionKey::of(group, KIND_CONNECTION, &connection.to_le_bytes())
    }

    fn of(group: GroupId, kind: u8, session: &[u8]) -> SessionKey {
        SessionKey(xxh3_64(&[&group.0.to_le_bytes()[..], &[kind], session].concat()))
    }
}
