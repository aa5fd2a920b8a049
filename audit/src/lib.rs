//! Audit of configuration versions: records which router of a fleet served requests under which version, and
//! when.
//!
//! The package has three parts; none does I/O or reads a clock:
//!
//! - [`VersionTracker`] runs on the node that leads the store. It takes each router's [`VersionReport`],
//!   responds with a [`Directive`], notifies routers that lag, fences out those that still lag afterwards,
//!   and writes a bounded audit record in [`Batch`]es.
//! - [`VersionFence`] runs in each router. It decides for each request which version the request is routed
//!   under, and rejects the request if the version's lease has expired or the leader has fenced the router
//!   out.
//! - [`timeline`] converts the audit record into intervals and gaps for operators.
//!
//! `docs/design/audit.md` describes the guarantees and their limits.
mod exchange;
mod fence;
mod record;
mod record_writer;
mod settings;
pub mod timeline;
mod tracker;

pub use self::settings::Settings;
pub use exchange::{Directive, VersionReport};
pub use fence::{FenceReason, Fenced, LeaderResponse, VersionFence};
pub use record::{Batch, Entry, EntryKind, MAX_BATCH_BYTES, RING_SLOTS, slot_key};
pub use tracker::{Action, Event, VersionTracker};
