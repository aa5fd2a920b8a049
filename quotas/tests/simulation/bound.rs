//! Checks the quota bound: in every time window, a tenant's admissions must stay within its quota.
use super::{AdmittedRequest, Simulation};
use decision::Micros;

/// Picotokens in one token. A rate of one microtoken per second produces one picotoken per microsecond.
const PICOTOKENS_PER_TOKEN: i128 = 1_000_000_000_000;

/// A period in which the largest quota in force does not change.
struct Period {
    begin: Micros,
    /// The rate in force, microtokens per second.
    rate: i128,
    /// The burst in force, picotokens.
    burst: i128,
}

/// A version of a tenant's quota.
struct QuotaVersion {
    committed_at: Micros,
    rate: f64,
    burst: u32,
}

/// A time window that starts at an admission.
struct Window {
    /// Picotokens spent before the window less those produced before it.
    level: i128,
    /// The burst in force at the start of the window, picotokens.
    burst: i128,
}

impl Simulation {
    /// Checks every time window of every tenant: its admissions may use at most the tokens that the rates in
    /// force produce in it plus the burst in force at its start. A version is in force from its commit until
    /// one grant lifetime after the commit of the next one.
    pub(crate) fn check_bound(&self) -> Result<(), String> {
        for tenant in 0..self.tenants.len() {
            let periods = periods(&self.quota_versions(tenant), self.settings.ttl);
            check_windows(&self.history[tenant], &periods)
                .map_err(|excess| format!("tenant {} {excess}", self.tenants[tenant]))?;
        }
        Ok(())
    }

    fn quota_versions(&self, tenant: usize) -> Vec<QuotaVersion> {
        let name = &self.tenants[tenant];
        let quota_of = |version: &super::ConfigVersion| {
            let quota = version.fleet.tenants[name].quota.as_ref();
            let (rate, burst) = quota.map_or((f64::MAX, 0), |quota| (quota.rate, quota.burst));
            QuotaVersion { committed_at: version.committed_at, rate, burst }
        };
        self.versions.iter().map(quota_of).collect()
    }
}

fn periods(versions: &[QuotaVersion], ttl: Micros) -> Vec<Period> {
    let mut begins: Vec<Micros> =
        versions.iter().flat_map(|version| [version.committed_at, version.committed_at + ttl]).collect();
    begins.push(0);
    begins.sort_unstable();
    begins.dedup();
    begins.into_iter().map(|begin| period(begin, versions, ttl)).collect()
}

/// The period that starts at `begin`, with the largest rate and burst of all versions in force.
fn period(begin: Micros, versions: &[QuotaVersion], ttl: Micros) -> Period {
    let mut period = Period { begin, rate: 0, burst: 0 };
    for (i, version) in versions.iter().enumerate() {
        let superseded = versions.get(i + 1).is_some_and(|next| begin >= next.committed_at + ttl);
        if version.committed_at <= begin && !superseded {
            period.rate = period.rate.max((version.rate * 1e6) as i128);
            period.burst = period.burst.max(i128::from(version.burst) * PICOTOKENS_PER_TOKEN);
        }
    }
    period
}

fn check_windows(history: &[AdmittedRequest], periods: &[Period]) -> Result<(), String> {
    let windows = windows_of(history, periods);
    let mut max_end = i128::MIN;
    for (request, window) in history.iter().zip(&windows).rev() {
        max_end = max_end.max(window.level + PICOTOKENS_PER_TOKEN);
        let excess = max_end - window.level - window.burst;
        if excess > 0 {
            let tokens = excess as f64 / PICOTOKENS_PER_TOKEN as f64;
            return Err(format!("exceeds the quota by {tokens} tokens in a window from {} us", request.at));
        }
    }
    Ok(())
}

/// Returns the window that starts at each admission, just before it.
fn windows_of(history: &[AdmittedRequest], periods: &[Period]) -> Vec<Window> {
    let (mut produced, mut at, mut current) = (0, 0, 0);
    let mut windows = Vec::with_capacity(history.len());
    for (spent, request) in (0..).zip(history) {
        while let Some(next) = periods.get(current + 1).filter(|next| next.begin <= request.at) {
            produced += periods[current].rate * i128::from(next.begin - at);
            at = next.begin;
            current += 1;
        }
        produced += periods[current].rate * i128::from(request.at - at);
        at = request.at;
        let level = spent * PICOTOKENS_PER_TOKEN - produced;
        windows.push(Window { level, burst: periods[current].burst });
    }
    windows
}
