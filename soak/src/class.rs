//! Classes of requests to the platform's front.
use crate::time::{Micros, SECOND};

/// A class of requests, as the routers' settings have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// A read of data of any age; idempotent.
    Any,
    /// A read of data of [`MAX_DATA_AGE`] at most; idempotent.
    Bounded,
    /// A read that sees its session's writes; idempotent.
    Session,
    /// A write that must not run twice.
    Write,
    /// A write with an idempotency key: its group drops repeats for [`REPEAT_WINDOW`].
    Keyed,
}

/// The oldest data that a read of [`Class::Bounded`] may see.
pub const MAX_DATA_AGE: Micros = SECOND;
/// How long repeats of [`Class::Keyed`] are dropped.
pub const REPEAT_WINDOW: Micros = 600_000;

/// The longest deadline of a write.
const WRITE_DEADLINE: Micros = 2 * SECOND;
/// The longest deadline of a read.
const READ_DEADLINE: Micros = 1_200_000;

impl Class {
    /// All of them, in the order of the settings.
    pub const ALL: [Class; 5] = [Class::Any, Class::Bounded, Class::Session, Class::Write, Class::Keyed];

    /// Its name in the settings and in statements.
    pub fn name(self) -> &'static str {
        match self {
            Class::Any => "any",
            Class::Bounded => "bounded",
            Class::Session => "session",
            Class::Write => "write",
            Class::Keyed => "keyed",
        }
    }

    /// Whether it changes data.
    pub fn is_write(self) -> bool {
        matches!(self, Class::Write | Class::Keyed)
    }

    /// Its longest deadline.
    pub fn deadline(self) -> Micros {
        if self.is_write() { WRITE_DEADLINE } else { READ_DEADLINE }
    }
}
