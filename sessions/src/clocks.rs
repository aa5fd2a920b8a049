//! How far the servers' clocks are from this router's.
//!
//! A commit is told to others in the clock of the server that made it, since the heartbeats that replicas show are
//! written in it. The router sees only its own clock. A probe that brings the server's clock bounds the offset: the
//! server read its clock between the probe's sending and the answer's coming.
use decision::{Micros, Time};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

/// How far two clocks may drift apart, in microseconds for each second: well above what oscillators do (an
/// ordinary one keeps within 100).
const DRIFT_PER_S: i64 = 200;
/// A server tells whole milliseconds: its clock was up to this much further.
const RESOLUTION: Micros = 1000;

/// Bounds of a server's clock less this router's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offset {
    low: Micros,
    high: Micros,
    at: Time,
}

impl Offset {
    /// From one answer: when it was asked for and when it came by this router's clock, and what the server's said.
    pub fn sample(sent: Time, received: Time, server: Time) -> Offset {
        Offset { low: server.0 - received.0, high: server.0 + RESOLUTION - sent.0, at: received }
    }

    /// Bounds that hold at a later time.
    fn aged(self, now: Time) -> Offset {
        let drift = (now.0 - self.at.0).max(0) / 1_000_000 * DRIFT_PER_S + DRIFT_PER_S;
        Offset { low: self.low - drift, high: self.high + drift, at: now }
    }

    /// With another sample. Where both can't be true a clock was set, and the newer one holds alone.
    pub fn with(self, new: Offset) -> Offset {
        let old = self.aged(new.at);
        let (low, high) = (old.low.max(new.low), old.high.min(new.high));
        if low <= high { Offset { low, high, at: new.at } } else { new }
    }

    /// The server's clock is at most this far ahead of this router's.
    pub fn high(self, now: Time) -> Micros {
        self.aged(now).high
    }
}

/// The clocks of all servers, shared by the links and the sessions.
#[derive(Debug, Default)]
pub struct Clocks {
    /// Whether probes bring the servers' clocks.
    told: bool,
    /// How far servers' clocks may be from each other, and from this router's where probes don't tell.
    skew: Micros,
    known: Mutex<HashMap<SocketAddr, Offset>>,
}

impl Clocks {
    /// With what the settings say.
    pub fn new(told: bool, skew: Micros) -> Clocks {
        Clocks { told, skew, known: Mutex::default() }
    }

    fn known(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Offset>> {
        self.known.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Takes in what a server's clock said.
    pub fn learn(&self, server: SocketAddr, new: Offset) {
        let mut known = self.known();
        let offset = known.get(&server).map_or(new, |old| old.with(new));
        known.insert(server, offset);
    }

    /// A moment of this router's clock, at the latest, in a server's clock: of a commit that it has answered by now.
    pub fn commit(&self, server: SocketAddr, now: Time) -> Time {
        let high = self.known().get(&server).map(|o| o.high(now));
        match high {
            Some(high) if self.told => Time(now.0 + high),
            // A server that took a write before its first probe.
            _ => self.present(now).unwrap_or(Time(now.0 + self.skew)),
        }
    }

    /// Later than every commit that any server has made by now; `None` while no server's clock is known.
    pub fn present(&self, now: Time) -> Option<Time> {
        if !self.told {
            return Some(Time(now.0 + self.skew));
        }
        let highest = self.known().values().map(|o| o.high(now)).max()?;
        Some(Time(now.0 + highest + self.skew))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: i64 = 1_000_000;

    #[test]
    fn samples_bound_the_offset_from_both_sides_and_narrow_it() {
        // The server is 2 s ahead; its answer took 40 ms, then 2 ms.
        let slow = Offset::sample(Time(10 * S), Time(10 * S + 40_000), Time(12 * S + 20_000));
        assert!(slow.low <= 2 * S && 2 * S <= slow.high(Time(10 * S + 40_000)));
        let quick = Offset::sample(Time(11 * S), Time(11 * S + 2000), Time(13 * S + 1000));
        let both = slow.with(quick);
        assert!(both.high(Time(11 * S + 2000)) - both.low <= 2000 + RESOLUTION + 2 * DRIFT_PER_S);
        // A slow one later on adds nothing but drift.
        let after = both.with(Offset::sample(Time(12 * S), Time(12 * S + 90_000), Time(14 * S + 45_000)));
        assert!(after.high(Time(12 * S + 90_000)) <= both.high + 3 * DRIFT_PER_S);
    }

    #[test]
    fn a_clock_that_was_set_is_believed_anew() {
        let before = Offset::sample(Time(10 * S), Time(10 * S + 1000), Time(12 * S));
        let set = Offset::sample(Time(11 * S), Time(11 * S + 1000), Time(11 * S));
        assert_eq!(before.with(set), set);
    }

    #[test]
    fn commits_and_the_present_are_never_too_early() {
        let at: SocketAddr = ([127, 0, 0, 1], 1).into();
        let other: SocketAddr = ([127, 0, 0, 1], 2).into();
        let clocks = Clocks::new(true, 50_000);
        assert_eq!(clocks.present(Time(10 * S)), None);
        clocks.learn(at, Offset::sample(Time(10 * S), Time(10 * S + 1000), Time(12 * S)));
        // A commit at this moment bears 12 s in the server's clock.
        assert!(clocks.commit(at, Time(10 * S + 1000)) >= Time(12 * S + 1000));
        assert!(clocks.commit(at, Time(10 * S + 1000)) <= Time(12 * S + 3000));
        assert!(clocks.present(Time(10 * S + 1000)) >= Some(Time(12 * S + 50_000)));
        // A server that was never asked may be as far from the others as the settings say.
        assert!(clocks.commit(other, Time(10 * S + 1000)) >= Time(12 * S + 50_000));
        // Without the servers' clocks the skew is all there is.
        assert_eq!(Clocks::new(false, 50_000).present(Time(S)), Some(Time(S + 50_000)));
    }
}
