//! How far the servers' clocks are from this router's.
//!
//! A commit's time is by the clock of the server that made it, since the heartbeats that replicas show are written
//! with it. The router sees only its own clock. A health check that returns the server's clock bounds the offset: the
//! server read its clock between the sending of the check and the receipt of its answer.
use decision::{Micros, Time};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

#[cfg(test)]
mod tests;

/// How far two clocks may drift apart, in microseconds for each second: well above what oscillators do (an
/// ordinary one keeps within 100).
const DRIFT_PER_S: i64 = 200;
/// Servers report whole milliseconds: their clock was up to this much further.
const RESOLUTION: Micros = 1000;

/// Bounds of a server's clock less this router's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offset {
    low: Micros,
    high: Micros,
    at: Time,
}

impl Offset {
    /// From one health check: when it was sent and answered by this router's clock, and the server's clock.
    pub fn sample(sent: Time, received: Time, server: Time) -> Offset {
        Offset { low: server.0 - received.0, high: server.0 + RESOLUTION - sent.0, at: received }
    }

    /// Bounds that hold at a later time.
    fn aged(self, now: Time) -> Offset {
        let drift = (now.0 - self.at.0).max(0) / 1_000_000 * DRIFT_PER_S + DRIFT_PER_S;
        Offset { low: self.low - drift, high: self.high + drift, at: now }
    }

    /// Narrowed by another sample. Where both can't be true a clock was set, and the newer one holds alone.
    pub fn with(self, new: Offset) -> Offset {
        let old = self.aged(new.at);
        let (low, high) = (old.low.max(new.low), old.high.min(new.high));
        if low <= high { Offset { low, high, at: new.at } } else { new }
    }

    /// The server's clock is at most this far ahead of this router's, in microseconds.
    pub fn high(self, now: Time) -> Micros {
        self.aged(now).high
    }
}

/// The clocks of all servers, shared by the links and the sessions.
#[derive(Debug, Default)]
pub struct Clocks {
    /// Whether health checks return the servers' clocks.
    sampled: bool,
    /// How far servers' clocks may be from each other, and from this router's where they are not sampled.
    skew: Micros,
    offsets: Mutex<HashMap<SocketAddr, Offset>>,
}

impl Clocks {
    /// `sampled`: health checks return the servers' clocks. `skew`: how far those may be from each other, in
    /// microseconds.
    pub fn new(sampled: bool, skew: Micros) -> Clocks {
        Clocks { sampled, skew, offsets: Mutex::default() }
    }

    fn offsets(&self) -> MutexGuard<'_, HashMap<SocketAddr, Offset>> {
        self.offsets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a sample of a server's clock.
    pub fn learn(&self, server: SocketAddr, new: Offset) {
        let mut offsets = self.offsets();
        let offset = offsets.get(&server).map_or(new, |old| old.with(new));
        offsets.insert(server, offset);
    }

    /// The latest time, by a server's clock, of a commit that the server has answered by now.
    pub fn commit(&self, server: SocketAddr, now: Time) -> Time {
        let high = self.offsets().get(&server).map(|offset| offset.high(now));
        match high {
            Some(high) if self.sampled => Time(now.0 + high),
            // A server that served a write before its first health check.
            _ => self.present(now).unwrap_or(Time(now.0 + self.skew)),
        }
    }

    /// Later than every commit that any server has made by now; `None` while no server's clock is known.
    pub fn present(&self, now: Time) -> Option<Time> {
        if !self.sampled {
            return Some(Time(now.0 + self.skew));
        }
        let highest = self.offsets().values().map(|offset| offset.high(now)).max()?;
        Some(Time(now.0 + highest + self.skew))
    }
}
