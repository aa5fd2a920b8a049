//! The report's data.
use super::outcomes::{OutcomeCounts, TenantOutcomes};
use crate::check::Verdict;
use crate::history::History;
use crate::process::ResourceUsage;
use std::time::Duration;

/// The resources that processes used before the first fault.
#[derive(Clone, Debug, Default)]
pub struct ResourceFigures {
    /// Each router's.
    pub routers: Vec<ResourceUsage>,
    /// Each store node's.
    pub store_nodes: Vec<ResourceUsage>,
    /// Traffic between the first router and the store, bytes a second, both ways together; `None` where there is none.
    pub store_bytes_per_s: Option<f64>,
}

/// A router that ended though nobody ended it.
#[derive(Clone, Debug)]
pub struct UnexpectedExit {
    /// Index of the router.
    pub router: usize,
    /// The last lines of its log.
    pub log_lines: Vec<String>,
}

/// Everything that a run showed.
#[derive(Debug)]
pub struct Report {
    /// How many routers ran.
    pub routers: usize,
    /// Time from the begin until all processes were ready.
    pub startup_time: Duration,
    /// The whole run's time.
    pub total_time: Duration,
    /// The resources that processes used.
    pub resources: ResourceFigures,
    /// Routers that ended by themselves.
    pub unexpected_exits: Vec<UnexpectedExit>,
    /// The record of the run.
    pub history: History,
    /// What the checker found in it.
    pub verdict: Verdict,
}

impl Report {
    /// Whether no guarantee was broken and no router ended by itself.
    pub fn is_good(&self) -> bool {
        self.verdict.violations.is_empty() && self.unexpected_exits.is_empty()
    }

    /// How requests ended, by tenant in the plan's order.
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
