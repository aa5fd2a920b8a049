//! Which member of the registry to ask next, and when: failing over with backoff and jitter, under a budget, so that
//! routers that lost the same registry do not all come back at once.
use crate::machine::EndpointIndex;
use decision::{Micros, Time};
use fastrand::Rng;

const MICROS_PER_S: f64 = 1e6;
/// Further failures don't double the backoff any more.
const MAX_DOUBLINGS: u32 = 16;
/// What is owed is earned at this rate at least, also where the settings say none.
const MIN_ATTEMPTS_PER_S: f64 = 0.001;

/// Settings of [`Endpoints`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of members.
    pub endpoints: usize,
    /// The longest backoff after a member's first failure; each further failure doubles it.
    pub first_backoff: Micros,
    /// The longest backoff after any number of failures.
    pub max_backoff: Micros,
    /// Attempts that may be saved up, over all members.
    pub max_saved_attempts: f64,
    /// Attempts that are earned in a second, over all members.
    pub attempts_per_s: f64,
}

#[derive(Clone, Debug)]
struct Member {
    /// Failures since it last worked.
    consecutive_failures: u32,
    /// The end of its backoff.
    not_before: Time,
}

impl Default for Member {
    fn default() -> Member {
        Member { consecutive_failures: 0, not_before: Time(0) }
    }
}

/// The members of a registry.
pub struct Endpoints {
    settings: Settings,
    members: Vec<Member>,
    /// Attempts that may be made at once; below zero they are owed.
    saved_attempts: f64,
    /// When attempts were last earned; 0 before the first.
    earned_at: Time,
    /// The member that was asked last: the others have their turn before it.
    last: EndpointIndex,
    rng: Rng,
}

impl Endpoints {
    /// Members that have not failed yet. The seed decides which is asked first.
    pub fn new(settings: Settings, seed: u64) -> Endpoints {
        let mut rng = Rng::with_seed(seed);
        let members = vec![Member::default(); settings.endpoints];
        let last = rng.usize(0..settings.endpoints.max(1));
        Endpoints {
            saved_attempts: settings.max_saved_attempts,
            members,
            settings,
            earned_at: Time(0),
            last,
            rng,
        }
    }

    /// The member to ask next, and how long to wait before.
    pub fn next(&mut self, now: Time) -> (EndpointIndex, Micros) {
        self.earn_attempts(now);
        let count = self.members.len();
        // The one whose backoff ends first; in turns where several are free.
        let turns = (1..=count).map(|step| (self.last + step) % count);
        let backoff = |member: &Member| (member.not_before.0 - now.0).max(0);
        let Some(next) = turns.min_by_key(|index| backoff(&self.members[*index])) else {
            return (0, self.settings.max_backoff);
        };
        self.last = next;
        self.saved_attempts -= 1.0;
        (next, backoff(&self.members[next]).max(self.until_earned()))
    }

    fn earn_attempts(&mut self, now: Time) {
        if self.earned_at != Time(0) {
            let seconds = (now.0 - self.earned_at.0).max(0) as f64 / MICROS_PER_S;
            let earned = seconds * self.settings.attempts_per_s;
            self.saved_attempts = (self.saved_attempts + earned).min(self.settings.max_saved_attempts);
        }
        self.earned_at = now;
    }

    /// How long it takes until no attempt is owed any more.
    fn until_earned(&self) -> Micros {
        let owed = (-self.saved_attempts).max(0.0);
        (owed / self.settings.attempts_per_s.max(MIN_ATTEMPTS_PER_S) * MICROS_PER_S) as Micros
    }

    /// A member failed, or must not be followed.
    ///
    /// # Panics
    /// There is no such member.
    pub fn failed(&mut self, endpoint: EndpointIndex, now: Time) {
        let member = &mut self.members[endpoint];
        let doublings = member.consecutive_failures.min(MAX_DOUBLINGS);
        let longest =
            self.settings.first_backoff.saturating_mul(1 << doublings).min(self.settings.max_backoff);
        member.consecutive_failures += 1;
        // Anywhere up to the full backoff, and never at once.
        let jitter = self.rng.i64(0..=longest * 3 / 4);
        member.not_before = Time(now.0 + longest / 4 + jitter);
    }

    /// A member answers as it should.
    ///
    /// # Panics
    /// There is no such member.
    pub fn worked(&mut self, endpoint: EndpointIndex) {
        self.members[endpoint] = Member::default();
        // It comes first in the next turn.
        self.last = (endpoint + self.members.len() - 1) % self.members.len();
    }
}
