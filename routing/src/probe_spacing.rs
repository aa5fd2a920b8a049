//! Limits the probe rate when several processes run as one router, so that together they send no more probes
//! than a single process would. The decision state machine only limits the probes of its own process.
//!
//! If a probe is requested before this process's share allows it, the last report is returned instead. That
//! report is no older than the probe interval, and it is discarded when an attempt fails at the endpoint.
//! Without a usable report the probe is delayed, and the decision state machine requests no further probe
//! until it has ended.
use decision::{MemberId, MemberReport, Micros, Settings, Time};
use std::collections::HashMap;

/// Minimum interval between two probes of one member, as a multiple of the minimum event interval. Must match
/// `decision`.
const MIN_EVENT_INTERVALS: i64 = 20;
/// Lower bound of the minimum interval between two probes of one member. Must match `decision`.
const MIN_INTERVAL: Micros = 100_000;
/// Maximum number of times that the interval is doubled while a member's probes return no report.
const MAX_DOUBLINGS: u32 = 3;

/// Decision about a requested probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeTiming {
    /// Send the probe now.
    Now,
    /// Send the probe at this time.
    At(Time),
    /// Do not send the probe. The cached report is recent enough.
    Cached(MemberReport),
}

#[derive(Default)]
struct ProbeHistory {
    last_sent: Option<Time>,
    /// Last report; `None` if an attempt has failed since the probe was sent.
    report: Option<MemberReport>,
    /// Whether an attempt has failed since the last probe was sent.
    attempt_failed: bool,
    /// Number of consecutive probes that returned no report.
    consecutive_failures: u32,
}

/// Time of the last probe and last report of each endpoint.
pub struct ProbeSpacing {
    interval: Micros,
    process_count: u32,
    histories: HashMap<MemberId, ProbeHistory>,
}

impl ProbeSpacing {
    /// Creates the state for a single process without any probes sent.
    pub fn new(settings: &Settings) -> ProbeSpacing {
        let interval = (MIN_EVENT_INTERVALS * settings.min_event_interval).max(MIN_INTERVAL);
        ProbeSpacing { interval, process_count: 1, histories: HashMap::new() }
    }

    /// Sets the number of processes that run as one router.
    pub fn set_process_count(&mut self, process_count: u32) {
        self.process_count = process_count.max(1);
    }

    /// Decides when to send a probe that is requested at `now`.
    pub fn schedule(&mut self, endpoint: MemberId, now: Time) -> ProbeTiming {
        let history = self.histories.entry(endpoint).or_default();
        let doublings = history.consecutive_failures.min(MAX_DOUBLINGS);
        let interval = (self.interval << doublings) * i64::from(self.process_count);
        let next_allowed_at = history.last_sent.map(|sent| Time(sent.0 + interval));
        // With a single process, the decision state machine alone limits the probe rate.
        let delayed_until = next_allowed_at.filter(|at| self.process_count > 1 && *at > now);
        if let (Some(_), Some(report)) = (delayed_until, history.report) {
            return ProbeTiming::Cached(report);
        }
        history.last_sent = delayed_until.or(Some(now));
        history.report = None;
        history.attempt_failed = false;
        delayed_until.map_or(ProbeTiming::Now, ProbeTiming::At)
    }

    /// Records the report of a probe that has ended.
    pub fn probe_ended(&mut self, endpoint: MemberId, report: MemberReport) {
        if let Some(history) = self.histories.get_mut(&endpoint) {
            let has_report = report.primary.is_some();
            history.consecutive_failures =
                if has_report { 0 } else { history.consecutive_failures.saturating_add(1) };
            history.report = (has_report && !history.attempt_failed).then_some(report);
        }
    }

    /// Records that an attempt has failed at the endpoint, which invalidates the last report.
    pub fn attempt_failed(&mut self, endpoint: MemberId) {
        if let Some(history) = self.histories.get_mut(&endpoint) {
            history.report = None;
            history.attempt_failed = true;
        }
    }

    /// Removes the state of an endpoint.
    pub fn remove(&mut self, endpoint: MemberId) {
        self.histories.remove(&endpoint);
    }
}
