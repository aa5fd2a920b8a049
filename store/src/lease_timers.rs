//! The leader's countdown of the held leases, in ticks. No I/O and no clock.
//!
//! When a countdown ends, the leader only proposes to expire the lease. The expiry takes effect when the
//! command is committed, so that all nodes agree on the order of expiries and renewals.
use crate::command::{Command, FencingToken};
use std::collections::HashMap;

/// Number of ticks after which the leader proposes an overdue expiry again, because the first proposal may
/// have been lost.
const EXPIRE_RETRY_TICKS: u64 = 20;

/// A held lease and its time to live, for starting its countdown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseTimer {
    /// The fencing token that identifies the lease.
    pub token: FencingToken,
    /// The number of renewals of the lease so far.
    pub renewals: u64,
    /// The number of ticks until the lease expires.
    pub ticks: u64,
}

/// The effect of a committed command on the timers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A lease was granted or renewed, so its time to live starts.
    Started(LeaseTimer),
    /// A lease was revoked or has expired.
    Ended {
        /// The epoch of the lease.
        epoch: u64,
    },
}

/// An input event of the timers.
#[derive(Clone, Debug)]
pub enum LeaseTimerEvent {
    /// The node became the leader and counts down the held leases. Each countdown restarts with the full time
    /// to live: a change of leader never shortens a lease, and extends it by at most its time to live.
    BecameLeader(Vec<LeaseTimer>),
    /// The node is no longer the leader: all countdowns are discarded.
    LostLeadership,
    /// A committed command started or ended a lease.
    Lease(LeaseEvent),
    /// One tick of the lease countdowns has elapsed.
    Tick,
}

#[derive(Clone, Debug)]
struct Countdown {
    timer: LeaseTimer,
    remaining_ticks: u64,
}

impl Countdown {
    fn new(timer: LeaseTimer) -> Countdown {
        Countdown { remaining_ticks: timer.ticks, timer }
    }
}

/// The countdowns of the held leases; empty unless this node is the leader.
#[derive(Clone, Debug, Default)]
pub struct LeaseTimers {
    is_leader: bool,
    /// The countdowns, keyed by the epoch of the lease.
    countdowns: HashMap<u64, Countdown>,
}

impl LeaseTimers {
    /// Handles an event. Appends a [`Command::ExpireLease`] to `proposals` for each lease that is due,
    /// ordered by epoch.
    pub fn handle(&mut self, event: LeaseTimerEvent, proposals: &mut Vec<Command>) {
        match event {
            LeaseTimerEvent::BecameLeader(held) => {
                self.is_leader = true;
                self.countdowns.clear();
                held.into_iter().for_each(|timer| self.start(timer));
            }
            LeaseTimerEvent::LostLeadership => *self = LeaseTimers::default(),
            LeaseTimerEvent::Lease(_) if !self.is_leader => {}
            LeaseTimerEvent::Lease(LeaseEvent::Started(timer)) => self.start(timer),
            LeaseTimerEvent::Lease(LeaseEvent::Ended { epoch }) => _ = self.countdowns.remove(&epoch),
            LeaseTimerEvent::Tick => self.tick(proposals),
        }
    }

    /// Whether this node is the leader and counts down leases.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    fn start(&mut self, timer: LeaseTimer) {
        self.countdowns.insert(timer.token.epoch, Countdown::new(timer));
    }

    fn tick(&mut self, proposals: &mut Vec<Command>) {
        for countdown in self.countdowns.values_mut() {
            countdown.remaining_ticks -= 1;
            if countdown.remaining_ticks == 0 {
                let LeaseTimer { token, renewals, .. } = countdown.timer.clone();
                proposals.push(Command::ExpireLease { token, renewals });
                countdown.remaining_ticks = EXPIRE_RETRY_TICKS;
            }
        }
        // Hash map iteration has no fixed order; sorting makes the order of the proposals deterministic.
        proposals.sort_by_key(|command| match command {
            Command::ExpireLease { token, .. } => token.epoch,
            _ => 0,
        });
    }
}
