//! Random histories of outages, address changes and list changes. All times are milliseconds of virtual time.
use proptest::prelude::*;

/// The length of a step of virtual time, in milliseconds.
pub(crate) const STEP: u64 = 10;

/// What happens to a connection that is opened during an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum OutageKind {
    Refused,
    /// The connection is never established.
    Unreachable,
    /// The connection is established, but nothing is sent on it.
    Silent,
    /// The agent sends only a response head. An incomplete line would be equivalent for the state machine.
    HeadOnly,
    /// The connection is reset this long after its response head.
    ResetAfterHead(u64),
}

/// What happens to a connection that was established before or during an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionFate {
    /// The connection is reset at the start of the outage.
    Reset,
    /// Nothing is sent on it any more.
    Silent,
    /// After the outage lines are sent again, including the missed changes.
    Resumes,
    /// After the outage lines are sent again, but changes missed while it was stale are never sent.
    LosesChanges,
}

#[derive(Clone, Debug)]
pub(crate) struct Outage {
    pub(crate) from: u64,
    pub(crate) to: u64,
    pub(crate) kind: OutageKind,
    pub(crate) fate: ConnectionFate,
}

/// The agent's delays: to accept a connection, to send the response head, and to send the first line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgentDelays {
    pub(crate) accept: u64,
    pub(crate) head: u64,
    pub(crate) line: u64,
    /// Without an update, the first line is sent only after the interval between empty lines.
    pub(crate) late_empty_line: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct History {
    /// The outages of each of the two addresses.
    pub(crate) outages: [Vec<Outage>; 2],
    pub(crate) agents: [AgentDelays; 2],
    /// The times at which the watch switches from one agent's address to the other agent's.
    pub(crate) address_changes: Vec<u64>,
    /// When each version becomes available at both addresses.
    pub(crate) changes: Vec<u64>,
}

impl History {
    /// The version available at `now`.
    pub(crate) fn version(&self, now: u64) -> u64 {
        self.changes.iter().filter(|at| **at <= now).count() as u64
    }

    /// The index of an address's outage at `now`.
    pub(crate) fn outage(&self, address: usize, now: u64) -> Option<usize> {
        self.outages[address].iter().position(|outage| outage.from <= now && now < outage.to)
    }

    /// The time of the last event of the history.
    pub(crate) fn end(&self) -> u64 {
        let ends = self.outages.iter().flatten().map(|outage| outage.to);
        let all = ends.chain(self.address_changes.iter().copied()).chain(self.changes.iter().copied());
        all.max().unwrap_or(0)
    }
}

fn kind() -> impl Strategy<Value = OutageKind> {
    prop_oneof![
        Just(OutageKind::Refused),
        Just(OutageKind::Unreachable),
        Just(OutageKind::Silent),
        Just(OutageKind::HeadOnly),
        (0..1200u64).prop_map(OutageKind::ResetAfterHead),
    ]
}

fn outages() -> impl Strategy<Value = Vec<Outage>> {
    let fate = prop_oneof![
        Just(ConnectionFate::Reset),
        Just(ConnectionFate::Silent),
        Just(ConnectionFate::Resumes),
        Just(ConnectionFate::LosesChanges)
    ];
    // Include short outages, in which existing connections fall silent while the agent responds to new ones.
    let length = prop_oneof![1..20u64, 1..1500u64];
    let one = (1..900u64, length, kind(), fate);
    prop::collection::vec(one, 0..5).prop_map(|all| {
        let mut at = 0;
        let mut next = |(pause, length, kind, fate)| {
            let from = at + pause * STEP;
            at = from + length * STEP;
            Outage { from, to: at, kind, fate }
        };
        all.into_iter().map(&mut next).collect()
    })
}

/// Delays up to the limits within which a connection is not closed.
fn agent() -> impl Strategy<Value = AgentDelays> {
    let quick = Just((0, 0, 0));
    let slow = (0..=49u64, 0..=59u64, 0..=59u64);
    (prop_oneof![quick, slow], any::<bool>()).prop_map(|((accept, head, line), late_empty_line)| {
        let line = line.min(59 - head);
        AgentDelays { accept: accept * STEP, head: head * STEP, line: line * STEP, late_empty_line }
    })
}

pub(crate) fn history() -> impl Strategy<Value = History> {
    let times = |max| prop::collection::vec(0..4000u64, 0..max);
    // Changes at any time, and additional ones shortly after the end of an outage.
    let after_outages = prop::collection::vec((any::<prop::sample::Index>(), 0..100u64), 0..4);
    let all = (outages(), outages(), agent(), agent(), times(4), times(5), after_outages);
    all.prop_map(|(a, b, one, other, address_changes, mut changes, after_outages)| {
        let ends: Vec<u64> = a.iter().chain(&b).map(|outage| outage.to / STEP).collect();
        if !ends.is_empty() {
            changes.extend(after_outages.iter().map(|(which, delay)| which.get(&ends) + delay));
        }
        let (address_changes, changes) = (sorted_times(address_changes), sorted_times(changes));
        History { outages: [a, b], agents: [one, other], address_changes, changes }
    })
}

/// Converts steps to times, sorted and without duplicates.
fn sorted_times(mut steps: Vec<u64>) -> Vec<u64> {
    steps.sort_unstable();
    steps.dedup();
    steps.into_iter().map(|step| step * STEP).collect()
}
