//! The fleet's own configuration: tenants, their quotas and where their data may be. It is one document, kept in the
//! store under one version and followed by all routers. It is written as TOML; [`read`] checks it as a whole, so that a
//! faulty one is refused before it has a version. An operator's file says where the store is ([`FleetMemberConfig`]).
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
