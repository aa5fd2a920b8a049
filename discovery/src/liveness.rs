//! The state machine that decides when the watch is stale and when connections are opened and closed.
//!
//! A connection that brings no whole line (an empty one counts) for [`Settings::stale_after`] is stale. Its lines are
//! still taken, but others are opened beside it, one each [`Settings::min_open_interval`] at first, until one of them
//! brings a whole line; that one takes over and the rest are closed. A connection whose response head has come is given
//! [`Settings::first_line_timeout`] before the next one is opened; it is not closed then, since an agent without an
//! update sends its first empty line late. What a connection has brought in part counts for nothing: neither half a
//! line nor single bytes postpone a deadline.
//!
//! A connection that is opened while the agent answers, and that brings its first line within
//! [`Settings::min_pending_time`], is never closed before that to make room, as long as `max_pending - 1` openings take
//! at least that long.
//!
//! Invariants: at most [`Settings::max_pending`] connections wait for their first line; connections are kept in the
//! order in which they were opened; what was stale once stays so.
//!
//! No I/O, no clock, no threads: the same events at the same times give the same actions.

use settings::Limits;
use std::time::Duration;

/// The interval between two openings is this fraction of the outage so far, within its bounds.
const OUTAGE_FRACTION: u32 = 24;

/// Number of a connection, counted up from 1 as they are opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Times and bounds of a watch.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// A connection without a whole line for this long is stale.
    pub stale_after: Duration,
    /// How long a connection whose response head has come may take for its first line before another is opened beside
    /// it, counted from its opening.
    pub first_line_timeout: Duration,
    /// Shortest time between two openings. It wins over a `max_open_interval` that is shorter.
    pub min_open_interval: Duration,
    /// Longest time between two openings while there is no live watch.
    pub max_open_interval: Duration,
    /// After a change of address, how long the previous address's connection is kept beside the new one.
    pub previous_address_grace: Duration,
    /// Connections that may wait for their first line at a time, at least 1.
    pub max_pending: usize,
    /// What a connection may take to come up and bring its first line, before it may be closed to make room.
    pub min_pending_time: Duration,
    /// The oldest of those that wait is kept for this long, then it makes room like the others.
    pub oldest_pending_time: Duration,
}

impl From<&Limits> for Settings {
    fn from(limits: &Limits) -> Settings {
        Settings {
            stale_after: limits.watch_silence_timeout,
            first_line_timeout: limits.watch_first_line_timeout,
            min_open_interval: limits.watch_backoff.min,
            max_open_interval: limits.watch_backoff.max,
            previous_address_grace: limits.watch_previous_address_duration,
            max_pending: limits.max_pending_watches,
            min_pending_time: limits.new_watch_timeout(),
            oldest_pending_time: limits.pending_watch_timeout,
        }
    }
}

/// What has happened. Events of connections that are closed change nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The watch is to follow an address, or another one from now on.
    Follow,
    /// A connection's request was answered with a good response head.
    ResponseHead(ConnectionId),
    /// A connection has brought a whole line.
    Line {
        /// Which one.
        connection: ConnectionId,
        /// Whether it held an update; an empty line says that there is none.
        has_update: bool,
    },
    /// A connection failed, broke, ended or brought what can't be read.
    Ended(ConnectionId),
    /// The time of [`WatchLiveness::next_deadline`] has come.
    Deadline,
}

/// What is to be done, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection to the address that is followed, under this number.
    Open(ConnectionId),
    /// Close this connection.
    Close(ConnectionId),
    /// Log that this connection is stale; [`Action::Open`] says when others are opened beside it.
    ReportStale(ConnectionId),
    /// Log that there is a live watch again.
    ReportLive {
        /// How long there was none.
        outage: Duration,
    },
}

/// A connection that was opened and not closed since.
#[derive(Clone, Copy, Debug)]
struct Connection {
    id: ConnectionId,
    opened_at: Duration,
    has_response_head: bool,
    /// When its last whole line came; `None` while its first is pending.
    last_line_at: Option<Duration>,
    /// It was stale once. It stays so: what it missed meanwhile may never come on it.
    was_stale: bool,
    /// Whether it goes to the address that is followed now, not to the previous one.
    to_current_address: bool,
}

