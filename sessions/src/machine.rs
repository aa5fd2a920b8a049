//! The state machine: when a write may be acknowledged, which peers may be relied on, and what a read must see.
//!
//! An instance may rely on what it holds of a peer while it has a *lease* from it. The peer has granted that and
//! acknowledges no write before the instance has confirmed it, until the lease is over. The holder counts from when
//! it asked and the giver from when it answered, with a margin for clocks that run at different rates, so no clocks
//! are compared. Without a lease from every peer, a named session's read must see the present: everything committed
//! before it came in. A peer whose process is proven gone (its address refuses connections) acknowledges nothing,
//! and for as long as a fresh process must wait before it does, so the proof is as good as a lease.
//!
//! No I/O, no clock, no threads, no random numbers: the same events at the same times give the same actions.
mod event;
mod peers;
mod writes;

pub use event::{Action, Event, Instance, Now, PendingAck, Push, Stopped, Why};
pub use peers::PeerStatus;

use self::peers::Peer;
use crate::commit_cache::CommitCache;
use crate::{FAR, Key};
use decision::{Micros, Time};
use std::collections::{BTreeMap, VecDeque};

/// How the machine is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub instance: Instance,
    /// Rises with each start.
    pub incarnation: u64,
    /// How long a lease lasts for its holder.
    pub lease: Micros,
    /// Commits that are held for peers that come back.
    pub resume: usize,
    /// Sessions remembered one by one.
    pub sessions: usize,
    /// A journal keeps commits.
    pub durable: bool,
    /// What was kept before this start may lack something: everything committed before it must be seen.
    pub incomplete: bool,
}

/// What sessions must see at one instance.
pub struct Machine {
    settings: Settings,
    kept: CommitCache,
    /// What every named session must see: commits that are known of by their time alone.
    floor: Option<Time>,
    /// The floor has to rise to the present as soon as that is known.
    floor_due: bool,
    peers: BTreeMap<Instance, Peer>,
    /// Peers that are listed no more may rely on us until then.
    unlisted_lease_until: Time,
    /// The newest commit's number.
    seq: u64,
    /// The journal holds commits up to this one.
    synced: u64,
    /// The journal is written.
    durable: bool,
    /// The journal can neither be written nor deleted.
    journal_stuck: bool,
    /// The newest commits, the last one numbered `seq`.
    recent: VecDeque<(Key, i64)>,
    /// Writes whose acknowledgement is pending, by their commit's number.
    waiting: BTreeMap<u64, PendingAck>,
    /// The incarnation of a newer start of this instance.
    superseded: Option<u64>,
    /// Some peer has accepted this start.
    was_accepted: bool,
}

impl Machine {
    /// A machine that has just started, with what a journal kept.
    pub fn new(settings: Settings, kept: impl IntoIterator<Item = (Key, Time)>, floor: Option<Time>) -> Self {
        let mut held = CommitCache::new(settings.sessions);
        kept.into_iter().for_each(|(key, at)| held.add(key, at));
        if let Some(floor) = floor {
            held.raise(floor);
        }
        Machine {
            floor_due: settings.incomplete,
            durable: settings.durable,
            journal_stuck: false,
            settings,
            kept: held,
            floor: None,
            peers: BTreeMap::new(),
            unlisted_lease_until: Time(0),
            seq: 0,
            synced: 0,
            recent: VecDeque::new(),
            waiting: BTreeMap::new(),
            superseded: None,
            was_accepted: false,
        }
    }

    /// The commits that are held.
    pub fn kept(&self) -> &CommitCache {
        &self.kept
    }

    /// The newest commit's number.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// How many writes wait for their acknowledgement.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
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
        self.kept.floor().max(self.floor)
    }

    /// Whether commits before this start may be missing and their time is not known yet.
    pub fn floor_due(&self) -> bool {
        self.floor_due
    }

    /// Why this instance serves no named session, if so.
    pub fn stopped(&self) -> Option<Stopped> {
        if let Some(newest) = self.superseded {
            return Some(Stopped::Superseded(newest));
        }
        let (instance, _) = self.peers.iter().find(|(_, peer)| peer.not_listed)?;
        Some(Stopped::NotListed(*instance))
    }

    /// What a named session's read that comes in now must see.
    pub fn need(&self, key: Key, now: Now) -> Option<Time> {
        if self.floor_due || !self.peers_up_to_date(now.at) {
            return Some(now.present.unwrap_or(FAR));
        }
        self.kept.required_position(key).max(self.floor)
    }

    /// What a read must see whose session exists in this process alone.
    pub fn own_need(&self, key: Key) -> Option<Time> {
        self.kept.required_position(key)
    }

    /// Handles one event and appends what is to be done.
    pub fn handle(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        if self.floor_due && now.present.is_some() {
            self.raise_floor(now, actions);
        }
        match event {
            Event::Commit(ticket, key, at) => self.commit(ticket, key, at, actions),
            Event::Own(key, at) => self.kept.add(key, at),
            Event::Synced(seq) => self.synced = self.synced.max(seq),
            Event::JournalLost => (self.durable, self.journal_stuck) = (false, false),
            Event::JournalStuck => self.journal_stuck = true,
            Event::JournalBack(seq) => {
                (self.durable, self.journal_stuck) = (self.settings.durable, false);
                self.synced = self.synced.max(seq);
            }
            Event::Peers(listed) => self.set_peers(&listed, now, actions),
            Event::Accepted { peer, incarnation, holds } => {
                self.handle_accepted(peer, incarnation, holds, actions);
            }
            Event::Refused(peer, why) => self.handle_refused(peer, why, actions),
            Event::Confirmed(peer, seq) => self.handle_confirmed(peer, seq),
            Event::Asked(peer, asked) => self.handle_lease_request(peer, asked, now, actions),
            Event::Unlinked(peer) => self.handle_unlinked(peer),
            Event::Down(peer, begun) => self.handle_down(peer, begun, now, actions),
            Event::Introduced(peer, incarnation) => {
                self.handle_introduced(peer, incarnation, now, actions);
            }
            Event::Pushed(peer, push) => self.handle_pushed(peer, push, now, actions),
            Event::Left(peer) => self.handle_left(peer),
            Event::Tick => self.request_leases(now, actions),
        }
        self.release(now.at, actions);
    }
}
