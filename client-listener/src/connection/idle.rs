//! Idle timeouts of connections, and the order in which idle connections are evicted.
use super::Connection;
use routing::reasons::CloseReason;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Sort key for eviction: the connection with the lowest rank is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionRank {
    /// How long the connection has to be idle before it may be evicted.
    min_idle: Duration,
    idle_since: Instant,
}

impl EvictionRank {
    /// Returns whether the connection has been idle for long enough to be evicted.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.idle_since) >= self.min_idle
    }
}

impl Connection {
    /// Closes the connection and returns `true` if its idle timeout has passed. If a command has arrived in
    /// the meantime, after the reader's deadline, the connection stays open and the command is read.
    pub fn close_if_idle_timed_out(&self) -> bool {
        let timeout = if self.has_read_command.load(Ordering::Relaxed) {
            self.idle_timeout()
        } else {
            self.limits.client_first_request_timeout.saturating_sub(self.idle_since() - self.opened_at)
        };
        self.idle_since().elapsed() >= timeout && self.close_if_no_input(CloseReason::IdleTimeout)
    }

    /// Returns how long the connection may be idle between commands. The platform assigns each router a share
    /// of the file descriptors. If connections of clients that made a request and stay connected hold most of
    /// that share, the platform rejects new clients before they reach this router, so the timeout is shorter
    /// then.
    pub(super) fn idle_timeout(&self) -> Duration {
        let near_limit =
            4 * self.shared.connections_with_requests() > 3 * self.limits.expected_request_connections;
        if near_limit {
            self.limits.client_idle_timeout_when_crowded
        } else {
            self.limits.client_idle_timeout
        }
    }

    /// Returns when the last command in flight finished, or when the connection was opened if there was none.
    pub(super) fn idle_since(&self) -> Instant {
        self.opened_at + Duration::from_millis(self.idle_since_ms.load(Ordering::Relaxed))
    }

    /// Returns the connection's rank for eviction; `None` while commands are in flight or once it is closed.
    pub(crate) fn eviction_rank(&self) -> Option<EvictionRank> {
        let evictable = self.commands.count() == 0 && !self.closed.load(Ordering::SeqCst);
        evictable.then(|| EvictionRank { min_idle: self.min_idle(), idle_since: self.idle_since() })
    }

    /// Closes the connection to free capacity below the connection limit; returns `false` if a command has
    /// arrived on it.
    pub(crate) fn evict(&self) -> bool {
        if self.commands.is_closed() {
            self.shut_down_both();
            return true;
        }
        self.close_if_no_input(CloseReason::Evicted)
    }

    /// Returns how long the connection has to be idle before it may be evicted.
    fn min_idle(&self) -> Duration {
        let malformed = self.last_command_malformed.load(Ordering::Relaxed);
        if self.commands.is_closed() || malformed {
            return Duration::ZERO;
        }
        // A connection that has made no request (at most an empty query) may be evicted sooner than one that
        // is expected to make more requests: a few hundred such connections per second would otherwise block
        // all other clients.
        if self.has_made_request() {
            self.limits.client_idle_timeout_when_full
        } else {
            self.limits.client_startup_timeout_when_full
        }
    }

    /// Closes the connection immediately if no command is in flight and no bytes have arrived. The client
    /// received the last response long ago, so an immediate close cannot discard that response.
    fn close_if_no_input(&self, reason: CloseReason) -> bool {
        let closed = self.has_no_input() && self.commands.permit_idle_close().is_ok();
        if closed {
            self.set_close_reason(reason);
            self.shut_down_both();
        }
        closed
    }
}
