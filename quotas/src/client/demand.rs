//! How a client measures demand, and which of it a report states.
//!
//! Requests are counted in intervals; one ends with the first report after [`MIN_INTERVAL`]. Demand is averaged over all
//! intervals since it last changed by more than chance explains, at most over [`INTERVALS`].
use super::QuotaClient;
use super::tenant::TenantState;
use crate::grant::{MAX_RATE, MICROTOKENS_PER_TOKEN};
use crate::messages::TenantDemand;
use crate::time::{LONG_PAST, elapsed};
use decision::{Micros, Time};

/// Intervals in the longest time over which demand is averaged, about 8 s.
pub(super) const INTERVALS: usize = 40;
/// The numbers of latest intervals in which a change of demand is looked for, the shortest first.
const RECENT_INTERVALS: [usize; 4] = [2, 5, 10, 20];
/// The number of latest intervals, about 1 s, without a request of which a tenant is reported as silent.
const SILENT_INTERVALS: usize = RECENT_INTERVALS[1];
/// The shortest interval, microseconds: reports before their usual time do not end one.
const MIN_INTERVAL: Micros = 150_000;
/// Above this expected count of requests, their absence is a change of demand.
const MIN_EXPECTED_FOR_SILENCE: f64 = 4.0;
/// A change of reported demand by more than one part in this many is reported.
const REPORTED_CHANGE_PARTS: u64 = 4;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// A rate of one microtoken per second over one microsecond, as parts of a token.
const RATE_UNITS_PER_TOKEN: f64 = 1e12;

/// When the intervals began. They form a ring, the same for all tenants.
#[derive(Clone, Debug, Hash)]
pub(super) struct DemandWindow {
    begins: [Time; INTERVALS],
    current: usize,
}

impl Default for DemandWindow {
    fn default() -> DemandWindow {
        DemandWindow { begins: [LONG_PAST; INTERVALS], current: 0 }
    }
}

impl DemandWindow {
    /// The position in the ring of the interval that is counted in now.
    pub(super) fn current(&self) -> usize {
        self.current
    }

    /// The position of the `age`-th latest interval; the current one has age 1.
    fn position(&self, age: usize) -> usize {
        (self.current + INTERVALS + 1 - age) % INTERVALS
    }

    fn next(&self) -> usize {
        (self.current + 1) % INTERVALS
    }

    /// The time covered by the latest `count` intervals.
    fn duration(&self, now: Time, count: usize) -> Micros {
        elapsed(self.begins[self.position(count)], now).max(MIN_INTERVAL)
    }

    fn begin_if_new(&mut self, now: Time) {
        if self.begins[self.current] == LONG_PAST {
            self.begins = [Time(now.0.saturating_sub(MIN_INTERVAL)); INTERVALS];
        }
    }

    fn is_interval_over(&self, now: Time) -> bool {
        elapsed(self.begins[self.current], now) >= MIN_INTERVAL
    }

    fn begin_next_interval(&mut self, now: Time) {
        self.current = self.next();
        self.begins[self.current] = now;
    }
}

/// What a report is about to state demand for.
#[derive(Clone, Copy)]
struct ReportContext<'a> {
    now: Time,
    window: &'a DemandWindow,
    /// All demand is stated, not only changes.
    full: bool,
    /// The client has released everything and wants nothing.
    released: bool,
}

impl QuotaClient {
    /// Changes of demand since the last report, or all of it with a full report. Ends the interval if it is long enough.
    pub(super) fn take_demand(&mut self, now: Time) -> Vec<TenantDemand> {
        self.window.begin_if_new(now);
        let ends_interval = self.window.is_interval_over(now);
        let context =
            ReportContext { now, window: &self.window, full: self.full_report_due, released: self.released };
        let mut demand = Vec::new();
        let tenants = &mut self.tenants;
        self.active.retain(|&index| {
            let tenant = &mut tenants[index as usize];
            demand.extend(tenant.take_demand(context));
            if ends_interval {
                tenant.begin_interval(context.window.next());
            }
            tenant.active = tenant.has_recent_demand();
            tenant.active
        });
        if ends_interval {
            self.window.begin_next_interval(now);
        }
        demand
    }
}

impl TenantState {
    /// Whether the tenant had a request in the window, or its demand still has to be reported as ended.
    pub(super) fn has_recent_demand(&self) -> bool {
        self.reported_demand > 0 || self.request_counts.iter().any(|&count| count > 0)
    }

