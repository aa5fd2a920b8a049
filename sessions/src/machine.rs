//! The state machine: when a write may be acknowledged, which peers may be relied on, and what a read must see.
//!
//! An instance may rely on what it holds of a peer while it has a *lease* from it. The peer has granted that and
//! acknowledges no write before the instance has confirmed it, until the lease is over. The holder counts from when
//! it requested the lease and the granter from when it answered, with a margin for clocks that run at different rates,
//! so no clocks are compared. Without a lease from every peer, a named session's read must see the present: everything
//! committed before it was received. A peer whose process is proven gone (its address refuses connections)
//! acknowledges nothing, and for as long as a fresh process must wait before it does, so the proof is as good as a
//! lease.
//!
//! No I/O, no clock, no threads, no random numbers: the same events at the same times give the same actions.
//!
//! - `state`: what the machine holds, and what it says of it; `handler`: one event at a time.
//! - `writes`: served writes and the floor; `peers`: which peers are listed and connected; `leases`: both directions
//!   of leases; `pushes`: what peers send.
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
