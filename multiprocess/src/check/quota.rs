//! Quotas: no window may have more admitted requests than the quota allows.
use super::max_tree::MaxTree;
use super::quota_envelope::QuotaEnvelope;
use super::settings::CheckSettings;
use super::verdict::{QuotaUsage, Verdict};
use super::violation::{QuotaWindow, Violation};
use crate::history::{History, Micros};
use std::collections::{BTreeMap, HashMap};

/// Excess up to this is rounding: sums of rates are not exact, and a request too many counts 1.
const EXCESS_TOLERANCE: f64 = 1e-3;

/// The times between which a request was admitted.
#[derive(Clone, Copy)]
struct AdmissionInterval {
    earliest: Micros,
    latest: Micros,
}

/// The first run of a request.
struct FirstRun {
    at: Micros,
    tenant: usize,
}

pub(super) fn check(history: &History, settings: &CheckSettings, verdict: &mut Verdict) {
    let sent = history.requests.iter().filter_map(|request| Some((request.id, request.sent?)));
    let sent: HashMap<u64, Micros> = sent.collect();
    let first_runs = first_runs(history);
    for (index, tenant) in history.tenants.iter().enumerate() {
        let admitted: Vec<AdmissionInterval> = first_runs
            .iter()
            .filter(|(_, run)| run.tenant == index)
            .map(|(id, run)| AdmissionInterval {
                earliest: sent.get(id).copied().unwrap_or(run.at).min(run.at),
                latest: run.at,
            })
            .collect();
        let longest = admitted.iter().map(|interval| interval.latest - interval.earliest);
        verdict.max_time_to_server = longest.fold(verdict.max_time_to_server, Micros::max);
        let limited = tenant.quotas.iter().any(|version| version.value.is_some());
        let envelope = limited.then(|| QuotaEnvelope::new(&tenant.quotas, settings.quota_settle_time));
        let certain = envelope.as_ref().and_then(|envelope| worst_window(&admitted, envelope));
        let arrived: Vec<AdmissionInterval> =
            admitted.iter().map(|i| AdmissionInterval { earliest: i.latest, latest: i.latest }).collect();
        let by_arrival = envelope.as_ref().and_then(|envelope| worst_window(&arrived, envelope));
        // What may be used for certain: no quota before its commit, and none while it settles.
        let allowed_by_rate =
            limited.then(|| admitted_by_rate(history, &QuotaEnvelope::new(&tenant.quotas, 0)));
        let name = tenant.name.clone();
        if let Some(worst) = certain.filter(|window| window.excess > EXCESS_TOLERANCE) {
            verdict.violations.push(Violation::QuotaExceeded { tenant: name.clone(), worst });
        }
        let ran = admitted.len();
        verdict.quota_usage.push(QuotaUsage { tenant: name, ran, allowed_by_rate, certain, by_arrival });
    }
}

/// The first run of each request. Further attempts cost nothing: a request counts where it first ran.
fn first_runs(history: &History) -> BTreeMap<u64, FirstRun> {
    let mut runs: BTreeMap<u64, FirstRun> = BTreeMap::new();
    for statement in &history.statements {
        let first = FirstRun { at: statement.at, tenant: statement.tenant };
        let run = runs.entry(statement.id).or_insert(first);
        run.at = run.at.min(statement.at);
    }
    runs
}

/// Requests that the rate admits from the load's begin to the last request's end.
fn admitted_by_rate(history: &History, envelope: &QuotaEnvelope) -> f64 {
    let last_end = history.requests.iter().map(|request| request.ended).max();
    let end = envelope.admission(last_end.unwrap_or(history.load_started)).by_rate;
    end - envelope.admission(history.load_started).by_rate
}

/// The window with the most requests beyond the limit; `None` where nothing was admitted.
///
/// Windows begin at a request's earliest and end at a request's latest time. A tree has for each begin the number of
/// requests so far that lie in the window, less what the limit had admitted before the begin.
fn worst_window(admitted: &[AdmissionInterval], envelope: &QuotaEnvelope) -> Option<QuotaWindow> {
    let mut begins: Vec<Micros> = admitted.iter().map(|interval| interval.earliest).collect();
    begins.sort_unstable();
    begins.dedup();
    if begins.is_empty() {
        return None;
    }
    let credit = |begin: &Micros| {
        let admission = envelope.admission(*begin);
        admission.by_rate - admission.burst
    };
    let credits: Vec<f64> = begins.iter().map(credit).collect();
    let mut tree = MaxTree::new(&credits);
    let mut by_end = admitted.to_vec();
    by_end.sort_unstable_by_key(|interval| interval.latest);
    let mut worst: Option<QuotaWindow> = None;
    for AdmissionInterval { earliest, latest } in by_end {
        let max = tree.increment_up_to(begins.partition_point(|begin| *begin < earliest));
        let excess = max.value - envelope.admission(latest).by_rate;
        if worst.is_none_or(|window| excess > window.excess) {
            worst = Some(QuotaWindow { from: begins[max.position], until: latest, excess });
        }
    }
    worst
}
