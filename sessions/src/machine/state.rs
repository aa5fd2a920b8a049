//! What the machine holds, and what it says of it.
use super::event::{Now, PendingAck};
use super::message::Instance;
use super::peer::{Peer, PeerStatus};
use crate::commit_cache::CommitCache;
use crate::{AFTER_EVERY_COMMIT, SessionKey};
use decision::{Micros, Time};
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// How the machine is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub instance: Instance,
    /// Rises with each start.
    pub incarnation: u64,
    /// How long a lease lasts for its holder.
    pub lease: Micros,
    /// Commits that are held for peers that reconnect.
    pub max_buffered_commits: usize,
    /// Sessions remembered one by one.
    pub max_sessions: usize,
    /// A journal holds commits.
    pub durable: bool,
    /// What was restored at this start may lack something: everything committed before it must be seen.
    pub incomplete: bool,
}

/// Why this instance serves no named session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotServing {
    /// A newer start of this instance is known, of this incarnation.
    #[error("a newer start of this instance serves (incarnation {0})")]
    Superseded(u64),
    /// That instance does not list this one among its peers.
    #[error("instance {0} does not list this one")]
    NotListed(Instance),
}

/// What sessions must see at one instance.
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) commits: CommitCache,
    /// What every named session must see: commits that are known of by their time alone.
    pub(super) floor: Option<Time>,
    /// The floor has to rise to the present as soon as that is known.
    pub(super) floor_pending: bool,
    pub(super) peers: BTreeMap<Instance, Peer>,
    /// Peers that are listed no more may rely on us until then.
    pub(super) unlisted_lease_until: Time,
    /// The newest commit's number.
    pub(super) last_seq: u64,
    /// The journal holds commits up to this one.
    pub(super) synced_seq: u64,
    /// The journal is written.
    pub(super) durable: bool,
    /// The journal can neither be written nor deleted.
    pub(super) journal_stuck: bool,
    /// The newest commits, the last one numbered `last_seq`.
    pub(super) recent_commits: VecDeque<(SessionKey, i64)>,
    /// Writes whose acknowledgement is pending, by their commit's number.
    pub(super) pending_acks: BTreeMap<u64, PendingAck>,
    /// The incarnation of a newer start of this instance.
    pub(super) superseded_by: Option<u64>,
    /// Some peer has accepted this start.
    pub(super) was_accepted: bool,
}

impl Machine {
    /// A machine that has just started, with what a journal holds.
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
            journal_stuck: false,
            settings,
            commits,
            floor: None,
            peers: BTreeMap::new(),
            unlisted_lease_until: Time(0),
            last_seq: 0,
            synced_seq: 0,
            recent_commits: VecDeque::new(),
            pending_acks: BTreeMap::new(),
            superseded_by: None,
            was_accepted: false,
        }
    }

    /// The commits that are held.
    pub fn commits(&self) -> &CommitCache {
        &self.commits
    }

    /// The newest commit's number.
    pub fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// How many writes wait for their acknowledgement.
    pub fn pending_ack_count(&self) -> usize {
        self.pending_acks.len()
    }

    /// This start's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.settings.incarnation
    }

    /// Whether commits are on disk before their writes are acknowledged.
    pub fn durable(&self) -> bool {
        self.durable && !self.journal_stuck
    }

    /// What every session must see, as far as it is known.
    pub fn floor(&self) -> Option<Time> {
        self.commits.floor().max(self.floor)
    }

    /// Whether commits before this start may be missing and their time is not known yet.
    pub fn floor_pending(&self) -> bool {
        self.floor_pending
    }

    /// Why this instance serves no named session, if so.
    pub fn not_serving(&self) -> Option<NotServing> {
        if let Some(newest) = self.superseded_by {
            return Some(NotServing::Superseded(newest));
        }
        let (instance, _) = self.peers.iter().find(|(_, peer)| peer.not_listed)?;
        Some(NotServing::NotListed(*instance))
    }

    /// What a named session's read that is received now must see.
    pub fn required_position(&self, session: SessionKey, now: Now) -> Option<Time> {
        if self.floor_pending || !self.peers_up_to_date(now.at) {
            return Some(now.present.unwrap_or(AFTER_EVERY_COMMIT));
        }
        self.commits.required_position(session).max(self.floor)
    }

    /// What a read must see whose session exists in this process alone.
    pub fn required_position_of_connection(&self, session: SessionKey) -> Option<Time> {
        self.commits.required_position(session)
    }

    /// The status of each peer.
    pub fn peer_statuses(&self, now: Time) -> Vec<PeerStatus> {
        self.peers.iter().map(|(instance, peer)| peer.status(*instance, now)).collect()
    }

    /// Whether what is held of every peer may be relied on.
    pub fn peers_up_to_date(&self, now: Time) -> bool {
        self.peers.values().all(|peer| peer.is_up_to_date(now))
    }
}
