//! What each router should have of a tenant's quota.
use super::allocation::{DemandAllocation, RECLAIM_PARTS, ResponseContext};
use super::candidate::{Candidate, candidates, one_token_each, retaining_parts, sum_reserved};
use super::fair_share::distribute_capacity;
use crate::grant::{Grant, MICROTOKENS_PER_TOKEN};
use crate::time::after;
use decision::Time;

/// The time over which a router counts demand, in seconds.
const DEMAND_WINDOW_SECONDS: f64 = 8.0;
/// Targets do not move for a smaller change of rate, microtokens per second.
const MIN_RATE_CHANGE: u64 = MICROTOKENS_PER_TOKEN / 100;

impl DemandAllocation {
    /// Distributes the quota over the routers with demand, if it is time to and enough has changed.
    pub(super) fn plan(&mut self, now: Time, context: &ResponseContext<'_>) {
        let settings = context.settings;
        let rotation = now.0.div_euclid(settings.rotation_interval);
        let mut rotated = self.rotation.is_some_and(|planned| planned != rotation);
        self.end_silent_demand(now);
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
        self.note_idleness(now);
        if self.demand_moved || rotated || self.differs(&targets, settings.hysteresis) {
            self.adopt(targets);
        }
    }

    /// Notes since when there is no demand beyond the reserved shares. The shares return after a while of it.
    fn note_idleness(&mut self, now: Time) {
        let has_demand = self.parts.iter().any(|part| part.demand > 0);
        if has_demand && !self.within_reserved {
            self.idle_since = None;
            self.restoring = false;
        } else {
            self.idle_since = self.idle_since.or(Some(now));
        }
    }

    /// Whether a target's rate changes by more than the hysteresis.
    fn differs(&self, targets: &[Grant], hysteresis: f64) -> bool {
        let differs = |old: u64, new: u64| {
            let change = old.abs_diff(new);
            change as f64 > old.max(new) as f64 * hysteresis && change > MIN_RATE_CHANGE
        };
        self.parts.iter().zip(targets).any(|(part, target)| differs(part.target.rate, target.rate))
    }

    fn adopt(&mut self, targets: Vec<Grant>) {
        self.demand_moved = false;
        for (part, target) in self.parts.iter_mut().zip(targets) {
            part.target = target;
            part.planned = true;
        }
    }

    /// What each router is to have, by position.
    fn targets(&mut self, context: &ResponseContext<'_>, rotation: i64) -> Vec<Grant> {
        let total = context.shares.grantable;
        let live = candidates(context);
        self.rotation = None;
        let (beyond, within): (Vec<_>, Vec<_>) =
            live.iter().copied().partition(|router| self.exceeds_reserved(router));
        let retained = sum_reserved(&within);
        self.within_reserved = beyond.is_empty() && retained.fits_within(total);
        if self.fits_beside(&beyond, retained, total) {
            return self.targets_beside_reserved(&beyond, &within, total);
        }
        self.targets_by_demand(&live, total, rotation)
    }

    /// Whether a router's demand exceeds its reserved share by more than chance.
    fn exceeds_reserved(&self, router: &Candidate) -> bool {
        let reserved = router.reserved;
        let threshold =
            if reserved.capacity < MICROTOKENS_PER_TOKEN { 0 } else { max_by_chance(reserved.rate) };
        self.parts[router.position].demand > threshold
    }

    /// Whether what these routers want fits beside what others keep.
    fn fits_beside(&self, routers: &[Candidate], retained: Grant, total: Grant) -> bool {
        one_token_each(routers).saturating_add(retained.capacity) <= total.capacity
            && self.wanted_rate(routers) + retained.rate <= total.rate
    }

    /// Where everything fits, the other routers' reserved shares stay as they are.
    fn targets_beside_reserved(
        &self,
        beyond: &[Candidate],
        within: &[Candidate],
        total: Grant,
    ) -> Vec<Grant> {
        let mut targets = vec![Grant::NONE; self.parts.len()];
        for router in within {
            targets[router.position] = router.reserved;
        }
        let positions: Vec<usize> = beyond.iter().map(|router| router.position).collect();
        self.share_fairly(&positions, total.saturating_sub(sum_reserved(within)), &mut targets);
        targets
    }

