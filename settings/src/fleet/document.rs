//! The fleet's document as the store keeps it and routers follow it. As JSON, commands print it with the keys of the file.
use super::error::FleetError;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The longest document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// The most tenants of a document.
pub const MAX_TENANTS: usize = 10_000;
/// The most routers that a fleet may have.
pub const MAX_ROUTERS: u32 = 10_000;

/// A version of the configuration: the store's revision at which it was committed; 0 where there is none yet.
pub type Version = u64;

/// What a router without the store may go on admitting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub enum OnLoss {
    /// Nothing, once its grants have run out.
    #[default]
    Closed,
    /// This share of the quota (above 0, at most 1), divided equally between the slots. It is never granted to others.
    Share(f64),
}

/// How much a tenant may ask of all routers together.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Quota {
    /// Requests a second; 0 rejects all.
    pub rate: f64,
    /// Requests beyond the rate, over any window.
    pub burst: u32,
    /// What is admitted without the store.
    pub on_loss: OnLoss,
}

/// Where a tenant's data may be read and written.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacementRule {
    /// The sites; at least one.
    pub sites: BTreeSet<String>,
    /// Nowhere else. Otherwise elsewhere where none of the sites serves.
    pub strict: bool,
    /// The names of the classes that it is for; `None` for all that no other rule of the tenant names.
    pub classes: Option<BTreeSet<String>>,
}

/// A tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tenant {
    /// The `MySQL` users that are this tenant's.
    pub users: BTreeSet<String>,
    /// Its quota; without one its requests are not limited.
    pub quota: Option<Quota>,
    /// Its placement rules; without any its data may be anywhere.
    #[serde(rename = "places")]
    pub placement_rules: Vec<PlacementRule>,
}

/// The whole document.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Fleet {
    /// The most routers that the fleet has: reserved shares of quotas are divided by it.
    #[serde(rename = "routers")]
    pub max_routers: u32,
    /// The sites that rules may name.
    pub sites: BTreeSet<String>,
    /// The tenant of requests that name none, or one that is not known.
    #[serde(rename = "unnamed")]
    pub default_tenant: String,
    /// The tenants by name; `default_tenant` is one of them.
    pub tenants: BTreeMap<String, Tenant>,
}

impl Fleet {
    /// Checks that each strict rule leaves its tenant a server; `has` are the sites of all listed servers.
    ///
    /// # Errors
    /// [`FleetError::NoMember`] names the first rule that does not.
    pub fn has_members(&self, has: &BTreeSet<String>) -> Result<(), FleetError> {
        for (name, tenant) in &self.tenants {
            let without_server = |place: &PlacementRule| place.strict && place.sites.is_disjoint(has);
            if let Some(i) = tenant.placement_rules.iter().position(without_server) {
                let sites = tenant.placement_rules[i].sites.iter().cloned().collect::<Vec<_>>().join(", ");
                return Err(FleetError::NoMember { key: format!("tenant '{name}'.place[{i}]"), sites });
            }
        }
        Ok(())
    }
}
