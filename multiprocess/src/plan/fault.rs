//! Faults and when they are injected.
use serde::Deserialize;

/// A fault at a time after the load's begin.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    /// Seconds after the load's begin.
    pub at: f64,
    /// The kind of fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The direction in which a link is cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkDirection {
    /// Both directions.
    #[default]
    Both,
    /// Nothing reaches the target; its answers arrive.
    #[serde(rename = "there")]
    ToTarget,
    /// The target is reached; nothing comes back.
    #[serde(rename = "back")]
    FromTarget,
}

/// A kind of fault. Shares are from 0 to 1, of all routers; the routers of a share are drawn from those that are up.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// SIGKILL to a share of the routers.
    Kill {
        /// The share.
        share: f64,
        /// They are started again after this many seconds; never where it is left out.
        back_s: Option<f64>,
    },
    /// SIGTERM to a share of the routers, which are started again.
    Restart {
        /// The share.
        share: f64,
        /// Seconds until they are started again.
        back_s: f64,
    },
    /// SIGSTOP to a share of the routers, and SIGCONT later.
    Stop {
        /// The share.
        share: f64,
        /// Seconds until SIGCONT.
        for_s: f64,
    },
    /// SIGKILL to the store's leader, which is started again.
    KillLeader {
        /// Seconds until it is started again.
        back_s: f64,
    },
    /// SIGSTOP to the store's leader, and SIGCONT later.
    StopLeader {
        /// Seconds until SIGCONT.
        for_s: f64,
    },
    /// Routers are cut off from the store.
    CutStore {
        /// How many, the first ones.
        routers: usize,
        /// The direction that is cut.
        #[serde(default, rename = "way")]
        direction: LinkDirection,
        /// Seconds until the links work again.
        for_s: f64,
    },
    /// Routers are cut off from all servers of a site.
    CutServers {
        /// How many, the first ones.
        routers: usize,
        /// The site.
        site: String,
        /// The direction that is cut.
        #[serde(default, rename = "way")]
        direction: LinkDirection,
        /// Seconds until the links work again.
        for_s: f64,
    },
    /// Data between routers and a site's servers is delayed.
    Delay {
        /// How many routers, the first ones.
        routers: usize,
        /// The site.
        site: String,
        /// The delay in milliseconds, each way.
        ms: f64,
        /// Seconds until the links work again.
        for_s: f64,
    },
    /// Connections between routers and a site's servers are reset.
    Reset {
        /// How many routers, the first ones.
        routers: usize,
        /// The site.
        site: String,
    },
    /// A tenant's quota changes.
    Quota {
        /// The tenant's name.
        tenant: String,
        /// The new rate, requests a second.
        rate: f64,
        /// The new burst, requests beyond the rate.
        burst: u32,
    },
    /// A tenant's placement rule changes; it stays for the same classes.
    #[serde(rename = "place")]
    Placement {
        /// The tenant's name.
        tenant: String,
        /// The new sites.
        sites: Vec<String>,
        /// Whether other sites are forbidden; otherwise these are preferred.
        strict: bool,
    },
}

impl FaultKind {
    /// How many routers need proxies in front of the servers.
    pub fn routers_with_server_proxies(&self) -> usize {
        match self {
            FaultKind::CutServers { routers, .. }
            | FaultKind::Delay { routers, .. }
            | FaultKind::Reset { routers, .. } => *routers,
            _ => 0,
        }
    }

    /// How many routers need proxies in front of the store.
    pub fn routers_with_store_proxies(&self) -> usize {
        if let FaultKind::CutStore { routers, .. } = self { *routers } else { 0 }
    }

    /// Whether it changes the fleet document.
    pub fn changes_fleet(&self) -> bool {
        matches!(self, FaultKind::Quota { .. } | FaultKind::Placement { .. })
    }
}
