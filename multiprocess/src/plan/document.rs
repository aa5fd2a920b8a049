//! The document itself: processes, servers and tenants.
use super::fault::Fault;
use super::load::Load;
use serde::Deserialize;

/// How many routers a plan may ask for.
pub const MAX_ROUTERS: usize = 1000;
/// The class of the load's reads.
pub const READ_CLASS: &str = "basket-read";
/// The class of the load's writes.
pub const WRITE_CLASS: &str = "basket-add";

/// A plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// How many routers run, a process each.
    pub routers: usize,
    /// How many nodes the store has, a process each besides the routers; 0 for no store.
    #[serde(default, rename = "nodes")]
    pub store_nodes: usize,
    /// Whether the routers follow a fleet document in the store. Without one there are no quotas and no placement.
    #[serde(default, rename = "fleet")]
    pub follows_fleet: bool,
    /// Seconds of load.
    pub seconds: f64,
    /// Seed of request times, routers and faults.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Milliseconds that a statement takes at a server.
    #[serde(default = "default_service_ms")]
    pub service_ms: f64,
    /// Threads that send the load.
    #[serde(default = "default_load_threads")]
    pub load_threads: usize,
    /// Client connections to each router.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Sites.
    pub sites: Vec<String>,
    /// Groups of servers, numbered from 0.
    #[serde(rename = "group")]
    pub groups: Vec<Group>,
    /// Tenants; the first one is that of requests without a tenant.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// The requests that are sent.
    #[serde(rename = "load")]
    pub loads: Vec<Load>,
    /// The faults that are injected.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

fn default_seed() -> u64 {
    1
}

fn default_service_ms() -> f64 {
    5.0
}

fn default_load_threads() -> usize {
    4
}

fn default_connections() -> usize {
    2
}

/// A group of servers: a primary and its replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The primary's site.
    pub primary: String,
    /// The replicas' sites.
    pub replicas: Vec<String>,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second for all routers together; without it the tenant has no quota.
    pub rate: Option<f64>,
    /// Requests beyond the rate.
    pub burst: Option<u32>,
    /// The share of the quota that the routers use together without the store; none where it is left out.
    pub on_loss: Option<f64>,
    /// Its placement rule.
    #[serde(rename = "place")]
    pub placement: Option<Placement>,
}

/// Where a tenant's statements may run.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, rename = "Place")]
pub struct Placement {
    /// The sites.
    pub sites: Vec<String>,
    /// Whether other sites are forbidden; otherwise these are preferred.
    pub strict: bool,
    /// The classes that the rule is for, [`READ_CLASS`] or [`WRITE_CLASS`]; all where it is left out.
    pub classes: Option<Vec<String>>,
}

impl Placement {
    /// Whether the rule is for this class.
    pub fn applies_to(&self, class: &str) -> bool {
        self.classes.as_ref().is_none_or(|classes| classes.iter().any(|c| c == class))
    }
}
