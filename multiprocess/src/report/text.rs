//! Formats the report as text. Operators and documentation quote its wording.
use super::data::{Report, ResourceFigures};
use super::outcomes::TenantOutcomes;
use crate::check::{QuotaUsage, ReplicaSpread};
use crate::history::{History, Outcome};
use crate::process::ResourceUsage;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Maximum number of violations that are listed.
const LISTED_VIOLATIONS: usize = 20;
const KIB_PER_MIB: f64 = 1024.0;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_summary(f)?;
        write_outcomes(f, &self.outcomes())?;
        write_error_codes(f, &self.history)?;
        write_quota_usage(f, &self.verdict.quota_usage)?;
        let ms_to_server = self.verdict.max_time_to_server as f64 / 1e3;
        writeln!(f, "longest time from sending a request to its execution: {ms_to_server:.1} ms")?;
        write_spread(f, &self.verdict.spread)?;
        write_resources(f, &self.resources)?;
        for exit in &self.unexpected_exits {
            writeln!(f, "router {} exited unexpectedly: {}", exit.router, exit.log_lines.join(" | "))?;
        }
        let violations = &self.verdict.violations;
        writeln!(f, "\n{} violations", violations.len())?;
        violations.iter().take(LISTED_VIOLATIONS).try_for_each(|violation| writeln!(f, "  {violation}"))
    }
}

impl Report {
    fn write_summary(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let history = &self.history;
        writeln!(
            f,
            "{} routers, {} servers, ready after {:.1} s, finished after {:.1} s; \
             {} requests, {} statements ran",
            self.routers,
            history.servers.len(),
            self.startup_time.as_secs_f64(),
            self.total_time.as_secs_f64(),
            history.requests.len(),
            history.statements.len()
        )?;
        let down: BTreeSet<usize> = history.outages.iter().map(|outage| outage.router).collect();
        writeln!(f, "{} routers were down during the run", down.len())
    }
}

fn write_outcomes(f: &mut fmt::Formatter<'_>, outcomes: &[TenantOutcomes]) -> fmt::Result {
    writeln!(
        f,
        "\n{:<16}{:>8}{:>8}{:>9}{:>8}{:>6}{:>12}{:>8}{:>10}{:>10}",
        "tenant", "asked", "served", "refused", "failed", "lost", "unanswered", "unsent", "p50 ms", "p99 ms"
    )?;
    for TenantOutcomes { tenant, counts } in outcomes {
        writeln!(
            f,
            "{tenant:<16}{:>8}{:>8}{:>9}{:>8}{:>6}{:>12}{:>8}{:>10.1}{:>10.1}",
            counts.requests,
            counts.count(Outcome::Served),
            counts.count(Outcome::Rejected),
            counts.count(Outcome::Failed),
            counts.count(Outcome::Lost),
            counts.count(Outcome::Unanswered),
            counts.count(Outcome::Unsent),
            counts.p50_ms,
            counts.p99_ms
        )?;
    }
    Ok(())
}

fn write_error_codes(f: &mut fmt::Formatter<'_>, history: &History) -> fmt::Result {
    let mut by_code: BTreeMap<u16, usize> = BTreeMap::new();
    for request in history.requests.iter().filter(|request| request.code != 0) {
        *by_code.entry(request.code).or_default() += 1;
    }
    by_code.iter().try_for_each(|(code, count)| writeln!(f, "error {code}: {count}"))
}

fn write_quota_usage(f: &mut fmt::Formatter<'_>, usage: &[QuotaUsage]) -> fmt::Result {
    writeln!(f, "\nquotas: requests beside the bound in the worst window (above 0 is too many)")?;
    for QuotaUsage { tenant, ran, allowed_by_rate, certain, by_arrival } in usage {
        match (certain, by_arrival) {
            (Some(certain), Some(by_arrival)) => {
                let admitted = allowed_by_rate.unwrap_or(0.0);
                writeln!(
                    f,
                    "{tenant:<16} {ran} ran, the rate admits {admitted:.0}; certain: {certain}; \
                     by arrival: {by_arrival}"
                )?;
            }
            _ => writeln!(f, "{tenant:<16} {ran} ran; no quota")?,
        }
    }
    Ok(())
}

fn write_spread(f: &mut fmt::Formatter<'_>, spread: &[ReplicaSpread]) -> fmt::Result {
    writeln!(
        f,
        "\nspread of reads by second: the busiest replica by the mean (and what chance alone gives)"
    )?;
    for group in spread {
        writeln!(
            f,
            "group {}: {} replicas, {} windows: mean {:.2} ({:.2}), worst {:.2}, idle {} ({:.1})",
            group.group,
            group.replicas,
            group.windows,
            group.max_by_mean,
            group.random_max_by_mean,
            group.worst,
            group.idle,
            group.random_idle
        )?;
    }
    Ok(())
}

fn write_resources(f: &mut fmt::Formatter<'_>, resources: &ResourceFigures) -> fmt::Result {
    writeln!(f, "\nwhat one costs: mean (most)")?;
    for (process, usage) in [("router", &resources.routers), ("node", &resources.store_nodes)] {
        if usage.is_empty() {
            continue;
        }
        let threads = MeanAndMax::of(usage, |u| u.threads);
        let resident = MeanAndMax::of(usage, |u| u.resident_kb);
        let private = MeanAndMax::of(usage, |u| u.private_kb);
        writeln!(
            f,
            "{process:<8}{:.1} ({}) threads, {:.1} ({:.1}) MB resident, {:.1} ({:.1}) MB private",
            threads.mean,
            threads.max,
            resident.mean / KIB_PER_MIB,
            resident.max as f64 / KIB_PER_MIB,
            private.mean / KIB_PER_MIB,
            private.max as f64 / KIB_PER_MIB
        )?;
    }
    if let Some(rate) = resources.store_bytes_per_s {
        writeln!(
            f,
            "traffic between one router and the store: {rate:.0} bytes per second, both directions together"
        )?;
    }
    Ok(())
}

/// Mean and maximum of a measurement over several processes.
struct MeanAndMax {
    mean: f64,
    max: u64,
}

impl MeanAndMax {
    fn of(usage: &[ResourceUsage], metric: fn(&ResourceUsage) -> u64) -> MeanAndMax {
        let sum: u64 = usage.iter().map(metric).sum();
        let max = usage.iter().map(metric).max().unwrap_or(0);
        MeanAndMax { mean: sum as f64 / usage.len().max(1) as f64, max }
    }
}
