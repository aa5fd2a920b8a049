//! Plans each router's target: the grant that it should have of a tenant's quota.
use super::allocation::{DemandAllocation, RECLAIM_PARTS, ResponseContext};
use super::candidate::{Candidate, candidates, one_token_each, sum_reserved, with_retained_parts};
use super::fair_share::distribute_capacity;
use crate::grant::{Grant, MICROTOKENS_PER_TOKEN};
use crate::time::after;
use decision::Time;

/// The longest time over which a router averages demand, in seconds.
const DEMAND_WINDOW_SECONDS: f64 = 8.0;
/// A change of a target's rate up to this much does not count as a change, microtokens per second.
const MIN_RATE_CHANGE: u64 = MICROTOKENS_PER_TOKEN / 100;

impl DemandAllocation {
    /// Plans the distribution of the quota, if a plan is due, and applies it if it differs enough from the
    /// current targets.
    pub(super) fn plan(&mut self, now: Time, context: &ResponseContext<'_>) {
        let settings = context.settings;
        let rotation = now.0.div_euclid(settings.rotation_interval);
        let mut rotated = self.rotation.is_some_and(|planned| planned != rotation);
        self.end_idle_demand(now);
        if self.idle_since.is_some_and(|since| now >= after(since, settings.idle_timeout)) {
            self.restoring = true;
        }
        let due = self.demand_changed || rotated;
        if !due || now < after(self.planned_at, settings.min_plan_interval) {
            return;
        }
        self.planned_at = now;
        self.demand_changed = false;
        let rotated_before = self.rotation.is_some();
        let targets = self.targets(context, rotation);
        rotated |= self.rotation.is_some() != rotated_before;
        self.update_idle_since(now);
        if self.demand_started_or_ended || rotated || self.exceeds_hysteresis(&targets, settings.hysteresis) {
            self.apply_targets(targets);
        }
    }

    /// Updates since when there has been no demand beyond the reserved shares. After `idle_timeout` of this,
    /// the tenant returns to reserved shares.
    fn update_idle_since(&mut self, now: Time) {
        let has_demand = self.parts.iter().any(|part| part.demand > 0);
        if has_demand && !self.within_reserved {
            self.idle_since = None;
            self.restoring = false;
        } else {
            self.idle_since = self.idle_since.or(Some(now));
        }
    }

    /// Whether the rate of any target changes by more than the hysteresis.
    fn exceeds_hysteresis(&self, targets: &[Grant], hysteresis: f64) -> bool {
        let exceeds_hysteresis = |old: u64, new: u64| {
            let change = old.abs_diff(new);
            change as f64 > old.max(new) as f64 * hysteresis && change > MIN_RATE_CHANGE
        };
        self.parts.iter().zip(targets).any(|(part, target)| exceeds_hysteresis(part.target.rate, target.rate))
    }

    fn apply_targets(&mut self, targets: Vec<Grant>) {
        self.demand_started_or_ended = false;
        for (part, target) in self.parts.iter_mut().zip(targets) {
            part.target = target;
            part.planned = true;
        }
    }

    /// Computes the target of each router, by record index.
    fn targets(&mut self, context: &ResponseContext<'_>, rotation: i64) -> Vec<Grant> {
        let total = context.shares.grantable;
        let eligible = candidates(context);
        self.rotation = None;
        let (exceeding, not_exceeding): (Vec<_>, Vec<_>) =
            eligible.iter().copied().partition(|router| self.exceeds_reserved(router));
        let retained = sum_reserved(&not_exceeding);
        self.within_reserved = exceeding.is_empty() && retained.fits_within(total);
        if self.fits_with_reserved(&exceeding, retained, total) {
            return self.targets_with_reserved(&exceeding, &not_exceeding, total);
        }
        self.targets_by_demand(&eligible, total, rotation)
    }

    /// Whether a router's demand exceeds its reserved share by more than random fluctuation explains.
    fn exceeds_reserved(&self, router: &Candidate) -> bool {
        let reserved = router.reserved;
        let threshold =
            if reserved.capacity < MICROTOKENS_PER_TOKEN { 0 } else { max_random_rate(reserved.rate) };
        self.parts[router.record_index].demand > threshold
    }

    /// Whether the demand of these routers can be met while all others retain their reserved shares.
    fn fits_with_reserved(&self, routers: &[Candidate], retained: Grant, total: Grant) -> bool {
        one_token_each(routers).saturating_add(retained.capacity) <= total.capacity
            && self.wanted_rate(routers) + retained.rate <= total.rate
    }

