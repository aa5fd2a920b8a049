//! Audit of configuration versions: which router of a fleet served by which version, from when to when.
//!
//! Three parts, none with I/O or a clock of its own:
//!
//! - [`VersionTracker`] runs on the node that leads the store. It takes each router's [`VersionReport`], answers with a
//!   [`Directive`], notifies routers that lag, fences out those that still lag afterwards, and keeps a bounded record in
//!   [`Batch`]es.
//! - [`VersionFence`] runs in each router. It decides for each request which version the request is routed under, and
//!   rejects it once the version's lease has expired or the leader has fenced the router out.
//! - [`timeline`] turns the record into an operator's view: intervals and gaps.
//!
//! `docs/design/audit.md` has the guarantees and their limits.
mod exchange;
mod fence;
mod record;
mod record_writer;
mod settings;
pub mod timeline;
mod tracker;

pub use self::settings::Settings;
pub use exchange::{Directive, VersionReport};
pub use fence::{FenceReason, Fenced, LeaderAnswer, VersionFence};
pub use record::{Batch, Entry, EntryKind, MAX_BATCH_BYTES, RING_SLOTS, slot_key};
pub use tracker::{Action, Event, VersionTracker};
