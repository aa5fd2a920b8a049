//! How sessions are named between instances and on disk.
use decision::{GroupId, Time};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Later than any commit: a read that must see this goes to the primary.
pub const AFTER_EVERY_COMMIT: Time = Time(i64::MAX / 4);

/// The kind of a session that clients name, in the hashed bytes.
const KIND_NAMED: u8 = 0;
/// The kind of a session that is one connection, in the hashed bytes.
const KIND_CONNECTION: u8 = 1;

/// A session of a group: XXH3 (64 bits, seed 0) over the group's number in four little-endian bytes, a byte for the
/// kind (0 named, 1 a connection) and the session's name. The same at every instance and in every build. Two sessions
/// that share a key only see fresher data than they need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey(pub u64);

impl SessionKey {
    /// The key of a session that clients name.
    pub fn named(group: GroupId, session: &str) -> SessionKey {
        SessionKey::of(group, KIND_NAMED, session.as_bytes())
    }

    /// The key of a session that is one connection of this process.
    pub fn connection(group: GroupId, connection: u64) -> SessionKey {
        SessionKey::of(group, KIND_CONNECTION, &connection.to_le_bytes())
    }

    fn of(group: GroupId, kind: u8, session: &[u8]) -> SessionKey {
        SessionKey(xxh3_64(&[&group.0.to_le_bytes()[..], &[kind], session].concat()))
    }
}
