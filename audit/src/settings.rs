//! Limits and intervals of the [`VersionTracker`](crate::VersionTracker). The operator sets how far a router
//! may lag; the constants here are the same for every fleet.
use crate::record::RING_SLOTS;
use ::settings::fleet::AuditConfig;
use decision::Micros;

const MICROS_PER_MS: Micros = 1000;
/// Maximum time between two notifications of one router, in microseconds like all times here.
const NOTIFICATION_INTERVAL: Micros = 300 * MICROS_PER_MS;
/// A router that has been silent for this time, an hour, is forgotten: its entries are no longer carried over
/// in the audit record.
const FORGET_AFTER: Micros = 3_600_000 * MICROS_PER_MS;
/// Minimum time between two writes of the audit record while entries are pending.
const MIN_WRITE_INTERVAL: Micros = 1000 * MICROS_PER_MS;
/// Interval at which empty batches are written while no entries are pending.
const HEARTBEAT_INTERVAL: Micros = 5000 * MICROS_PER_MS;
/// Maximum number of pending entries of one router, so that a router whose state changes constantly does not
/// fill the queue.
const MAX_PENDING_PER_ROUTER: usize = 8;

/// Limits and intervals of the tracker; all times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// A router that has held an outdated version for this long is notified to fetch the current document.
    pub max_lag: Micros,
    /// A router that is behind by more versions than this is notified immediately.
    pub max_lag_versions: u32,
    /// Number of notifications before a router that still lags is fenced out.
    pub max_notifications: u32,
    /// Maximum time between two notifications; each interval is chosen randomly between half and all of it.
    pub notification_interval: Micros,
    /// A router without a report for this long is silent. It must be at least the lease duration, so that the
    /// router has fenced itself by then.
    pub silence_timeout: Micros,
    /// Time after which a silent router is forgotten.
    pub forget_after: Micros,
    /// Minimum time between two writes of the audit record.
    pub min_write_interval: Micros,
    /// A batch is written at this interval even without new entries, so that readers can tell that the audit
    /// is running.
    pub heartbeat_interval: Micros,
    /// Maximum number of pending entries of one router; beyond it the oldest one is dropped.
    pub max_pending_per_router: usize,
    /// Number of batches retained in the store: each new one replaces the oldest.
    pub ring_slots: u64,
    /// Seed for the jitter of the notification intervals.
    pub jitter_seed: u64,
}

impl Settings {
    /// Creates the settings from the operator's `[fleet.audit]` table. `silence_timeout` is the lease
    /// duration in microseconds.
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
