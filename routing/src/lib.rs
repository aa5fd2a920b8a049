//! The core: requests come in, attempts go out to peers, outcomes come back, and each request gets one final
//! answer. It knows no wire: a [`Wire`] opens links to instances and carries one piece of work at a time.
//!
//! Three kinds of actors, each a thread with a bounded mailbox:
//!
//! - the [module](module) owns the decisions, the clock and the timers, and claims each request's answer;
//! - the [list](list) holds the member list and tells the module and the peers of changes;
//! - the [peers](peer) own the links to the instances.
pub mod clock;
pub mod figures;
pub mod list;
pub mod messages;
pub mod module;
pub mod peer;
pub mod probes;
#[cfg(test)]
mod recorded_run;
pub mod stop;
mod views;
pub mod wire;

pub use clock::Clock;
pub use decision::{GroupId, MemberState, Outcome, Report, RequestId, SessionId, Settings, Time};
pub use figures::Figures;
pub use list::{ListHandle, Mask, Order};
pub use messages::{Entry, Final, Incoming, ListNews};
pub use module::{Answered, Handle, Start};
pub use placement::Refusal;
pub use wire::{Link, Reply, Stop, Wire, Work};

/// Starts a named thread with a small stack. A thread that cannot be started is the caller's to handle.
pub fn spawn(name: &str, stack: usize, run: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name.to_string()).stack_size(stack).spawn(run).map(|_| ())
}
