//! Whether a request may be sent again, by what its earlier attempts may have done.
use super::denial::{Denial, Verdict};
use decision::{Idempotency, Outcome, Time};

/// The retries and hedged attempts that a class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatRule {
    /// Whether the request may run a second time.
    pub idempotency: Idempotency,
    /// Two attempts of a request may be in flight at a time.
    pub hedging_allowed: bool,
}

impl RepeatRule {
    /// The rule for a request of a class that the settings do not have: it runs once.
    pub(crate) const STRICTEST: RepeatRule =
        RepeatRule { idempotency: Idempotency::NotIdempotent, hedging_allowed: false };
}

/// The record of what the attempts of one request may have done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RepeatState {
    in_flight: u32,
    /// When the first attempt that may have run was permitted.
    may_have_run_since: Option<Time>,
}

impl RepeatState {
    /// Permits one more attempt; `Ok` holds the time after which it must not start, if there is one.
    ///
    /// # Errors
    /// The reason for which it must not be sent.
    pub fn permit_attempt(&mut self, now: Time, rule: RepeatRule) -> Verdict<Option<Time>> {
        if self.in_flight > 0 && !rule.hedging_allowed {
            return Err(Denial::AttemptInFlight);
        }
        let latest = self.latest_start(rule)?;
        if latest.is_some_and(|latest| now > latest) {
            return Err(Denial::RepeatWindowOver);
        }
        self.in_flight += 1;
        Ok(latest)
    }

    fn latest_start(&self, rule: RepeatRule) -> Verdict<Option<Time>> {
        let Some(since) = self.may_have_run_since else { return Ok(None) };
        match rule.idempotency {
            Idempotency::Idempotent => Ok(None),
            Idempotency::DeduplicatedInGroup(window)
            | Idempotency::DeduplicatedEverywhere(window)
            | Idempotency::DeduplicatedInZone(window) => Ok(Some(Time(since.0.saturating_add(window)))),
            Idempotency::NotIdempotent => Err(Denial::UnsafeRepeat),
        }
    }

    /// Records that a permitted attempt has ended, whose first byte was permitted at `permitted_at`, if ever.
    pub fn attempt_ended(&mut self, permitted_at: Option<Time>, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(at) = permitted_at.filter(|_| !outcome.never_ran()) {
            self.may_have_run_since = Some(self.may_have_run_since.map_or(at, |since| since.min(at)));
        }
    }
}
