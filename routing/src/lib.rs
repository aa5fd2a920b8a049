//! The core of the router: requests arrive, attempts are sent to endpoints, their outcomes are handled, and each request
//! gets one final response. The core is independent of the wire protocol: a [`BackendProtocol`] opens connections to
//! endpoints and carries one exchange at a time on each.
//!
//! Three kinds of actors, each a thread with a bounded mailbox:
//!
//! - the *router actor* owns the decisions, the clock and the timers, and gives each request its final response
//!   ([`RouterBuilder`], [`RouterHandle`]);
//! - the [*endpoints actor*](endpoints) holds the endpoint list and passes updates on to the router actor
//!   ([`EndpointsHandle`]);
//! - the *backends actor* owns the connections to the endpoints; an exchange runs on a thread of its own.
//!
//! Everything that is sent, repeated, closed or answered needs a permit of [`permit`]; [`observer`] checks the same
//! promises a second time, from the transitions that requests have made.
//!
//! The actors can't deadlock, since the router actor never waits for the backends actor. What must not be lost when that
//! actor's mailbox is full is shared state, [`AttemptGuard`] and [`EndpointState`], which is read right before an
//! exchange starts.
mod attempt_id;
mod backends;
mod clock;
mod endpoint;
pub mod endpoints;
mod final_response;
mod idle_connection;
mod messages;
mod metrics;
pub mod observer;
pub mod permit;
pub mod placement_subsets;
pub mod probe_spacing;
pub mod protocol;
pub mod reasons;
mod request;
mod responded_endpoints;
mod router;
pub mod socket;
pub mod threads;
pub mod wall_clock;

pub use attempt_id::AttemptId;
pub use clock::Clock;
pub use decision::{GroupId, MemberReport, MemberState, Outcome, RequestId, SessionId, Settings, Time};
pub use endpoint::{EndpointEntry, EndpointUpdate, MaintenanceMask, UpdateOrder};
pub use endpoints::EndpointsHandle;
pub use final_response::FinalResponse;
pub use messages::RouterMessage;
pub use metrics::{ClassMetrics, Metrics, ReasonCounters};
pub use permit::{
    AttemptGuard, ConnectionPermit, Denial, EndpointState, Handshake, ServerSocket, Verdict, WritePermit,
};
pub use placement::PlacementError;
pub use protocol::{BackendProtocol, Connection, Exchange, ExchangeResult, NotSent};
pub use request::ClientRequest;
pub use responded_endpoints::RespondedEndpoints;
pub use router::{RouterBuilder, RouterHandle};
pub use threads::{SpawnError, spawn, spawn_needed, spawn_with_retry};
pub use wall_clock::WallClock;