impl Connection {
    fn is_pending(&self) -> bool {
        self.last_line_at.is_none()
    }

    fn is_live(&self) -> bool {
        self.to_current_address && !self.is_pending() && !self.was_stale
    }
}

/// Liveness of a watch: its connections, and when they last brought a line.
#[derive(Debug)]
pub struct WatchLiveness {
    settings: Settings,
    /// In the order in which they were opened.
    connections: Vec<Connection>,
    newest: ConnectionId,
    is_following: bool,
    /// The address has changed, and the previous one's connection may be kept until then.
    previous_address_until: Option<Duration>,
    /// There is no live watch since then.
    outage_since: Option<Duration>,
    /// No opening before then.
    next_open_at: Duration,
    /// When the newest connection was opened.
    last_open_at: Option<Duration>,
}

impl WatchLiveness {
    /// A watch that follows no address yet.
    pub fn new(settings: Settings) -> Self {
        WatchLiveness {
            settings,
            connections: Vec::new(),
            newest: ConnectionId(0),
            is_following: false,
            previous_address_until: None,
            outage_since: None,
            next_open_at: Duration::ZERO,
            last_open_at: None,
        }
    }

    /// Whether this connection was stale once: others may be missing before the changes that it has brought since.
    pub fn was_stale(&self, id: ConnectionId) -> bool {
        self.connections.iter().any(|c| c.id == id && c.was_stale)
    }

    /// Whether what this connection brings counts: it was opened and neither closed nor has it ended.
    pub fn is_tracked(&self, id: ConnectionId) -> bool {
        self.connections.iter().any(|c| c.id == id)
    }

