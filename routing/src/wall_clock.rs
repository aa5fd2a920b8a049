//! Converts wall-clock times that other programs report to the router's own clock.
//!
//! Servers report their replication positions, discovery reports when endpoints were started, and clients
//! report the commits that they must observe. All of these times were read from the wall clock, which may be
//! stepped by any amount at any time. The router uses its own [`Clock`](crate::Clock), which is never
//! stepped, so reported times are converted here.
//!
//! [`ClockOffsets`] does the calculation without accessing a clock: it is given readings of the wall clock,
//! detects steps, and stores the offsets from before the last steps. A reported time may have been read
//! before or after a step, so it can have more than one meaning. The interpretation is chosen such that an
//! error is safe:
//!
//! - for the start of a server and for a commit that must be observed, the latest possible time is used;
//! - for the position of a replica, the earliest possible time is used, unless the replica is known to use
//!   the current wall clock.
//!
//! [`WallClock`] reads the clocks and stores the last position reported by each server.
mod converter;
mod offsets;

pub use converter::WallClock;
pub use offsets::{ClockOffsets, ReportingClock};