    /// Where not everything fits, routers without demand give what the others want, by whole eighths, and keep a token
    /// each while there is one for each: what is in their buckets is not discarded, and their next request is admitted.
    fn targets_by_demand(&mut self, live: &[Candidate], total: Grant, rotation: i64) -> Vec<Grant> {
        let mut targets = vec![Grant::NONE; self.parts.len()];
        let (wanting, idle): (Vec<_>, Vec<_>) =
            live.iter().copied().partition(|router| self.parts[router.position].demand > 0);
        self.update_retained_parts(total.rate.saturating_sub(self.wanted_rate(&wanting)), &idle);
        let idle = self.reclaimed(&idle, one_token_each(&wanting), total);
        for router in &idle {
            targets[router.position] = router.reserved;
        }
        let wanting = self.rotate_tokens(&wanting, total.capacity, rotation);
        self.share_fairly(&wanting, total.saturating_sub(sum_reserved(&idle)), &mut targets);
        if one_token_each(live) <= total.capacity {
            distribute_capacity(live, &wanting, total.capacity, &mut targets);
        }
        targets
    }

    /// Decides how many eighths of their reserved shares routers without demand keep. They get them back later than they
    /// give them, so that a wavering demand moves nothing.
    fn update_retained_parts(&mut self, spare_rate: u64, idle: &[Candidate]) {
        let half_parts = 2 * RECLAIM_PARTS;
        let idle_rate = u128::from(sum_reserved(idle).rate);
        let affordable =
            (u128::from(spare_rate) * u128::from(half_parts)).checked_div(idle_rate).unwrap_or(0);
        let affordable = affordable.min(u128::from(half_parts)) as u64;
        let returns_part = affordable / 2 > self.retained_parts && affordable < half_parts;
        self.retained_parts = if returns_part { (affordable - 1) / 2 } else { affordable / 2 };
    }

    /// What routers without demand keep beside a capacity for the others: as much as fits, or nothing.
    fn reclaimed(&self, idle: &[Candidate], others_capacity: u64, total: Grant) -> Vec<Candidate> {
        let fits = |retained: &Vec<Candidate>| {
            let sum = sum_reserved(retained);
            others_capacity.saturating_add(sum.capacity) <= total.capacity && sum.rate <= total.rate
        };
        (0..=self.retained_parts)
            .rev()
            .map(|parts| retaining_parts(idle, parts))
            .find(fits)
            .unwrap_or_default()
    }

    /// The positions of the routers that get tokens: all, or where the tokens are fewer, some at a time.
    fn rotate_tokens(&mut self, wanting: &[Candidate], capacity: u64, rotation: i64) -> Vec<usize> {
        let mut positions: Vec<usize> = wanting.iter().map(|router| router.position).collect();
        let tokens = (capacity / MICROTOKENS_PER_TOKEN) as usize;
        if tokens < positions.len() {
            self.rotation = Some(rotation);
            let begin = rotation.rem_euclid(positions.len() as i64) as usize * tokens % positions.len();
            positions.rotate_left(begin);
            positions.truncate(tokens);
        }
        positions
    }

    fn wanted_rate(&self, routers: &[Candidate]) -> u64 {
        routers.iter().map(|router| self.parts[router.position].wanted_rate()).sum()
    }
}

/// The highest rate that demand of `rate` may seem to have by chance, where it is counted over [`DEMAND_WINDOW_SECONDS`].
fn max_by_chance(rate: u64) -> u64 {
    let token = MICROTOKENS_PER_TOKEN as f64;
    let deviation =
        3.0 * (rate as f64 * token / DEMAND_WINDOW_SECONDS).sqrt() + token / DEMAND_WINDOW_SECONDS;
    rate.saturating_add(deviation as u64)
}
