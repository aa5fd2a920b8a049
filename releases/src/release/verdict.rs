//! Evaluates updated routers by their request statistics.
use crate::{HealthSettings, RequestStats};

/// The result of evaluating an updated router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The statistics are not worse.
    Healthy,
    /// The statistics are worse since the update, and those of routers not updated are not.
    Regressed,
    /// The statistics are worse than before the update, but so are those of routers not updated.
    FleetDegraded,
    /// The router, or both the baseline and the routers not updated, have too few requests to evaluate.
    Undecided,
}

/// Compares a router's statistics with those before its update and with those of routers not updated.
pub(super) fn evaluate(
    health: &HealthSettings,
    stats: &RequestStats,
    baseline: &RequestStats,
    control: &RequestStats,
) -> Verdict {
    let has_baseline = health.is_significant(baseline);
    let has_control = health.is_significant(control);
    if !health.is_significant(stats) || !(has_baseline || has_control) {
        return Verdict::Undecided;
    }
    let worse_than_baseline = health.is_worse(stats, baseline);
    let worse_than_control = health.is_worse(stats, control);
    match (has_baseline, has_control) {
        (true, true) if worse_than_baseline && worse_than_control => Verdict::Regressed,
        (true, true) if worse_than_baseline => Verdict::FleetDegraded,
        (true, false) if worse_than_baseline => Verdict::Regressed,
        (false, true) if worse_than_control => Verdict::Regressed,
        _ => Verdict::Healthy,
    }
}
