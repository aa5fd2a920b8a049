//! The leader's count of the leases, in ticks of its own. No I/O and no clock.
//!
//! An end that is counted here is only proposed: it takes effect when the command is committed, so that all nodes
//! agree on the order of an end and a renewal.
use crate::command::{Command, FencingToken};
use std::collections::HashMap;

/// Ticks after which the leader proposes an overdue end again: its proposal may have been lost.
const EXPIRE_RETRY_TICKS: u64 = 20;

/// A lease whose time to live begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseTimer {
    /// The lease.
    pub token: FencingToken,
    /// How often it has been renewed.
    pub renewals: u64,
    /// The ticks until it ends.
    pub ticks: u64,
}

/// What a command means for the timers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The time to live of a lease begins, by a grant or by a renewal.
    Started(LeaseTimer),
    /// A lease has ended.
    Ended {
        /// Its epoch.
        epoch: u64,
    },
}

/// Input of the timers.
#[derive(Clone, Debug)]
pub enum LeaseTimerEvent {
    /// This node leads from now on, and these leases are held. Each begins again with its whole time to live: a change
    /// of leaders never shortens a lease, and prolongs it by its time to live at most.
    BecameLeader(Vec<LeaseTimer>),
    /// Another node leads, or none: what is counted here means nothing any more.
    LostLeadership,
    /// A committed command has started or ended a lease.
    Lease(LeaseEvent),
    /// One tick has passed.
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

/// The timers of the held leases; empty where this node does not lead.
#[derive(Clone, Debug, Default)]
pub struct LeaseTimers {
    is_leader: bool,
    /// By epoch.
    countdowns: HashMap<u64, Countdown>,
}

impl LeaseTimers {
    /// Handles an event. The ends that are due are added to `proposals`, in order of their epochs.
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

    /// Whether this node leads, and so counts.
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
        // The same events give the same proposals, in the same order.
        proposals.sort_by_key(|command| match command {
            Command::ExpireLease { token, .. } => token.epoch,
            _ => 0,
        });
    }
}
