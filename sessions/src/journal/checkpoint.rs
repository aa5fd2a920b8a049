//! What a new file begins with.
use crate::SessionKey;
use decision::Time;

/// What a new file begins with.
pub struct Checkpoint<'a> {
    /// The instance.
    pub instance: u64,
    /// Its start.
    pub incarnation: u64,
    /// Sessions and their commits, oldest first.
    pub entries: &'a [(SessionKey, Time)],
    /// What every session must see.
    pub floor: Option<Time>,
    /// The floor that covers earlier starts follows later.
    pub incomplete: bool,
}
