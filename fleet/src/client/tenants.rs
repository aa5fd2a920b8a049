//! Which tenant a request belongs to, by one version of the fleet document.
use settings::fleet::{Fleet, Version};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// The tenants of one version.
pub struct TenantDirectory {
    /// The version.
    pub version: Version,
    names: BTreeSet<Arc<str>>,
    by_user: HashMap<String, Arc<str>>,
    /// The tenant of requests that no other rule assigns.
    unnamed: Option<Arc<str>>,
}

impl TenantDirectory {
    /// The tenants of this version of the document.
    pub fn new(version: Version, fleet: &Fleet) -> TenantDirectory {
        let names: BTreeSet<Arc<str>> = fleet.tenants.keys().map(|name| name.as_str().into()).collect();
        let mut by_user = HashMap::new();
        for (name, tenant) in &fleet.tenants {
            let Some(name) = names.get(name.as_str()) else { continue };
            by_user.extend(tenant.users.iter().map(|user| (user.clone(), name.clone())));
        }
        let unnamed = names.get(fleet.default_tenant.as_str()).cloned();
        TenantDirectory { version, names, by_user, unnamed }
    }

    /// How many tenants there are.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// The tenant that the user belongs to; else the one that the request names, where there is such a tenant; else the
    /// unnamed one.
    pub fn resolve(&self, user: &str, named: Option<&str>) -> Option<&Arc<str>> {
        self.by_user
            .get(user)
            .or_else(|| named.and_then(|name| self.names.get(name)))
            .or(self.unnamed.as_ref())
    }
}
