//! The state that a new journal file begins with.
use crate::SessionKey;
use decision::Time;

/// The state that a new journal file begins with.
pub struct Checkpoint<'a> {
    /// The number of the instance that owns the journal.
    pub instance: u64,
    /// The current incarnation of the instance that owns the journal.
    pub incarnation: u64,
    /// Sessions and the times of their commits, oldest first.
    pub entries: &'a [(SessionKey, Time)],
    /// The commit time that reads of every session must reflect.
    pub floor: Option<Time>,
    /// Commits of earlier starts may be missing; a later floor record will cover them.
    pub incomplete: bool,
}
