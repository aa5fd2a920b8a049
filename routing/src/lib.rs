//! The core of the router: requests arrive, attempts are sent to endpoints, outcomes come back, and each request gets
//! one final response. It knows no wire: a [`BackendProtocol`] opens connections to endpoints and carries one exchange
//! at a time on each.
//!
//! Three kinds of actors, each a thread with a bounded mailbox:
//!
//! - the *router actor* owns the decisions, the clock and the timers, and gives each request its final response
//!   ([`RouterBuilder`], [`RouterHandle`]);
//! - the [*endpoints actor*](endpoints) holds the endpoint list and passes updates on to the router actor
//!   ([`EndpointsHandle`]);
//! - the *backends actor* owns the connections to the endpoints; an exchange runs on a thread of its own.
//!
//! [`permit`] is the one place that permits something to be sent, repeated, closed or answered; [`observer`] checks the
//! promises again from what was done.
//!
//! None waits for another in a cycle: the router actor never blocks on the backends actor. What must not be lost if that
//! one's mailbox is full is shared state, [`AttemptGuard`] and
//! [`EndpointState`], read where it binds.
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
