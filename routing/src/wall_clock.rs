//! Conversion of times that other programs state to the router's own clock.
//!
//! Servers state their positions, discovery states starts, and clients state the commits that they must see. All of
//! them read these times off the wall clock, which may be stepped at any time, by seconds or by an hour. The router uses
//! a [`Clock`](crate::Clock) of its own that is never stepped, so stated times are converted to that clock here.
//!
//! [`ClockOffsets`] decides, without a clock of its own: it gets readings of the wall clock, detects a step, and keeps
//! the offset that held before it. A stated time may have been read before or after the step, so it may mean either of
//! two moments. Which of them is taken depends on what would go wrong:
//!
//! - a start, and a commit that must be seen, are taken as late as they can be;
//! - a position that a replica states is taken as early as it can be, unless the replica shows that it uses the wall
//!   clock as it is now.
//!
//! [`WallClock`] reads the clocks and remembers what each server has stated.
mod converter;
mod offsets;

pub use converter::WallClock;
pub use offsets::{ClockOffsets, StatedBy};
