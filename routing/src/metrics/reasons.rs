//! Prometheus counters with a label for the reason: rejected, failed, retried and dropped requests, denied
//! permits, closed connections and violated invariants.
use crate::observer::Invariant;
use crate::permit::Denial;
use crate::reasons::{CloseReason, EndReason, OUTCOMES, outcome_name};
use prometheus::{IntCounterVec, Opts};

/// Counters for each kind of event, labelled by reason.
pub struct ReasonCounters {
    /// `rejected_total`: requests that were rejected.
    pub rejected: IntCounterVec,
    /// `failed_total`: requests that failed.
    pub failed: IntCounterVec,
    /// `retried_total`: attempts after the first, by the outcome of the previous attempt.
    pub retried: IntCounterVec,
    /// `dropped_total`: requests whose client cancelled or disconnected before the response.
    pub dropped: IntCounterVec,
    /// `denied_total`: attempts whose permit was denied.
    pub denied: IntCounterVec,
    /// `closed_total`: client connections that were closed.
    pub closed: IntCounterVec,
    /// `invariant_violations_total`: invariant violations found by the observer. Any value other than 0
    /// indicates a bug in the router.
    pub invariant_violations: IntCounterVec,
}

impl ReasonCounters {
    /// Creates all counters with the value 0 for each known reason, so that every series is exported from the
    /// start.
    ///
    /// # Errors
    /// Returns an error if the metrics library rejects a metric name, which does not happen for the names
    /// used here.
    pub(super) fn new() -> prometheus::Result<ReasonCounters> {
        let counters = ReasonCounters {
            rejected: counter("rejected_total", "Requests rejected, by reason.", "reason")?,
            failed: counter("failed_total", "Requests failed, by reason.", "reason")?,
            retried: counter("retried_total", "Retries, by how the attempt before ended.", "reason")?,
            dropped: counter("dropped_total", "Requests owed no response any more, by reason.", "reason")?,
            denied: counter("denied_total", "Attempts not permitted, by reason.", "reason")?,
            closed: counter("closed_total", "Client connections closed, by reason.", "reason")?,
            invariant_violations: counter(
                "invariant_violations_total",
                "Promises broken, by invariant.",
                "invariant",
            )?,
        };
        counters.initialise();
        Ok(counters)
    }

    fn initialise(&self) {
        let fixed = [EndReason::GroupUnavailable, EndReason::PlacementDenied, EndReason::NotForwarded];
        for reason in fixed.map(EndReason::name).into_iter().chain(OUTCOMES.map(outcome_name)) {
            self.rejected.with_label_values(&[reason]);
            self.failed.with_label_values(&[reason]);
        }
        for outcome in OUTCOMES {
            self.retried.with_label_values(&[outcome_name(outcome)]);
        }
        for reason in [EndReason::ClientDisconnected, EndReason::ClientCancelled] {
            self.dropped.with_label_values(&[reason.name()]);
        }
        for denial in Denial::ALL {
            self.denied.with_label_values(&[denial.name()]);
        }
        for reason in CloseReason::ALL {
            self.closed.with_label_values(&[reason.name()]);
        }
        for invariant in Invariant::ALL {
            self.invariant_violations.with_label_values(&[invariant.name()]);
        }
    }

    pub(super) fn families(&self) -> [&IntCounterVec; 7] {
        [
            &self.rejected,
            &self.failed,
            &self.retried,
            &self.dropped,
            &self.denied,
            &self.closed,
            &self.invariant_violations,
        ]
    }
}

fn counter(name: &str, help: &str, label: &str) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help).namespace("damsonvale"), &[label])
}
