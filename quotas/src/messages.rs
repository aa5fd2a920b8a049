//! The messages of an exchange between a router and the leader.
//!
//! They go over the wire in the postcard format, which writes neither the names of types nor those of fields: the order
//! and kind of fields and variants must stay. Tenants are named because their indices differ between versions of the
//! configuration.
use crate::grant::Grant;
use serde::{Deserialize, Serialize};
use settings::fleet::Version;

/// The reserved shares of a router: one equal part of every tenant's quota, in use wherever no grant by demand replaces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReservedShare {
    /// Which of the equal parts, from 0 to below the fleet's number of routers.
    pub index: u32,
    /// Whether the shares are those of the present version in full. Otherwise each is the smaller of it and what the
    /// router held before.
    pub full: bool,
}

/// Everything that a router holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldGrants {
    /// The version of the configuration by which the grants were last renewed.
    pub version: Version,
    /// The router's reserved shares.
    pub reserved_share: Option<ReservedShare>,
    /// Grants by demand, each in place of the tenant's reserved share.
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
    /// The tenant's name.
    pub tenant: String,
    /// What is granted.
    pub grant: Grant,
}

/// A tenant's demand at one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantDemand {
    /// The tenant's name.
    pub tenant: String,
    /// Requests per second, in millionths of a request; 0 where there is no demand beyond the reserved share.
    pub rate: u64,
}

/// A change of a tenant's grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantChange {
    /// The tenant's name.
    pub tenant: String,
    /// The grant by demand from now on; `None` returns to the reserved share.
    pub grant: Option<Grant>,
}

/// What a router sends in an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The router's name.
    pub router: String,
    /// The router's incarnation; a later one supersedes an earlier one.
    pub incarnation: u64,
    /// The exchange's sequence number within this incarnation.
    pub seq: u64,
    /// The highest term of any response that the router has had.
    pub term: u64,
    /// The exchange whose response was the last to be applied; 0 for none.
    pub applied_seq: u64,
    /// The version of the configuration that the router follows.
    pub version: Version,
    /// Whether the router shuts down and has released everything it held.
    pub leaving: bool,
    /// Everything the router holds, where the allocator may not know it; `None` where nothing has changed since the
    /// response to `applied_seq`.
    pub held: Option<HeldGrants>,
    /// Changes of demand beyond the reserved shares; all of it where `held` is present.
    pub demand: Vec<TenantDemand>,
}

/// What the leader sends back in an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantResponse {
    /// The term in which the leader responds.
    pub term: u64,
    /// The router's incarnation, as in the report.
    pub incarnation: u64,
    /// The exchange's sequence number, as in the report.
    pub seq: u64,
    /// The version of the configuration at the leader.
    pub version: Version,
    /// What the response does.
    pub body: ResponseBody,
}

/// What a response does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ResponseBody {
    /// Renews nothing: the next report must state everything the router holds.
    FullReportRequired,
    /// Renews nothing: the router must first learn the leader's version of the configuration, or is leaving.
    NotRenewed,
    /// Renews everything the router holds for a further lifetime, with these changes.
    Renewed {
        /// What the router held before is void.
        reset: bool,
        /// The reserved shares from now on.
        reserved_share: Option<ReservedShare>,
        /// The grants that change.
        changes: Vec<GrantChange>,
    },
}
