//! Amounts of a quota: a rate and a capacity in microtokens, with arithmetic that cannot overflow.
use serde::{Deserialize, Serialize};

/// Microtokens in one token. Rates and capacities are counted in microtokens, so that shares of a quota are
/// integers.
pub const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;
/// The highest rate, in microtokens per second: a billion requests per second.
pub(crate) const MAX_RATE: u64 = 1_000_000_000 * MICROTOKENS_PER_TOKEN;
/// The highest capacity of a grant, in microtokens.
pub(crate) const MAX_CAPACITY: u64 = u32::MAX as u64 * MICROTOKENS_PER_TOKEN;

/// A part of a tenant's quota, as the rate and capacity of a token bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The refill rate of the token bucket, in microtokens per second.
    pub rate: u64,
    /// The capacity of the token bucket, in microtokens.
    pub capacity: u64,
}

impl Grant {
    /// A grant that admits nothing: no rate and no capacity.
    pub const NONE: Grant = Grant { rate: 0, capacity: 0 };

    /// The smaller of both rates and the smaller of both capacities.
    pub(crate) fn min(self, other: Grant) -> Grant {
        Grant { rate: self.rate.min(other.rate), capacity: self.capacity.min(other.capacity) }
    }

    /// The larger of both rates and the larger of both capacities.
    pub(crate) fn max(self, other: Grant) -> Grant {
        Grant { rate: self.rate.max(other.rate), capacity: self.capacity.max(other.capacity) }
    }

    pub(crate) fn saturating_add(self, other: Grant) -> Grant {
        Grant {
            rate: self.rate.saturating_add(other.rate),
            capacity: self.capacity.saturating_add(other.capacity),
        }
    }

    pub(crate) fn saturating_sub(self, other: Grant) -> Grant {
        Grant {
            rate: self.rate.saturating_sub(other.rate),
            capacity: self.capacity.saturating_sub(other.capacity),
        }
    }

    pub(crate) fn saturating_mul(self, factor: u64) -> Grant {
        Grant { rate: self.rate.saturating_mul(factor), capacity: self.capacity.saturating_mul(factor) }
    }

    /// Scales this part of `old` to `new` in proportion; never increases it.
    pub(crate) fn scaled_down(self, old: Grant, new: Grant) -> Grant {
        Grant {
            rate: scale_down(self.rate, old.rate, new.rate),
            capacity: scale_down(self.capacity, old.capacity, new.capacity),
        }
    }

    /// Whether neither the rate nor the capacity exceeds that of `other`.
    pub(crate) fn fits_within(self, other: Grant) -> bool {
        self.rate <= other.rate && self.capacity <= other.capacity
    }
}

fn scale_down(part: u64, old: u64, new: u64) -> u64 {
    if new >= old { part } else { (u128::from(part) * u128::from(new) / u128::from(old)) as u64 }
}
