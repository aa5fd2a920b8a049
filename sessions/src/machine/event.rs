//! What happens to an instance, and what is to be done.
use super::message::{Instance, Push, RejectionReason};
use crate::SessionKey;
use decision::Time;

/// The number of a write whose acknowledgement is pending.
pub type PendingAck = u64;

/// The present at an event.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// By this router's clock.
    pub at: Time,
    /// Later than every commit made by now, by the servers' clocks; `None` while they are not known.
    pub present: Option<Time>,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// A named session's write was served.
    Commit {
        /// The write.
        ack: PendingAck,
        /// Its session.
        session: SessionKey,
        /// When it was committed, by the server's clock.
        committed_at: Time,
    },
    /// A write of a session that exists in this process alone was served.
    ConnectionCommit {
        /// Its session.
        session: SessionKey,
        /// When it was committed, by the server's clock.
        committed_at: Time,
    },
    /// The journal holds commits on disk.
    JournalSynced {
        /// Up to this one.
        seq: u64,
    },
    /// The journal is gone, and no later start will read what it left.
    JournalLost,
    /// The journal can't be written, and its file can't be deleted: a later start would read it.
    JournalStuck,
    /// A new journal is being written.
    JournalRestored {
        /// It begins with everything up to this commit.
        seq: u64,
    },
    /// The peers, from now on.
    PeersListed {
        /// Their numbers; this instance's own may be among them.
        peers: Vec<Instance>,
    },
    /// A peer accepts our commits.
    Accepted {
        /// The peer.
        peer: Instance,
        /// Of which start of ours it holds commits.
        incarnation: u64,
        /// The newest that it holds.
        last_seq: u64,
    },
    /// A peer does not accept our commits.
    Rejected {
        /// The peer.
        peer: Instance,
        /// Why.
        reason: RejectionReason,
    },
    /// A peer holds our commits.
    Confirmed {
        /// The peer.
        peer: Instance,
        /// Up to this one.
        seq: u64,
    },
    /// A peer requests a lease.
    LeaseRequested {
        /// The peer.
        peer: Instance,
        /// By its clock, in microseconds.
        requested_at: i64,
    },
    /// The connection on which a peer receives our commits has ended.
    OutboundDisconnected {
        /// The peer.
        peer: Instance,
    },
    /// A peer's address refused a connection: its process is gone.
    ConnectionRefused {
        /// The peer.
        peer: Instance,
        /// When the connection was begun.
        attempted_at: Time,
    },
    /// Another instance wants to send its commits.
    HelloReceived {
        /// The instance.
        peer: Instance,
        /// Its start.
        incarnation: u64,
    },
    /// A peer's next push.
    PushReceived {
        /// The peer.
        peer: Instance,
        /// What it sent.
        push: Push,
    },
    /// The connection on which a peer sends its commits has ended.
    InboundDisconnected {
        /// The peer.
        peer: Instance,
    },
    /// Time passes.
    Tick,
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write a commit to the journal.
    AppendCommit {
        /// Its number.
        seq: u64,
        /// Its session.
        session: SessionKey,
        /// When it was committed, by the server's clock.
        committed_at: Time,
    },
    /// Write a floor to the journal: commits before this start may be missing from it.
    AppendFloor {
        /// What every session must see.
        floor: Time,
    },
    /// Send a push to a peer.
    SendPush {
        /// The peer.
        peer: Instance,
        /// The push.
        push: Push,
    },
    /// Send everything held to a peer, then [`Push::SnapshotComplete`].
    SendSnapshot {
        /// The peer.
        peer: Instance,
        /// The newest commit's number.
        seq: u64,
    },
    /// Accept an instance's commits.
    Accept {
        /// The instance.
        peer: Instance,
        /// Of which start commits are held.
        incarnation: u64,
        /// The newest that is held.
        last_seq: u64,
    },
    /// Do not accept an instance's commits.
    Reject {
        /// The instance.
        peer: Instance,
        /// Why.
        reason: RejectionReason,
    },
    /// Confirm a peer's commits.
    SendConfirmation {
        /// The peer.
        peer: Instance,
        /// Up to this one.
        seq: u64,
    },
    /// Request a lease from a peer.
    RequestLease {
        /// The peer.
        peer: Instance,
        /// By this router's clock, in microseconds.
        requested_at: i64,
    },
    /// A peer broke the protocol: end its connection.
    Disconnect {
        /// The peer.
        peer: Instance,
    },
    /// A write may be acknowledged.
    Acknowledge {
        /// The write.
        ack: PendingAck,
    },
    /// A write must not be acknowledged: it may have run.
    Fail {
        /// The write.
        ack: PendingAck,
    },
    /// Continue as this incarnation: an older start of this instance had a newer one than ours.
    AdoptIncarnation {
        /// The incarnation from now on.
        incarnation: u64,
    },
    /// A newer start of this instance serves; this one must not.
    Superseded {
        /// The newer start's.
        newest_incarnation: u64,
    },
}
