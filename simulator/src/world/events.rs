//! Events of the simulation, and the event queue ordered by time.
use crate::node::Job;
use decision::{MemberReport, Outcome, Time};
use registry::machine::Change;
use sessions::SessionKey;
use sessions::machine::Push;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Identifies one process of a router. Events for a process that has ended are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RouterProcess {
    pub(super) router: usize,
    pub(super) epoch: u32,
}

/// Connection that an attempt is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptConnection {
    /// A new connection, established for the attempt.
    New,
    /// An existing connection, established to the node's process of this epoch.
    Reused { node_epoch: u32 },
}

/// State of the connection after a response has arrived on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    Open,
    Closed,
}

/// Response that ends an attempt, as the router receives it.
pub(super) struct Response {
    pub(super) job: Job,
    pub(super) node: usize,
    pub(super) outcome: Outcome,
    /// Replication position of the commit, for a write.
    pub(super) commit: Option<Time>,
    /// Replication position of the data that was read.
    pub(super) data_position: Time,
    pub(super) connection: ConnectionState,
}

/// Message between the session machines of two routers.
pub(super) enum PeerMessage {
    Hello { incarnation: u64 },
    Accept { incarnation: u64, last_seq: u64 },
    Push(Push),
    Confirm { seq: u64 },
    LeaseRequest { requested_at: i64 },
}

/// Event for one process of a router.
pub(super) enum ProcessEvent {
    ProbeEnded { node: usize, outcome: Outcome, report: MemberReport },
    DecisionTimerExpired,
    Ticked,
    JournalSynced { seq: u64, session: SessionKey, commit: Time },
}

/// Event that may change which replicas are in service.
pub(super) enum AvailabilityChange {
    PrimaryPromotionDue { group: usize },
    FaultBegan { fault: usize },
    FaultEnded { fault: usize },
    NodeRestartDue { node: usize, epoch: u32 },
}

/// Event of the simulation.
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
    Availability(AvailabilityChange),
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
    /// Reversed, since `BinaryHeap` pops the greatest element first and the earliest event is needed.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// Queue of scheduled events. Events of the same time are popped in the order in which they were scheduled.
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
