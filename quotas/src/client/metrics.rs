//! Request counters and grants of a client, for the router's metrics.
use super::QuotaClient;
use super::tenant::TenantState;
use crate::grant::MICROTOKENS_PER_TOKEN;
use settings::fleet::Version;

/// A tenant's metrics at one router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantMetrics {
    /// The name of the tenant.
    pub name: String,
    /// The number of requests admitted since the process started.
    pub admitted: u64,
    /// The number of requests shed since the process started.
    pub shed: u64,
    /// The rate that this router may admit, in requests per second, granted and fixed together; `None`
    /// without a quota.
    pub rate: Option<f64>,
    /// The bucket capacity of this router, in tokens, granted and fixed together; `None` without a quota.
    pub capacity: Option<f64>,
}

/// The metrics of one quota client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientMetrics {
    /// The version of the configuration that the client uses.
    pub version: Version,
    /// The index of the client's reserved share, while it has one.
    pub reserved_share: Option<u32>,
    /// Whether the client holds grants; they may have expired since they were last checked.
    pub holds_grants: bool,
    /// The metrics of each tenant in the configuration.
    pub tenants: Vec<TenantMetrics>,
}

impl QuotaClient {
    /// The present metrics. Rates and capacities include grants that have expired since they were last
    /// checked.
    pub fn metrics(&self) -> ClientMetrics {
        ClientMetrics {
            version: self.version,
            reserved_share: self.reserved_share.map(|share| share.index),
            holds_grants: self.grants_expire.is_some() && !self.released,
            tenants: self.tenants.iter().map(TenantState::metrics).collect(),
        }
    }
}

impl TenantState {
    fn metrics(&self) -> TenantMetrics {
        let held = self.shares.map(|_| self.granted_bucket.grant().saturating_add(self.fixed_bucket.grant()));
        let tokens = |microtokens: u64| microtokens as f64 / MICROTOKENS_PER_TOKEN as f64;
        TenantMetrics {
            name: self.name.clone(),
            admitted: self.admitted,
            shed: self.shed,
            rate: held.map(|grant| tokens(grant.rate)),
            capacity: held.map(|grant| tokens(grant.capacity)),
        }
    }
}
