//! Spaces the probes of each endpoint while several processes serve as one router, so that together they probe no more
//! often than one would. The decisions space the probes of one router, without regard to its processes.
//!
//! A probe that is too early for this process's share is answered with the last report, which is no older than the
//! spacing, unless an attempt has failed at the endpoint since. Otherwise the probe is delayed, and the decisions request
//! no other until it has ended.
use decision::{MemberId, MemberReport, Micros, Settings, Time};
use std::collections::HashMap;

/// The shortest time between two probes of one member, as in `decision`, in rounds of events.
const MIN_INTERVAL_ROUNDS: i64 = 20;
/// The shortest time between two probes of one member, as in `decision`.
const MIN_INTERVAL: Micros = 100_000;
/// The limit of how often the interval doubles while a member's probes return no report.
const MAX_DOUBLINGS: u32 = 3;

/// What to do about a requested probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeTiming {
    /// It is sent now.
    Now,
    /// It is sent at this time.
    At(Time),
    /// It is not sent: the last report is recent enough.
    Cached(MemberReport),
}

#[derive(Default)]
struct ProbeHistory {
    last_sent: Option<Time>,
    /// The last report, unless an attempt has failed since its probe was sent.
    report: Option<MemberReport>,
    /// An attempt has failed since the last probe was sent.
    attempt_failed: bool,
    /// Probes in a row that returned no report.
    consecutive_failures: u32,
}

/// The times of each endpoint's probes, and its last report.
pub struct ProbeSpacing {
    interval: Micros,
    process_count: u32,
    histories: HashMap<MemberId, ProbeHistory>,
}

impl ProbeSpacing {
    /// No endpoint has been probed, and this process is the only one.
    pub fn new(settings: &Settings) -> ProbeSpacing {
        let interval = (MIN_INTERVAL_ROUNDS * settings.min_event_interval).max(MIN_INTERVAL);
        ProbeSpacing { interval, process_count: 1, histories: HashMap::new() }
    }

    /// Sets the number of processes that serve as one router.
    pub fn set_process_count(&mut self, process_count: u32) {
        self.process_count = process_count.max(1);
    }

    /// Decides on a probe that is requested at `now`.
    pub fn schedule(&mut self, endpoint: MemberId, now: Time) -> ProbeTiming {
        let history = self.histories.entry(endpoint).or_default();
        let doublings = history.consecutive_failures.min(MAX_DOUBLINGS);
        let interval = (self.interval << doublings) * i64::from(self.process_count);
        let next_turn = history.last_sent.map(|sent| Time(sent.0 + interval));
        // The probes of a single process are spaced by the decisions alone.
        let delayed_until = next_turn.filter(|at| self.process_count > 1 && *at > now);
        if let (Some(_), Some(report)) = (delayed_until, history.report) {
            return ProbeTiming::Cached(report);
        }
        history.last_sent = delayed_until.or(Some(now));
        history.report = None;
        history.attempt_failed = false;
        delayed_until.map_or(ProbeTiming::Now, ProbeTiming::At)
    }

    /// Records that a probe has ended with this report.
    pub fn probe_ended(&mut self, endpoint: MemberId, report: MemberReport) {
        if let Some(history) = self.histories.get_mut(&endpoint) {
            let reported = report.primary.is_some();
            history.consecutive_failures =
                if reported { 0 } else { history.consecutive_failures.saturating_add(1) };
            history.report = (reported && !history.attempt_failed).then_some(report);
        }
    }

    /// Records that an attempt has failed at the endpoint, which invalidates its last report.
    pub fn attempt_failed(&mut self, endpoint: MemberId) {
        if let Some(history) = self.histories.get_mut(&endpoint) {
            history.report = None;
            history.attempt_failed = true;
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: MemberId) {
        self.histories.remove(&endpoint);
    }
}
