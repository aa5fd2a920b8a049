//! The data of a report.
use super::outcomes::{OutcomeCounts, TenantOutcomes};
use crate::check::Verdict;
use crate::history::History;
use crate::process::ResourceUsage;
use std::time::Duration;

/// The resource usage of processes before the first fault.
#[derive(Clone, Debug, Default)]
pub struct ResourceFigures {
    /// Resource usage of each router.
    pub routers: Vec<ResourceUsage>,
    /// Resource usage of each store node.
    pub store_nodes: Vec<ResourceUsage>,
    /// Traffic between the first router and the store in bytes per second, both directions together; `None`
    /// if not measured.
    pub store_bytes_per_s: Option<f64>,
}

/// A router that exited although no fault ended it.
#[derive(Clone, Debug)]
pub struct UnexpectedExit {
    /// Index of the router that exited.
    pub router: usize,
    /// Last lines of the router's log.
    pub log_lines: Vec<String>,
}

/// The report of a run.
#[derive(Debug)]
pub struct Report {
    /// Number of routers in the run.
    pub routers: usize,
    /// Time from the start of the run until all processes were ready.
    pub startup_time: Duration,
    /// Duration of the whole run.
    pub total_time: Duration,
    /// Resource usage of the processes.
    pub resources: ResourceFigures,
    /// Routers that exited although no fault ended them.
    pub unexpected_exits: Vec<UnexpectedExit>,
    /// The recorded history of the run.
    pub history: History,
    /// The checker's verdict on the history.
    pub verdict: Verdict,
}

impl Report {
    /// Whether the run has no violation and no unexpected exit.
    pub fn is_good(&self) -> bool {
        self.verdict.violations.is_empty() && self.unexpected_exits.is_empty()
    }

    /// Returns the outcomes of requests for each tenant, in the plan's order.
    pub fn outcomes(&self) -> Vec<TenantOutcomes> {
        let of_tenant = |index| self.history.requests.iter().filter(move |r| r.tenant == index);
        let tenants = self.history.tenants.iter().enumerate();
        tenants
            .map(|(index, tenant)| TenantOutcomes {
                tenant: tenant.name.clone(),
                counts: OutcomeCounts::of(of_tenant(index)),
            })
            .collect()
    }
}
