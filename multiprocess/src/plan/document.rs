//! The data types of a plan: processes, servers and tenants.
use super::fault::Fault;
use super::load::Load;
use serde::Deserialize;

/// Maximum number of routers in a plan.
pub const MAX_ROUTERS: usize = 1000;
/// Request class of the load's reads.
pub const READ_CLASS: &str = "basket-read";
/// Request class of the load's writes.
pub const WRITE_CLASS: &str = "basket-add";

/// The plan of a run, as its TOML document describes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Number of routers; each is a process.
    pub routers: usize,
    /// Number of store nodes, each a process besides the routers; 0 for a run without a store.
    #[serde(default, rename = "nodes")]
    pub store_nodes: usize,
    /// Whether the routers take their configuration from a fleet document in the store. Without a fleet
    /// document there are no quotas and no placement rules.
    #[serde(default, rename = "fleet")]
    pub follows_fleet: bool,
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// Random seed for the times and routers of requests, and for the routers that faults affect.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Time that a server takes to run a statement, in milliseconds.
    #[serde(default = "default_service_ms")]
    pub service_ms: f64,
    /// Number of threads that send the load.
    #[serde(default = "default_load_threads")]
    pub load_threads: usize,
    /// Number of client connections to each router.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Names of all sites.
    pub sites: Vec<String>,
    /// Replication groups, numbered from 0.
    #[serde(rename = "group")]
    pub groups: Vec<Group>,
    /// Tenants; the first one is the default tenant, which gets the requests that name no tenant.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// Loads, one for each stream of requests.
    #[serde(rename = "load")]
    pub loads: Vec<Load>,
    /// Faults that are injected during the load.
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

/// A replication group: a primary and its replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Site of the primary.
    pub primary: String,
    /// Sites of the replicas, one entry for each replica.
    pub replicas: Vec<String>,
}

/// A tenant with its quota and its placement rule.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Quota of all routers together, in requests per second; a tenant without a rate has no quota.
    pub rate: Option<f64>,
    /// Requests that may exceed the rate.
    pub burst: Option<u32>,
    /// Share of the quota that the routers use together while the store is unreachable; 0 if omitted.
    pub on_loss: Option<f64>,
    /// Placement rule of the tenant.
    #[serde(rename = "place")]
    pub placement: Option<Placement>,
}

/// A placement rule: the sites at which a tenant's statements may run.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, rename = "Place")]
pub struct Placement {
    /// Sites that the rule allows or prefers.
    pub sites: Vec<String>,
    /// Whether all sites that are not listed are forbidden; if false, the listed sites are only preferred.
    pub strict: bool,
    /// Classes that the rule applies to, [`READ_CLASS`] or [`WRITE_CLASS`]; all classes if omitted.
    pub classes: Option<Vec<String>>,
}

impl Placement {
    /// Whether the rule applies to a class.
    pub fn applies_to(&self, class: &str) -> bool {
        self.classes.as_ref().is_none_or(|classes| classes.iter().any(|c| c == class))
    }
}
