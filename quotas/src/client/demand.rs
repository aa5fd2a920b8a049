//! Measures demand and decides what of it to report.
//!
//! Requests are counted in intervals. An interval ends with the first report at least
//! [`MIN_INTERVAL`](super::demand_window::MIN_INTERVAL) after it began. Reports are normally 200 ms apart, so
//! usually every report ends one. Demand is averaged over all intervals since it last changed by more than
//! random fluctuation explains, and over at most [`INTERVALS`].
//!
//! Random fluctuation is modelled as a Poisson process, in which the variance of a count equals its expected
//! value.
use super::QuotaClient;
use super::demand_window::{DemandWindow, INTERVALS};
use super::tenant::TenantState;
use crate::grant::{MAX_RATE, MICROTOKENS_PER_TOKEN};
use crate::messages::TenantDemand;
use decision::Time;

/// Numbers of recent intervals that are checked for a change of demand, in increasing order.
const RECENT_INTERVALS: [usize; 4] = [2, 5, 10, 20];
/// A tenant without a request in this many recent intervals, about 1 s, is reported to have no demand.
const NO_DEMAND_INTERVALS: usize = RECENT_INTERVALS[1];
/// If more requests than this were expected, having none is a change of demand: a Poisson count with an
/// expected value of 4 is 0 in fewer than one of 50 cases.
const MIN_EXPECTED_FOR_STOP: f64 = 4.0;
/// Demand has risen if the count exceeds the expected one by this many standard deviations and [`MIN_RISE`].
const RISE_DEVIATIONS: f64 = 4.0;
/// An added margin in requests, so that one or two additional requests are not a change where hardly any are
/// expected.
const MIN_RISE: f64 = 2.0;
/// A count may randomly differ from the expected one by this many standard deviations and one request.
const RANDOM_DEVIATIONS: f64 = 3.0;
/// Demand is reported again when it differs from the last reported value by more than this fraction (one part
/// in 4).
const REPORTED_CHANGE_PARTS: u64 = 4;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Picotokens in one token. A rate in microtokens per second multiplied by a duration in microseconds gives
/// picotokens.
const PICOTOKENS_PER_TOKEN: f64 = 1e12;

/// The circumstances of a report that determine which demand it states.
#[derive(Clone, Copy)]
struct ReportContext<'a> {
    now: Time,
    window: &'a DemandWindow,
    /// All demand is reported, not only changes.
    full: bool,
    /// The client has released all grants and reports no demand.
    released: bool,
}

impl QuotaClient {
    /// Returns the changes of demand since the last report, or all demand if a full report is due. Ends the
    /// current interval if it is long enough.
    pub(super) fn take_demand(&mut self, now: Time) -> Vec<TenantDemand> {
        self.window.initialize(now);
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
    /// Whether the tenant had a request in the window, or the end of its demand has not been reported yet.
    pub(super) fn has_recent_demand(&self) -> bool {
        self.reported_demand > 0 || self.request_counts.iter().any(|&count| count > 0)
    }

    /// Returns the tenant's demand if it has to be reported.
    fn take_demand(&mut self, context: ReportContext<'_>) -> Option<TenantDemand> {
        self.averaged_intervals = self.intervals_since_change(context);
        let rate = self.reportable_demand(context);
        let starts_or_ends = (rate == 0) != (self.reported_demand == 0);
        let has_changed = rate.abs_diff(self.reported_demand) > self.reported_demand / REPORTED_CHANGE_PARTS;
        // The tenant has returned to reserved shares, so the allocator no longer knows its demand.
        let is_unknown_to_allocator = self.shed_since_report && self.by_demand.is_none() && rate > 0;
        let is_full_report = context.full && self.reported_demand > 0;
        self.shed_since_report = false;
        if !(starts_or_ends || has_changed || is_unknown_to_allocator || is_full_report) {
            return None;
        }
        self.reported_demand = rate;
        Some(TenantDemand { tenant: self.name.clone(), rate })
    }

    /// Begins counting in the interval at this index of the ring buffer.
    fn begin_interval(&mut self, ring_index: usize) {
        self.averaged_intervals += 1;
        self.request_counts[ring_index] = 0;
    }

    /// The number of requests in the latest `count` intervals.
    fn requests(&self, window: &DemandWindow, count: usize) -> u64 {
        (1..=count).map(|age| u64::from(self.request_counts[window.ring_index(age)])).sum()
    }

    /// The number of recent intervals over which demand has changed by no more than random fluctuation
    /// explains. This is the number averaged so far, or the smallest one in [`RECENT_INTERVALS`] whose count
    /// deviates from the longer average.
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

    /// The demand in microtokens per second if it is beyond the reserved share, otherwise 0. Without a grant
    /// by demand, the demand counts as beyond the reserved share only if it exceeds the share by more than
    /// random fluctuation explains, or if the share never holds a whole token.
    fn reportable_demand(&self, context: ReportContext<'_>) -> u64 {
        let ReportContext { now, window, .. } = context;
        let rate = self.average_rate(now, window);
        let never_holds_token = self.shed_since_report && self.reserved.capacity < MICROTOKENS_PER_TOKEN;
        let lacks_token = self.shed_since_report || !self.granted_bucket.has_token();
        let exceeds = |count| self.exceeds_reserved_share(now, window, count);
        let is_beyond_share = self.by_demand.is_some()
            || never_holds_token
            || (self.reported_demand > 0 && rate > self.reserved.rate)
            || (lacks_token && (exceeds(NO_DEMAND_INTERVALS) || exceeds(INTERVALS)));
        // A gap between requests is reported even if it may be random: the allocator sees all routers and
        // decides whether demand has ended.
        let has_stopped = self.requests(window, NO_DEMAND_INTERVALS) == 0;
        if is_beyond_share && !context.released && !has_stopped { rate } else { 0 }
    }

    /// The average demand since it last changed, in microtokens per second; a request takes one token.
    fn average_rate(&self, now: Time, window: &DemandWindow) -> u64 {
        let requests = u128::from(self.requests(window, self.averaged_intervals));
        let micros = window.duration(now, self.averaged_intervals) as u128;
        let rate = requests * u128::from(MICROTOKENS_PER_TOKEN * MICROS_PER_SECOND) / micros;
        rate.min(MAX_RATE.into()) as u64
    }

    /// Whether the requests in the latest `count` intervals exceed the reserved share by more than random
    /// fluctuation explains.
    fn exceeds_reserved_share(&self, now: Time, window: &DemandWindow, count: usize) -> bool {
        let expected = self.reserved.rate as f64 * window.duration(now, count) as f64 / PICOTOKENS_PER_TOKEN;
        self.requests(window, count) as f64 > expected + random_deviation(expected)
    }
}

/// Whether `counted` requests, compared with the `expected` number, are a change of demand rather than random
/// fluctuation.
fn is_change(expected: f64, counted: u64) -> bool {
    let stops = counted == 0 && expected > MIN_EXPECTED_FOR_STOP;
    let counted = counted as f64;
    let rises = counted > expected + RISE_DEVIATIONS * expected.sqrt() + MIN_RISE;
    let falls = expected > counted + random_deviation(expected);
    stops || rises || falls
}

/// By how many requests a count may randomly differ from the expected one.
fn random_deviation(expected: f64) -> f64 {
    RANDOM_DEVIATIONS * expected.sqrt() + 1.0
}
