//! The parsed fleet document. Commands print it as JSON with the same keys as the TOML file.
use super::error::FleetError;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The maximum size of a fleet document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// The maximum number of tenants in a fleet document.
pub const MAX_TENANTS: usize = 10_000;
/// The maximum number of routers in a fleet.
pub const MAX_ROUTERS: u32 = 10_000;

/// A version of the fleet document: the revision of the store at which it was committed, or 0 if none is
/// stored yet.
pub type Version = u64;

/// How much of a tenant's quota a router may admit while it cannot reach the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub enum OnLoss {
    /// Admits nothing once the router's grants have expired.
    #[default]
    Closed,
    /// Reserves this share of the quota (above 0, at most 1), divided equally between the router slots. The
    /// reserved share is never granted to other routers.
    Share(f64),
}

/// The request quota of a tenant across all routers of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Quota {
    /// Admitted requests per second; 0 rejects all requests.
    pub rate: f64,
    /// Requests that may be admitted beyond the rate, over any time window.
    pub burst: u32,
    /// How much a router may admit while it cannot reach the store.
    pub on_loss: OnLoss,
}

/// The sites at which a tenant's data may be read and written.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacementRule {
    /// The allowed or preferred sites; at least one.
    pub sites: BTreeSet<String>,
    /// If true, only these sites may serve the tenant; if false, other sites may serve when none of these
    /// can.
    pub strict: bool,
    /// The names of the classes to which the rule applies; `None` for all classes that no other rule of the
    /// tenant names.
    pub classes: Option<BTreeSet<String>>,
}

/// A tenant of the fleet: its users, its quota and its placement rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tenant {
    /// The `MySQL` users that belong to this tenant.
    pub users: BTreeSet<String>,
    /// The tenant's quota; `None` means that its requests are not limited.
    pub quota: Option<Quota>,
    /// The tenant's placement rules; if empty, its data may be at any site.
    #[serde(rename = "places")]
    pub placement_rules: Vec<PlacementRule>,
}

/// The parsed fleet document.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Fleet {
    /// The maximum number of routers in this fleet; reserved shares of quotas are divided by it.
    #[serde(rename = "routers")]
    pub max_routers: u32,
    /// The sites that placement rules may name.
    pub sites: BTreeSet<String>,
    /// The tenant of requests whose tenant is missing or unknown.
    #[serde(rename = "unnamed")]
    pub default_tenant: String,
    /// The tenants by name, including `default_tenant`.
    pub tenants: BTreeMap<String, Tenant>,
}

impl Fleet {
    /// Checks that each strict placement rule names a site that has a server.
    ///
    /// # Errors
    /// [`FleetError::NoServer`] for the first strict rule whose sites have no server.
    pub fn check_strict_sites(&self, server_sites: &BTreeSet<String>) -> Result<(), FleetError> {
        for (name, tenant) in &self.tenants {
            let without_server =
                |place: &PlacementRule| place.strict && place.sites.is_disjoint(server_sites);
            if let Some(i) = tenant.placement_rules.iter().position(without_server) {
                let sites = tenant.placement_rules[i].sites.iter().cloned().collect::<Vec<_>>().join(", ");
                return Err(FleetError::NoServer { key: format!("tenant '{name}'.place[{i}]"), sites });
            }
        }
        Ok(())
    }
}
