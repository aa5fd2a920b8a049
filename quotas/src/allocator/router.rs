//! The allocator's record of one incarnation of a router.
use crate::equal_shares::EqualShares;
use crate::grant::Grant;
use crate::messages::ReservedShare;
use decision::Time;
use settings::fleet::Version;

/// A router's reserved share and the version of the configuration that it belongs to.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct ShareAssignment {
    pub(super) share: Option<ReservedShare>,
    pub(super) version: Version,
}

/// A router's reserved share before and after a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareChange {
    /// The share of the present version that the router holds already.
    pub(super) before: Option<ReservedShare>,
    pub(super) after: Option<ReservedShare>,
}

impl ShareChange {
    /// Whether this response gives the router its full reserved share of the present version.
    pub(super) fn becomes_full(self) -> bool {
        self.after != self.before && self.after.is_some_and(|share| share.full)
    }
}

/// The record of one incarnation of a router, removed when everything that the router may hold has expired.
#[derive(Clone, Debug, Hash)]
pub(super) struct RouterRecord {
    pub(super) name: String,
    pub(super) incarnation: u64,
    /// The sequence number of the last exchange that was responded to.
    pub(super) seq: u64,
    /// When everything that the router holds expires.
    pub(super) expires: Time,
    /// A later incarnation has sent a report, so this one is granted nothing more.
    pub(super) superseded: bool,
    /// The reserved share that the router has acknowledged to hold.
    pub(super) acknowledged: ShareAssignment,
    /// The reserved share in the last response, if that response is not acknowledged yet.
    pub(super) sent: Option<ShareAssignment>,
    /// Whether the allocator knows what the router holds, so that the router's next report may state only
    /// changes.
    pub(super) holdings_known: bool,
}

impl RouterRecord {
    /// The most that the router's reserved share of a tenant's quota may be.
    pub(super) fn max_reserved(&self, shares: &EqualShares) -> Grant {
        let acknowledged = shares.reserved(self.acknowledged.share);
        self.sent.map_or(acknowledged, |sent| acknowledged.max(shares.reserved(sent.share)))
    }

    /// The indices of the reserved shares that the router may hold.
    pub(super) fn share_indices(&self) -> impl Iterator<Item = u32> {
        let sent = self.sent.and_then(|sent| sent.share);
        [self.acknowledged.share, sent].into_iter().flatten().map(|share| share.index)
    }

    /// Whether every share that the router may hold belongs to this version.
    pub(super) fn holds_only(&self, version: Version) -> bool {
        self.acknowledged.version == version && self.sent.is_none_or(|sent| sent.version == version)
    }
}
