//! The state machine: decides when a write may be acknowledged and which commit time a read must reflect.
//!
//! While an instance holds a *lease* from a peer, the commits that it has received from the peer are up to
//! date: until the lease expires, the granting peer acknowledges no write before the lease holder has
//! confirmed it. The holder counts the lease from its request and the granter from its response, with a
//! margin for clocks that run at different rates, so no two clocks are compared. Without a lease from every
//! peer, a named session's read must reflect everything committed before the read was received. A peer whose
//! address refuses connections has no running process and acknowledges nothing. A newly started process must
//! wait as long as a lease lasts before it acknowledges writes, so a refused connection is as good as a
//! lease.
//!
//! The state machine does no I/O, reads no clock, starts no threads and uses no random numbers: the same
//! events at the same times give the same actions.
//!
//! - `state`: the machine's state and queries on it; `handler`: dispatch of events.
//! - `writes`: served writes and the floor; `peers`: listed and connected peers; `leases`: granted and held
//!   leases; `pushes`: messages received from peers.
mod event;
mod handler;
mod leases;
mod message;
mod peer;
mod peers;
mod pushes;
mod state;
mod writes;

pub use event::{Action, Event, Now, PendingAck};
pub use message::{Instance, Push, RejectionReason};
pub use peer::PeerStatus;
pub use state::{Machine, NotServing, Settings};
