//! Max-min fair division of a quota among routers with demand.
use super::allocation::{DemandAllocation, RECLAIM_PARTS};
use super::candidate::{Candidate, retained_capacity};
use crate::grant::{Grant, MICROTOKENS_PER_TOKEN};

/// A router's rate is far above its reserved share if it is more than this many times the reserved rate.
const FAR_ABOVE_RESERVED: u64 = 2;
/// The capacity of routers with rates far above their reserved shares, as seconds of their rate.
const CAPACITY_SECONDS: u64 = 4;

impl DemandAllocation {
    /// Divides a quota max-min fairly: each router gets the rate that it wants, or an equal share of what the
    /// routers that want less leave over. Rate that no router wants is divided equally. Each router gets a
    /// capacity of one token, and the rest of the capacity in proportion to its rate.
    pub(super) fn divide_max_min(&self, with_demand: &[usize], total: Grant, targets: &mut [Grant]) {
        let mut wanted_rates: Vec<(u64, usize)> = with_demand
            .iter()
            .map(|&record_index| (self.parts[record_index].wanted_rate(), record_index))
            .collect();
        wanted_rates.sort_unstable();
        let remaining = divide_rate(&wanted_rates, total.rate, targets);
        let count = wanted_rates.len() as u64;
        let extra = remaining.checked_div(count).unwrap_or(0);
        let rates: u64 =
            wanted_rates.iter().map(|&(_, record_index)| targets[record_index].rate + extra).sum();
        let extra_capacity = total.capacity.saturating_sub(count * MICROTOKENS_PER_TOKEN);
        for &(_, record_index) in &wanted_rates {
            let target = &mut targets[record_index];
            target.rate += extra;
            target.capacity = MICROTOKENS_PER_TOKEN + proportion(extra_capacity, target.rate, rates.max(1));
        }
    }
}

/// Divides a rate among routers, which are sorted by the rate that they want; returns what is left over.
fn divide_rate(wanted_rates: &[(u64, usize)], total: u64, targets: &mut [Grant]) -> u64 {
    let mut remaining = total;
    let mut remaining_routers = wanted_rates.len() as u64;
    for &(wanted, record_index) in wanted_rates {
        let rate = wanted.min(remaining / remaining_routers);
        targets[record_index].rate = rate;
        remaining -= rate;
        remaining_routers -= 1;
    }
    remaining
}

/// Distributes capacity when there is at least one token for each router. Each router retains the capacity of
/// its reserved share. It is lowered, in steps of one eighth, only as far as routers with rates far above
/// their reserved shares need capacity, because lowering a capacity discards tokens. The rest is distributed
/// in proportion to the rates.
pub(super) fn distribute_capacity(
    eligible: &[Candidate],
    with_demand: &[usize],
    total: u64,
    targets: &mut [Grant],
) {
    let needed = needed_capacity(eligible, targets).min(total / 4 * 3);
    let sum =
        |parts: u64| eligible.iter().map(|router| retained_capacity(router.reserved, parts)).sum::<u64>();
    let fits = |parts: &u64| sum(*parts).saturating_add(needed) <= total;
    let parts = (1..=RECLAIM_PARTS).rev().find(fits).unwrap_or(0);
    let remaining = total.saturating_sub(sum(parts));
    let rates = with_demand.iter().map(|&record_index| targets[record_index].rate).sum::<u64>().max(1);
    for router in eligible {
        targets[router.record_index].capacity = retained_capacity(router.reserved, parts);
    }
    for &record_index in with_demand {
        targets[record_index].capacity += proportion(remaining, targets[record_index].rate, rates);
    }
}

/// The capacity that routers with rates far above their reserved shares need beyond their reserved capacity.
fn needed_capacity(eligible: &[Candidate], targets: &[Grant]) -> u64 {
    eligible
        .iter()
        .map(|router| (targets[router.record_index].rate, router.reserved))
        .filter(|(rate, reserved)| *rate > reserved.rate.saturating_mul(FAR_ABOVE_RESERVED))
        .map(|(rate, reserved)| {
            let wanted = rate.saturating_mul(CAPACITY_SECONDS) + MICROTOKENS_PER_TOKEN;
            wanted.saturating_sub(reserved.capacity.max(MICROTOKENS_PER_TOKEN))
        })
        .fold(0, u64::saturating_add)
}

/// The fraction `part / whole` of `amount`.
fn proportion(amount: u64, part: u64, whole: u64) -> u64 {
    (u128::from(amount) * u128::from(part) / u128::from(whole)) as u64
}
