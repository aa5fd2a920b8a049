//! The state machine that decides when the watch is stale and when connections are opened and closed.
//!
//! A connection on which no complete line (empty lines count) is received for [`Settings::stale_after`] is
//! stale. Its lines are still processed, but further connections are opened, at first one per
//! [`Settings::min_open_interval`], until a complete line is received on a connection. This connection
//! becomes the live watch and all other connections are closed. After the response head of a connection the
//! next connection is opened only after [`Settings::first_line_timeout`]; the earlier connection stays open
//! then, since an agent without an update sends its first empty line late. Incomplete lines are ignored:
//! partial data never postpones a deadline.
//!
//! If the agent responds when a connection is opened, and its first line is received within
//! [`Settings::min_pending_time`], the connection is never closed earlier to stay within the limit, as long
//! as `max_pending - 1` openings take at least that long.
//!
//! Invariants: at most [`Settings::max_pending`] connections wait for their first line; connections are
//! stored in the order of their opening; a connection that was stale once stays stale.
//!
//! The state machine does no I/O, reads no clock and starts no thread: its actions depend only on the events
//! and their times.

use settings::Limits;
use std::time::Duration;

/// The interval between two openings is the duration of the outage divided by this, within the configured
/// bounds.
const OUTAGE_DIVISOR: u32 = 24;

/// Number of a connection, assigned from 1 upwards in the order of opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Timeouts and limits of a watch.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// A connection without a complete line for this long is stale.
    pub stale_after: Duration,
    /// After the response head: how long to wait for the first line before another connection is opened,
    /// counted from the opening of the connection.
    pub first_line_timeout: Duration,
    /// Minimum interval between two openings. Takes precedence over a shorter `max_open_interval`.
    pub min_open_interval: Duration,
    /// Maximum interval between two openings while there is no live watch.
    pub max_open_interval: Duration,
    /// After a change of address: how long the connection to the previous address stays open beside the new
    /// one.
    pub previous_address_grace: Duration,
    /// Limit for connections that wait for their first line, at least 1.
    pub max_pending: usize,
    /// How long a pending connection may take to connect and receive its first line before it may be closed
    /// in favour of a new connection.
    pub min_pending_time: Duration,
    /// How long the oldest pending connection is exempt from being closed in favour of a new connection.
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

/// An input of the state machine. Events of closed connections are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The watch starts to follow an address, or switches to another one.
    Follow,
    /// A connection received a response head with status 200.
    ResponseHead(ConnectionId),
    /// A connection received a complete line.
    Line {
        /// The connection that received the line.
        connection: ConnectionId,
        /// Whether the line contained an update; `false` for an empty line.
        has_update: bool,
    },
    /// A connection failed, was closed by the agent, or received invalid data.
    Ended(ConnectionId),
    /// The time given by [`WatchLiveness::next_deadline`] is reached.
    Deadline,
}

/// An action that the state machine requests; the caller performs them in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection with this number to the followed address.
    Open(ConnectionId),
    /// Close the connection with this number.
    Close(ConnectionId),
    /// Log that this connection is stale; further connections are requested by [`Action::Open`].
    ReportStale(ConnectionId),
    /// Log that there is a live watch again.
    ReportLive {
        /// How long there was no live watch.
        outage: Duration,
    },
}

/// An open connection of the watch to an agent.
#[derive(Clone, Copy, Debug)]
struct Connection {
    id: ConnectionId,
    opened_at: Duration,
    has_response_head: bool,
    /// When the last complete line was received on the connection; `None` before the first one.
    last_line_at: Option<Duration>,
    /// Whether the connection was ever stale. This is never reset: changes that were missed while the
    /// connection was stale may never be delivered on it.
    was_stale: bool,
    /// Whether the connection goes to the currently followed address, as opposed to the previous one.
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

/// The state machine: the connections of a watch and the times of their last lines.
#[derive(Debug)]
pub struct WatchLiveness {
    settings: Settings,
    /// The open connections in the order of their opening.
    connections: Vec<Connection>,
    newest: ConnectionId,
    is_following: bool,
    /// After a change of address: until when the connection to the previous address may stay open.
    previous_address_until: Option<Duration>,
    /// Since when there is no live watch.
    outage_since: Option<Duration>,
    /// The earliest time of the next opening.
    next_open_at: Duration,
    /// When the newest connection was opened.
    last_open_at: Option<Duration>,
}

impl WatchLiveness {
    /// Creates a watch that follows no address yet.
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

    /// Whether this connection was ever stale, so that changes may be missing before those received on it
    /// since.
    pub fn was_stale(&self, id: ConnectionId) -> bool {
        self.connections.iter().any(|c| c.id == id && c.was_stale)
    }

    /// Whether data received on this connection is to be processed: it is open and has not ended.
    pub fn is_tracked(&self, id: ConnectionId) -> bool {
        self.connections.iter().any(|c| c.id == id)
    }

    /// Handles an event that occurred at `now`, measured from any fixed origin; appends the requested actions
    /// to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        // Done before the event is handled: a line after a long silence must not hide that the connection was
        // stale, even if this function is called late.
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

