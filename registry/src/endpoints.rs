//! Selects the registry member for the next connection attempt and the delay before it: failover with
//! jittered exponential backoff and a token bucket, so that routers that lost the same registry do not all
//! reconnect at once.
use crate::machine::EndpointIndex;
use decision::{Micros, Time};
use fastrand::Rng;

const MICROS_PER_S: f64 = 1e6;
/// After this many failures in a row the backoff doubles no further.
const MAX_DOUBLINGS: u32 = 16;
/// Lower bound for the refill rate of the attempt budget, so that the delay stays finite when the settings
/// give 0.
const MIN_ATTEMPTS_PER_S: f64 = 0.001;

/// Settings of [`MemberSelector`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of registry members.
    pub endpoints: usize,
    /// The upper bound of the jittered backoff after a member's first failure; each further failure doubles
    /// it.
    pub first_backoff: Micros,
    /// The upper bound of the backoff after any number of failures.
    pub max_backoff: Micros,
    /// Capacity of the token bucket for attempts, shared by all members.
    pub max_attempt_tokens: f64,
    /// Refill rate of the token bucket, in attempts per second.
    pub attempts_per_s: f64,
}

/// The failure count and the backoff of one registry member.
#[derive(Clone, Debug)]
struct MemberBackoff {
    /// Failures since the last success.
    consecutive_failures: u32,
    /// When the backoff ends.
    not_before: Time,
}

impl Default for MemberBackoff {
    fn default() -> MemberBackoff {
        MemberBackoff { consecutive_failures: 0, not_before: Time(0) }
    }
}

/// Selects the next registry member by the members' backoff and the attempt budget.
pub struct MemberSelector {
    settings: Settings,
    members: Vec<MemberBackoff>,
    /// Tokens in the bucket; negative when attempts have been granted ahead of the refill.
    attempt_tokens: f64,
    /// When the bucket was last refilled; 0 before the first refill.
    refilled_at: Time,
    /// The member selected last; the round-robin continues after it.
    last: EndpointIndex,
    rng: Rng,
}

impl MemberSelector {
    /// Creates a selector in which no member is in backoff. The seed determines which member is selected
    /// first.
    pub fn new(settings: Settings, seed: u64) -> MemberSelector {
        let mut rng = Rng::with_seed(seed);
        let members = vec![MemberBackoff::default(); settings.endpoints];
        let last = rng.usize(0..settings.endpoints.max(1));
        MemberSelector {
            attempt_tokens: settings.max_attempt_tokens,
            members,
            settings,
            refilled_at: Time(0),
            last,
            rng,
        }
    }

    /// Returns the member for the next attempt and how long to wait before it.
    pub fn next(&mut self, now: Time) -> (EndpointIndex, Micros) {
        self.refill_tokens(now);
        let count = self.members.len();
        // The member whose backoff ends first; round-robin among members without a backoff.
        let rotation = (1..=count).map(|step| (self.last + step) % count);
        let backoff = |member: &MemberBackoff| (member.not_before.0 - now.0).max(0);
        let Some(next) = rotation.min_by_key(|index| backoff(&self.members[*index])) else {
            return (0, self.settings.max_backoff);
        };
        self.last = next;
        self.attempt_tokens -= 1.0;
        (next, backoff(&self.members[next]).max(self.refill_delay()))
    }

    fn refill_tokens(&mut self, now: Time) {
        if self.refilled_at != Time(0) {
            let seconds = (now.0 - self.refilled_at.0).max(0) as f64 / MICROS_PER_S;
            let refilled = seconds * self.settings.attempts_per_s;
            self.attempt_tokens = (self.attempt_tokens + refilled).min(self.settings.max_attempt_tokens);
        }
        self.refilled_at = now;
    }

    /// How long until the bucket is no longer negative.
    fn refill_delay(&self) -> Micros {
        let deficit = (-self.attempt_tokens).max(0.0);
        (deficit / self.settings.attempts_per_s.max(MIN_ATTEMPTS_PER_S) * MICROS_PER_S) as Micros
    }

    /// Records that a member failed or must not be followed, and starts its backoff.
    ///
    /// # Panics
    /// If the index is out of range.
    pub fn record_failure(&mut self, endpoint: EndpointIndex, now: Time) {
        let member = &mut self.members[endpoint];
        let doublings = member.consecutive_failures.min(MAX_DOUBLINGS);
        let full_backoff =
            self.settings.first_backoff.saturating_mul(1 << doublings).min(self.settings.max_backoff);
        member.consecutive_failures += 1;
        // Between a quarter of the backoff and all of it, so that a retry is never immediate.
        let jitter = self.rng.i64(0..=full_backoff * 3 / 4);
        member.not_before = Time(now.0 + full_backoff / 4 + jitter);
    }

    /// Records that a member responded correctly, and ends its backoff.
    ///
    /// # Panics
    /// If the index is out of range.
    pub fn record_success(&mut self, endpoint: EndpointIndex) {
        self.members[endpoint] = MemberBackoff::default();
        // The round-robin continues with this member.
        self.last = (endpoint + self.members.len() - 1) % self.members.len();
    }
}
