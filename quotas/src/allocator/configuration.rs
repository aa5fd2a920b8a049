//! Applying a new version of the fleet's configuration at the allocator.
use super::{Allocator, TenantQuota};
use crate::equal_shares::EqualShares;
use crate::time::after;
use decision::Time;
use settings::fleet::{Fleet, Version};

impl Allocator {
    /// Applies a newer version. Allocations by demand are discarded and rebuilt from the grants that routers
    /// report.
    pub(super) fn apply_config(&mut self, now: Time, version: Version, fleet: &Fleet) {
        let tenants: Vec<TenantQuota> = fleet
            .tenants
            .iter()
            .map(|(name, tenant)| {
                let quota = tenant.quota.as_ref();
                let shares = quota.map(|quota| EqualShares::new(name, quota, fleet.max_routers));
                TenantQuota { name: name.clone(), shares }
            })
            .collect();
        // A router without contact to this leader may use its larger fixed share until it has received the
        // smaller one, which takes up to `settle_time`.
        if tenants.iter().any(|tenant| self.frees_fixed_shares(tenant, fleet.max_routers)) {
            self.old_fixed_shares_until = after(now, self.settings.settle_time);
        }
        self.tenant_index = tenants.iter().zip(0..).map(|(tenant, i)| (tenant.name.clone(), i)).collect();
        self.tenants = tenants;
        self.max_routers = fleet.max_routers;
        self.version = version;
        self.allocations.clear();
        for router in self.routers.iter_mut().flatten() {
            router.holdings_known = false;
        }
    }

    /// Whether the sum of a tenant's fixed shares becomes smaller while the grantable part of the quota
    /// becomes larger.
    fn frees_fixed_shares(&self, new: &TenantQuota, max_routers: u32) -> bool {
        let old = self.tenant_index.get(&new.name).and_then(|&index| self.tenants[index as usize].shares);
        let (Some(old), Some(new)) = (old, new.shares) else { return false };
        let old_fixed = old.fixed.saturating_mul(self.max_routers.into());
        let new_fixed = new.fixed.saturating_mul(max_routers.into());
        !old_fixed.fits_within(new_fixed) && !new.grantable.fits_within(old.grantable)
    }
}
