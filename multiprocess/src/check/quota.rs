//! Checks that no time window has more admitted requests than the quota allows.
use super::max_tree::MaxTree;
use super::quota_envelope::QuotaEnvelope;
use super::settings::CheckSettings;
use super::verdict::{QuotaUsage, Verdict};
use super::violation::{QuotaWindow, Violation};
use crate::history::{History, Micros};
use std::collections::{BTreeMap, HashMap};

/// Tolerance for rounding errors in sums of rates; a single excess request counts 1.
const EXCESS_TOLERANCE: f64 = 1e-3;

/// The earliest and the latest time at which a request may have been admitted.
#[derive(Clone, Copy)]
struct AdmissionInterval {
    earliest: Micros,
    latest: Micros,
}

/// The first execution of a request by a server.
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
        let arrivals: Vec<AdmissionInterval> =
            admitted.iter().map(|i| AdmissionInterval { earliest: i.latest, latest: i.latest }).collect();
        let by_arrival = envelope.as_ref().and_then(|envelope| worst_window(&arrivals, envelope));
        // The quota that is certainly available: no version counts before its commit or during the settle
        // time.
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

/// Finds the first execution of each request. Retries do not count against the quota.
fn first_runs(history: &History) -> BTreeMap<u64, FirstRun> {
    let mut runs: BTreeMap<u64, FirstRun> = BTreeMap::new();
    for statement in &history.statements {
        let first = FirstRun { at: statement.at, tenant: statement.tenant };
        let run = runs.entry(statement.id).or_insert(first);
        run.at = run.at.min(statement.at);
    }
    runs
}

/// Returns the number of requests that the rate admits from the start of the load to the end of the last
/// request.
fn admitted_by_rate(history: &History, envelope: &QuotaEnvelope) -> f64 {
    let last_end = history.requests.iter().map(|request| request.ended).max();
    let end = envelope.admission(last_end.unwrap_or(history.load_started)).by_rate;
    end - envelope.admission(history.load_started).by_rate
}

/// Finds the window with the largest excess over the limit; returns `None` if no request was admitted.
///
/// A window starts at some request's earliest admission time and ends at some request's latest one. For each
/// start, the tree stores the number of requests found so far within the window, minus what the limit had
/// admitted before the start.
fn worst_window(admitted: &[AdmissionInterval], envelope: &QuotaEnvelope) -> Option<QuotaWindow> {
    let mut window_starts: Vec<Micros> = admitted.iter().map(|interval| interval.earliest).collect();
    window_starts.sort_unstable();
    window_starts.dedup();
    if window_starts.is_empty() {
        return None;
    }
    let baseline_at = |start: &Micros| {
        let admission = envelope.admission(*start);
        admission.by_rate - admission.burst
    };
    let baselines: Vec<f64> = window_starts.iter().map(baseline_at).collect();
    let mut tree = MaxTree::new(&baselines);
    let mut by_end = admitted.to_vec();
    by_end.sort_unstable_by_key(|interval| interval.latest);
    let mut worst: Option<QuotaWindow> = None;
    for AdmissionInterval { earliest, latest } in by_end {
        let max = tree.increment_up_to(window_starts.partition_point(|start| *start < earliest));
        let excess = max.value - envelope.admission(latest).by_rate;
        if worst.is_none_or(|window| excess > window.excess) {
            worst = Some(QuotaWindow { from: window_starts[max.position], until: latest, excess });
        }
    }
    worst
}
