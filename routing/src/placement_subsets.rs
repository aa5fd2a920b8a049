//! The subsets of groups that tenants' placement rules define, as groups of the decisions. [`placement`] calls them views.
//!
//! Each subset is a group of its own to the decisions, and its members are further member ids (*aliases*) of endpoints
//! that the list names once, under the endpoint's *own* member id. An endpoint has one backend with its connections,
//! however many aliases it has.
//!
//! This module keeps the state between [`placement`] and the router actor: which alias belongs to which endpoint, which
//! entries of members change with a subset, and which reports of one alias the others need.
mod change;
mod member_ids;
mod members;
mod primary_search;
mod probes;
mod subsets;
mod tracked_endpoint;

pub use change::{OutcomeRecorded, ReportSource, Routed, StatedRole, SubsetChange};
pub use member_ids::MemberIds;
pub use probes::ProbeStart;
pub use subsets::PlacementSubsets;
