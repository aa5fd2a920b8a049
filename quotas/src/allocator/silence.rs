//! Detects that the demand of idle routers has ended.
//!
//! A router is idle here if it reports no demand, which it does after about a second without a request. If it
//! has one request every few seconds, such gaps are frequent, and ending its demand in each of them would
//! withdraw its grant again and again. Requests are modelled as a Poisson process: the probability of no
//! request during `time` is `exp(-rate * time)`.
use super::allocation::{DemandAllocation, RouterPart};
use crate::grant::MICROTOKENS_PER_TOKEN;
use crate::time::{after, elapsed};
use decision::{Micros, Time};

/// How long a router has had no request when it first reports no demand, microseconds. The client requires
/// five intervals of about 200 ms without a request; early reports can make them a little shorter.
const MIN_IDLE_TIME: Micros = 900_000;
/// The shortest time between two checks of idle routers, microseconds.
const IDLE_CHECK_INTERVAL: Micros = MIN_IDLE_TIME / 8;
/// For how long the demand of every idle router is ended after too many routers were found idle,
/// microseconds.
const IDLE_END_DURATION: Micros = MIN_IDLE_TIME / 2 * 3;
/// A router's demand has ended when more requests than this were expected since its last one.
const MAX_EXPECTED_REQUESTS: f64 = 4.0;
/// Too many routers are idle if their number exceeds the expected one by this many standard deviations and
/// one router.
const IDLE_COUNT_DEVIATIONS: f64 = 4.0;
const MICROS_PER_SECOND: f64 = 1e6;

impl DemandAllocation {
    /// Ends the demand of an idle router if its rate makes so long a gap unlikely, and of all idle routers if
    /// there are more of them than sparse demand explains.
    pub(super) fn end_idle_demand(&mut self, now: Time) {
        if now < self.next_idle_check || self.parts.iter().all(|part| part.no_demand_since.is_none()) {
            return;
        }
        self.next_idle_check = after(now, IDLE_CHECK_INTERVAL);
        if self.has_too_many_idle() {
            self.end_all_idle_demand_until = after(now, IDLE_END_DURATION);
        }
        // Routers whose demand ends at the same time are detected one after another. Once the demand of the
        // first ones has been ended, the remaining ones alone would no longer be too many. So the demand of
        // all idle routers is ended for a while.
        let ends_all = now < self.end_all_idle_demand_until;
        for record_index in 0..self.parts.len() {
            let part = &self.parts[record_index];
            let Some(since) = part.no_demand_since else { continue };
            let idle_time = elapsed(since, now).saturating_add(MIN_IDLE_TIME) as f64 / MICROS_PER_SECOND;
            if ends_all || requests_per_second(part) * idle_time > MAX_EXPECTED_REQUESTS {
                self.set_demand(record_index, 0);
            }
        }
    }

    /// Whether more routers are idle than random gaps between requests explain. The expected number is the
    /// sum of the routers' probabilities to be idle; the variance is the sum of the individual variances.
    fn has_too_many_idle(&self) -> bool {
        let (mut expected, mut variance) = (0.0, 0.0);
        for part in self.parts.iter().filter(|part| part.demand > 0) {
            let probability = (-requests_per_second(part) * MIN_IDLE_TIME as f64 / MICROS_PER_SECOND).exp();
            expected += probability;
            variance += probability * (1.0 - probability);
        }
        let idle = self.parts.iter().filter(|part| part.no_demand_since.is_some()).count() as f64;
        idle > expected + IDLE_COUNT_DEVIATIONS * f64::sqrt(variance) + 1.0
    }
}

fn requests_per_second(part: &RouterPart) -> f64 {
    part.demand as f64 / MICROTOKENS_PER_TOKEN as f64
}
