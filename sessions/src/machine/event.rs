//! What happens to an instance, what is to be done, and what instances send to each other.
use crate::Key;
use decision::Time;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An instance's number, from the configuration.
pub type Instance = u64;

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

/// Why an instance's commits are not accepted. The names of the variants stand in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// It is not among this instance's peers.
    NotListed,
    /// A newer start of the same instance is known.
    Older {
        /// The newest one's incarnation.
        newest: u64,
    },
    /// It was looking for another instance at this address.
    WrongInstance,
    /// It belongs to another cluster.
    WrongCluster,
    /// It speaks another version of the protocol.
    WrongVersion,
}

/// Why this instance serves no named session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Stopped {
    /// A newer start of this instance is known, of this incarnation.
    #[error("a newer start of this instance serves (incarnation {0})")]
    Superseded(u64),
    /// That instance does not list this one among its peers.
    #[error("instance {0} does not list this one")]
    NotListed(Instance),
}

/// What one instance sends to a peer, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Push {
    /// Commits, numbered without a gap from `first` on.
    Commits {
        /// The first one's number.
        first: u64,
        /// Session and commit, in microseconds of Unix time.
        entries: Vec<(Key, i64)>,
    },
    /// A part of everything held.
    All {
        /// Session and commit, in microseconds of Unix time.
        entries: Vec<(Key, i64)>,
    },
    /// Everything held up to this number has been sent.
    Whole {
        /// The newest commit's number.
        seq: u64,
        /// What every session must see, in microseconds of Unix time.
        floor: Option<i64>,
    },
    /// The answer to a lease request: the lease counts from then.
    Grant {
        /// When the lease was requested, by the requester's clock, in microseconds.
        asked: i64,
    },
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// A named session's write was served.
    Commit(PendingAck, Key, Time),
    /// A write of a session that exists in this process alone.
    Own(Key, Time),
    /// The journal holds commits up to this one.
    Synced(u64),
    /// The journal is gone, and no later start will read what it left.
    JournalLost,
    /// The journal can't be written, and its file can't be deleted: a later start would read it.
    JournalStuck,
    /// A new journal is being written that begins with everything up to this commit.
    JournalBack(u64),
    /// The peers, from now on.
    Peers(Vec<Instance>),
    /// A peer accepts our commits; it holds those up to this one of this incarnation.
    Accepted {
        /// The peer.
        peer: Instance,
        /// Of which start of ours.
        incarnation: u64,
        /// The newest it holds.
        holds: u64,
    },
    /// A peer does not accept our commits.
    Refused(Instance, Why),
    /// A peer holds our commits up to this one.
    Confirmed(Instance, u64),
    /// A peer requests a lease; the time is its clock's, in microseconds.
    Asked(Instance, i64),
    /// The connection on which a peer receives our commits has ended.
    Unlinked(Instance),
    /// A peer's address refused a connection that was begun at this time.
    Down(Instance, Time),
    /// Another instance, of this incarnation, wants to send its commits.
    Introduced(Instance, u64),
    /// A peer's next push.
    Pushed(Instance, Push),
    /// The connection on which a peer sends its commits has ended.
    Left(Instance),
    /// Time passes.
    Tick,
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write a commit to the journal.
    Append(u64, Key, Time),
    /// Write a floor to the journal: commits before this start may be missing from it.
    AppendFloor(Time),
    /// Push to a peer.
    Push(Instance, Push),
    /// Push everything held to a peer, then [`Push::Whole`] up to this commit.
    PushAll(Instance, u64),
    /// Accept an instance's commits; what is held of it, by incarnation and number.
    Welcome(Instance, u64, u64),
    /// Do not accept an instance's commits.
    Refuse(Instance, Why),
    /// Confirm a peer's commits up to this one.
    Confirm(Instance, u64),
    /// Request a lease from a peer; the time is this router's clock's, in microseconds.
    Ask(Instance, i64),
    /// A peer broke the protocol: end its connection.
    Drop(Instance),
    /// A write may be acknowledged.
    Release(PendingAck),
    /// A write must not be acknowledged: it may have run.
    Fail(PendingAck),
    /// Continue as this incarnation: an older start of this instance had a newer one than ours.
    Reincarnate(u64),
    /// A newer start of this instance serves; this one must not.
    Superseded(u64),
}
