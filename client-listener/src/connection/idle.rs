//! How long a connection may be idle, and which idle connections are evicted first.
use super::Connection;
use routing::reasons::CloseReason;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How readily a connection is evicted: the lowest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionRank {
    /// How long it has to be idle before it may be evicted.
    min_idle: Duration,
    idle_since: Instant,
}

impl EvictionRank {
    /// Whether the connection has been idle for long enough.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.idle_since) >= self.min_idle
    }
}

impl Connection {
    /// Closes the connection and returns `true` if it has been idle for as long as it may. A command that has arrived
    /// by now, after the reader's deadline, is still read.
    pub fn close_if_idle_timed_out(&self) -> bool {
        let timeout = if self.has_read_command.load(Ordering::Relaxed) {
            self.idle_timeout()
        } else {
            self.limits.client_first_request_timeout.saturating_sub(self.idle_since() - self.opened_at)
        };
        self.idle_since().elapsed() >= timeout && self.close_if_silent(CloseReason::IdleTimeout)
    }

    /// How long the connection may be idle between commands. The platform assigns each router a share of the
    /// descriptors: where clients that made one request and keep their connection hold most of that share, others are
    /// refused by the platform and never get here.
    pub(super) fn idle_timeout(&self) -> Duration {
        let crowded =
            4 * self.shared.connections_with_requests() > 3 * self.limits.expected_request_connections;
        if crowded { self.limits.client_idle_timeout_when_crowded } else { self.limits.client_idle_timeout }
    }

    /// When the last command in flight finished; when the connection was opened if there was none.
    pub(super) fn idle_since(&self) -> Instant {
        self.opened_at + Duration::from_millis(self.idle_since_ms.load(Ordering::Relaxed))
    }

    /// Its place among those that may be evicted; `None` while commands are in flight or once it is closed.
    pub(crate) fn eviction_rank(&self) -> Option<EvictionRank> {
        let evictable = self.commands.count() == 0 && !self.closed.load(Ordering::SeqCst);
        evictable.then(|| EvictionRank { min_idle: self.min_idle(), idle_since: self.idle_since() })
    }

    /// Closes the connection to make room; `false` if a command has arrived on it.
    pub(crate) fn evict(&self) -> bool {
        if self.commands.is_closed() {
            self.shut_down_both();
            return true;
        }
        self.close_if_silent(CloseReason::Evicted)
    }

    /// How long the connection has to be idle before it may be evicted.
    fn min_idle(&self) -> Duration {
        let malformed = self.last_command_malformed.load(Ordering::Relaxed);
        if self.commands.is_closed() || malformed {
            return Duration::ZERO;
        }
        // One that has made no request, an empty query at most, is not kept like one that will make more: a few
        // hundred of these a second would keep everybody else out.
        if self.has_made_request() {
            self.limits.client_idle_timeout_when_full
        } else {
            self.limits.client_startup_timeout_when_full
        }
    }

    /// Closes the connection at once if nothing is in flight and nothing has arrived: its last response was received
    /// long ago.
    fn close_if_silent(&self, reason: CloseReason) -> bool {
        let closed = self.is_silent() && self.commands.permit_idle_close().is_ok();
        if closed {
            self.set_close_reason(reason);
            self.shut_down_both();
        }
        closed
    }
}
