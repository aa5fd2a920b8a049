//! Checks the promises that requests are given a second time, from the transitions of each open request alone.
//!
//! The observer decides nothing and knows neither the decisions nor the permits. It is notified when a request was
//! accepted, when each attempt was dispatched and ended, and how the request ended. A transition that breaks a promise
//! gives a [`Violation`]. Its memory is bounded: while [`MAX_TRACKED`] requests are open, further ones are counted but
//! not checked.
//!
//! No I/O, no clock, no threads.
mod checker;
mod invariant;
mod trace;
mod transition;

pub use checker::{MAX_TRACKED, Observer};
pub use invariant::{Invariant, Violation};
pub use transition::{AttemptEnd, Ending, Transition};
