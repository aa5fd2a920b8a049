//! When the silence of routers with sparse demand means that their demand has ended.
//!
//! A router reports no demand once it has had no request for about a second. Where its demand is a request in a few
//! seconds, that is often chance, and to end the demand each time would take its grant away again and again. Requests are
//! modelled as a Poisson process: the probability that a router has none for a time is `exp(-rate * time)`.
use super::allocation::{DemandAllocation, RouterPart};
use crate::grant::MICROTOKENS_PER_TOKEN;
use crate::time::{after, elapsed};
use decision::{Micros, Time};

/// How long a router has had no request at least when it first reports no demand, microseconds. The client counts five
/// intervals of about 200 ms; early reports may make them a little shorter than this.
const MIN_SILENCE: Micros = 900_000;
/// The shortest time between two checks for silence, microseconds.
const CHECK_INTERVAL: Micros = MIN_SILENCE / 8;
/// For how long, after too many routers were found silent, the demand of each silent router ends, microseconds.
const END_DURATION: Micros = MIN_SILENCE / 2 * 3;
/// A router's demand has ended once more requests than this were expected in its silence.
const MAX_EXPECTED_IN_SILENCE: f64 = 4.0;
/// More silent routers than expected by this many standard deviations and one are too many for chance.
const TOO_MANY_DEVIATIONS: f64 = 4.0;
const MICROS_PER_SECOND: f64 = 1e6;

impl DemandAllocation {
    /// Takes silence for the end of demand: at one router where its demand makes so long a silence unlikely, at all
    /// silent routers where they are more than sparse demand leaves silent by chance.
    pub(super) fn end_silent_demand(&mut self, now: Time) {
        if now < self.next_silence_check || self.parts.iter().all(|part| part.silent_since.is_none()) {
            return;
        }
        self.next_silence_check = after(now, CHECK_INTERVAL);
        if self.too_many_silent() {
            self.silence_ends_demand_until = after(now, END_DURATION);
        }
        // Routers whose demand ends together are found silent one after another. Once the demand of the first ones is
        // ended, the last ones would be too few to be more than chance.
        let all_end = now < self.silence_ends_demand_until;
        for position in 0..self.parts.len() {
            let part = &self.parts[position];
            let Some(since) = part.silent_since else { continue };
            let silence = elapsed(since, now).saturating_add(MIN_SILENCE) as f64 / MICROS_PER_SECOND;
            if all_end || requests_per_second(part) * silence > MAX_EXPECTED_IN_SILENCE {
                self.set_demand(position, 0);
            }
        }
    }

    /// Whether more routers are silent than chance explains. The expected number is the sum of each router's probability to
    /// be silent, and its variance the sum of theirs.
    fn too_many_silent(&self) -> bool {
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
