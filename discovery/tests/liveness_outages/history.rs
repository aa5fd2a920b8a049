//! Histories of outages, moves and changes, and their random generation. All times are milliseconds of virtual time.
use proptest::prelude::*;

/// One step of virtual time.
pub(crate) const STEP: u64 = 10;

/// What an agent does with a connection that is opened while it is away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum OutageKind {
    Refused,
    /// The connection never comes up.
    Unreachable,
    /// It comes up, and nothing more.
    Mute,
    /// It is given a response head; half a line is the same to the machine.
    HeadOnly,
    /// It is reset this long after its response head.
    ResetAfterHead(u64),
}

/// What becomes of a connection that stood when an outage began, or came up in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionFate {
    /// Reset when the outage begins.
    Reset,
    /// Mute for good.
    Mute,
    /// It speaks again when the outage ends, and brings what it missed.
    Resumes,
    /// It speaks again, but what it missed while it was stale never comes on it.
    LosesChanges,
}

#[derive(Clone, Debug)]
pub(crate) struct Outage {
    pub(crate) from: u64,
    pub(crate) to: u64,
    pub(crate) kind: OutageKind,
    pub(crate) fate: ConnectionFate,
}

/// How long an agent takes: to accept a connection, for the response head, for the first line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgentDelays {
    pub(crate) accept: u64,
    pub(crate) head: u64,
    pub(crate) line: u64,
    /// Where it has no update, its first line comes only when an empty line is due.
    pub(crate) late_empty_line: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct History {
    /// Of each of two addresses.
    pub(crate) outages: [Vec<Outage>; 2],
    pub(crate) agents: [AgentDelays; 2],
    /// When the watch is moved to the other address.
    pub(crate) moves: Vec<u64>,
    /// When discovery has each version, at both addresses.
    pub(crate) changes: Vec<u64>,
}

impl History {
    /// The version that discovery has.
    pub(crate) fn version(&self, now: u64) -> u64 {
        self.changes.iter().filter(|at| **at <= now).count() as u64
    }

    /// The outage of an address, as its place among them.
    pub(crate) fn outage(&self, address: usize, now: u64) -> Option<usize> {
        self.outages[address].iter().position(|outage| outage.from <= now && now < outage.to)
    }

    /// When the last thing happens.
    pub(crate) fn end(&self) -> u64 {
        let ends = self.outages.iter().flatten().map(|outage| outage.to);
        let all = ends.chain(self.moves.iter().copied()).chain(self.changes.iter().copied());
        all.max().unwrap_or(0)
    }
}

fn kind() -> impl Strategy<Value = OutageKind> {
    prop_oneof![
        Just(OutageKind::Refused),
        Just(OutageKind::Unreachable),
        Just(OutageKind::Mute),
        Just(OutageKind::HeadOnly),
        (0..1200u64).prop_map(OutageKind::ResetAfterHead),
    ]
}

fn outages() -> impl Strategy<Value = Vec<Outage>> {
    let fate = prop_oneof![
        Just(ConnectionFate::Reset),
        Just(ConnectionFate::Mute),
        Just(ConnectionFate::Resumes),
        Just(ConnectionFate::LosesChanges)
    ];
    // Short ones too: what stood when they began is mute then, while the agent answers whoever asks anew.
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

/// Delays up to what a connection is granted, whole.
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
    // Changes at any time, and such that come right behind an outage's end.
    let behind = prop::collection::vec((any::<prop::sample::Index>(), 0..100u64), 0..4);
    let all = (outages(), outages(), agent(), agent(), times(4), times(5), behind);
    all.prop_map(|(a, b, one, other, moves, mut changes, behind)| {
        let ends: Vec<u64> = a.iter().chain(&b).map(|outage| outage.to / STEP).collect();
        if !ends.is_empty() {
            changes.extend(behind.iter().map(|(which, later)| which.get(&ends) + later));
        }
        let (moves, changes) = (sorted_times(moves), sorted_times(changes));
        History { outages: [a, b], agents: [one, other], moves, changes }
    })
}

/// Steps as times, in order and each once.
fn sorted_times(mut steps: Vec<u64>) -> Vec<u64> {
    steps.sort_unstable();
    steps.dedup();
    steps.into_iter().map(|step| step * STEP).collect()
}
