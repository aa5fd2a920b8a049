//! Detects which routers of a fleet are alive, with SWIM gossip over UDP on loopback.
//!
//! [`Machine`] is the state machine. It wraps the SWIM core of the `foca` crate and uses no sockets, clocks
//! or threads. [`Membership`] drives one machine on one UDP socket and publishes each [`Change`].
//! [`live_router_count`] derives from those changes the number of routers by which a router's capacity share
//! is divided, and [`follow_router_count`] runs it on a thread. [`simulation`] runs many machines in virtual
//! time.
//!
//! Membership only reports which routers are alive. Shared state belongs to the store.
//! `docs/design/membership.md` describes the design, the guarantees and the measurements.
mod change;
mod driver;
mod error;
mod handle;
mod limits;
pub mod live_router_count;
mod machine;
mod member;
pub mod member_record;
mod router_count_thread;
mod settings;
pub mod simulation;
pub mod wire;

pub use change::Change;
pub use error::Error;
pub use handle::{Config, Membership};
pub use limits::{MAX_DATAGRAM_BYTES, MAX_GENERATION, MAX_INCARNATION, MAX_NAME_BYTES};
pub use machine::{Action, Counters, Event, Machine, TimerToken};
pub use member::Member;
pub use router_count_thread::follow_router_count;
pub use settings::Settings;
