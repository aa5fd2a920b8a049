//! Faults of the simulated fleet, and bugs that can be injected into its routers to test the checker.
use serde::{Deserialize, Serialize};

/// A fault of the simulated fleet, for a limited time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Start of the fault, in seconds from the start of the run.
    #[serde(rename = "at_s")]
    pub start_s: f64,
    /// Duration of the fault, in seconds.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// Number of nodes or routers affected; 0 for all that the kind applies to.
    #[serde(default = "default_count")]
    pub count: usize,
    /// Severity of the fault: a factor, or a share for [`FaultKind::Gray`]. Unused by kinds that have no
    /// degree.
    #[serde(default = "default_severity", rename = "by")]
    pub severity: f64,
}

fn default_count() -> usize {
    1
}

fn default_severity() -> f64 {
    10.0
}

/// Kind of a fault of the simulated fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Primaries crash: they accept no connections, and a replica of the group is promoted.
    CrashPrimary,
    /// Replicas crash, and warm up again after their restart.
    CrashReplica,
    /// Every node of one zone crashes, and warms up again after its restart.
    #[serde(rename = "crash_hall")]
    CrashZone,
    /// Replicas send no responses, but their connections stay open.
    Hang,
    /// Replicas respond to every request with an error, at once.
    FastErrors,
    /// Nodes serve requests slower by the factor in the fault's severity, as if another process competed for
    /// the nodes' cores.
    Slow,
    /// Gray failure: replicas take ten times as long for the share of requests in the fault's severity.
    Gray,
    /// Nodes execute writes, and apply replicated commits, slower by the factor in the fault's severity.
    SlowDisk,
    /// A network partition separates one zone from all other zones.
    Partition,
    /// The registry delivers no changes to the routers.
    RegistryOutage,
    /// The registry lists replicas as draining, and as in service again at the end of the fault.
    Drain,
    /// Routers are killed and restarted.
    RestartRouters,
    /// Every connection to the affected nodes is reset at once.
    #[serde(rename = "reconnect")]
    ResetConnections,
    /// Clients send requests at a rate that is multiplied by the factor in the fault's severity.
    #[serde(rename = "surge")]
    LoadSurge,
}

/// Bug that can be injected into the routers, to prove that the checker finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InjectedBug {
    /// Reads of a session are sent without the commit position that they require.
    #[serde(rename = "forget_sessions")]
    IgnoreSessionCommits,
    /// Changes of the endpoint list are not forwarded to the decision state machine.
    IgnoreDrains,
    /// A reset connection is reported as one that could not be established.
    #[serde(rename = "deny_resets")]
    ReportResetsAsConnectFailures,
}
