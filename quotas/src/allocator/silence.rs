//! When the silence of routers with sparse demand means that their demand has ended.
use super::allocation::{DemandAllocation, RouterPart};
use crate::grant::MICROTOKENS_PER_TOKEN;
use crate::time::{after, elapsed};
use decision::{Micros, Time};

/// How long a router that reports no demand has been silent at least, microseconds, unless reports before their usual
/// time have shortened it.
const MIN_SILENCE: Micros = 900_000;
/// How often silence is checked, microseconds.
const CHECK_INTERVAL: Micros = MIN_SILENCE / 8;
/// For how long all silent routers are taken to have no demand, microseconds.
const END_DURATION: Micros = MIN_SILENCE / 2 * 3;
/// A router's demand has ended once this many requests were expected in its silence.
const MAX_EXPECTED_IN_SILENCE: f64 = 4.0;
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
        // The last of those that fall silent are too few to tell by themselves.
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

    /// Whether more routers are silent than chance explains: four standard deviations above the expected number, and one.
    fn too_many_silent(&self) -> bool {
        let (mut expected, mut variance) = (0.0, 0.0);
        for part in self.parts.iter().filter(|part| part.demand > 0) {
            let probability = (-requests_per_second(part) * MIN_SILENCE as f64 / MICROS_PER_SECOND).exp();
            expected += probability;
            variance += probability * (1.0 - probability);
        }
        let silent = self.parts.iter().filter(|part| part.silent_since.is_some()).count() as f64;
        silent > expected + 4.0 * f64::sqrt(variance) + 1.0
    }
}

fn requests_per_second(part: &RouterPart) -> f64 {
    part.demand as f64 / MICROTOKENS_PER_TOKEN as f64
}
