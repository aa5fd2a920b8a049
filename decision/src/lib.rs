//! The routing decisions of a proxy in front of a database primary and its replicas: a state machine without
//! I/O.
//!
//! A [`Router`] holds all state of one router instance. It does no I/O, reads no clock and starts no thread:
//! the driver (the program around it) passes it each [`Event`] with the current time and executes the
//! returned [`Action`]s in order. The same settings, seed and events produce the same actions.
//!
//! `interface.rs` defines settings, ids, events and actions. `router.rs` defines the state and dispatches
//! events. Each file of its folder implements one part of the decisions:
//!
//! | file | content |
//! | --- | --- |
//! | `member_list.rs` | members that join, restart, drain and leave; the number of routers in the fleet |
//! | `admission.rs` | arrival, the queue, the decision to forward, queue or reject, the final response |
//! | `choice.rs` | the member for a request: the primary, or a replica that is fresh enough |
//! | `attempts.rs` | sending of attempts, their outcomes, the commits of sessions |
//! | `pool.rs` | limits of attempts in flight, and a member's share of requests while it warms up |
//! | `health.rs` | roles, replication positions, ejection of failing members |
//! | `probes.rs` | health checks and the search for the primary |
//!
//! ```
//! use decision::*;
//!
//! // A driver's event loop, reduced to two members and one read.
//! let ms = 1000;
//! let settings = Settings {
//!     classes: vec![Class {
//!         freshness: Freshness::Any,
//!         idempotency: Idempotency::Idempotent,
//!         latency_objective: 200 * ms,
//!         deadline: 600 * ms,
//!         priority_weight: 1.0,
//!         late_weight_share: 0.0,
//!     }],
//!     tenant_rates: vec![],
//!     over_quota_weight: 1.0,
//!     router_count: 1,
//!     zone: 0,
//!     min_event_interval: 5 * ms,
//!     lagging_replica: LaggingReplica::Rejects,
//!     session_commit_source: SessionCommitSource::CarriedByRequest,
//!     hedging_allowed: false,
//!     max_attempts: 6,
//!     cancel_allowed: true,
//!     probing_allowed: true,
//!     probe_cost: 0.0,
//!     max_retry_after: None,
//!     connect_timeout: 250 * ms,
//!     drain_grace: 500 * ms,
//!     missing_members_may_serve: false,
//!     slow_start_initial_share: 0.3,
//!     slow_start_duration: 10_000 * ms,
//!     overload_factor: 3.0,
//!     overload_duration: 3000 * ms,
//!     list_requires_subscription: false,
//! };
//! let entry = |id| MemberEntry {
//!     id: MemberId(id),
//!     group: GroupId(0),
//!     zone: 0,
//!     state: MemberState::Ready,
//!     listed_primary: false,
//!     weight: 1.0,
//!     started_at: None,
//! };
//! let report = |primary| MemberReport { primary: Some(primary), position: Some(Time(900 * ms)) };
//! let probe_ended = |id, primary| Event::ProbeEnded {
//!     member: MemberId(id),
//!     outcome: Outcome::Ok,
//!     report: report(primary),
//! };
//! let read = Request {
//!     id: RequestId(0),
//!     class: 0,
//!     tenant: 0,
//!     session: None,
//!     group: GroupId(0),
//!     deadline: Time(1600 * ms),
//!     session_commit: None,
//!     may_run_partially: false,
//! };
//!
//! let mut router = Router::new(settings, 42);
//! let (mut actions, mut sent) = (Vec::new(), Vec::new());
//! for event in [
//!     Event::MemberListChanged { complete: true, entries: vec![entry(0), entry(1)] },
//!     probe_ended(0, true),
//!     probe_ended(1, false),
//!     Event::RequestArrived(read),
//! ] {
//!     router.handle(Time(1000 * ms), event, &mut actions);
//!     for action in actions.drain(..) {
//!         // A real driver sends requests, sets timers and responds to clients here.
//!         if let Action::Send { request, member, .. } = action {
//!             sent.push((request, member));
//!         }
//!     }
//! }
//! assert_eq!(sent, [(RequestId(0), MemberId(1))]);
//! ```
mod interface;
mod router;
pub use interface::*;
pub use router::Router;
