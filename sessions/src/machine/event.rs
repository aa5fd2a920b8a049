//! The events that the state machine handles, and the actions that it returns.
use super::message::{Instance, Push, RejectionReason};
use crate::SessionKey;
use decision::Time;

/// Identifies a served write that has not been acknowledged to its client yet.
pub type PendingAck = u64;

/// The time at which an event is handled.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The time by this router's clock.
    pub at: Time,
    /// Upper bound, by the servers' clocks, of the time of every commit made so far; `None` while no server's
    /// clock is known.
    pub commit_upper_bound: Option<Time>,
}

/// An event for the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A write of a named session was committed by a server.
    Commit {
        /// Identifies the write when it is acknowledged or fails.
        ack: PendingAck,
        /// The session that wrote.
        session: SessionKey,
        /// The commit's time, by the server's clock.
        committed_at: Time,
    },
    /// A write of a connection's session, which exists in this process only, was committed by a server.
    ConnectionCommit {
        /// The session that wrote.
        session: SessionKey,
        /// The commit's time, by the server's clock.
        committed_at: Time,
    },
    /// The journal has synced commits to disk.
    JournalSynced {
        /// The newest synced commit's number.
        seq: u64,
    },
    /// The journal can't be written and its files were deleted, so no later start will read them.
    JournalDeleted,
    /// The journal can't be written and its files can't be deleted, so a later start would read them.
    JournalUndeletable,
    /// A new journal file is being written.
    JournalRestored {
        /// The new file's checkpoint contains every commit up to this number.
        seq: u64,
    },
    /// The list of peers has changed.
    PeersListed {
        /// The instance numbers of all peers; may include this instance's own number.
        peers: Vec<Instance>,
    },
    /// A peer accepted the connection on which this instance sends its commits.
    Accepted {
        /// The peer's instance number.
        peer: Instance,
        /// The newest incarnation of this instance that the peer knows.
        incarnation: u64,
        /// The number of the newest commit of incarnation `incarnation` that the peer has stored; 0 if none.
        last_seq: u64,
    },
    /// A peer rejected this instance's commits.
    Rejected {
        /// The peer's instance number.
        peer: Instance,
        /// Why the commits are rejected.
        reason: RejectionReason,
    },
    /// A peer confirmed this instance's commits.
    Confirmed {
        /// The peer's instance number.
        peer: Instance,
        /// The newest confirmed commit's number.
        seq: u64,
    },
    /// A peer requests a lease.
    LeaseRequested {
        /// The peer's instance number.
        peer: Instance,
        /// When the lease was requested, by the peer's clock, in microseconds.
        requested_at: i64,
    },
    /// The connection on which this instance sends its commits to a peer has ended.
    OutboundDisconnected {
        /// The peer's instance number.
        peer: Instance,
    },
    /// A peer's address refused a connection, which proves that the peer's process is not running.
    ConnectionRefused {
        /// The peer's instance number.
        peer: Instance,
        /// When the connection was attempted.
        attempted_at: Time,
    },
    /// Another instance connected to send its commits.
    HelloReceived {
        /// The connecting instance's number.
        peer: Instance,
        /// The connecting instance's incarnation.
        incarnation: u64,
    },
    /// A push was received from a peer.
    PushReceived {
        /// The peer's instance number.
        peer: Instance,
        /// The push that the peer sent.
        push: Push,
    },
    /// The connection on which a peer sends its commits has ended.
    InboundDisconnected {
        /// The peer's instance number.
        peer: Instance,
    },
    /// Periodic event at which leases are requested and expired ones take effect.
    Tick,
}

/// An action that the driver must carry out. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a commit to the journal.
    AppendCommit {
        /// The number of the appended commit.
        seq: u64,
        /// The session that wrote.
        session: SessionKey,
        /// The commit's time, by the server's clock.
        committed_at: Time,
    },
    /// Append a floor to the journal, because commits made before this start may be missing from it.
    AppendFloor {
        /// The commit time that reads of every session must reflect.
        floor: Time,
    },
    /// Send a push to a peer.
    SendPush {
        /// The peer's instance number.
        peer: Instance,
        /// The push to send.
        push: Push,
    },
    /// Send all stored commits to a peer, followed by [`Push::SnapshotComplete`].
    SendSnapshot {
        /// The peer's instance number.
        peer: Instance,
        /// The newest commit's number.
        seq: u64,
    },
    /// Accept an instance's connection for its commits.
    Accept {
        /// The connecting instance's number.
        peer: Instance,
        /// The connecting instance's incarnation.
        incarnation: u64,
        /// The number of the newest commit of incarnation `incarnation` that this instance has stored; 0 if
        /// none.
        last_seq: u64,
    },
    /// Reject an instance's connection for its commits.
    Reject {
        /// The connecting instance's number.
        peer: Instance,
        /// Why the commits are rejected.
        reason: RejectionReason,
    },
    /// Confirm to a peer that its commits are stored.
    SendConfirmation {
        /// The peer's instance number.
        peer: Instance,
        /// The newest confirmed commit's number.
        seq: u64,
    },
    /// Request a lease from a peer.
    RequestLease {
        /// The peer's instance number.
        peer: Instance,
        /// The time of the request, by this router's clock, in microseconds.
        requested_at: i64,
    },
    /// Close a peer's connection, because the peer violated the protocol.
    Disconnect {
        /// The peer's instance number.
        peer: Instance,
    },
    /// Acknowledge a write to its client.
    Acknowledge {
        /// Identifies the write that is acknowledged.
        ack: PendingAck,
    },
    /// Report a write's outcome as uncertain: it was committed, but must not be acknowledged.
    Fail {
        /// Identifies the write whose outcome is uncertain.
        ack: PendingAck,
    },
    /// Continue with a higher incarnation, because peers know an earlier start of this instance with an
    /// incarnation above the current one.
    AdoptIncarnation {
        /// The higher incarnation to continue with.
        incarnation: u64,
    },
    /// A newer start of this instance is running, so this one must not serve named sessions.
    Superseded {
        /// The newer start's incarnation.
        newest_incarnation: u64,
    },
}
