//! Limits of the replicated state. The limits determine the responses to commands, so they must be identical
//! on all nodes: they are compiled into the program and cannot be configured.
use crate::rejection::Rejection;

/// The tick length for counting down leases, in milliseconds. Two ticks of the leader are at least this far
/// apart.
pub const TICK_MS: u64 = 50;
/// The shortest time to live of a lease, in milliseconds: several ticks, and longer than a heartbeat may be
/// delayed.
pub const MIN_TTL_MS: u64 = 200;
/// The longest time to live of a lease, in milliseconds. This bounds how long a name stays taken after its
/// holder has crashed.
pub const MAX_TTL_MS: u64 = 600_000;

/// Upper bounds of what the state machine stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum length of a key or a lease name, in bytes.
    pub max_key_bytes: usize,
    /// Maximum length of a value, in bytes.
    pub max_value_bytes: usize,
    /// Maximum total length of all keys and values, in bytes. This keeps a snapshot small enough for one
    /// message between nodes.
    pub max_total_bytes: usize,
    /// Maximum number of registered clients; the last write of each is retained for retries.
    pub max_clients: usize,
    /// Maximum number of lease names, held or free, whose highest epoch is retained.
    pub max_lease_names: usize,
    /// Maximum number of keys attached to one lease. All keys are removed in a single change when the lease
    /// ends.
    pub max_keys_per_lease: usize,
}

impl Default for StoreLimits {
    fn default() -> Self {
        StoreLimits {
            max_keys: 1 << 16,
            max_key_bytes: 512,
            max_value_bytes: 64 << 10,
            max_total_bytes: 8 << 20,
            max_clients: 4096,
            max_lease_names: 4096,
            max_keys_per_lease: 256,
        }
    }
}

/// Rejects a quantity outside of the inclusive range from `min` to `max`.
pub(crate) fn check_bounds(what: &str, quantity: u64, min: u64, max: u64) -> Result<(), Rejection> {
    if (min..=max).contains(&quantity) {
        return Ok(());
    }
    Err(Rejection::OutOfBounds { what: what.into(), min, max })
}

/// Creates the rejection of a command that would exceed a limit.
pub(crate) fn limit_reached(what: &str, max: usize) -> Rejection {
    Rejection::LimitReached { what: what.into(), max: max as u64 }
}
