//! The protocol-independent core of the router. It accepts client requests, sends attempts to endpoints,
//! handles the outcomes of the attempts, and sends one final response per request. A [`BackendProtocol`]
//! implementation opens the connections to endpoints and runs one exchange at a time on each of them.
//!
//! The core consists of three actors. Each runs on its own thread and has a bounded mailbox:
//!
//! - the *router actor* owns the decision state machine ([`decision::Router`]), the clock and the timers, and
//!   sends each request its final response ([`RouterBuilder`], [`RouterHandle`]);
//! - the [*endpoints actor*](endpoints) stores the endpoint list and forwards updates to the router actor
//!   ([`EndpointsHandle`]);
//! - the *backends actor* owns the connections to endpoints. Each exchange runs on a separate thread.
//!
//! Writing to a server, retrying an attempt, closing a client connection and sending a final response each
//! require a permit from [`permit`]. Independently, [`observer`] checks the same invariants at run time,
//! using only the recorded state transitions of requests.
//!
//! The actors cannot deadlock, because the router actor never blocks on the backends actor. A command to the
//! backends actor may be dropped when its mailbox is full. Information that must not be lost is therefore
//! stored in shared state ([`AttemptGuard`] and [`EndpointState`]), which is read immediately before an
//! exchange starts.
mod attempt_id;
mod backends;
mod clock;
mod commit_sharing;
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
pub mod released_connection;
mod request;
mod responded_endpoints;
mod router;
pub mod socket;
pub mod threads;
pub mod wall_clock;

pub use attempt_id::AttemptId;
pub use clock::Clock;
pub use commit_sharing::{CommitSharing, PeerCommits, SessionCommit};
pub use decision::{
    GroupId, MemberReport, MemberState, Outcome, RequestId, SessionCommitSource, SessionId, Settings, Time,
};
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
