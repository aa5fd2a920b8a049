//! The state of one peer: commits and leases exchanged in both directions.
use super::message::Instance;
use decision::Time;
use serde::Serialize;

/// The state of one peer: commits and leases exchanged in both directions.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// The connection on which this instance sends its commits to the peer is open.
    pub(super) outbound_connected: bool,
    /// The newest commit of this instance that the peer has confirmed.
    pub(super) confirmed_seq: u64,
    /// When the lease that the peer holds from this instance expires.
    pub(super) lease_granted_until: Time,
    /// The peer does not list this instance among its peers.
    pub(super) not_listed: bool,
    /// The peer's newest known incarnation.
    pub(super) incarnation: u64,
    /// The newest commit received from the peer.
    pub(super) received_seq: u64,
    /// The connection on which the peer sends its commits to this instance is open.
    pub(super) inbound_connected: bool,
    /// When the lease that this instance holds from the peer expires.
    pub(super) lease_held_until: Time,
    /// Until this time the peer can't acknowledge writes, because its address refused a connection.
    pub(super) down_until: Time,
    /// When this instance last requested a lease from the peer.
    pub(super) lease_requested_at: Time,
}

impl Peer {
    /// Whether no write that the peer has acknowledged can be missing here: a lease is held, or the peer is
    /// down and acknowledges nothing.
    pub(super) fn is_up_to_date(&self, now: Time) -> bool {
        self.lease_held_until > now || self.down_until > now
    }

    /// The peer's status, for operators.
    pub(super) fn status(&self, instance: Instance, now: Time) -> PeerStatus {
        PeerStatus {
            instance,
            incarnation: self.incarnation,
            received_seq: self.received_seq,
            confirmed_seq: self.confirmed_seq,
            connected: self.outbound_connected,
            up_to_date: self.is_up_to_date(now),
            down: self.down_until > now,
        }
    }
}

/// A peer's status, for operators. The JSON keys are those that `sessions show` prints, and must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerStatus {
    /// The peer's instance number.
    pub instance: Instance,
    /// The peer's newest known incarnation.
    pub incarnation: u64,
    /// The number of the newest commit received from the peer.
    #[serde(rename = "heard")]
    pub received_seq: u64,
    /// The number of this instance's newest commit that the peer has confirmed.
    #[serde(rename = "confirmed")]
    pub confirmed_seq: u64,
    /// Whether the connection on which the peer receives this instance's commits is open.
    #[serde(rename = "linked")]
    pub connected: bool,
    /// Whether no write that the peer has acknowledged can be missing here.
    #[serde(rename = "relied_on")]
    pub up_to_date: bool,
    /// Whether the peer's address recently refused a connection, so its process is not running.
    pub down: bool,
}
