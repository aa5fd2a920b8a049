//! A token bucket that refills at a grant's rate up to the grant's capacity.
use crate::grant::{Grant, MICROTOKENS_PER_TOKEN};
use crate::settings::MILLIONTHS;
use crate::time::elapsed;
use decision::Time;
use std::hash::{Hash, Hasher};

/// Picotokens in one token. A rate of one microtoken per second produces one picotoken per microsecond, so
/// refilling needs no division.
pub(super) const PICOTOKENS_PER_TOKEN: u128 = 1_000_000_000_000;
const PICOTOKENS_PER_MICROTOKEN: u128 = PICOTOKENS_PER_TOKEN / MICROTOKENS_PER_TOKEN as u128;

/// A token bucket; a new one is empty and has no grant.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenBucket {
    grant: Grant,
    /// The grant's rate, reduced by the greatest clock drift, in microtokens per second.
    refill_rate: u64,
    /// The tokens in the bucket, in picotokens.
    level: u128,
    refilled_at: Time,
}

impl TokenBucket {
    pub(super) fn grant(&self) -> Grant {
        self.grant
    }

    /// Changes the grant from `now` on. Tokens above the new capacity are discarded.
    pub(super) fn set_grant(&mut self, now: Time, grant: Grant, clock_drift_ppm: u64) {
        self.refill(now);
        self.grant = grant;
        let rate = u128::from(grant.rate) * u128::from(MILLIONTHS - clock_drift_ppm);
        self.refill_rate = (rate / u128::from(MILLIONTHS)) as u64;
        self.level = self.level.min(self.capacity());
    }

    /// Discards the grant and all tokens.
    pub(super) fn clear(&mut self, now: Time) {
        *self = TokenBucket { refilled_at: now, ..TokenBucket::default() };
    }

    /// Takes a whole token if there is one.
    pub(super) fn try_take(&mut self, now: Time) -> bool {
        self.refill(now);
        if !self.has_token() {
            return false;
        }
        self.level -= PICOTOKENS_PER_TOKEN;
        true
    }

    /// Whether there was a whole token when the bucket was last refilled.
    pub(super) fn has_token(&self) -> bool {
        self.level >= PICOTOKENS_PER_TOKEN
    }

    /// The refill rate, microtokens per second; `None` where the bucket never has a whole token.
    pub(super) fn useful_rate(&self) -> Option<u64> {
        (self.grant.capacity >= MICROTOKENS_PER_TOKEN && self.refill_rate > 0).then_some(self.refill_rate)
    }

    /// Picotokens missing until the bucket holds a whole token.
    pub(super) fn deficit(&self) -> u128 {
        PICOTOKENS_PER_TOKEN.saturating_sub(self.level)
    }

    pub(super) fn hash_state<H: Hasher>(&self, hasher: &mut H) {
        (self.grant, self.level, self.refilled_at).hash(hasher);
    }

    fn capacity(&self) -> u128 {
        u128::from(self.grant.capacity) * PICOTOKENS_PER_MICROTOKEN
    }

    fn refill(&mut self, now: Time) {
        let micros = elapsed(self.refilled_at, now);
        if micros > 0 {
            let produced = u128::from(self.refill_rate) * micros as u128;
            self.level = (self.level + produced).min(self.capacity());
            self.refilled_at = now;
        }
    }
}
