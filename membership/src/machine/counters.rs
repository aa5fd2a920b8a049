//! Counters of a router's membership.
use crate::wire::RejectReason;

/// Counters since the start. Rejected datagrams have no other effect than being counted.
///
/// The names of the fields appear, through `Debug`, in the log line at the end of membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of received datagrams.
    pub received: u64,
    /// Number of sent datagrams.
    pub sent: u64,
    /// Number of sent bytes, excluding UDP and IP headers.
    pub sent_bytes: u64,
    /// Datagrams rejected because the sender's address is not a loopback address.
    pub not_loopback: u64,
    /// Datagrams rejected because they exceed
    /// [`Settings::max_datagrams_per_s`](crate::Settings::max_datagrams_per_s).
    pub rate_limited: u64,
    /// Datagrams rejected because they are too long or too short.
    pub wrong_size: u64,
    /// Datagrams rejected because they do not begin with the magic number.
    pub wrong_magic: u64,
    /// Datagrams rejected because of another protocol version.
    pub wrong_version: u64,
    /// Datagrams rejected because they belong to another fleet.
    pub wrong_cluster: u64,
    /// Datagrams rejected because they can't be decoded or contain an invalid member (such as one that is not
    /// on loopback).
    pub malformed: u64,
    /// Datagrams rejected because they would exceed [`Settings::max_members`](crate::Settings::max_members).
    pub over_member_limit: u64,
    /// Datagrams rejected because they are an unrequested page, or because they declare this router down too
    /// soon after its last rejoin.
    pub unsolicited: u64,
    /// How often a stopped process, or a host short of CPU time, was detected.
    pub stalls: u64,
    /// How often this router rejoined with a new incarnation.
    pub rejoins: u64,
    /// Number of errors of the SWIM core, which continues after them.
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
