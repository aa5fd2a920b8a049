//! Counts the routers by which a router's capacity share is divided.
//!
//! [`LiveRouterCount`] is a state machine that handles membership changes. A router that joins is counted
//! immediately. A router that goes down is counted for a further settle time, since it may only be
//! unreachable from here and still send requests. `docs/design/membership.md` describes the effects of a
//! network split.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Settings that bound the count.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The configured size of the whole fleet; it is the count until other routers are discovered.
    pub fleet_size: u32,
    /// Lower bound of the count. It limits a split fleet: its parts together use at most (live routers) /
    /// `min_count` of the capacity.
    pub min_count: u32,
    /// How long a router is still counted after it has gone down.
    pub settle_time: Duration,
    /// Whether other routers are expected. If so, the count is `fleet_size` until one is discovered.
    pub expects_others: bool,
}

/// An event for the state machine. Times are durations from a fixed start; names never include this router's
/// own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Exactly these other routers are alive.
    Snapshot(BTreeSet<String>),
    /// The router with this name is alive.
    Up(String),
    /// The router with this name has left or failed.
    Down(String),
    /// The timer of [`Action::SetTimer`] has expired.
    Timer,
    /// No more changes will be received. The count is at least its last value and at least `fleet_size` from
    /// now on.
    ChangesLost,
}

/// An action that the driver must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Divide the capacity share by this count from now on.
    SetCount(u32),
    /// Send [`Event::Timer`] at this time. Replaces an earlier timer.
    SetTimer(Duration),
}

/// The number of other routers that are counted, by state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherRouters {
    /// Number of other routers that are alive.
    pub live: usize,
    /// Number of other routers that have gone down but are still counted.
    pub settling: usize,
}

/// The state machine. The same events give the same actions.
#[derive(Clone, Debug)]
pub struct LiveRouterCount {
    settings: Settings,
    /// All routers but this one, by name. For a router that has gone down, the time until which it is
    /// counted.
    others: BTreeMap<String, Option<Duration>>,
    /// The end of the startup period, in which the whole fleet is counted; `None` after it has ended.
    startup_until: Option<Duration>,
    others_discovered: bool,
    changes_lost: bool,
    reported: Option<u32>,
    timer: Option<Duration>,
}

impl LiveRouterCount {
    /// Creates the state machine of a router that starts at `now`.
    pub fn new(now: Duration, settings: Settings) -> LiveRouterCount {
        LiveRouterCount {
            settings,
            others: BTreeMap::new(),
            startup_until: Some(now + settings.settle_time),
            others_discovered: false,
            changes_lost: false,
            reported: None,
            timer: None,
        }
    }

    /// The number of other routers that are counted.
    pub fn others(&self) -> OtherRouters {
        let settling = self.others.values().flatten().count();
        OtherRouters { live: self.others.len() - settling, settling }
    }

    /// Handles one event and appends the resulting actions. `now` never decreases.
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
            // The first snapshot may cover only a part of the fleet, so the startup period is extended.
            self.others_discovered = true;
            self.startup_until = self.startup_until.map(|_| settled_at);
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
            // This process was stopped, and unread changes may show that some of the routers that went down
            // are alive.
            let times = self.others.values_mut().flatten().chain(&mut self.startup_until);
            times.for_each(|time| *time += late);
            return;
        }
        self.others.retain(|_, until| until.is_none_or(|time| time > now));
        if self.startup_may_end() {
            self.startup_until = self.startup_until.filter(|time| *time > now);
        }
    }

    /// Whether the startup period may end. It may not while an expected other router has not been discovered.
    fn startup_may_end(&self) -> bool {
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
        let startup_end = self.startup_until.filter(|_| self.startup_may_end());
        let next = self.others.values().flatten().copied().chain(startup_end).min();
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
            // Other routers continue unseen, so this router's share must not rise above its last value or its
            // configured share.
            return counted.max(fleet_size).max(self.reported.unwrap_or(0));
        }
        if self.startup_until.is_some() { counted.max(fleet_size) } else { counted }
    }
}
