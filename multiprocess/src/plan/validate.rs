//! Validation of a parsed plan: ranges of values, references between names, and settings that need a store.
use super::document::{Group, MAX_ROUTERS, Plan, READ_CLASS, Tenant, WRITE_CLASS};
use super::error::PlanError;
use super::fault::{Fault, FaultKind};
use super::load::{Load, Targets};
use std::collections::BTreeSet;

/// Maximum duration of the load, in seconds.
const MAX_LOAD_SECONDS: f64 = 86_400.0;
/// Maximum duration of a fault, in seconds.
const MAX_FAULT_SECONDS: f64 = 3600.0;
/// Maximum service time of a statement, in milliseconds.
const MAX_SERVICE_MS: f64 = 10_000.0;
/// Maximum delay that a link fault may add, in milliseconds.
const MAX_DELAY_MS: f64 = 60_000.0;
/// Maximum rate of a load, in requests per second.
const MAX_LOAD_RATE: f64 = 100_000.0;
/// Maximum rate of a quota, in requests per second.
const MAX_QUOTA_RATE: f64 = 1e9;
/// Maximum number of threads that send the load.
const MAX_LOAD_THREADS: f64 = 64.0;
/// Maximum number of client connections to each router.
const MAX_CONNECTIONS: f64 = 100.0;

impl Plan {
    /// Validates the plan.
    ///
    /// # Errors
    /// Returns a [`PlanError`] that names the invalid key.
    pub fn check(&self) -> Result<(), PlanError> {
        self.check_general()?;
        self.check_groups()?;
        self.check_tenants()?;
        self.loads.iter().enumerate().try_for_each(|(index, load)| self.check_load(index, load))?;
        self.faults.iter().enumerate().try_for_each(|(index, fault)| self.check_fault(index, fault))
    }

    fn check_general(&self) -> Result<(), PlanError> {
        check_range("routers", self.routers as f64, 1.0, MAX_ROUTERS as f64)?;
        check_range("seconds", self.seconds, 0.1, MAX_LOAD_SECONDS)?;
        check_range("service_ms", self.service_ms, 0.0, MAX_SERVICE_MS)?;
        check_range("load_threads", self.load_threads as f64, 1.0, MAX_LOAD_THREADS)?;
        check_range("connections", self.connections as f64, 1.0, MAX_CONNECTIONS)?;
        if !matches!(self.store_nodes, 0 | 1 | 3 | 5) {
            return Err(PlanError::value("nodes", "0, 1, 3 or 5", self.store_nodes));
        }
        if self.follows_fleet && self.store_nodes == 0 {
            return Err(PlanError::value("nodes", "at least 1 with fleet = true", 0));
        }
        Ok(())
    }

    fn check_groups(&self) -> Result<(), PlanError> {
        if self.groups.is_empty() {
            return Err(PlanError::value("group", "at least one", "none"));
        }
        for (index, Group { primary, replicas }) in self.groups.iter().enumerate() {
            self.check_site(&format!("group[{index}].primary"), primary)?;
            let key = format!("group[{index}].replicas");
            replicas.iter().try_for_each(|site| self.check_site(&key, site))?;
        }
        Ok(())
    }

    fn check_tenants(&self) -> Result<(), PlanError> {
        let mut names = BTreeSet::new();
        for (index, tenant) in self.tenants.iter().enumerate() {
            if tenant.name.is_empty() || !names.insert(&tenant.name) {
                let found = format!("'{}'", tenant.name);
                return Err(PlanError::value(
                    format!("tenant[{index}].name"),
                    "a unique, non-empty name",
                    found,
                ));
            }
            self.check_tenant(index, tenant)?;
        }
        if names.is_empty() {
            return Err(PlanError::value("tenant", "at least one", "none"));
        }
        Ok(())
    }

    fn check_tenant(&self, index: usize, tenant: &Tenant) -> Result<(), PlanError> {
        let key = format!("tenant[{index}]");
        if tenant.rate.is_some() != tenant.burst.is_some() {
            return Err(PlanError::value(key, "both or neither of 'rate' and 'burst'", "one"));
        }
        if (tenant.rate.is_some() || tenant.placement.is_some()) && !self.follows_fleet {
            return Err(PlanError::value(key, "no quota and no placement rule without fleet = true", "one"));
        }
        let Some(placement) = &tenant.placement else { return Ok(()) };
        let sites_key = format!("{key}.place.sites");
        placement.sites.iter().try_for_each(|site| self.check_site(&sites_key, site))?;
        let mut classes = placement.classes.iter().flatten();
        match classes.find(|class| ![READ_CLASS, WRITE_CLASS].contains(&class.as_str())) {
            None => Ok(()),
            Some(class) => {
                let expected = format!("{READ_CLASS} or {WRITE_CLASS}");
                Err(PlanError::value(format!("{key}.place.classes"), expected, class))
            }
        }
    }

