//! What is behind the lock.
use super::connection::Connection;
use crate::SessionKey;
use crate::frames::Frame;
use crate::machine::{Instance, Machine, PendingAck};
use crossbeam_channel::Sender;
use decision::Time;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A record that waits for the journal's thread.
pub(super) enum PendingRecord {
    Commit { seq: u64, session: SessionKey, committed_at: Time },
    Floor(Time),
}

/// What is behind the lock.
pub(super) struct State {
    pub(super) machine: Machine,
    /// Clients' threads that wait until their write may be acknowledged.
    pub(super) writers: HashMap<PendingAck, Sender<CommitOutcome>>,
    pub(super) last_ack: PendingAck,
    pub(super) pending_records: Vec<PendingRecord>,
    /// To peers that receive our commits.
    pub(super) outbound: BTreeMap<Instance, Connection>,
    /// From peers that send theirs.
    pub(super) inbound: BTreeMap<Instance, Connection>,
    pub(super) peers: BTreeMap<Instance, SocketAddr>,
    /// Whether all peers could be relied on at the last tick.
    pub(super) peers_up_to_date: bool,
    /// Reads that had to see the present.
    pub(super) present_reads: u64,
    pub(super) reads: u64,
}

/// What became of a served write's commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// No later read of its session misses it: the write may be acknowledged to the client.
    Covered,
    /// That is not certain: the write must not be acknowledged.
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
            present_reads: 0,
            reads: 0,
        }
    }

    /// Sends to a peer that receives our commits; what can't be sent is sent after the next connection.
    pub(super) fn send_outbound(&self, peer: Instance, frame: Frame) {
        if let Some(connection) = self.outbound.get(&peer) {
            connection.send(frame);
        }
    }

    /// Sends to a peer that brings its commits.
    pub(super) fn send_inbound(&self, peer: Instance, frame: Frame) {
        if let Some(connection) = self.inbound.get(&peer) {
            connection.send(frame);
        }
    }

    /// A writer that has stopped waiting needs no answer.
    pub(super) fn answer_write(&mut self, ack: PendingAck, outcome: CommitOutcome) {
        if let Some(writer) = self.writers.remove(&ack) {
            _ = writer.try_send(outcome);
        }
    }
}
