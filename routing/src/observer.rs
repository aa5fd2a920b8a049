//! Run-time check of the invariants of request handling, which uses only the transitions of each open
//! request.
//!
//! The observer makes no decisions and has no access to the decision state machine or to permits. It is
//! notified when a request is accepted, when each attempt is dispatched and ends, and when the request ends.
//! A transition that breaks an invariant results in a [`Violation`]. Memory use is bounded: while
//! [`MAX_TRACKED`] requests are tracked, further requests are counted but not checked.
//!
//! The observer does no I/O, reads no clock and starts no threads.
mod checker;
mod invariant;
mod trace;
mod transition;

pub use checker::{MAX_TRACKED, Observer};
pub use invariant::{Invariant, Violation};
pub use transition::{AttemptEnd, Ending, Transition};
