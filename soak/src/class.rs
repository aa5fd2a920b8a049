//! Request classes of the platform front.
use crate::time::{Micros, SECOND};

/// A request class, as configured in the routers' settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// An idempotent read that accepts data of any age.
    Any,
    /// An idempotent read of data that is at most [`MAX_DATA_AGE`] old.
    Bounded,
    /// An idempotent read that must see the earlier writes of its session.
    Session,
    /// A non-idempotent write, which must not run twice.
    Write,
    /// A write with an idempotency key: its group discards duplicates for [`REPEAT_WINDOW`].
    Keyed,
}

/// The maximum age of the data that a read of [`Class::Bounded`] may return.
pub const MAX_DATA_AGE: Micros = SECOND;
/// How long duplicates of a write of [`Class::Keyed`] are discarded.
pub const REPEAT_WINDOW: Micros = 600_000;

/// The maximum deadline of a write.
const WRITE_DEADLINE: Micros = 3 * SECOND;
/// The maximum deadline of a read.
const READ_DEADLINE: Micros = 1_200_000;

impl Class {
    /// All classes, in the order of the settings.
    pub const ALL: [Class; 5] = [Class::Any, Class::Bounded, Class::Session, Class::Write, Class::Keyed];

    /// The class's name in the settings and in statements.
    pub fn name(self) -> &'static str {
        match self {
            Class::Any => "any",
            Class::Bounded => "bounded",
            Class::Session => "session",
            Class::Write => "write",
            Class::Keyed => "keyed",
        }
    }

    /// Whether requests of this class change data.
    pub fn is_write(self) -> bool {
        matches!(self, Class::Write | Class::Keyed)
    }

    /// The maximum deadline of a request of this class.
    pub fn deadline(self) -> Micros {
        if self.is_write() { WRITE_DEADLINE } else { READ_DEADLINE }
    }
}