    /// Targets for the case that all demand can be met while routers without exceeding demand retain their
    /// reserved shares.
    fn targets_with_reserved(
        &self,
        exceeding: &[Candidate],
        not_exceeding: &[Candidate],
        total: Grant,
    ) -> Vec<Grant> {
        let mut targets = vec![Grant::NONE; self.parts.len()];
        for router in not_exceeding {
            targets[router.record_index] = router.reserved;
        }
        let record_indices: Vec<usize> = exceeding.iter().map(|router| router.record_index).collect();
        self.divide_max_min(&record_indices, total.saturating_sub(sum_reserved(not_exceeding)), &mut targets);
        targets
    }

    /// Targets for the case that not all demand can be met beside the reserved shares. Routers without demand
    /// give up as many eighths of their reserved shares as the routers with demand need. Routers without
    /// demand retain one token each if there is a token for each router, so that the tokens in their buckets
    /// are not discarded and their next request is admitted.
    fn targets_by_demand(&mut self, eligible: &[Candidate], total: Grant, rotation: i64) -> Vec<Grant> {
        let mut targets = vec![Grant::NONE; self.parts.len()];
        let (with_demand, idle): (Vec<_>, Vec<_>) =
            eligible.iter().copied().partition(|router| self.parts[router.record_index].demand > 0);
        self.update_retained_parts(total.rate.saturating_sub(self.wanted_rate(&with_demand)), &idle);
        let idle = self.retained_by_idle(&idle, one_token_each(&with_demand), total);
        for router in &idle {
            targets[router.record_index] = router.reserved;
        }
        let with_demand = self.rotate_tokens(&with_demand, total.capacity, rotation);
        self.divide_max_min(&with_demand, total.saturating_sub(sum_reserved(&idle)), &mut targets);
        if one_token_each(eligible) <= total.capacity {
            distribute_capacity(eligible, &with_demand, total.capacity, &mut targets);
        }
        targets
    }

    /// Updates how many eighths of their reserved shares routers without demand retain. Returning a part
    /// needs more unused rate than reclaiming it, so that fluctuating demand does not change the grants.
    fn update_retained_parts(&mut self, unused_rate: u64, idle: &[Candidate]) {
        let max_half_parts = 2 * RECLAIM_PARTS;
        let idle_rate = u128::from(sum_reserved(idle).rate);
        let retainable_half_parts =
            (u128::from(unused_rate) * u128::from(max_half_parts)).checked_div(idle_rate).unwrap_or(0);
        let retainable_half_parts = retainable_half_parts.min(u128::from(max_half_parts)) as u64;
        let returns_part =
            retainable_half_parts / 2 > self.retained_parts && retainable_half_parts < max_half_parts;
        self.retained_parts =
            if returns_part { (retainable_half_parts - 1) / 2 } else { retainable_half_parts / 2 };
    }

    /// The largest parts of their reserved shares that routers without demand can retain while the routers
    /// with demand get `others_capacity`; empty if no parts fit.
    fn retained_by_idle(&self, idle: &[Candidate], others_capacity: u64, total: Grant) -> Vec<Candidate> {
        let fits = |retained: &Vec<Candidate>| {
            let sum = sum_reserved(retained);
            others_capacity.saturating_add(sum.capacity) <= total.capacity && sum.rate <= total.rate
        };
        (0..=self.retained_parts)
            .rev()
            .map(|parts| with_retained_parts(idle, parts))
            .find(fits)
            .unwrap_or_default()
    }

    /// The record indices of the routers that get tokens: all of them, or a rotating subset if there are
    /// fewer tokens than routers.
    fn rotate_tokens(&mut self, with_demand: &[Candidate], capacity: u64, rotation: i64) -> Vec<usize> {
        let mut record_indices: Vec<usize> = with_demand.iter().map(|router| router.record_index).collect();
        let tokens = (capacity / MICROTOKENS_PER_TOKEN) as usize;
        if tokens < record_indices.len() {
            self.rotation = Some(rotation);
            let begin =
                rotation.rem_euclid(record_indices.len() as i64) as usize * tokens % record_indices.len();
            record_indices.rotate_left(begin);
            record_indices.truncate(tokens);
        }
        record_indices
    }

    fn wanted_rate(&self, routers: &[Candidate]) -> u64 {
        routers.iter().map(|router| self.parts[router.record_index].wanted_rate()).sum()
    }
}

/// The highest rate that would be measured for a demand of `rate` with random fluctuation alone, over
/// [`DEMAND_WINDOW_SECONDS`]: three standard deviations and one request above it.
fn max_random_rate(rate: u64) -> u64 {
    let microtokens = MICROTOKENS_PER_TOKEN as f64;
    let deviation = 3.0 * (rate as f64 * microtokens / DEMAND_WINDOW_SECONDS).sqrt()
        + microtokens / DEMAND_WINDOW_SECONDS;
    rate.saturating_add(deviation as u64)
}