    /// When [`Event::Deadline`] must be passed at the latest; `None` if no deadline is pending.
    pub fn next_deadline(&self) -> Option<Duration> {
        let fresh = self.connections.iter().filter(|c| !c.was_stale);
        let stale_at = fresh.filter_map(|c| Some(c.last_line_at? + self.settings.stale_after));
        let open_at = self.outage_since.map(|_| self.open_not_before());
        let previous_until = self.previous_address_until.filter(|_| self.current_address_has_sent_line());
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
        let connection_to_keep = self.connection_to_keep();
        self.close_where(actions, |c| Some(c.id) != connection_to_keep);
        for connection in &mut self.connections {
            connection.to_current_address = false;
        }
        self.is_following = true;
        self.previous_address_until = connection_to_keep.map(|_| now + self.settings.previous_address_grace);
        self.outage_since = Some(now);
        // Rapid changes of address, which signals can cause, open connections no faster than an outage does.
        let min_interval = self.settings.min_open_interval;
        self.next_open_at = self.last_open_at.map_or(now, |at| now.max(at + min_interval));
    }

    /// The connection that stays open when the address changes: its updates are applied until the new address
    /// has sent a line. If no connection has received a line yet, this is the newest one.
    fn connection_to_keep(&self) -> Option<ConnectionId> {
        let with_line = self.connections.iter().filter(|c| !c.is_pending());
        with_line.max_by_key(|c| c.last_line_at).or(self.connections.last()).map(|c| c.id)
    }

    fn on_line(&mut self, now: Duration, id: ConnectionId, has_update: bool, actions: &mut Vec<Action>) {
        let Some(connection) = self.connection_mut(id) else { return };
        connection.last_line_at = Some(now);
        if !connection.is_live() {
            return;
        }
        // The connection that received the line becomes the live watch. The connection to the previous
        // address stays open until an update is received from the new address, so that no change is missed in
        // between; later its changes could belong to another list.
        self.close_where(actions, |c| {
            let is_replaced = c.to_current_address || c.was_stale || c.is_pending() || has_update;
            c.id != id && is_replaced
        });
    }

    fn close_previous_address(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_over = self.previous_address_until.is_some_and(|until| now >= until);
        if is_over && self.current_address_has_sent_line() {
            self.previous_address_until = None;
            self.close_where(actions, |c| !c.to_current_address);
        }
    }

    fn end_outage(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(since) = self.outage_since.take() {
            actions.push(Action::ReportLive { outage: now.saturating_sub(since) });
        }
    }

    /// Opens a connection if the time of the next opening is reached; called while no connection is live.
    fn open_when_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let since = *self.outage_since.get_or_insert(now);
        if now < self.open_not_before() {
            return;
        }
        self.enforce_pending_limit(now, actions);
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
        (outage / OUTAGE_DIVISOR).clamp(min, max.max(min))
    }

    /// When the next connection may be opened. If the newest one has received its response head, its first
    /// line is waited for until [`Settings::first_line_timeout`].
    fn open_not_before(&self) -> Duration {
        let newest = self.connections.last().filter(|c| c.id == self.newest && c.to_current_address);
        let with_head = newest.filter(|c| c.has_response_head && c.is_pending());
        let line_deadline = with_head.map(|c| c.opened_at + self.settings.first_line_timeout);
        self.next_open_at.max(line_deadline.unwrap_or_default())
    }

    /// Closes a pending connection if the limit of pending connections is reached.
    fn enforce_pending_limit(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let pending: Vec<&Connection> = self.connections.iter().filter(|c| c.is_pending()).collect();
        if pending.len() < self.settings.max_pending.max(1) {
            return;
        }
        let to_close = self.pending_to_close(now, &pending);
        self.close_where(actions, |c| Some(c.id) == to_close);
    }

    /// Selects the pending connection to close; `pending` is sorted by age, oldest first.
    ///
    /// The oldest connection stays open for [`Settings::oldest_pending_time`], so that a slow agent has time
    /// for its first line, but not longer: the connection may have been established during the outage, and
    /// may stay silent forever. Of the younger connections, a connection without a response head after
    /// [`Settings::min_pending_time`] is closed first: a connection with a head may still receive a late
    /// first line, and a connection opened more recently its head. If there is no such connection, the oldest
    /// of the younger connections is closed.
    fn pending_to_close(&self, now: Duration, pending: &[&Connection]) -> Option<ConnectionId> {
        let (oldest, younger) = pending.split_first()?;
        let oldest_has_expired = now >= oldest.opened_at + self.settings.oldest_pending_time;
        if younger.is_empty() || oldest_has_expired {
            return Some(oldest.id);
        }
        let min_pending_time = self.settings.min_pending_time;
        let has_expired = |c: &&&Connection| !c.has_response_head && now >= c.opened_at + min_pending_time;
        younger.iter().find(has_expired).or(younger.first()).map(|c| c.id)
    }

    /// Whether a line was received from the followed address.
    fn current_address_has_sent_line(&self) -> bool {
        self.connections.iter().any(|c| c.to_current_address && !c.is_pending())
    }

    fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.iter_mut().find(|c| c.id == id)
    }

    fn close_where(&mut self, actions: &mut Vec<Action>, should_close: impl Fn(&Connection) -> bool) {
        self.connections.retain(|c| {
            let is_closed = should_close(c);
            if is_closed {
                actions.push(Action::Close(c.id));
            }
            !is_closed
        });
    }
}
