//! Faults of the simulated fleet, and bugs that are injected into its routers to test the checker.
use serde::{Deserialize, Serialize};

/// Something that goes wrong, for a while.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins, in seconds from the start of the run.
    #[serde(rename = "at_s")]
    pub start_s: f64,
    /// How long it lasts, in seconds.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// The number of nodes or routers affected; 0 for all that the kind applies to.
    #[serde(default = "default_count")]
    pub count: usize,
    /// A factor, or a share for [`FaultKind::Gray`]; unused by kinds that have no degree.
    #[serde(default = "default_severity", rename = "by")]
    pub severity: f64,
}

fn default_count() -> usize {
    1
}

fn default_severity() -> f64 {
    10.0
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Primaries crash: connections are refused, and a replica is promoted.
    CrashPrimary,
    /// Replicas crash and restart cold.
    CrashReplica,
    /// Every node of one zone crashes and restarts cold.
    #[serde(rename = "crash_hall")]
    CrashZone,
    /// Replicas stop answering and keep their connections open.
    Hang,
    /// Replicas answer every request with an error, at once.
    FastErrors,
    /// Nodes are slower by the factor, as beside a noisy neighbour.
    Slow,
    /// Gray failure: replicas serve that share of their requests ten times as slowly.
    Gray,
    /// Writes, and the applying of commits, are slower by the factor.
    SlowDisk,
    /// One zone is partitioned from the others.
    Partition,
    /// The registry delivers no changes.
    RegistryOutage,
    /// Replicas are listed as draining, and as in service again at the end.
    Drain,
    /// Routers are killed and restarted.
    RestartRouters,
    /// Every connection is reset at once.
    #[serde(rename = "reconnect")]
    ResetConnections,
    /// The request rate is multiplied by the factor.
    #[serde(rename = "surge")]
    LoadSurge,
}

/// Bugs that can be injected into the routers, to prove that the checker finds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InjectedBug {
    /// Session reads require no commit position.
    #[serde(rename = "forget_sessions")]
    IgnoreSessionCommits,
    /// Changes of the endpoint list are not passed on to the decision.
    IgnoreDrains,
    /// A reset connection is reported as one that was never established.
    #[serde(rename = "deny_resets")]
    ReportResetsAsConnectFailures,
}
