//! A router's state machine: it admits or sheds requests using local token buckets, and sends reports to the
//! leader.
mod admission;
mod bucket;
mod configuration;
mod demand;
mod demand_window;
mod exchange;
mod metrics;
mod open_exchange;
mod tenant;

pub use admission::Admission;
pub use metrics::{ClientMetrics, TenantMetrics};

use crate::messages::ReservedShare;
use crate::settings::{InjectedFault, Settings};
use decision::Time;
use demand_window::DemandWindow;
use open_exchange::OpenExchange;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use settings::fleet::Version;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use tenant::TenantState;

/// The identity of a router and the constants of its quota client.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaClientSettings {
    /// The name of the router, which reports contain.
    pub router: String,
    /// The router's incarnation, which increases with each start under this name.
    pub incarnation: u64,
    /// The slot whose fixed shares of `on_loss` the router uses, from 1 to `fleet.routers`; no two live
    /// routers may have the same.
    pub slot: Option<u32>,
    /// The constants; `ttl` and `max_clock_drift` must be the same in the whole fleet.
    pub settings: Settings,
    /// The seed of the random part of retry times.
    pub seed: u64,
}

/// A router's token buckets for all tenants, and its side of the exchange with the leader. See the [crate]
/// for what is guaranteed.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    router: String,
    incarnation: u64,
    slot: Option<u32>,
    settings: Settings,
    clock_drift_ppm: u64,
    random: SmallRng,
    /// The version of the configuration that the client uses.
    version: Version,
    /// Indices in `tenants`, by the tenant's name.
    index: HashMap<String, u32>,
    /// The tenant that requests with an unknown tenant name count for.
    default_tenant: Option<u32>,
    tenants: Vec<TenantState>,
    /// Indices of tenants with requests in the demand window. Its capacity suffices for all tenants, so it
    /// never grows.
    active: Vec<u32>,
    window: DemandWindow,
    /// The highest term of any response received.
    term: u64,
    seq: u64,
    open: Option<OpenExchange>,
    applied_seq: u64,
    /// The next report must state everything that the client holds.
    full_report_due: bool,
    /// The configuration version for which the grants were last renewed.
    granted_version: Version,
    reserved_share: Option<ReservedShare>,
    /// When the grants expire; `None` if the client holds none.
    grants_expire: Option<Time>,
    /// When to raise the fixed shares to those of the present version.
    fixed_raise_due: Option<Time>,
    early_report_wanted: bool,
    /// All grants have been released because the router is shutting down.
    released: bool,
}

impl QuotaClient {
    /// Creates a client without grants. Until it has a configuration, it admits every request.
    pub fn new(settings: QuotaClientSettings) -> QuotaClient {
        QuotaClient {
            router: settings.router,
            incarnation: settings.incarnation,
            slot: settings.slot,
            clock_drift_ppm: settings.settings.clock_drift_ppm(),
            random: SmallRng::seed_from_u64(settings.seed),
            settings: settings.settings,
            version: 0,
            index: HashMap::new(),
            default_tenant: None,
            tenants: Vec::new(),
            active: Vec::new(),
            window: DemandWindow::default(),
            term: 0,
            seq: 0,
            open: None,
            applied_seq: 0,
            full_report_due: true,
            granted_version: 0,
            reserved_share: None,
            grants_expire: None,
            fixed_raise_due: None,
            early_report_wanted: false,
            released: false,
        }
    }

    /// Whether to send a report before its usual time: a request was shed for a tenant of which this router
    /// never holds a token, and the allocator does not know of the demand yet.
    pub fn wants_early_report(&self) -> bool {
        self.early_report_wanted && self.open.is_none()
    }

    /// The version of the configuration that the client uses; 0 for none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Hashes the state that determines future admissions and reports; model checkers use it to recognise
    /// states.
    #[doc(hidden)]
    pub fn hash_state<H: Hasher>(&self, hasher: &mut H) {
        (self.version, self.term, self.seq, self.applied_seq, self.full_report_due).hash(hasher);
        (self.granted_version, self.released, self.incarnation, self.reserved_share).hash(hasher);
        (self.grants_expire, self.fixed_raise_due, self.early_report_wanted).hash(hasher);
        self.window.hash(hasher);
        self.open.hash(hasher);
        for tenant in &self.tenants {
            tenant.hash_state(hasher);
        }
    }

    fn grants_valid(&self, now: Time) -> bool {
        let ignores_expiry = self.settings.injected_fault == InjectedFault::IgnoreExpiry;
        (self.grants_expire.is_some_and(|expiry| now < expiry) || ignores_expiry) && !self.released
    }

    /// Discards all shares and grants except the fixed shares.
    fn clear_grants(&mut self, now: Time) {
        if self.grants_expire.take().is_none() {
            return;
        }
        self.full_report_due = true;
        self.reserved_share = None;
        self.granted_version = 0;
        for tenant in &mut self.tenants {
            tenant.clear_grants(now);
        }
    }
}
