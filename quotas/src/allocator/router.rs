//! What the allocator knows of one router.
use crate::equal_shares::EqualShares;
use crate::grant::Grant;
use crate::messages::ReservedShare;
use decision::Time;
use settings::fleet::Version;

/// A router's reserved share and the version of the configuration it is by.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct ShareAssignment {
    pub(super) share: Option<ReservedShare>,
    pub(super) version: Version,
}

/// A router's reserved share before and from a response on.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareChange {
    /// What the router holds by the present version already.
    pub(super) before: Option<ReservedShare>,
    pub(super) after: Option<ReservedShare>,
}

impl ShareChange {
    /// Whether the reserved share becomes that of the version in full.
    pub(super) fn becomes_full(self) -> bool {
        self.after != self.before && self.after.is_some_and(|share| share.full)
    }
}

/// One incarnation of a router, for as long as it may hold something.
#[derive(Clone, Debug, Hash)]
pub(super) struct RouterRecord {
    pub(super) name: String,
    pub(super) incarnation: u64,
    /// The last exchange that was responded to.
    pub(super) seq: u64,
    /// When everything it holds has expired.
    pub(super) expires: Time,
    /// A later incarnation has reported: this one is granted nothing more.
    pub(super) superseded: bool,
    /// The reserved share that it is known to hold.
    pub(super) acknowledged: ShareAssignment,
    /// What the last response may have made of it.
    pub(super) sent: Option<ShareAssignment>,
    /// Whether a report of changes alone can be understood.
    pub(super) known: bool,
}

impl RouterRecord {
    /// The router's reserved share of a tenant's quota, at most.
    pub(super) fn max_reserved(&self, shares: &EqualShares) -> Grant {
        let acknowledged = shares.reserved(self.acknowledged.share);
        self.sent.map_or(acknowledged, |sent| acknowledged.max(shares.reserved(sent.share)))
    }

    /// The indices of the reserved shares that it may hold.
    pub(super) fn share_indices(&self) -> impl Iterator<Item = u32> {
        let sent = self.sent.and_then(|sent| sent.share);
        [self.acknowledged.share, sent].into_iter().flatten().map(|share| share.index)
    }

    /// Whether everything that it may hold is by this version.
    pub(super) fn holds_only(&self, version: Version) -> bool {
        self.acknowledged.version == version && self.sent.is_none_or(|sent| sent.version == version)
    }
}
