//! A token bucket that limits the number of datagrams handled per second.
use std::time::Duration;

/// Tokens per datagram. A token is a thousandth of a datagram, so that short intervals add up.
const TOKENS_PER_DATAGRAM: u64 = 1000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The number of datagrams that may still be handled; at most one second's worth.
pub(crate) struct DatagramBudget {
    per_second: u64,
    tokens: u64,
    refilled_at: Duration,
}

impl DatagramBudget {
    /// Creates a full bucket that refills at this rate.
    pub(crate) fn new(per_second: u32) -> DatagramBudget {
        let per_second = u64::from(per_second);
        DatagramBudget { per_second, tokens: per_second * TOKENS_PER_DATAGRAM, refilled_at: Duration::ZERO }
    }

    /// Starts the refill at this time.
    pub(crate) fn start(&mut self, now: Duration) {
        self.refilled_at = now;
    }

    /// Takes the tokens of one datagram if there are enough. Returns whether the datagram may be handled.
    pub(crate) fn try_take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_micros().min(u128::from(MICROS_PER_SECOND));
        let refill = elapsed as u64 * self.per_second * TOKENS_PER_DATAGRAM / MICROS_PER_SECOND;
        self.tokens = (self.tokens + refill).min(self.per_second * TOKENS_PER_DATAGRAM);
        self.refilled_at = now;
        let allowed = self.tokens >= TOKENS_PER_DATAGRAM;
        if allowed {
            self.tokens -= TOKENS_PER_DATAGRAM;
        }
        allowed
    }
}
