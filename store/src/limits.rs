//! Bounds of the replicated state. They decide what commands respond, so they must be the same at all nodes: they
//! belong to the program, not to the operator's file.
use crate::rejection::Rejection;

/// The tick that leases are counted in, in milliseconds. The leader's ticks are never closer together than this.
pub const TICK_MS: u64 = 50;
/// The shortest time to live of a lease, in milliseconds: several ticks, and more than a late heartbeat.
pub const MIN_TTL_MS: u64 = 200;
/// The longest time to live of a lease, in milliseconds: a name whose holder has died is free after that.
pub const MAX_TTL_MS: u64 = 600_000;

/// What the state machine holds at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Number of keys.
    pub max_keys: usize,
    /// Bytes of one key, and of the name of a lease.
    pub max_key_bytes: usize,
    /// Bytes of one value.
    pub max_value_bytes: usize,
    /// Bytes of all keys and values: a snapshot has to fit into one message between nodes.
    pub max_total_bytes: usize,
    /// Number of clients whose last write is remembered.
    pub max_clients: usize,
    /// Number of lease names whose highest epoch is remembered, held ones included.
    pub max_lease_names: usize,
    /// Number of keys attached to one lease: they are removed in one change.
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

/// Rejects a quantity outside of its bounds, both of which are allowed.
pub(crate) fn check_bounds(what: &str, quantity: u64, min: u64, max: u64) -> Result<(), Rejection> {
    if (min..=max).contains(&quantity) {
        return Ok(());
    }
    Err(Rejection::OutOfBounds { what: what.into(), min, max })
}

/// The rejection of what would exceed a limit.
pub(crate) fn limit_reached(what: &str, max: usize) -> Rejection {
    Rejection::LimitReached { what: what.into(), max: max as u64 }
}