    fn check_load(&self, index: usize, load: &Load) -> Result<(), PlanError> {
        let key = |name: &str| format!("load[{index}].{name}");
        self.check_tenant_name(&key("tenant"), &load.tenant)?;
        check_range(&key("rate"), load.rate, 0.0, MAX_LOAD_RATE)?;
        check_range(&key("writes"), load.write_share, 0.0, 1.0)?;
        if load.targets == Targets::First(0) {
            return Err(PlanError::value(key("from"), "\"all\", \"one\" or a number above 0", 0));
        }
        Ok(())
    }

    fn check_fault(&self, index: usize, fault: &Fault) -> Result<(), PlanError> {
        let key = |name: &str| format!("fault[{index}].{name}");
        check_range(&key("at"), fault.at, 0.0, self.seconds)?;
        let check_share = |share: f64| check_range(&key("share"), share, 0.0, 1.0);
        let check_seconds = |name: &str, s: f64| check_range(&key(name), s, 0.0, MAX_FAULT_SECONDS);
        let check_routers =
            |routers: usize| check_range(&key("routers"), routers as f64, 1.0, self.routers as f64);
        match &fault.kind {
            FaultKind::Kill { share, back_s } => {
                check_share(*share)?;
                check_seconds("back_s", back_s.unwrap_or(0.0))?;
            }
            FaultKind::Restart { share, back_s: seconds } | FaultKind::Stop { share, for_s: seconds } => {
                check_share(*share)?;
                check_seconds("back_s or for_s", *seconds)?;
            }
            FaultKind::KillLeader { .. } | FaultKind::StopLeader { .. } if self.store_nodes == 0 => {
                return Err(PlanError::value(key("do"), "at least one store node", "none"));
            }
            FaultKind::KillLeader { back_s: seconds } | FaultKind::StopLeader { for_s: seconds } => {
                check_seconds("back_s or for_s", *seconds)?;
            }
            FaultKind::CutStore { .. } if !self.follows_fleet => return Err(needs_fleet(&key("do"))),
            FaultKind::CutStore { routers, for_s, .. } => {
                check_routers(*routers)?;
                check_seconds("for_s", *for_s)?;
            }
            FaultKind::CutServers { routers, site, for_s, .. } => {
                check_routers(*routers)?;
                self.check_site(&key("site"), site)?;
                check_seconds("for_s", *for_s)?;
            }
            FaultKind::Delay { routers, site, ms, for_s } => {
                check_routers(*routers)?;
                self.check_site(&key("site"), site)?;
                check_range(&key("ms"), *ms, 0.0, MAX_DELAY_MS)?;
                check_seconds("for_s", *for_s)?;
            }
            FaultKind::Reset { routers, site } => {
                check_routers(*routers)?;
                self.check_site(&key("site"), site)?;
            }
            FaultKind::Quota { tenant, rate, .. } => {
                self.check_tenant_name(&key("tenant"), tenant)?;
                check_range(&key("rate"), *rate, 0.0, MAX_QUOTA_RATE)?;
            }
            FaultKind::Placement { tenant, sites, .. } => {
                self.check_tenant_name(&key("tenant"), tenant)?;
                sites.iter().try_for_each(|site| self.check_site(&key("sites"), site))?;
            }
        }
        if fault.kind.changes_fleet() && !self.follows_fleet {
            return Err(needs_fleet(&key("do")));
        }
        Ok(())
    }

    fn check_site(&self, key: &str, site: &String) -> Result<(), PlanError> {
        if self.sites.contains(site) {
            return Ok(());
        }
        Err(PlanError::value(key, "one of 'sites'", format!("'{site}'")))
    }

    fn check_tenant_name(&self, key: &str, name: &str) -> Result<(), PlanError> {
        if self.tenants.iter().any(|tenant| tenant.name == name) {
            return Ok(());
        }
        Err(PlanError::value(key, "a listed tenant", format!("'{name}'")))
    }
}

fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), PlanError> {
    if value.is_finite() && (min..=max).contains(&value) {
        return Ok(());
    }
    Err(PlanError::value(key, format!("{min} to {max}"), value))
}

fn needs_fleet(key: &str) -> PlanError {
    PlanError::value(key, "fleet = true", "false")
}
