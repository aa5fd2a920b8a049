//! Placement subsets: the members of a group that a tenant's placement rules allow. The [`placement`] crate
//! calls them views.
//!
//! The decision state machine treats each subset as a separate group. The members of a subset are *aliases*:
//! additional member IDs of endpoints. Each endpoint also has one *canonical* member ID, under which it
//! belongs to its listed group. An endpoint has one backend and one connection pool, regardless of its number
//! of aliases.
//!
//! This module stores the state that links [`placement`] to the router actor: which endpoint each alias
//! refers to, which member entries change when a subset changes, and which aliases of an endpoint have to
//! receive a report that was delivered under another member ID of the endpoint.
mod change;
mod member_ids;
mod members;
mod primary_search;
mod probes;
mod subsets;
mod tracked_endpoint;

pub use change::{OutcomeEffects, ReportSource, ReportedRole, RoutingResult, SubsetChange};
pub use member_ids::MemberIds;
pub use probes::ProbeStart;
pub use subsets::PlacementSubsets;
