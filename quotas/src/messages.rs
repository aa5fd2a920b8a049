//! The messages of an exchange between a router and the leader.
//!
//! The messages are encoded in the postcard format, which contains no names of types or fields: the order and
//! kind of fields and variants must not change. Tenants are identified by name because their indices
//! differ between versions of the configuration.
use crate::grant::Grant;
use serde::{Deserialize, Serialize};
use settings::fleet::Version;

/// The reserved shares of a router: one equal part of every tenant's quota. A grant by demand replaces the
/// reserved share of its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReservedShare {
    /// The index of the equal part, from 0 to below the fleet's number of routers.
    pub index: u32,
    /// Whether the reserved shares are the full shares of the present version. Otherwise each share is the
    /// smaller of the full share and the share that the router held before.
    pub full: bool,
}

/// All shares and grants that a router holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldGrants {
    /// The configuration version for which the grants were last renewed.
    pub version: Version,
    /// The router's reserved shares.
    pub reserved_share: Option<ReservedShare>,
    /// Grants by demand; each replaces the tenant's reserved share.
    pub by_demand: Vec<TenantGrant>,
}

impl HeldGrants {
    pub(crate) fn is_empty(&self) -> bool {
        self.reserved_share.is_none() && self.by_demand.is_empty()
    }
}

/// A tenant's grant by demand.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenantGrant {
    /// The name of the tenant.
    pub tenant: String,
    /// The rate and capacity granted.
    pub grant: Grant,
}

/// A tenant's demand at one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantDemand {
    /// The name of the tenant.
    pub tenant: String,
    /// Requests per second, in millionths of a request; 0 where there is no demand beyond the reserved share.
    pub rate: u64,
}

/// A change of a tenant's grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantChange {
    /// The name of the tenant.
    pub tenant: String,
    /// The new grant by demand; `None` returns the tenant to its reserved share.
    pub grant: Option<Grant>,
}

/// A router's message in an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The name of the reporting router.
    pub router: String,
    /// The router's incarnation; a later one supersedes an earlier one.
    pub incarnation: u64,
    /// The exchange's sequence number within this incarnation.
    pub seq: u64,
    /// The highest term of any response that the router has received.
    pub term: u64,
    /// The sequence number of the exchange whose response was applied last; 0 for none.
    pub applied_seq: u64,
    /// The version of the configuration that the router uses.
    pub version: Version,
    /// Whether the router is shutting down and has released everything that it held.
    pub leaving: bool,
    /// Everything that the router holds, if the allocator may not know it; `None` if nothing has changed
    /// since the response to `applied_seq`.
    pub held: Option<HeldGrants>,
    /// Changes of demand beyond the reserved shares, or all such demand if `held` is present.
    pub demand: Vec<TenantDemand>,
}

/// The leader's response in an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantResponse {
    /// The term in which the leader responds.
    pub term: u64,
    /// The router's incarnation, as in the report.
    pub incarnation: u64,
    /// The exchange's sequence number, as in the report.
    pub seq: u64,
    /// The version of the configuration that the leader uses.
    pub version: Version,
    /// What the response grants or requires.
    pub body: ResponseBody,
}

/// What a response grants or requires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ResponseBody {
    /// Nothing is renewed: the next report must state everything that the router holds.
    FullReportRequired,
    /// Nothing is renewed: the router must first apply the leader's version of the configuration, or it is
    /// shutting down.
    NotRenewed,
    /// Everything that the router holds is renewed for another lifetime, with these changes.
    Renewed {
        /// Whether the router must discard everything that it held before.
        reset: bool,
        /// The router's new reserved shares.
        reserved_share: Option<ReservedShare>,
        /// The grants by demand that change.
        changes: Vec<GrantChange>,
    },
}
