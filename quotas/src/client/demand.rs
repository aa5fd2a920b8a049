//! How a client measures demand, and which of it a report states.
//!
//! Requests are counted in intervals. An interval ends with the first report that is made [`MIN_INTERVAL`](super::demand_window::MIN_INTERVAL) or more after it
//! began: usually each report, 200 ms after the one before. Demand is averaged over all intervals since it last changed by
//! more than chance explains, at most over [`INTERVALS`].
//!
//! Chance means that of a Poisson process, whose count has the expected count as its variance.
use super::QuotaClient;
use super::demand_window::{DemandWindow, INTERVALS};
use super::tenant::TenantState;
use crate::grant::{MAX_RATE, MICROTOKENS_PER_TOKEN};
use crate::messages::TenantDemand;
use decision::Time;

/// The numbers of latest intervals in which a change of demand is looked for, the shortest first.
const RECENT_INTERVALS: [usize; 4] = [2, 5, 10, 20];
/// The number of latest intervals, about 1 s, without a request of which a tenant is reported as silent.
const SILENT_INTERVALS: usize = RECENT_INTERVALS[1];
/// Above this expected count of requests, their absence is a change of demand: by chance a Poisson count that is expected
/// to be 4 is 0 in fewer than one of 50 cases.
const MIN_EXPECTED_FOR_SILENCE: f64 = 4.0;
/// A rise of demand is a change above this many standard deviations and [`MIN_RISE`].
const RISE_DEVIATIONS: f64 = 4.0;
/// Requests, so that one or two more are no change where hardly any are expected.
const MIN_RISE: f64 = 2.0;
/// A count differs by chance by at most this many standard deviations and one request.
const CHANCE_DEVIATIONS: f64 = 3.0;
/// Demand is reported again once it differs from the reported one by more than one part in this many.
const REPORTED_CHANGE_PARTS: u64 = 4;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// A rate in microtokens per second, times a duration in microseconds, gives picotokens.
const PICOTOKENS_PER_TOKEN: f64 = 1e12;

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
        let has_changed = rate.abs_diff(self.reported_demand) > self.reported_demand / REPORTED_CHANGE_PARTS;
        // The allocator has forgotten the demand of a tenant that went back to reserved shares.
        let is_forgotten = self.shed_since_report && self.by_demand.is_none() && rate > 0;
        let is_full_report = context.full && self.reported_demand > 0;
        self.shed_since_report = false;
        if !(starts_or_ends || has_changed || is_forgotten || is_full_report) {
            return None;
        }
        self.reported_demand = rate;
        Some(TenantDemand { tenant: self.name.clone(), rate })
    }

    /// Begins to count in the interval at a position of the ring.
    fn begin_interval(&mut self, position: usize) {
        self.averaged_intervals += 1;
        self.request_counts[position] = 0;
    }

    /// Requests in the latest `count` intervals.
    fn requests(&self, window: &DemandWindow, count: usize) -> u64 {
        (1..=count).map(|age| u64::from(self.request_counts[window.position(age)])).sum()
    }

    /// The number of latest intervals over which demand has not changed by more than chance explains: those averaged so
    /// far, or the fewest recent ones whose count is not what the longer average lets expect.
    fn intervals_since_change(&self, context: ReportContext<'_>) -> usize {
        let ReportContext { now, window, .. } = context;
        let steady = self.averaged_intervals.clamp(RECENT_INTERVALS[0], INTERVALS);
        let steady_requests = self.requests(window, steady) as f64;
        let has_changed = |recent: usize| {
            let expected =
                steady_requests * window.duration(now, recent) as f64 / window.duration(now, steady) as f64;
            is_change(expected, self.requests(window, recent))
        };
        RECENT_INTERVALS.into_iter().find(|&recent| recent < steady && has_changed(recent)).unwrap_or(steady)
    }

    /// The demand if it is beyond the reserved share, otherwise 0; microtokens per second. Without a grant by demand it
    /// counts only where it exceeds the reserved share by more than chance, or where the router holds no whole token.
    fn reportable_demand(&self, context: ReportContext<'_>) -> u64 {
        let ReportContext { now, window, .. } = context;
        let rate = self.average_rate(now, window);
        let never_holds_token = self.shed_since_report && self.reserved.capacity < MICROTOKENS_PER_TOKEN;
        let is_short = self.shed_since_report || !self.granted_bucket.has_token();
        let exceeds = |count| self.exceeds_reserved_share(now, window, count);
        let is_beyond_share = self.by_demand.is_some()
            || never_holds_token
            || (self.reported_demand > 0 && rate > self.reserved.rate)
            || (is_short && (exceeds(SILENT_INTERVALS) || exceeds(INTERVALS)));
        // Silence is reported even where it may be chance: the allocator, which sees all routers, decides that.
        let is_silent = self.requests(window, SILENT_INTERVALS) == 0;
        if is_beyond_share && !context.released && !is_silent { rate } else { 0 }
    }

    /// The demand averaged since it last changed, microtokens per second: a request takes a whole token.
    fn average_rate(&self, now: Time, window: &DemandWindow) -> u64 {
        let requests = u128::from(self.requests(window, self.averaged_intervals));
        let micros = window.duration(now, self.averaged_intervals) as u128;
        let rate = requests * u128::from(MICROTOKENS_PER_TOKEN * MICROS_PER_SECOND) / micros;
        rate.min(MAX_RATE.into()) as u64
    }

    /// Whether the requests of the latest `count` intervals exceed the reserved share by more than chance.
    fn exceeds_reserved_share(&self, now: Time, window: &DemandWindow, count: usize) -> bool {
        let expected = self.reserved.rate as f64 * window.duration(now, count) as f64 / PICOTOKENS_PER_TOKEN;
        self.requests(window, count) as f64 > expected + chance_deviation(expected)
    }
}

/// Whether `counted` requests, where `expected` are expected, are a change of demand rather than chance.
fn is_change(expected: f64, counted: u64) -> bool {
    let stops = counted == 0 && expected > MIN_EXPECTED_FOR_SILENCE;
    let counted = counted as f64;
    let rises = counted > expected + RISE_DEVIATIONS * expected.sqrt() + MIN_RISE;
    let falls = expected > counted + chance_deviation(expected);
    stops || rises || falls
}

/// By how many requests a count may differ from the expected one by chance.
fn chance_deviation(expected: f64) -> f64 {
    CHANCE_DEVIATIONS * expected.sqrt() + 1.0
}
