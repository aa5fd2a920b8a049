//! The rules that every run is held to, whatever is played. A broken one is kept with its time and place.
use decision::{Freshness, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each request has one final answer, in time.
    OneAnswer,
    /// What may have run is not sent again beyond its class.
    NoRepeat,
    /// Nothing new to a draining or gone node after the grace.
    Drains,
    /// No cold node is pushed over.
    NoTip,
    /// No read from older data than its class takes.
    NoStale,
    /// No session read that misses its session's write.
    OwnWrites,
}

/// What an attempt has come to, as the checker sees it.
#[derive(Clone, Debug, Default)]
struct Seen {
    unsafe_class: bool,
    /// Attempts that are out or may have run.
    may_have_run: u32,
    answers: u32,
    deadline: i64,
}

/// Watches a run.
#[derive(Debug, Default)]
pub struct Checker {
    open: HashMap<(usize, u64), Seen>,
    /// When a router was told that a node drains or is gone.
    told: HashMap<(usize, usize), Time>,
    /// For each session, the newest commit that its client was told of.
    acknowledged: HashMap<u64, Time>,
    /// Clients whose write has run.
    ran: HashSet<u64>,
    /// How often each rule was broken.
    pub broken: BTreeMap<Rule, u64>,
    /// The first of them, in words.
    pub first: Vec<String>,
    /// How much was checked.
    pub checked: u64,
}

/// An answer may come this long after the deadline.
const SLACK: i64 = 50_000;
/// Nothing new to a draining node after this.
const GRACE: i64 = 250_000;

impl Checker {
    fn breaks(&mut self, rule: Rule, now: Time, what: impl FnOnce() -> String) {
        *self.broken.entry(rule).or_default() += 1;
        if self.first.len() < 20 {
            self.first.push(format!("{:.6} s: {rule:?}: {}", now.0 as f64 / 1e6, what()));
        }
    }

    /// A router has taken a request.
    pub fn taken(&mut self, router: usize, request: u64, deadline: Time, unsafe_class: bool) {
        let seen = Seen { unsafe_class, deadline: deadline.0, ..Seen::default() };
        self.open.insert((router, request), seen);
    }

    /// An attempt goes out.
    pub fn sent(&mut self, now: Time, router: usize, request: u64, node: usize) {
        self.checked += 1;
        if let Some(told) = self.told.get(&(router, node)).filter(|t| now.0 - t.0 > GRACE) {
            let since = now.0 - told.0;
            self.breaks(Rule::Drains, now, || {
                format!("router {router} to node {node}, told {since} us before")
            });
        }
        let Some(seen) = self.open.get_mut(&(router, request)) else {
            return self.breaks(Rule::OneAnswer, now, || {
                format!("router {router} sends {request}, which has ended")
            });
        };
        let repeat = seen.unsafe_class && seen.may_have_run > 0;
        seen.may_have_run += 1;
        if repeat {
            self.breaks(Rule::NoRepeat, now, || format!("router {router}, request {request}, node {node}"));
        }
    }

    /// An attempt has ended, and proved that it never ran.
    pub fn never_ran(&mut self, router: usize, request: u64) {
        if let Some(seen) = self.open.get_mut(&(router, request)) {
            seen.may_have_run = seen.may_have_run.saturating_sub(1);
        }
    }

    /// A request has its final answer.
    pub fn answered(&mut self, now: Time, router: usize, request: u64, refused: bool) {
        let Some(mut seen) = self.open.remove(&(router, request)) else {
            return self
                .breaks(Rule::OneAnswer, now, || format!("router {router}: {request} is answered twice"));
        };
        seen.answers += 1;
        if now.0 > seen.deadline + SLACK {
            let late = now.0 - seen.deadline;
            self.breaks(Rule::OneAnswer, now, || {
                format!("router {router}: {request} is answered {late} us late")
            });
        }
        if refused && seen.unsafe_class && seen.may_have_run > 0 {
            self.breaks(Rule::NoRepeat, now, || {
                format!("router {router}: {request} is refused and may have run")
            });
        }
    }

    /// A server has run a client's write. Twice is once too often, whatever anybody was told of the first.
    pub fn ran(&mut self, now: Time, client: u64) {
        if !self.ran.insert(client) {
            self.breaks(Rule::NoRepeat, now, || format!("the write of client {client} has run twice"));
        }
    }

