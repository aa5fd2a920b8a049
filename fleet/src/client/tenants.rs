//! Maps requests to tenants, according to one version of the fleet document.
use settings::fleet::{Fleet, Version};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// The tenants of one version of the fleet document.
pub struct TenantDirectory {
    /// The version of the document.
    pub version: Version,
    names: BTreeSet<Arc<str>>,
    by_user: HashMap<String, Arc<str>>,
    /// The tenant of requests that no other rule assigns to a tenant.
    default_tenant: Option<Arc<str>>,
}

impl TenantDirectory {
    /// Creates the directory for this version of the document.
    pub fn new(version: Version, fleet: &Fleet) -> TenantDirectory {
        let names: BTreeSet<Arc<str>> = fleet.tenants.keys().map(|name| name.as_str().into()).collect();
        let mut by_user = HashMap::new();
        for (name, tenant) in &fleet.tenants {
            let Some(name) = names.get(name.as_str()) else { continue };
            by_user.extend(tenant.users.iter().map(|user| (user.clone(), name.clone())));
        }
        let default_tenant = names.get(fleet.default_tenant.as_str()).cloned();
        TenantDirectory { version, names, by_user, default_tenant }
    }

    /// The number of tenants.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// Resolves the tenant of a request: the tenant that the user belongs to, otherwise the tenant that the
    /// request names if that tenant exists, otherwise the default tenant.
    pub fn resolve(&self, user: &str, named: Option<&str>) -> Option<&Arc<str>> {
        self.by_user
            .get(user)
            .or_else(|| named.and_then(|name| self.names.get(name)))
            .or(self.default_tenant.as_ref())
    }
}
