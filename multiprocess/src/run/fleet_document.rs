//! The fleet document of a run: the tenants' quotas and placement rules, which faults may change.
use super::operator_file::toml_array;
use crate::history::{AllowedSites, QuotaLimit};
use crate::plan::{self, Placement, Plan, READ_CLASS, WRITE_CLASS};
use std::fmt;

/// The quota of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Admitted requests per second.
    pub rate: f64,
    /// Requests that may exceed the rate.
    pub burst: u32,
}

/// The configuration of a tenant in the fleet document.
#[derive(Clone, Debug)]
pub struct TenantConfig {
    name: String,
    quota: Option<Quota>,
    on_loss: Option<f64>,
    placement: Option<Placement>,
}

impl TenantConfig {
    fn new(tenant: &plan::Tenant) -> TenantConfig {
        TenantConfig {
            name: tenant.name.clone(),
            quota: tenant.rate.zip(tenant.burst).map(|(rate, burst)| Quota { rate, burst }),
            on_loss: tenant.on_loss,
            placement: tenant.placement.clone(),
        }
    }

    /// Returns the quota as a limit for the checker; `None` for a tenant without a quota.
    pub fn quota_limit(&self) -> Option<QuotaLimit> {
        self.quota.map(|quota| QuotaLimit { rate: quota.rate, burst: f64::from(quota.burst) })
    }

    /// Returns the sites at which statements may run. A rule that only prefers sites allows all sites.
    pub fn allowed_sites(&self) -> AllowedSites {
        let Some(rule) = self.placement.as_ref().filter(|rule| rule.strict) else {
            return AllowedSites::default();
        };
        let sites_for = |class| rule.applies_to(class).then(|| rule.sites.iter().cloned().collect());
        AllowedSites { reads: sites_for(READ_CLASS), writes: sites_for(WRITE_CLASS) }
    }
}

impl fmt::Display for TenantConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[[tenant]]\nname = '{}'", self.name)?;
        if let Some(Quota { rate, burst }) = self.quota {
            writeln!(f, "rate = {rate:?}\nburst = {burst}")?;
        }
        if let Some(share) = self.on_loss.filter(|_| self.quota.is_some()) {
            writeln!(f, "on_loss = {share:?}")?;
        }
        let Some(placement) = &self.placement else { return Ok(()) };
        let how = if placement.strict { "strict" } else { "prefer" };
        writeln!(f, "[[tenant.place]]\nsites = {}\nhow = '{how}'", toml_array(&placement.sites))?;
        if let Some(classes) = &placement.classes {
            writeln!(f, "classes = {}", toml_array(classes))?;
        }
        Ok(())
    }
}

/// The fleet document; `Display` writes it as TOML.
#[derive(Clone, Debug)]
pub struct FleetDocument {
    /// Number of members of the fleet: routers and store nodes.
    members: usize,
    sites: Vec<String>,
    tenants: Vec<TenantConfig>,
}

impl FleetDocument {
    /// Creates the fleet document with the initial configuration of a plan.
    pub fn new(plan: &Plan) -> FleetDocument {
        FleetDocument {
            members: plan.routers + plan.store_nodes,
            sites: plan.sites.clone(),
            tenants: plan.tenants.iter().map(TenantConfig::new).collect(),
        }
    }

    /// Returns the tenants in the plan's order.
    pub fn tenants(&self) -> &[TenantConfig] {
        &self.tenants
    }

    /// Sets a tenant's quota.
    pub fn set_quota(&mut self, tenant: &str, quota: Quota) {
        self.tenants_named(tenant).for_each(|tenant| tenant.quota = Some(quota));
    }

    /// Sets the sites of a tenant's placement rule; the rule's classes stay the same.
    pub fn set_placement(&mut self, tenant: &str, sites: &[String], strict: bool) {
        for tenant in self.tenants_named(tenant) {
            let classes = tenant.placement.take().and_then(|rule| rule.classes);
            tenant.placement = Some(Placement { sites: sites.to_vec(), strict, classes });
        }
    }

    fn tenants_named(&mut self, name: &str) -> impl Iterator<Item = &mut TenantConfig> {
        self.tenants.iter_mut().filter(move |tenant| tenant.name == name)
    }
}

impl fmt::Display for FleetDocument {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unnamed = &self.tenants[0].name;
        let sites = toml_array(&self.sites);
        writeln!(f, "routers = {}\nsites = {sites}\nunnamed = '{unnamed}'", self.members)?;
        self.tenants.iter().try_for_each(|tenant| write!(f, "{tenant}"))
    }
}
