//! Keeps a tenant's data inside its sites: which members a request may be sent to, for each group and each boundary
//! that a placement rule draws.
//!
//! A *boundary* is a set of sites, strict or preferred; rules of different tenants that draw the same one share it. A
//! *view* is a boundary's part of a group: a group number of its own, made when the first request asks for it. The
//! state machine [`PlacementEngine`] does no I/O and reads no clock. Its driver hands it [`Event`]s, carries out its [`Action`]s,
//! and asks [`PlacementEngine::route`] for the group of each request. `docs/design/placement.md` has the guarantees.
mod error;
mod interface;
mod machine;
mod rules;

pub use error::PlacementError;
pub use interface::{Action, Event, Member, ReportSource, RoutingQuery, RulesUpdate, Settings};
pub use machine::{FIRST_VIEW, PlacementEngine};
