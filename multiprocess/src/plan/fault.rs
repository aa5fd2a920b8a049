//! The faults of a plan and their times.
use serde::Deserialize;

/// A fault that is injected at a set time.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    /// Time of the injection, in seconds after the start of the load.
    pub at: f64,
    /// Kind of the fault, with its parameters.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The direction of traffic that a link fault blocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkDirection {
    /// Traffic in both directions is blocked.
    #[default]
    Both,
    /// Traffic to the target is blocked; its responses are forwarded.
    #[serde(rename = "there")]
    ToTarget,
    /// Traffic from the target is blocked; requests still reach it.
    #[serde(rename = "back")]
    FromTarget,
}

/// A kind of fault. A share is a fraction of all routers from 0 to 1; the affected routers are chosen at
/// random from those that are up.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// Kills a share of the routers with SIGKILL.
    Kill {
        /// Share of the routers to kill.
        share: f64,
        /// Seconds until the routers are started again; if omitted, they stay down.
        back_s: Option<f64>,
    },
    /// Shuts down a share of the routers with SIGTERM and starts them again.
    Restart {
        /// Share of the routers to restart.
        share: f64,
        /// Seconds from SIGTERM until the routers are started again.
        back_s: f64,
    },
    /// Suspends a share of the routers with SIGSTOP and resumes them with SIGCONT.
    Stop {
        /// Share of the routers to suspend.
        share: f64,
        /// Seconds until the routers are resumed.
        for_s: f64,
    },
    /// Kills the store's leader with SIGKILL and starts it again.
    KillLeader {
        /// Seconds until the node is started again.
        back_s: f64,
    },
    /// Suspends the store's leader with SIGSTOP and resumes it with SIGCONT.
    StopLeader {
        /// Seconds until the node is resumed.
        for_s: f64,
    },
    /// Blocks traffic between routers and the store.
    CutStore {
        /// Number of affected routers, counted from the first one.
        routers: usize,
        /// Direction that is blocked.
        #[serde(default, rename = "way")]
        direction: LinkDirection,
        /// Seconds until traffic is forwarded again.
        for_s: f64,
    },
    /// Blocks traffic between routers and all servers of a site.
    CutServers {
        /// Number of affected routers, counted from the first one.
        routers: usize,
        /// Site of the servers.
        site: String,
        /// Direction that is blocked.
        #[serde(default, rename = "way")]
        direction: LinkDirection,
        /// Seconds until traffic is forwarded again.
        for_s: f64,
    },
    /// Delays traffic between routers and the servers of a site.
    Delay {
        /// Number of affected routers, counted from the first one.
        routers: usize,
        /// Site of the servers.
        site: String,
        /// Delay in each direction, in milliseconds.
        ms: f64,
        /// Seconds until traffic is no longer delayed.
        for_s: f64,
    },
    /// Resets the connections between routers and the servers of a site.
    Reset {
        /// Number of affected routers, counted from the first one.
        routers: usize,
        /// Site of the servers.
        site: String,
    },
    /// Changes a tenant's quota.
    Quota {
        /// Name of the tenant.
        tenant: String,
        /// New rate in requests per second.
        rate: f64,
        /// New burst: requests that may exceed the rate.
        burst: u32,
    },
    /// Changes the sites of a tenant's placement rule; the rule's classes stay the same.
    #[serde(rename = "place")]
    Placement {
        /// Name of the tenant.
        tenant: String,
        /// New sites of the rule.
        sites: Vec<String>,
        /// Whether all sites that are not listed are forbidden; if false, the listed sites are only
        /// preferred.
        strict: bool,
    },
}

impl FaultKind {
    /// Returns how many routers need proxies between them and the servers.
    pub fn routers_with_server_proxies(&self) -> usize {
        match self {
            FaultKind::CutServers { routers, .. }
            | FaultKind::Delay { routers, .. }
            | FaultKind::Reset { routers, .. } => *routers,
            _ => 0,
        }
    }

    /// Returns how many routers need proxies between them and the store.
    pub fn routers_with_store_proxies(&self) -> usize {
        if let FaultKind::CutStore { routers, .. } = self { *routers } else { 0 }
    }

    /// Whether the fault changes the fleet document.
    pub fn changes_fleet(&self) -> bool {
        matches!(self, FaultKind::Quota { .. } | FaultKind::Placement { .. })
    }
}
