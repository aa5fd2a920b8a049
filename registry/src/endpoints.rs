//! Which member of the registry to ask next, and when: failing over with backoff and jitter, under a budget, so that
//! routers that lost the same registry do not all come back at once.
use crate::machine::EndpointIndex;
use decision::{Micros, Time};
use fastrand::Rng;

/// How it is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many members there are.
    pub endpoints: usize,
    /// The first pause after a failure; each further one doubles it
    pub pause: Micros,
    /// up to this.
    pub longest: Micros,
    /// Tries that may be saved up,
    pub saved: f64,
    /// and how many are earned in a second.
    pub earned_per_s: f64,
}

#[derive(Clone, Debug, Default)]
struct Member {
    failures: u32,
    not_before: i64,
}

/// The members of a registry.
pub struct Endpoints {
    settings: Settings,
    members: Vec<Member>,
    budget: f64,
    earned_at: Time,
    last: EndpointIndex,
    rng: Rng,
}

impl Endpoints {
    /// Members that are all as good. The seed decides which is asked first.
    pub fn new(settings: Settings, seed: u64) -> Endpoints {
        let mut rng = Rng::with_seed(seed);
        let members = vec![Member::default(); settings.endpoints];
        let last = rng.usize(0..settings.endpoints.max(1));
        Endpoints { budget: settings.saved, members, settings, earned_at: Time(0), last, rng }
    }

    /// The member to ask next, and how long to wait before.
    pub fn next(&mut self, now: Time) -> (EndpointIndex, Micros) {
        if self.earned_at != Time(0) {
            let earned = (now.0 - self.earned_at.0).max(0) as f64 / 1e6 * self.settings.earned_per_s;
            self.budget = (self.budget + earned).min(self.settings.saved);
        }
        self.earned_at = now;
        let n = self.members.len();
        // The one that is free soonest, in turns among those that are.
        let order = (1..=n).map(|k| (self.last + k) % n);
        let wait = |m: &Member| (m.not_before - now.0).max(0);
        let Some(next) = order.min_by_key(|e| wait(&self.members[*e])) else {
            return (0, self.settings.longest);
        };
        self.last = next;
        self.budget -= 1.0;
        // Beyond the budget a try waits until it is earned.
        let owed = (-self.budget).max(0.0) / self.settings.earned_per_s.max(0.001) * 1e6;
        (next, wait(&self.members[next]).max(owed as Micros))
    }

    /// A member failed, or must not be followed.
    pub fn failed(&mut self, endpoint: EndpointIndex, now: Time) {
        let m = &mut self.members[endpoint];
        let most = self.settings.pause.saturating_mul(1 << m.failures.min(16)).min(self.settings.longest);
        m.failures += 1;
        // Anywhere up to the full pause, and never at once.
        m.not_before = now.0 + most / 4 + self.rng.i64(0..=most * 3 / 4);
    }

    /// A member answers as it should.
    pub fn worked(&mut self, endpoint: EndpointIndex) {
        self.members[endpoint] = Member::default();
        self.last = (endpoint + self.members.len() - 1) % self.members.len();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> Settings {
        Settings { endpoints: 3, pause: 100_000, longest: 2_000_000, saved: 5.0, earned_per_s: 2.0 }
    }

    #[test]
    fn one_that_works_is_kept_and_one_that_fails_is_left() {
        let mut e = Endpoints::new(settings(), 7);
        let (first, wait) = e.next(Time(0));
        assert_eq!(wait, 0);
        e.worked(first);
        assert_eq!(e.next(Time(1)).0, first);
        e.failed(first, Time(2));
        let (second, wait) = e.next(Time(2));
        assert!(second != first && wait == 0);
        e.failed(second, Time(3));
        let (third, _) = e.next(Time(3));
        e.failed(third, Time(4));
        assert_eq!([first, second, third].iter().sum::<usize>(), 3, "each of them once");
        // All have failed: there is a pause, no longer than the longest.
        let (_, wait) = e.next(Time(5));
        assert!((1..=2_000_000).contains(&wait));
    }

    #[test]
    fn a_registry_that_is_gone_costs_no_more_than_the_budget() {
        let (mut e, mut now, mut tries) = (Endpoints::new(settings(), 1), 0, 0);
        while now < 60_000_000 {
            let (endpoint, wait) = e.next(Time(now));
            now += wait;
            tries += 1;
            e.failed(endpoint, Time(now));
            now += 100;
        }
        assert!(tries <= 5 + 2 * 60 + 3, "{tries}");
    }
}
