//! The state of the state machine, and queries on it.
use super::event::{Now, PendingAck};
use super::message::Instance;
use super::peer::{Peer, PeerStatus};
use crate::commit_cache::CommitCache;
use crate::{AFTER_EVERY_COMMIT, SessionKey};
use decision::{Micros, Time};
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// Settings of the state machine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of this instance among its peers.
    pub instance: Instance,
    /// Incarnation of this start of the instance; increases with each start.
    pub incarnation: u64,
    /// Duration of a lease for its holder, in microseconds.
    pub lease: Micros,
    /// Number of recent commits that are retained for peers that reconnect.
    pub max_buffered_commits: usize,
    /// Number of sessions with individual entries in the commit cache.
    pub max_sessions: usize,
    /// Whether commits are written to a journal.
    pub durable: bool,
    /// Whether the restored commits may be incomplete, so that reads must reflect everything committed before
    /// this start.
    pub incomplete: bool,
}

/// Why this instance serves no named sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotServing {
    /// A newer start of this instance is running, with this incarnation.
    #[error("a newer start of this instance serves (incarnation {0})")]
    Superseded(u64),
    /// The peer with this number does not list this instance among its peers.
    #[error("instance {0} does not list this one")]
    NotListed(Instance),
}

/// The state machine of one instance.
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) commits: CommitCache,
    /// The commit time that reads of every named session must reflect. It covers commits whose sessions are
    /// not known.
    pub(super) floor: Option<Time>,
    /// The floor must be raised to the upper bound of all commits as soon as the servers' clocks are known.
    pub(super) floor_pending: bool,
    pub(super) peers: BTreeMap<Instance, Peer>,
    /// When the last lease expires among those of peers that were removed from the list.
    pub(super) removed_peers_lease_until: Time,
    /// The number of this instance's newest commit.
    pub(super) last_seq: u64,
    /// The number of the newest commit that the journal has synced to disk.
    pub(super) synced_seq: u64,
    /// The journal is being written.
    pub(super) durable: bool,
    /// The journal can be neither written nor deleted.
    pub(super) journal_undeletable: bool,
    /// The most recent commits; the last entry has the number `last_seq`.
    pub(super) recent_commits: VecDeque<(SessionKey, i64)>,
    /// Writes that are not acknowledged yet, by their commit's number.
    pub(super) pending_acks: BTreeMap<u64, PendingAck>,
    /// The incarnation of a newer start of this instance.
    pub(super) superseded_by: Option<u64>,
    /// A peer has accepted this incarnation.
    pub(super) was_accepted: bool,
}

impl Machine {
    /// Creates the state machine with the commits and the floor that were restored from a journal.
    pub fn new(
        settings: Settings,
        restored: impl IntoIterator<Item = (SessionKey, Time)>,
        floor: Option<Time>,
    ) -> Self {
        let mut commits = CommitCache::new(settings.max_sessions);
        restored.into_iter().for_each(|(session, committed_at)| commits.insert(session, committed_at));
        if let Some(floor) = floor {
            commits.raise_floor(floor);
        }
        Machine {
            floor_pending: settings.incomplete,
            durable: settings.durable,
            journal_undeletable: false,
            settings,
            commits,
            floor: None,
            peers: BTreeMap::new(),
            removed_peers_lease_until: Time(0),
            last_seq: 0,
            synced_seq: 0,
            recent_commits: VecDeque::new(),
            pending_acks: BTreeMap::new(),
            superseded_by: None,
            was_accepted: false,
        }
    }

    /// The cache of the sessions' newest commits.
    pub fn commits(&self) -> &CommitCache {
        &self.commits
    }

    /// The number of this instance's newest commit.
    pub fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// Number of writes that are not acknowledged yet.
    pub fn pending_ack_count(&self) -> usize {
        self.pending_acks.len()
    }

    /// The incarnation of this start of the instance.
    pub fn incarnation(&self) -> u64 {
        self.settings.incarnation
    }

    /// Whether commits are synced to disk before their writes are acknowledged.
    pub fn durable(&self) -> bool {
        self.durable && !self.journal_undeletable
    }

    /// The commit time that reads of every session must reflect; it will rise while [`Self::floor_pending`]
    /// is true.
    pub fn floor(&self) -> Option<Time> {
        self.commits.floor().max(self.floor)
    }

    /// Whether commits may be missing and the floor that will cover them is not known yet.
    pub fn floor_pending(&self) -> bool {
        self.floor_pending
    }

    /// The reason why this instance serves no named sessions; `None` if it serves them.
    pub fn not_serving(&self) -> Option<NotServing> {
        if let Some(newest) = self.superseded_by {
            return Some(NotServing::Superseded(newest));
        }
        let (instance, _) = self.peers.iter().find(|(_, peer)| peer.not_listed)?;
        Some(NotServing::NotListed(*instance))
    }

    /// The commit time that a named session's read received at `now` must reflect.
    pub fn required_position(&self, session: SessionKey, now: Now) -> Option<Time> {
        if self.floor_pending || !self.peers_up_to_date(now.at) {
            return Some(now.commit_upper_bound.unwrap_or(AFTER_EVERY_COMMIT));
        }
        self.commits.required_position(session).max(self.floor)
    }

    /// The commit time that a read of a connection's session, which exists in this process only, must
    /// reflect.
    pub fn required_position_of_connection(&self, session: SessionKey) -> Option<Time> {
        self.commits.required_position(session)
    }

    /// The status of every peer.
    pub fn peer_statuses(&self, now: Time) -> Vec<PeerStatus> {
        self.peers.iter().map(|(instance, peer)| peer.status(*instance, now)).collect()
    }

    /// Whether no write that any peer has acknowledged can be missing here.
    pub fn peers_up_to_date(&self, now: Time) -> bool {
        self.peers.values().all(|peer| peer.is_up_to_date(now))
    }
}
