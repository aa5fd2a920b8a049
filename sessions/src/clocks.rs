//! Estimates the offset between each server's clock and this router's clock.
//!
//! A commit's timestamp is taken from the clock of the server that made it, because the heartbeats that
//! replicas report are written with that clock. The router can read only its own clock. A health check that
//! returns the server's clock bounds the offset: the server read its clock after the check was sent and
//! before its response was received.
use decision::{Micros, Time};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Assumed maximum drift between two clocks, in microseconds per second; well above that of an ordinary
/// oscillator, which stays within 100.
pub const DRIFT_PER_S: i64 = 200;
/// Resolution of a server's reported clock, in microseconds. Servers report whole milliseconds, rounded down,
/// so the true time may be later by up to this much.
pub const RESOLUTION: Micros = 1000;

/// Bounds on a server's clock minus this router's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockOffset {
    /// Lower bound of the offset at `sampled_at`, in microseconds.
    pub low: Micros,
    /// Upper bound of the offset at `sampled_at`, in microseconds.
    pub high: Micros,
    /// When the newest sample was received, by this router's clock.
    pub sampled_at: Time,
}

impl ClockOffset {
    /// Computes the bounds from one health check: `sent` and `received` are by this router's clock, `server`
    /// is the server's clock.
    pub fn sample(sent: Time, received: Time, server: Time) -> ClockOffset {
        ClockOffset { low: server.0 - received.0, high: server.0 + RESOLUTION - sent.0, sampled_at: received }
    }

    /// Widens the bounds by the drift that may have accumulated up to `now`.
    fn widened(self, now: Time) -> ClockOffset {
        let drift = (now.0 - self.sampled_at.0).max(0) / 1_000_000 * DRIFT_PER_S + DRIFT_PER_S;
        ClockOffset { low: self.low - drift, high: self.high + drift, sampled_at: now }
    }

    /// Intersects the bounds with those of a newer sample. If the two do not overlap, a clock was adjusted in
    /// between, and only the newer sample is used.
    #[must_use]
    pub fn narrowed_by(self, new: ClockOffset) -> ClockOffset {
        let old = self.widened(new.sampled_at);
        let (low, high) = (old.low.max(new.low), old.high.min(new.high));
        if low <= high { ClockOffset { low, high, sampled_at: new.sampled_at } } else { new }
    }

    /// The most by which the server's clock may be ahead of this router's clock at `now`, in microseconds.
    pub fn upper_bound(self, now: Time) -> Micros {
        self.widened(now).high
    }
}

/// Clock offsets of all servers, shared by the backend connections and the sessions.
#[derive(Debug, Default)]
pub struct ServerClocks {
    /// Whether health checks return the server's clock.
    sampled: bool,
    /// Maximum difference between any two servers' clocks, and between a server's and this router's clock if
    /// health checks do not return the server's clock. In microseconds.
    skew: Micros,
    offsets: Mutex<HashMap<SocketAddr, ClockOffset>>,
}

impl ServerClocks {
    /// `sampled`: whether health checks return the server's clock. `skew`: maximum difference between any two
    /// servers' clocks, in microseconds.
    pub fn new(sampled: bool, skew: Micros) -> ServerClocks {
        ServerClocks { sampled, skew, offsets: Mutex::default() }
    }

    fn offsets(&self) -> MutexGuard<'_, HashMap<SocketAddr, ClockOffset>> {
        self.offsets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Narrows a server's clock offset with a new sample.
    pub fn add_sample(&self, server: SocketAddr, new: ClockOffset) {
        let mut offsets = self.offsets();
        let offset = offsets.get(&server).map_or(new, |old| old.narrowed_by(new));
        offsets.insert(server, offset);
    }

    /// Upper bound, by the server's clock, of the commit time of any write that `server` has acknowledged by
    /// `now`.
    pub fn commit_upper_bound(&self, server: SocketAddr, now: Time) -> Time {
        let high = self.offsets().get(&server).map(|offset| offset.upper_bound(now));
        match high {
            Some(high) if self.sampled => Time(now.0 + high),
            // The server has served a write before its first health check.
            Some(_) | None => self.latest_commit_bound(now).unwrap_or(Time(now.0 + self.skew)),
        }
    }

    /// Upper bound of the commit time of any write that any server has made by `now`; `None` while no
    /// server's clock is known.
    pub fn latest_commit_bound(&self, now: Time) -> Option<Time> {
        if !self.sampled {
            return Some(Time(now.0 + self.skew));
        }
        let highest = self.offsets().values().map(|offset| offset.upper_bound(now)).max()?;
        Some(Time(now.0 + highest + self.skew))
    }
}
