//! The number of routers by which a router's capacity share is divided.
//!
//! [`LiveRouterCount`] is a state machine fed with changes of membership. A router that comes counts at once. One that
//! goes still counts for a settle time, since it may only be unreachable from here and still send.
//! `docs/design/membership.md` has what a split costs.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the count is bounded by.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The size of the whole fleet, as its operator has configured it; it is the count until other routers are seen.
    pub fleet_size: u32,
    /// The count is never lower: the parts of a split fleet together use at most (routers alive) / `min_count` of the
    /// capacity.
    pub min_count: u32,
    /// How long a router that has gone still counts.
    pub settle_time: Duration,
    /// Other routers are expected: until one is seen, the count is `fleet_size`.
    pub expects_others: bool,
}

/// What happens. Times are durations since any one start that never goes back; names never hold this router's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// These other routers are alive, and nobody else.
    Snapshot(BTreeSet<String>),
    /// This router is alive.
    Up(String),
    /// This router has left or failed.
    Down(String),
    /// The time of [`Action::SetTimer`] has come.
    Timer,
    /// No more changes will come: the count of the moment, or of the whole fleet, stays.
    ChangesLost,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The capacity share is divided by this count from now on.
    SetCount(u32),
    /// Give [`Event::Timer`] at this time; it replaces an earlier one.
    SetTimer(Duration),
}

/// How many other routers count, by what is known of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherRouters {
    /// Routers that are alive.
    pub live: usize,
    /// Routers that have gone and still count.
    pub settling: usize,
}

/// The state machine: same events, same actions.
#[derive(Clone, Debug)]
pub struct LiveRouterCount {
    settings: Settings,
    /// The other routers, with the time until which they count where they have gone.
    others: BTreeMap<String, Option<Duration>>,
    /// Until when the whole fleet counts after the start; `None` when that is over.
    starting_until: Option<Duration>,
    others_discovered: bool,
    changes_lost: bool,
    reported: Option<u32>,
    timer: Option<Duration>,
}

impl LiveRouterCount {
    /// A router that starts at this time.
    pub fn new(now: Duration, settings: Settings) -> LiveRouterCount {
        LiveRouterCount {
            settings,
            others: BTreeMap::new(),
            starting_until: Some(now + settings.settle_time),
            others_discovered: false,
            changes_lost: false,
            reported: None,
            timer: None,
        }
    }

    /// The other routers that count.
    pub fn others(&self) -> OtherRouters {
        let settling = self.others.values().flatten().count();
        OtherRouters { live: self.others.len() - settling, settling }
    }

    /// Handles one event and appends what is to be done. `now` never goes back.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let settled_at = now + self.settings.settle_time;
        match event {
            Event::Snapshot(live) => self.apply_snapshot(live, settled_at),
            Event::Up(name) => _ = self.others.insert(name, None),
            Event::Down(name) => {
                if let Some(until) = self.others.get_mut(&name) {
                    until.get_or_insert(settled_at);
                }
            }
            Event::Timer => self.handle_timer(now),
            Event::ChangesLost => self.changes_lost = true,
        }
        if !self.others_discovered && !self.others.is_empty() {
            // The first snapshot may be of a part of the fleet.
            self.others_discovered = true;
            self.starting_until = self.starting_until.map(|_| settled_at);
        }
        self.report_count(actions);
        self.set_timer(actions);
    }

    fn apply_snapshot(&mut self, live: BTreeSet<String>, settled_at: Duration) {
        for (name, until) in &mut self.others {
            if !live.contains(name) {
                until.get_or_insert(settled_at);
            }
        }
        self.others.extend(live.into_iter().map(|name| (name, None)));
    }

    fn handle_timer(&mut self, now: Duration) {
        let Some(due) = self.timer.take().filter(|due| *due <= now) else { return };
        let late = now - due;
        if late > self.settings.settle_time / 2 {
            // The process stood still, and changes that would keep some of the others may lie unread.
            let times = self.others.values_mut().flatten().chain(&mut self.starting_until);
            times.for_each(|time| *time += late);
            return;
        }
        self.others.retain(|_, until| until.is_none_or(|time| time > now));
        if self.start_may_end() {
            self.starting_until = self.starting_until.filter(|time| *time > now);
        }
    }

    /// Whether the start ends by time alone: until an expected other router is seen, it does not.
    fn start_may_end(&self) -> bool {
        self.others_discovered || !self.settings.expects_others
    }

    fn report_count(&mut self, actions: &mut Vec<Action>) {
        let count = self.count();
        if self.reported != Some(count) {
            self.reported = Some(count);
            actions.push(Action::SetCount(count));
        }
    }

    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let start_end = self.starting_until.filter(|_| self.start_may_end());
        let next = self.others.values().flatten().copied().chain(start_end).min();
        if next != self.timer && !self.changes_lost {
            self.timer = next;
            actions.extend(next.map(Action::SetTimer));
        }
    }

    fn count(&self) -> u32 {
        let Settings { fleet_size, min_count, .. } = self.settings;
        let others = u32::try_from(self.others.len()).unwrap_or(u32::MAX);
        let counted = others.saturating_add(1).max(min_count);
        if self.changes_lost {
            // The others go on unseen: this router takes no more than it does, or than it was meant to.
            return counted.max(fleet_size).max(self.reported.unwrap_or(0));
        }
        if self.starting_until.is_some() { counted.max(fleet_size) } else { counted }
    }
}
