//! Determines whether a request may be sent again, depending on what its earlier attempts may have done.
use super::denial::{Denial, Verdict};
use decision::{Idempotency, Outcome, Time};

/// Retries and hedged attempts that a request class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatRule {
    /// Whether, and within which time, the request may run a second time.
    pub idempotency: Idempotency,
    /// Whether two attempts of a request may be in flight at the same time.
    pub hedging_allowed: bool,
}

impl RepeatRule {
    /// Rule for requests of an unknown class, which run at most once.
    pub(crate) const STRICTEST: RepeatRule =
        RepeatRule { idempotency: Idempotency::NotIdempotent, hedging_allowed: false };
}

/// Records what the attempts of one request may have done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RepeatState {
    in_flight: u32,
    /// Time at which the first attempt that may have run was permitted.
    may_have_run_since: Option<Time>,
}

impl RepeatState {
    /// Permits one more attempt. `Ok` contains the time after which the attempt must not start, if there is a
    /// limit.
    ///
    /// # Errors
    /// Returns the reason for which no attempt may be sent.
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

    /// Records the end of a permitted attempt. `permitted_at` is the time at which its first byte was
    /// permitted, if it was.
    pub fn attempt_ended(&mut self, permitted_at: Option<Time>, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(at) = permitted_at.filter(|_| !outcome.never_ran()) {
            self.may_have_run_since = Some(self.may_have_run_since.map_or(at, |since| since.min(at)));
        }
    }
}
