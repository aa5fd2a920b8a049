//! The state of an instance that its mutex protects.
use super::connection::Connection;
use crate::SessionKey;
use crate::frames::Frame;
use crate::machine::{Instance, Machine, PendingAck};
use crossbeam_channel::Sender;
use decision::Time;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A record that is queued for the journal thread.
pub(super) enum PendingRecord {
    Commit { seq: u64, session: SessionKey, committed_at: Time },
    Floor(Time),
}

/// The state of an instance that its mutex protects.
pub(super) struct State {
    pub(super) machine: Machine,
    /// Threads that wait until their write may be acknowledged.
    pub(super) writers: HashMap<PendingAck, Sender<CommitOutcome>>,
    pub(super) last_ack: PendingAck,
    pub(super) pending_records: Vec<PendingRecord>,
    /// Connections on which this instance sends its commits to peers.
    pub(super) outbound: BTreeMap<Instance, Connection>,
    /// Connections on which peers send their commits to this instance.
    pub(super) inbound: BTreeMap<Instance, Connection>,
    pub(super) peers: BTreeMap<Instance, SocketAddr>,
    /// Whether all peers were up to date at the last tick.
    pub(super) peers_up_to_date: bool,
    /// Number of named sessions' reads that had to reflect all commits made so far.
    pub(super) full_freshness_reads: u64,
    /// Number of named sessions' reads.
    pub(super) reads: u64,
}

/// Whether a served write may be acknowledged to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All later reads of the write's session reflect it: the write may be acknowledged to the client.
    Visible,
    /// Later reads of the write's session might miss it: the write must not be acknowledged.
    Uncertain,
}

impl State {
    pub(super) fn new(machine: Machine) -> State {
        State {
            machine,
            writers: HashMap::new(),
            last_ack: 0,
            pending_records: Vec::new(),
            outbound: BTreeMap::new(),
            inbound: BTreeMap::new(),
            peers: BTreeMap::new(),
            peers_up_to_date: false,
            full_freshness_reads: 0,
            reads: 0,
        }
    }

    /// Sends a frame on the outbound connection to a peer. Without a connection the frame is dropped; the
    /// next connection sends what the peer lacks.
    pub(super) fn send_outbound(&self, peer: Instance, frame: Frame) {
        if let Some(connection) = self.outbound.get(&peer) {
            connection.send(frame);
        }
    }

    /// Sends a frame on the inbound connection from a peer. Without a connection the frame is dropped.
    pub(super) fn send_inbound(&self, peer: Instance, frame: Frame) {
        if let Some(connection) = self.inbound.get(&peer) {
            connection.send(frame);
        }
    }

    /// Reports the outcome to the thread that waits for the write, unless its wait has timed out.
    pub(super) fn complete_write(&mut self, ack: PendingAck, outcome: CommitOutcome) {
        if let Some(writer) = self.writers.remove(&ack) {
            _ = writer.try_send(outcome);
        }
    }
}
