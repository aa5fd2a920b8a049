//! Max-min fair division of a quota among routers with demand.
use super::allocation::{DemandAllocation, RECLAIM_PARTS};
use super::candidate::{Candidate, retained_capacity};
use crate::grant::{Grant, MICROTOKENS_PER_TOKEN};

/// A router's rate is far above its reserved share if it is more than this many times as high.
const FAR_ABOVE_RESERVED: u64 = 2;
/// Routers with rates far above their reserved shares get the capacity for this many seconds of it.
const CAPACITY_SECONDS: u64 = 4;

impl DemandAllocation {
    /// Shares a quota max-min fair: each router gets what it wants, or an even share of what those that want less leave.
    /// What nobody wants is spread evenly. Everyone gets a capacity of one token, and the rest of it by rate.
    pub(super) fn share_fairly(&self, wanting: &[usize], total: Grant, targets: &mut [Grant]) {
        let mut wants: Vec<(u64, usize)> =
            wanting.iter().map(|&position| (self.parts[position].wanted_rate(), position)).collect();
        wants.sort_unstable();
        let left = share_rate(&wants, total.rate, targets);
        let count = wants.len() as u64;
        let extra = left.checked_div(count).unwrap_or(0);
        let rates: u64 = wants.iter().map(|&(_, position)| targets[position].rate + extra).sum();
        let spare = total.capacity.saturating_sub(count * MICROTOKENS_PER_TOKEN);
        for &(_, position) in &wants {
            let target = &mut targets[position];
            target.rate += extra;
            target.capacity = MICROTOKENS_PER_TOKEN + proportion(spare, target.rate, rates.max(1));
        }
    }
}

/// Shares a rate among routers, sorted by what they want; what is left of it.
fn share_rate(wants: &[(u64, usize)], total: u64, targets: &mut [Grant]) -> u64 {
    let mut left = total;
    let mut routers_left = wants.len() as u64;
    for &(want, position) in wants {
        let rate = want.min(left / routers_left);
        targets[position].rate = rate;
        left -= rate;
        routers_left -= 1;
    }
    left
}

/// Distributes capacity where there is a token for each router: each keeps the capacity of its reserved share, lowered by
/// eighths only by what rates far above the reserved shares need, because a lowered capacity discards tokens. The rest
/// goes by rate.
pub(super) fn distribute_capacity(live: &[Candidate], wanting: &[usize], total: u64, targets: &mut [Grant]) {
    let needed = needed_capacity(live, targets).min(total / 4 * 3);
    let sum = |parts: u64| live.iter().map(|router| retained_capacity(router.reserved, parts)).sum::<u64>();
    let fits = |parts: &u64| sum(*parts).saturating_add(needed) <= total;
    let parts = (1..=RECLAIM_PARTS).rev().find(fits).unwrap_or(0);
    let left = total.saturating_sub(sum(parts));
    let rates = wanting.iter().map(|&position| targets[position].rate).sum::<u64>().max(1);
    for router in live {
        targets[router.position].capacity = retained_capacity(router.reserved, parts);
    }
    for &position in wanting {
        targets[position].capacity += proportion(left, targets[position].rate, rates);
    }
}

/// The capacity that rates far above the reserved shares need beyond what the routers have.
fn needed_capacity(live: &[Candidate], targets: &[Grant]) -> u64 {
    live.iter()
        .map(|router| (targets[router.position].rate, router.reserved))
        .filter(|(rate, reserved)| *rate > reserved.rate.saturating_mul(FAR_ABOVE_RESERVED))
        .map(|(rate, reserved)| {
            let wanted = rate.saturating_mul(CAPACITY_SECONDS) + MICROTOKENS_PER_TOKEN;
            wanted.saturating_sub(reserved.capacity.max(MICROTOKENS_PER_TOKEN))
        })
        .fold(0, u64::saturating_add)
}

/// The part of `amount` that `part` is of `whole`.
fn proportion(amount: u64, part: u64, whole: u64) -> u64 {
    (u128::from(amount) * u128::from(part) / u128::from(whole)) as u64
}
