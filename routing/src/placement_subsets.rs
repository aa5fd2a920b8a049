//! The subsets of groups that tenants' placement rules draw, as the decisions see them. [`placement`] calls them views.
//!
//! Each subset is a group of its own to the decisions, and its members are further member ids (*aliases*) of endpoints
//! that the list names once, under the endpoint's *own* member id. An endpoint has one backend with its connections,
//! however many aliases it has.
//!
//! Here is the bookkeeping between [`placement`] and the router actor: which alias belongs to which endpoint, what the
//! decisions have to be notified of when a subset changes, and what one alias has learned that the others need to know.
mod change;
mod member_ids;
mod members;
mod primary_search;
mod probes;
mod subsets;
mod tracked_endpoint;

pub use change::{StatedRole, SubsetChange};
pub use member_ids::MemberIds;
pub use probes::ProbeStart;
pub use subsets::PlacementSubsets;
