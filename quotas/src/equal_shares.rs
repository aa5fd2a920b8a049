//! Divides a quota into equal shares, in whole microtokens, so that their sum never exceeds the quota.
use crate::grant::{Grant, MAX_RATE, MICROTOKENS_PER_TOKEN};
use crate::messages::ReservedShare;
use settings::fleet::{OnLoss, Quota};

/// The number of millionths in a whole; the share of `on_loss` is converted to millionths.
const MILLIONTHS: u128 = 1_000_000;

/// The equal shares of one tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EqualShares {
    /// The total that the allocator may grant: the quota less all fixed shares.
    pub(crate) grantable: Grant,
    /// The fixed share of each slot, which a router may use without a grant, so also while the store is
    /// unavailable.
    pub(crate) fixed: Grant,
    /// The reserved share of each router that has one.
    reserved: Grant,
    /// How many routers have a reserved share: all, or as many as there are whole tokens.
    reserved_count: u32,
    /// Shifts the indices of the routers that have a reserved share. It differs by tenant, so that the few
    /// tokens of several tenants are spread over the routers.
    offset: u32,
    routers: u32,
}

impl EqualShares {
    /// Divides `quota` among `routers` routers and as many slots. A rate that is infinite or not a number
    /// counts as 0.
    pub(crate) fn new(tenant: &str, quota: &Quota, routers: u32) -> EqualShares {
        let routers = routers.max(1);
        let total = total(quota);
        let fixed = fixed_share(total, quota.on_loss, routers);
        let n = u64::from(routers);
        let grantable =
            Grant { rate: total.rate - fixed.rate * n, capacity: total.capacity - fixed.capacity * n };
        let (reserved, reserved_count) = reserved_share(grantable, routers);
        let offset = name_hash(tenant) % routers;
        EqualShares { grantable, fixed, reserved, reserved_count, offset, routers }
    }

    /// The reserved share with this index.
    fn at(&self, index: u32) -> Grant {
        if index >= self.routers {
            return Grant::NONE;
        }
        if self.reserved_count == self.routers {
            return self.reserved;
        }
        let shifted_index = (u64::from(index) + u64::from(self.offset)) % u64::from(self.routers);
        if shifted_index < u64::from(self.reserved_count) { self.reserved } else { Grant::NONE }
    }

    /// A router's reserved share of this quota; [`Grant::NONE`] for a router without one.
    pub(crate) fn reserved(&self, share: Option<ReservedShare>) -> Grant {
        share.map_or(Grant::NONE, |share| self.at(share.index))
    }
}

fn total(quota: &Quota) -> Grant {
    let rate = if quota.rate.is_finite() { (quota.rate.max(0.0) * 1e6) as u64 } else { 0 };
    Grant { rate: rate.min(MAX_RATE), capacity: u64::from(quota.burst) * MICROTOKENS_PER_TOKEN }
}

fn fixed_share(total: Grant, on_loss: OnLoss, routers: u32) -> Grant {
    let millionths = match on_loss {
        OnLoss::Share(share) if share > 0.0 => (share.min(1.0) * 1e6) as u64,
        _ => 0,
    };
    let part =
        |whole: u64| (u128::from(whole) * u128::from(millionths) / MILLIONTHS / u128::from(routers)) as u64;
    Grant { rate: part(total.rate), capacity: part(total.capacity) }
}

/// The reserved share and how many routers have one.
fn reserved_share(grantable: Grant, routers: u32) -> (Grant, u32) {
    let n = u64::from(routers);
    let tokens = grantable.capacity / MICROTOKENS_PER_TOKEN;
    if tokens >= n {
        return (Grant { rate: grantable.rate / n, capacity: grantable.capacity / n }, routers);
    }
    match grantable.rate.checked_div(tokens) {
        Some(rate) => (Grant { rate, capacity: MICROTOKENS_PER_TOKEN }, tokens as u32),
        None => (Grant::NONE, 0),
    }
}

fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()))
}
