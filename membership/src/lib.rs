//! Which routers of a fleet are alive: SWIM gossip over UDP on loopback.
//!
//! [`Machine`] decides who is alive. It wraps the core of the `foca` crate and uses no sockets, clocks or threads.
//! [`Membership`] drives one machine on one UDP socket and publishes each [`Change`]. [`live_router_count`] turns
//! those changes into the number by which a router's capacity share is divided, and [`follow_router_count`] runs it
//! on a thread. [`simulation`] plays many machines in virtual time.
//!
//! Membership says who is alive and nothing else: shared state has one owner, the store. `docs/design/membership.md` has the
//! choices, the guarantees and the figures.
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
