//! The configuration of the fleet: tenants, their quotas and the sites where their data may be read and
//! written. It is one TOML document, stored in the replicated store under one version and watched by all
//! routers. [`read`] validates the whole document, so that an invalid one is rejected before it is stored.
//! The operator's file has the addresses of the store ([`FleetMemberConfig`]).
mod document;
mod error;
mod member;
mod names;
mod text;

pub use document::{
    Fleet, MAX_DOCUMENT_BYTES, MAX_ROUTERS, MAX_TENANTS, OnLoss, PlacementRule, Quota, Tenant, Version,
};
pub use error::FleetError;
pub use member::{AuditConfig, FleetMemberConfig, read_member};
pub use text::read;
