//! A token bucket that bounds the datagrams handled each second.
use std::time::Duration;

/// Tokens are counted in thousandths, so that short times add up.
const TOKENS_PER_DATAGRAM: u64 = 1000;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Datagrams that may still be handled: a second's worth at most.
pub(crate) struct DatagramBudget {
    per_second: u64,
    tokens: u64,
    refilled_at: Duration,
}

impl DatagramBudget {
    /// A full bucket that refills at this rate.
    pub(crate) fn new(per_second: u32) -> DatagramBudget {
        let per_second = u64::from(per_second);
        DatagramBudget { per_second, tokens: per_second * TOKENS_PER_DATAGRAM, refilled_at: Duration::ZERO }
    }

    /// Counts time from now on.
    pub(crate) fn start(&mut self, now: Duration) {
        self.refilled_at = now;
    }

    /// Whether one more datagram may be handled now; if so, it is paid for.
    pub(crate) fn try_take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_micros().min(u128::from(MICROS_PER_SECOND));
        let refill = elapsed as u64 * self.per_second * TOKENS_PER_DATAGRAM / MICROS_PER_SECOND;
        self.tokens = (self.tokens + refill).min(self.per_second * TOKENS_PER_DATAGRAM);
        self.refilled_at = now;
        let may = self.tokens >= TOKENS_PER_DATAGRAM;
        if may {
            self.tokens -= TOKENS_PER_DATAGRAM;
        }
        may
    }
}
