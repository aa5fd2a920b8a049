//! Limits and intervals of the [`VersionTracker`](crate::VersionTracker). The operator sets how far a router may lag; the
//! constants here are the same for every fleet.
use crate::record::RING_SLOTS;
use ::settings::fleet::AuditConfig;
use decision::Micros;

const MICROS_PER_MS: Micros = 1000;
/// Longest time between two notifications of one router, in microseconds like all times here.
const NOTIFICATION_INTERVAL: Micros = 300 * MICROS_PER_MS;
/// After this time, an hour, a silent router is forgotten: its entries are no longer carried over in the record.
const FORGET_AFTER: Micros = 3_600_000 * MICROS_PER_MS;
/// Shortest time between two writes of the record while there is something to write.
const MIN_WRITE_INTERVAL: Micros = 1000 * MICROS_PER_MS;
/// An empty batch is written this often while there is nothing to write.
const HEARTBEAT_INTERVAL: Micros = 5000 * MICROS_PER_MS;
/// The most entries of one router that wait for a write: a router whose state changes all the time must not fill the queue.
const MAX_PENDING_PER_ROUTER: usize = 8;

/// Limits and intervals of the tracker; all times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// A router that has held another than the current version for this long is notified to fetch the current document.
    pub max_lag: Micros,
    /// A router that lags by more versions than this is notified at once.
    pub max_lag_versions: u32,
    /// Notifications before a router that still lags is fenced out.
    pub max_notifications: u32,
    /// Longest time between two notifications; each interval is drawn from its half to its whole.
    pub notification_interval: Micros,
    /// A router without a report for this long is silent. At least the lease's time, so that the router has fenced
    /// itself by then.
    pub silence_timeout: Micros,
    /// A silent router is forgotten after this time.
    pub forget_after: Micros,
    /// Shortest time between two writes of the record.
    pub min_write_interval: Micros,
    /// A batch is written this often even with no new entry, so that readers see that the audit is alive.
    pub heartbeat_interval: Micros,
    /// The most entries of one router that wait for a write; the oldest one makes room for another.
    pub max_pending_per_router: usize,
    /// Number of batches that the store keeps: each new one replaces the oldest.
    pub ring_slots: u64,
    /// Seed of the notification intervals' jitter.
    pub jitter_seed: u64,
}

impl Settings {
    /// Settings from the operator's `[fleet.audit]` table. `silence_timeout` is the lease's time in microseconds.
    pub fn new(audit: &AuditConfig, silence_timeout: Micros, jitter_seed: u64) -> Settings {
        Settings {
            max_lag: audit.max_lag_ms as Micros * MICROS_PER_MS,
            max_lag_versions: audit.max_lag_versions,
            max_notifications: audit.max_refetches,
            notification_interval: NOTIFICATION_INTERVAL,
            silence_timeout,
            forget_after: FORGET_AFTER,
            min_write_interval: MIN_WRITE_INTERVAL,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            max_pending_per_router: MAX_PENDING_PER_ROUTER,
            ring_slots: RING_SLOTS,
            jitter_seed,
        }
    }
}