    /// The demand to report, if it has changed.
    fn take_demand(&mut self, context: ReportContext<'_>) -> Option<TenantDemand> {
        self.averaged_intervals = self.intervals_since_change(context);
        let rate = self.reportable_demand(context);
        let starts_or_ends = (rate == 0) != (self.reported_demand == 0);
        let changed = rate.abs_diff(self.reported_demand) > self.reported_demand / REPORTED_CHANGE_PARTS;
        // The allocator forgets a tenant that has gone back to reserved shares.
        let forgotten = self.shed_since_report && self.by_demand.is_none() && rate > 0;
        let restated = context.full && self.reported_demand > 0;
        self.shed_since_report = false;
        if !(starts_or_ends || changed || forgotten || restated) {
            return None;
        }
        self.reported_demand = rate;
        Some(TenantDemand { tenant: self.name.clone(), rate })
    }

    fn begin_interval(&mut self, position: usize) {
        self.averaged_intervals += 1;
        self.request_counts[position] = 0;
    }

    /// Requests in the latest `count` intervals.
    fn requests(&self, window: &DemandWindow, count: usize) -> u64 {
        (1..=count).map(|age| u64::from(self.request_counts[window.position(age)])).sum()
    }

    /// The number of intervals over which demand has not changed by more than chance.
    fn intervals_since_change(&self, context: ReportContext<'_>) -> usize {
        let ReportContext { now, window, .. } = context;
        let steady = self.averaged_intervals.clamp(RECENT_INTERVALS[0], INTERVALS);
        let steady_requests = self.requests(window, steady) as f64;
        let has_changed = |recent: usize| {
            let usual =
                steady_requests * window.duration(now, recent) as f64 / window.duration(now, steady) as f64;
            is_change(usual, self.requests(window, recent))
        };
        RECENT_INTERVALS.into_iter().find(|&recent| recent < steady && has_changed(recent)).unwrap_or(steady)
    }

    /// The demand if it is beyond the reserved share, otherwise 0; microtokens per second. Without a grant by demand it
    /// counts only where it exceeds the reserved share by more than chance, or where the router holds no whole token.
    fn reportable_demand(&self, context: ReportContext<'_>) -> u64 {
        let ReportContext { now, window, .. } = context;
        let rate = self.average_rate(now, window);
        let lacks_token = self.shed_since_report && self.reserved.capacity < MICROTOKENS_PER_TOKEN;
        let is_short = self.shed_since_report || !self.granted_bucket.has_token();
        let exceeds = |count| self.exceeds_reserved_share(now, window, count);
        let beyond = self.by_demand.is_some()
            || lacks_token
            || (self.reported_demand > 0 && rate > self.reserved.rate)
            || (is_short && (exceeds(SILENT_INTERVALS) || exceeds(INTERVALS)));
        // The allocator knows from how many routers are silent whether this is chance.
        let silent = self.requests(window, SILENT_INTERVALS) == 0;
        if beyond && !context.released && !silent { rate } else { 0 }
    }

    /// Requests per second, in microtokens, averaged since demand last changed.
    fn average_rate(&self, now: Time, window: &DemandWindow) -> u64 {
        let requests = u128::from(self.requests(window, self.averaged_intervals));
        let micros = window.duration(now, self.averaged_intervals) as u128;
        let rate = requests * u128::from(MICROTOKENS_PER_TOKEN * MICROS_PER_SECOND) / micros;
        rate.min(MAX_RATE.into()) as u64
    }

    /// Whether the requests of the latest `count` intervals exceed the reserved share by more than chance.
    fn exceeds_reserved_share(&self, now: Time, window: &DemandWindow, count: usize) -> bool {
        let expected = self.reserved.rate as f64 * window.duration(now, count) as f64 / RATE_UNITS_PER_TOKEN;
        self.requests(window, count) as f64 > expected + chance_deviation(expected)
    }
}

/// Whether `recent` requests, where `usual` are expected, are a change rather than chance.
fn is_change(usual: f64, recent: u64) -> bool {
    let stops = recent == 0 && usual > MIN_EXPECTED_FOR_SILENCE;
    let recent = recent as f64;
    let rises = recent > usual + 4.0 * usual.sqrt() + 2.0;
    let falls = usual > recent + chance_deviation(usual);
    stops || rises || falls
}

/// By how much a count may differ from the expected one by chance: three standard deviations of a Poisson count and one.
fn chance_deviation(expected: f64) -> f64 {
    3.0 * expected.sqrt() + 1.0
}
