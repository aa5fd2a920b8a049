//! damsonvale makes the decisions of a proxy in front of a primary and its replicas.
//!
//! A [`Router`] holds all state of one driver. It does no I/O, reads no clock and starts no thread: the driver
//! hands it each [`Event`] with the time and carries out the [`Action`]s in order. The same seed and events
//! give the same actions.
//!
//! ```
//! use decision::*;
//!
//! // A driver's loop, cut down to two members and one read.
//! let ms = 1000;
//! let settings = Settings {
//!     classes: vec![Class {
//!         freshness: Freshness::Any,
//!         effect: Effect::Safe,
//!         aim: 200 * ms,
//!         deadline: 600 * ms,
//!         worth: 1.0,
//!         late_worth: 0.0,
//!     }],
//!     tenant_rates: vec![],
//!     over_share_worth: 1.0,
//!     drivers: 1,
//!     zone: 0,
//!     round: 5 * ms,
//!     when_behind: WhenBehind::Bounces,
//!     tokens: Tokens::Carried,
//!     may_duplicate: false,
//!     max_attempts: 6,
//!     may_cancel: true,
//!     may_probe: true,
//!     probe_price: 0.0,
//!     max_come_back: None,
//!     connect_timeout: 250 * ms,
//!     drain_grace: 500 * ms,
//!     only_draining_binds: false,
//!     cold_from: 0.3,
//!     cold_time: 10_000 * ms,
//!     overload_factor: 3.0,
//!     tip_time: 3000 * ms,
//!     list_on_request: false,
//! };
//! let entry = |id| MemberEntry {
//!     id: MemberId(id),
//!     group: GroupId(0),
//!     zone: 0,
//!     state: MemberState::Ready,
//!     listed_primary: false,
//!     weight: 1.0,
//!     started: None,
//! };
//! let said = |primary| Report { primary: Some(primary), position: Some(Time(900 * ms)) };
//! let probed = |id, primary| Event::Probed {
//!     member: MemberId(id),
//!     outcome: Outcome::Ok,
//!     report: said(primary),
//! };
//! let read = Request {
//!     id: RequestId(0),
//!     class: 0,
//!     tenant: 0,
//!     session: None,
//!     group: GroupId(0),
//!     deadline: Time(1600 * ms),
//!     token: None,
//! };
//!
//! let mut router = Router::new(settings, 42);
//! let (mut actions, mut sent) = (Vec::new(), Vec::new());
//! for event in [
//!     Event::Members { complete: true, entries: vec![entry(0), entry(1)] },
//!     probed(0, true),
//!     probed(1, false),
//!     Event::Request(read),
//! ] {
//!     router.handle(Time(1000 * ms), event, &mut actions);
//!     for action in actions.drain(..) {
//!         // A driver opens sockets, sets timers and answers clients here.
//!         if let Action::Send { request, member, .. } = action {
//!             sent.push((request, member));
//!         }
//!     }
//! }
//! assert_eq!(sent, [(RequestId(0), MemberId(1))]);
//! ```
pub mod decide;
pub mod interface;
pub use decide::Router;
pub use interface::*;