    /// Takes what happened at `now`, a time since any fixed moment, and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        // Before the event: a line that ends a silence must not hide it, however late this is called.
        self.mark_stale(now, actions);
        match event {
            Event::Follow => self.follow(now, actions),
            Event::ResponseHead(id) => {
                if let Some(connection) = self.connection_mut(id) {
                    connection.has_response_head = true;
                }
            }
            Event::Line { connection, has_update } => self.on_line(now, connection, has_update, actions),
            Event::Ended(id) => self.connections.retain(|c| c.id != id),
            Event::Deadline => {}
        }
        self.close_previous_address(now, actions);
        if !self.is_following {
            return;
        }
        if self.connections.iter().any(Connection::is_live) {
            self.end_outage(now, actions);
        } else {
            self.open_when_due(now, actions);
        }
    }

    /// When [`Event::Deadline`] is to come at the latest; `None` while there is nothing to wait for.
    pub fn next_deadline(&self) -> Option<Duration> {
        let fresh = self.connections.iter().filter(|c| !c.was_stale);
        let stale_at = fresh.filter_map(|c| Some(c.last_line_at? + self.settings.stale_after));
        let open_at = self.outage_since.map(|_| self.open_not_before());
        let previous_until = self.previous_address_until.filter(|_| self.current_address_has_spoken());
        stale_at.chain(open_at).chain(previous_until).min()
    }

    fn mark_stale(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let stale_after = self.settings.stale_after;
        for connection in &mut self.connections {
            let is_overdue = connection.last_line_at.is_some_and(|at| now >= at + stale_after);
            if is_overdue && !connection.was_stale {
                connection.was_stale = true;
                actions.push(Action::ReportStale(connection.id));
            }
        }
    }

    fn follow(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let representative = self.representative();
        self.close_where(actions, |c| Some(c.id) != representative);
        for connection in &mut self.connections {
            connection.to_current_address = false;
        }
        self.is_following = true;
        self.previous_address_until = representative.map(|_| now + self.settings.previous_address_grace);
        self.outage_since = Some(now);
        // Changes of address that come fast, as signals may, open no more connections than an outage does.
        let min_interval = self.settings.min_open_interval;
        self.next_open_at = self.last_open_at.map_or(now, |at| now.max(at + min_interval));
    }

    /// The connection that is kept while the address changes: what the previous one has still counts until the new one
    /// speaks. Where nothing has brought a line yet, the newest connection may still do so.
    fn representative(&self) -> Option<ConnectionId> {
        let spoken = self.connections.iter().filter(|c| !c.is_pending());
        spoken.max_by_key(|c| c.last_line_at).or(self.connections.last()).map(|c| c.id)
    }

    fn on_line(&mut self, now: Duration, id: ConnectionId, has_update: bool, actions: &mut Vec<Action>) {
        let Some(connection) = self.connection_mut(id) else { return };
        connection.last_line_at = Some(now);
        if !connection.is_live() {
            return;
        }
        // It takes over. The previous address's connection is kept until the new one has brought an update, so that no
        // change is missed between them; after that its changes could be those of another list.
        self.close_where(actions, |c| {
            let is_replaced = c.to_current_address || c.was_stale || c.is_pending() || has_update;
            c.id != id && is_replaced
        });
    }

    fn close_previous_address(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_over = self.previous_address_until.is_some_and(|until| now >= until);
        if is_over && self.current_address_has_spoken() {
            self.previous_address_until = None;
            self.close_where(actions, |c| !c.to_current_address);
        }
    }

    fn end_outage(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(since) = self.outage_since.take() {
            actions.push(Action::ReportLive { outage: now.saturating_sub(since) });
        }
    }

    /// Opens a connection where none is live and the time of the next has come.
    fn open_when_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let since = *self.outage_since.get_or_insert(now);
        if now < self.open_not_before() {
            return;
        }
        self.make_room(now, actions);
        self.newest.0 += 1;
        self.connections.push(Connection {
            id: self.newest,
            opened_at: now,
            has_response_head: false,
            last_line_at: None,
            was_stale: false,
            to_current_address: true,
        });
        self.last_open_at = Some(now);
        self.next_open_at = now + self.open_interval(now - since);
        actions.push(Action::Open(self.newest));
    }

    fn open_interval(&self, outage: Duration) -> Duration {
        let (min, max) = (self.settings.min_open_interval, self.settings.max_open_interval);
        (outage / OUTAGE_FRACTION).clamp(min, max.max(min))
    }

    /// When the next connection may be opened. While the newest one's first line is due, that is waited for.
    fn open_not_before(&self) -> Duration {
        let newest = self.connections.last().filter(|c| c.id == self.newest && c.to_current_address);
        let answered = newest.filter(|c| c.has_response_head && c.is_pending());
        let line_due = answered.map(|c| c.opened_at + self.settings.first_line_timeout);
        self.next_open_at.max(line_due.unwrap_or_default())
    }

    /// Closes a pending connection where there are as many as there may be.
    fn make_room(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let pending: Vec<&Connection> = self.connections.iter().filter(|c| c.is_pending()).collect();
        if pending.len() < self.settings.max_pending.max(1) {
            return;
        }
        let victim = self.pending_to_close(now, &pending);
        self.close_where(actions, |c| Some(c.id) == victim);
    }

    /// Which of the pending connections makes room, oldest first in `pending`.
    ///
    /// The oldest is kept for long, so that an agent that is only slow is heard, but not for good: it may have come up
    /// while the agent was away, and stay mute. Of the others, those with a response head need longer than those
    /// without, which may have none yet only because they are young.
    fn pending_to_close(&self, now: Duration, pending: &[&Connection]) -> Option<ConnectionId> {
        let (oldest, younger) = pending.split_first()?;
        let oldest_is_spent = now >= oldest.opened_at + self.settings.oldest_pending_time;
        if younger.is_empty() || oldest_is_spent {
            return Some(oldest.id);
        }
        let min_pending_time = self.settings.min_pending_time;
        let is_spent = |c: &&&Connection| !c.has_response_head && now >= c.opened_at + min_pending_time;
        younger.iter().find(is_spent).or(younger.first()).map(|c| c.id)
    }

    /// Whether the address that is followed has brought a line.
    fn current_address_has_spoken(&self) -> bool {
        self.connections.iter().any(|c| c.to_current_address && !c.is_pending())
    }

    fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.iter_mut().find(|c| c.id == id)
    }

    fn close_where(&mut self, actions: &mut Vec<Action>, closes: impl Fn(&Connection) -> bool) {
        self.connections.retain(|c| {
            let is_closed = closes(c);
            if is_closed {
                actions.push(Action::Close(c.id));
            }
            !is_closed
        });
    }
}
