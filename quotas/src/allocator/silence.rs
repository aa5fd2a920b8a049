//! Detects that the demand of routers that report none has really ended.
//!
//! A router reports no demand once it has had no request for about a second; it then counts as silent. If it
//! has one request every few seconds, such gaps are frequent, and ending its demand in each of them would
//! withdraw its grant again and again. Requests are modelled as a Poisson process: the probability of no
//! request during `time` is `exp(-rate * time)`.
use super::allocation::{DemandAllocation, RouterPart};
use crate::grant::MICROTOKENS_PER_TOKEN;
use crate::time::{after, elapsed};
use decision::{Micros, Time};

/// How long a router has had no request when it first reports no demand, microseconds. The client requires
/// five intervals of about 200 ms without a request; early reports can make them a little shorter.
const MIN_SILENCE: Micros = 900_000;
/// The shortest time between two checks of silent routers, microseconds.
const CHECK_INTERVAL: Micros = MIN_SILENCE / 8;
/// How long every silent router's demand is ended after too many routers were found silent, microseconds.
const END_DURATION: Micros = MIN_SILENCE / 2 * 3;
/// A router's demand has ended when more requests than this were expected since its last one.
const MAX_EXPECTED_REQUESTS: f64 = 4.0;
/// The number of silent routers is more than random if it exceeds the expected number by this many standard
/// deviations and one router.
const TOO_MANY_DEVIATIONS: f64 = 4.0;
const MICROS_PER_SECOND: f64 = 1e6;

impl DemandAllocation {
    /// Ends the demand of a silent router if its rate makes so long a gap unlikely, and of all silent routers
    /// if there are more of them than sparse demand explains.
    pub(super) fn end_silent_demand(&mut self, now: Time) {
        if now < self.next_silence_check || self.parts.iter().all(|part| part.silent_since.is_none()) {
            return;
        }
        self.next_silence_check = after(now, CHECK_INTERVAL);
        if self.has_too_many_silent() {
            self.silence_ends_demand_until = after(now, END_DURATION);
        }
        // Routers whose demand ends at the same time are detected one after another. When the first ones have
        // been ended, those that remain would be too few to exceed the random number, so the result stays
        // valid for a while.
        let all_end = now < self.silence_ends_demand_until;
        for position in 0..self.parts.len() {
            let part = &self.parts[position];
            let Some(since) = part.silent_since else { continue };
            let silence = elapsed(since, now).saturating_add(MIN_SILENCE) as f64 / MICROS_PER_SECOND;
            if all_end || requests_per_second(part) * silence > MAX_EXPECTED_REQUESTS {
                self.set_demand(position, 0);
            }
        }
    }

    /// Whether more routers are silent than random gaps between requests explain. The expected number is the
    /// sum of the routers' probabilities to be silent; the variance is the sum of the individual variances.
    fn has_too_many_silent(&self) -> bool {
        let (mut expected, mut variance) = (0.0, 0.0);
        for part in self.parts.iter().filter(|part| part.demand > 0) {
            let probability = (-requests_per_second(part) * MIN_SILENCE as f64 / MICROS_PER_SECOND).exp();
            expected += probability;
            variance += probability * (1.0 - probability);
        }
        let silent = self.parts.iter().filter(|part| part.silent_since.is_some()).count() as f64;
        silent > expected + TOO_MANY_DEVIATIONS * f64::sqrt(variance) + 1.0
    }
}

fn requests_per_second(part: &RouterPart) -> f64 {
    part.demand as f64 / MICROTOKENS_PER_TOKEN as f64
}
