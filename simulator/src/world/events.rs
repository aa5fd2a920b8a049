//! Events of the simulation, and their queue in order of time.
use crate::node::Job;
use decision::{MemberReport, Outcome, Time};
use registry::machine::Change;
use sessions::SessionKey;
use sessions::machine::Push;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A router's process: events for an earlier process of the router are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RouterProcess {
    pub(super) router: usize,
    pub(super) epoch: u32,
}

/// The connection that an attempt is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptConnection {
    /// Established for the attempt.
    New,
    /// Established before, to the node's process of this epoch.
    Reused { node_epoch: u32 },
}

/// What becomes of the connection that a response arrives on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    Open,
    Closed,
}

/// The end of an attempt as it arrives at the router.
pub(super) struct Response {
    pub(super) job: Job,
    pub(super) node: usize,
    pub(super) outcome: Outcome,
    /// Position of the commit, for a write.
    pub(super) commit: Option<Time>,
    /// Position up to which the data was complete.
    pub(super) data_position: Time,
    pub(super) connection: ConnectionState,
}

/// What a router's sessions send to those of a peer.
pub(super) enum PeerMessage {
    Hello { incarnation: u64 },
    Accept { incarnation: u64, last_seq: u64 },
    Push(Push),
    Confirm { seq: u64 },
    LeaseRequest { requested_at: i64 },
}

/// What happens to a router's process.
pub(super) enum ProcessEvent {
    ProbeEnded { node: usize, outcome: Outcome, report: MemberReport },
    DecisionTimerExpired,
    Ticked,
    JournalSynced { seq: u64, session: SessionKey, commit: Time },
}

/// What changes the replicas in service.
pub(super) enum FleetChange {
    PrimaryPromotionDue { group: usize },
    FaultBegan { fault: usize },
    FaultEnded { fault: usize },
    NodeRestartDue { node: usize, epoch: u32 },
}

/// What happens.
pub(super) enum SimulationEvent {
    ClientArrived,
    ClientRetried { client: u64 },
    AttemptReachedNode { job: Job, node: usize, connection: AttemptConnection },
    JobFinished { job: Job, node: usize, node_epoch: u32 },
    ResponseArrived(Response),
    AttemptTimedOut(Job),
    AttemptCancelled(Job),
    ProbeReachedNode { process: RouterProcess, node: usize },
    Process(RouterProcess, ProcessEvent),
    PeerMessageArrived { from: RouterProcess, to: RouterProcess, message: PeerMessage },
    CommitReachedReplica { node: usize, commit: Time },
    RegistryChangesArrived { router: usize, changes: Vec<Change> },
    RouterRestartDue { router: usize },
    Fleet(FleetChange),
}

struct ScheduledEvent {
    at: Time,
    sequence: u64,
    event: SimulationEvent,
}

impl ScheduledEvent {
    fn key(&self) -> (Time, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Reversed, as the heap pops the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// Events to come; those of one time are popped in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<ScheduledEvent>,
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Time, event: SimulationEvent) {
        self.scheduled += 1;
        self.heap.push(ScheduledEvent { at, sequence: self.scheduled, event });
    }

    pub(super) fn pop(&mut self) -> Option<(Time, SimulationEvent)> {
        self.heap.pop().map(|scheduled| (scheduled.at, scheduled.event))
    }
}