    /// A router has been killed: what it had taken is nobody's.
    pub fn killed(&mut self, router: usize) {
        self.open.retain(|(r, _), _| *r != router);
        self.told.retain(|(r, _), _| *r != router);
    }

    /// The run is over: what is still open was never answered.
    pub fn ended(&mut self, now: Time) {
        let left = self.open.values().filter(|s| now.0 > s.deadline + SLACK).count();
        for _ in 0..left {
            self.breaks(Rule::OneAnswer, now, || "a request was never answered".into());
        }
    }

    /// A router is told of a node's state.
    pub fn told(&mut self, now: Time, router: usize, node: usize, in_service: bool) {
        if in_service {
            self.told.remove(&(router, node));
        } else {
            self.told.entry((router, node)).or_insert(now);
        }
    }

    /// A cold node fell over.
    pub fn tipped(&mut self, now: Time, node: usize) {
        self.breaks(Rule::NoTip, now, || format!("node {node}"));
    }

    /// A client was told of its write.
    pub fn acknowledged(&mut self, session: u64, commit: Time) {
        let told = self.acknowledged.entry(session).or_insert(commit);
        *told = (*told).max(commit);
    }

    /// What a session's read that is asked now has to see.
    pub fn owed(&self, session: u64) -> Option<Time> {
        self.acknowledged.get(&session).copied()
    }

    /// A node answers a read that was asked then and sent then, from data up to here.
    pub fn read(
        &mut self,
        now: Time,
        freshness: Freshness,
        asked: Time,
        sent: Time,
        owed: Option<Time>,
        from: Time,
    ) {
        let (rule, need) = match freshness {
            Freshness::Bounded(bound) => (Rule::NoStale, Some(Time(sent.0 - bound))),
            Freshness::Latest => (Rule::NoStale, Some(asked)),
            Freshness::Session => (Rule::OwnWrites, owed),
            Freshness::Any | Freshness::Write => return,
        };
        if let Some(need) = need.filter(|n| from < *n) {
            self.breaks(rule, now, || format!("data of {from:?} for a read that needs {need:?}"));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_rule_is_seen_to_be_broken() {
        let mut c = Checker::default();
        let broken = |c: &Checker, rule| c.broken.get(&rule).copied().unwrap_or(0);
        c.taken(0, 1, Time(1_000_000), true);
        c.sent(Time(0), 0, 1, 5);
        c.sent(Time(1), 0, 1, 6);
        assert_eq!(broken(&c, Rule::NoRepeat), 1);
        c.never_ran(0, 1);
        c.never_ran(0, 1);
        c.sent(Time(2), 0, 1, 6);
        assert_eq!(broken(&c, Rule::NoRepeat), 1);
        c.answered(Time(3), 0, 1, true);
        assert_eq!(broken(&c, Rule::NoRepeat), 2);
        c.answered(Time(4), 0, 1, false);
        assert_eq!(broken(&c, Rule::OneAnswer), 1);
        c.taken(0, 2, Time(1_000_000), false);
        c.taken(0, 3, Time(1_000_000), false);
        c.answered(Time(1_050_001), 0, 2, false);
        c.ended(Time(2_000_000));
        assert_eq!(broken(&c, Rule::OneAnswer), 3);
        c.told(Time(0), 0, 7, false);
        c.taken(0, 4, Time(1_000_000), false);
        c.sent(Time(250_000), 0, 4, 7);
        assert_eq!(broken(&c, Rule::Drains), 0);
        c.sent(Time(250_001), 0, 4, 7);
        assert_eq!(broken(&c, Rule::Drains), 1);
        c.acknowledged(9, Time(50));
        c.read(Time(60), Freshness::Session, Time(55), Time(55), c.owed(9), Time(49));
        c.read(Time(60), Freshness::Session, Time(55), Time(55), c.owed(9), Time(50));
        c.read(Time(60), Freshness::Bounded(10), Time(55), Time(55), None, Time(44));
        c.read(Time(60), Freshness::Latest, Time(55), Time(56), None, Time(54));
        assert_eq!((broken(&c, Rule::OwnWrites), broken(&c, Rule::NoStale)), (1, 2));
        c.ran(Time(1), 77);
        c.ran(Time(2), 78);
        assert_eq!(broken(&c, Rule::NoRepeat), 2);
        c.ran(Time(3), 77);
        assert_eq!(broken(&c, Rule::NoRepeat), 3);
        c.tipped(Time(1), 3);
        assert_eq!(c.broken.len(), 6);
    }
}
