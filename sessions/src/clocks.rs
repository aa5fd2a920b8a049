//! How far the servers' clocks are from this router's.
//!
//! A commit's time is by the clock of the server that made it, since the heartbeats that replicas show are written
//! with it. The router sees only its own clock. A health check that returns the server's clock bounds the offset: the
//! server read its clock between the sending of the check and the receipt of its answer.
use decision::{Micros, Time};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// How far two clocks may drift apart, in microseconds for each second: well above what oscillators do (an
/// ordinary one keeps within 100).
pub const DRIFT_PER_S: i64 = 200;
/// Servers report whole milliseconds: their clock was up to this much further.
pub const RESOLUTION: Micros = 1000;

/// Bounds of a server's clock less this router's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockOffset {
    /// At least this, at the time of the sample.
    pub low: Micros,
    /// At most this, at the time of the sample.
    pub high: Micros,
    /// When the newest sample was received, by this router's clock.
    pub sampled_at: Time,
}

impl ClockOffset {
    /// From one health check: when it was sent and answered by this router's clock, and the server's clock.
    pub fn sample(sent: Time, received: Time, server: Time) -> ClockOffset {
        ClockOffset { low: server.0 - received.0, high: server.0 + RESOLUTION - sent.0, sampled_at: received }
    }

    /// Bounds that hold at a later time.
    fn aged(self, now: Time) -> ClockOffset {
        let drift = (now.0 - self.sampled_at.0).max(0) / 1_000_000 * DRIFT_PER_S + DRIFT_PER_S;
        ClockOffset { low: self.low - drift, high: self.high + drift, sampled_at: now }
    }

    /// Narrowed by another sample. Where both can't be true a clock was set, and the newer one holds alone.
    #[must_use]
    pub fn narrowed_by(self, new: ClockOffset) -> ClockOffset {
        let old = self.aged(new.sampled_at);
        let (low, high) = (old.low.max(new.low), old.high.min(new.high));
        if low <= high { ClockOffset { low, high, sampled_at: new.sampled_at } } else { new }
    }

    /// The server's clock is at most this far ahead of this router's, in microseconds.
    pub fn upper_bound(self, now: Time) -> Micros {
        self.aged(now).high
    }
}

/// The clocks of all servers, shared by the connections to them and the sessions.
#[derive(Debug, Default)]
pub struct ServerClocks {
    /// Whether health checks return the servers' clocks.
    sampled: bool,
    /// How far servers' clocks may be from each other, and from this router's where they are not sampled.
    skew: Micros,
    offsets: Mutex<HashMap<SocketAddr, ClockOffset>>,
}

impl ServerClocks {
    /// `sampled`: health checks return the servers' clocks. `skew`: how far those may be from each other, in
    /// microseconds.
    pub fn new(sampled: bool, skew: Micros) -> ServerClocks {
        ServerClocks { sampled, skew, offsets: Mutex::default() }
    }

    fn offsets(&self) -> MutexGuard<'_, HashMap<SocketAddr, ClockOffset>> {
        self.offsets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a sample of a server's clock.
    pub fn add_sample(&self, server: SocketAddr, new: ClockOffset) {
        let mut offsets = self.offsets();
        let offset = offsets.get(&server).map_or(new, |old| old.narrowed_by(new));
        offsets.insert(server, offset);
    }

    /// The latest time, by a server's clock, of a commit that the server has answered by now.
    pub fn commit_upper_bound(&self, server: SocketAddr, now: Time) -> Time {
        let high = self.offsets().get(&server).map(|offset| offset.upper_bound(now));
        match high {
            Some(high) if self.sampled => Time(now.0 + high),
            // A server that served a write before its first health check.
            Some(_) | None => self.present(now).unwrap_or(Time(now.0 + self.skew)),
        }
    }

    /// Later than every commit that any server has made by now; `None` while no server's clock is known.
    pub fn present(&self, now: Time) -> Option<Time> {
        if !self.sampled {
            return Some(Time(now.0 + self.skew));
        }
        let highest = self.offsets().values().map(|offset| offset.upper_bound(now)).max()?;
        Some(Time(now.0 + highest + self.skew))
    }
}
