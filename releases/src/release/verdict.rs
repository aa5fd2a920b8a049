//! Judges updated routers by their request statistics.
use crate::{HealthSettings, RequestStats};

/// What the statistics say of an updated router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Not worse.
    Healthy,
    /// Worse since its update, and the routers that are not updated are not.
    Regressed,
    /// Worse than before its update, and so are the routers that are not updated.
    FleetDegraded,
    /// Too few requests to judge.
    Undecided,
}

/// Compares a router with itself before its update and with the routers that are not updated.
pub(super) fn judge(
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
