//! Applying a new version of the fleet's configuration at a client.
use super::QuotaClient;
use super::tenant::TenantState;
use crate::equal_shares::EqualShares;
use crate::grant::Grant;
use crate::time::after;
use decision::Time;
use settings::fleet::{Fleet, Version};
use std::collections::HashMap;

impl QuotaClient {
    /// Applies a configuration if it is newer than the present one. Grants are lowered immediately: reserved
    /// shares to the smaller of the old and the new share, grants by demand in proportion to the quota, so
    /// that their sum stays within the smaller quota. Only responses raise them again. The fixed shares of
    /// `on_loss` are lowered immediately and raised after
    /// [`Settings::settle_time`](crate::Settings::settle_time).
    pub fn apply_config(&mut self, now: Time, version: Version, fleet: &Fleet) {
        if version <= self.version {
            return;
        }
        self.update_tenants(now, fleet);
        self.index_tenants(fleet);
        self.fixed_raise_due = Some(after(now, self.settings.settle_time));
        self.version = version;
        self.full_report_due = true;
    }

    /// Raises the fixed shares if the present version has been in force for the settle time.
    pub(super) fn raise_fixed_shares_if_due(&mut self, now: Time) {
        if self.fixed_raise_due.is_none_or(|due| now < due) {
            return;
        }
        self.fixed_raise_due = None;
        for tenant in &mut self.tenants {
            tenant.raise_fixed_share(now, self.clock_drift_ppm);
        }
    }

    fn update_tenants(&mut self, now: Time, fleet: &Fleet) {
        let mut known: HashMap<String, TenantState> =
            self.tenants.drain(..).map(|tenant| (tenant.name.clone(), tenant)).collect();
        let has_slot = self.slot.is_some_and(|slot| (1..=fleet.max_routers).contains(&slot));
        let ppm = self.clock_drift_ppm;
        for (name, settings) in &fleet.tenants {
            let shares =
                settings.quota.as_ref().map(|quota| EqualShares::new(name, quota, fleet.max_routers));
            let mut tenant = match known.remove(name) {
                Some(known) => {
                    TenantState { was_unlimited: known.was_unlimited || known.shares.is_none(), ..known }
                }
                None => TenantState::new(name),
            };
            let fixed = shares.filter(|_| has_slot).map_or(Grant::NONE, |shares| shares.fixed);
            tenant.lower_fixed_share(now, fixed, ppm);
            match shares {
                Some(shares) => tenant.apply_quota(now, shares, self.reserved_share, ppm),
                None => tenant.remove_quota(now),
            }
            tenant.shed_since_report = false;
            self.tenants.push(tenant);
        }
    }

    fn index_tenants(&mut self, fleet: &Fleet) {
        self.index = self.tenants.iter().zip(0..).map(|(tenant, i)| (tenant.name.clone(), i)).collect();
        self.default_tenant = self.index.get(&fleet.default_tenant).copied();
        // The list of active tenants has room for all tenants, because admission must not allocate memory.
        self.active = Vec::with_capacity(self.tenants.len());
        for (tenant, i) in self.tenants.iter_mut().zip(0..) {
            tenant.active = tenant.has_recent_demand();
            if tenant.active {
                self.active.push(i);
            }
        }
    }
}
