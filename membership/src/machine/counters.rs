//! What a router counts.
use crate::wire::RejectReason;

/// Counts since the start. A rejected datagram changes nothing else.
///
/// Field names stand in the log line that ends membership, by way of `Debug`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams received.
    pub received: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, without the headers of UDP and IP.
    pub sent_bytes: u64,
    /// Rejected: the sender is not on loopback.
    pub not_loopback: u64,
    /// Rejected: more than [`Settings::max_datagrams_per_s`](crate::Settings::max_datagrams_per_s).
    pub rate_limited: u64,
    /// Rejected: too long or too short.
    pub wrong_size: u64,
    /// Rejected: not a membership datagram.
    pub wrong_magic: u64,
    /// Rejected: another version of the protocol.
    pub wrong_version: u64,
    /// Rejected: another fleet's.
    pub wrong_cluster: u64,
    /// Rejected: cannot be read, or names a member that cannot be one (not on loopback).
    pub malformed: u64,
    /// Rejected: more names than [`Settings::max_members`](crate::Settings::max_members).
    pub over_member_limit: u64,
    /// Rejected: a page that was not requested, or calls to rejoin too close together.
    pub unsolicited: u64,
    /// Times a stopped process (or a host short of processor time) was noticed.
    pub stalls: u64,
    /// Times this router rejoined under a new incarnation.
    pub rejoins: u64,
    /// Errors inside the protocol's core, which goes on.
    pub core_errors: u64,
}

impl Counters {
    pub(crate) fn count_rejected(&mut self, reason: RejectReason) {
        let counter = match reason {
            RejectReason::WrongSize => &mut self.wrong_size,
            RejectReason::WrongMagic => &mut self.wrong_magic,
            RejectReason::WrongVersion => &mut self.wrong_version,
            RejectReason::WrongCluster => &mut self.wrong_cluster,
            RejectReason::Malformed => &mut self.malformed,
        };
        *counter += 1;
    }
}
