//! Restricts a tenant's requests to permitted sites: decides which members of a group a request may be sent
//! to, according to the fleet's placement rules.
//!
//! A *boundary* is a set of sites, strict or preferred. Rules of different tenants with the same sites and
//! strictness share one boundary. A *view* is the part of a group that a boundary permits. It is a group with
//! its own number and is created when the first request needs it. The state machine [`PlacementEngine`] does
//! no I/O and reads no clock. Its driver passes it [`Event`]s, carries out its [`Action`]s, and calls
//! [`PlacementEngine::route`] for the group of each request. The guarantees are described in
//! `docs/design/placement.md`.
mod error;
mod interface;
mod machine;
mod rules;

pub use error::PlacementError;
pub use interface::{Action, Event, Member, ReportSource, RoutingQuery, RulesUpdate, Settings};
pub use machine::{FIRST_VIEW, PlacementEngine};
