//! One peer: what it holds of ours and what we hold of it.
use super::message::Instance;
use decision::Time;
use serde::Serialize;

/// A peer, by what it holds of ours and what we hold of it.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// A connection on which it receives our commits is up.
    pub(super) receives: bool,
    /// It holds our commits up to this one.
    pub(super) confirmed_seq: u64,
    /// It holds a lease from us until then.
    pub(super) lease_granted_until: Time,
    /// It does not list this instance.
    pub(super) not_listed: bool,
    /// Its newest known start.
    pub(super) incarnation: u64,
    /// Its commits are held up to this one.
    pub(super) received_seq: u64,
    /// A connection on which it sends its commits is up.
    pub(super) sends: bool,
    /// We hold a lease from it until then.
    pub(super) lease_held_until: Time,
    /// Its process is proven gone until then.
    pub(super) down_until: Time,
    /// When a lease was last requested from it.
    pub(super) lease_requested_at: Time,
}

impl Peer {
    /// Whether what is held of it may be relied on: a process that is gone acknowledges nothing either.
    pub(super) fn is_up_to_date(&self, now: Time) -> bool {
        self.lease_held_until > now || self.down_until > now
    }

    /// Its status, for operators.
    pub(super) fn status(&self, instance: Instance, now: Time) -> PeerStatus {
        PeerStatus {
            instance,
            incarnation: self.incarnation,
            received_seq: self.received_seq,
            confirmed_seq: self.confirmed_seq,
            connected: self.receives,
            up_to_date: self.is_up_to_date(now),
            down: self.down_until > now,
        }
    }
}

/// A peer's status, for operators. The keys of its JSON are those of `sessions show`, which operators know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerStatus {
    /// The peer.
    pub instance: Instance,
    /// Its newest known start.
    pub incarnation: u64,
    /// Its commits that are held here, by number.
    #[serde(rename = "heard")]
    pub received_seq: u64,
    /// Our commits that it holds, by number.
    #[serde(rename = "confirmed")]
    pub confirmed_seq: u64,
    /// It receives our commits.
    #[serde(rename = "linked")]
    pub connected: bool,
    /// What is held of it may be relied on.
    #[serde(rename = "relied_on")]
    pub up_to_date: bool,
    /// Its process is proven gone.
    pub down: bool,
}
