//! Counters by reason: why requests were rejected, failed, retried or dropped, why something was denied, why connections
//! were closed, and which invariants were violated.
use crate::observer::Invariant;
use crate::permit::Denial;
use crate::reasons::{CloseReason, EndReason, OUTCOMES, outcome_name};
use prometheus::{IntCounterVec, Opts};

/// A counter for each reason of each kind.
pub struct ReasonCounters {
    /// `rejected_total`: requests rejected.
    pub rejected: IntCounterVec,
    /// `failed_total`: requests failed.
    pub failed: IntCounterVec,
    /// `retried_total`: attempts after the first, by how the one before ended.
    pub retried: IntCounterVec,
    /// `dropped_total`: requests whose clients no longer waited for a response.
    pub dropped: IntCounterVec,
    /// `denied_total`: attempts that were not permitted.
    pub denied: IntCounterVec,
    /// `closed_total`: client connections closed.
    pub closed: IntCounterVec,
    /// `invariant_violations_total`: violations that the observer found. Anything but 0 is a fault in the program.
    pub invariant_violations: IntCounterVec,
}

impl ReasonCounters {
    /// All at zero, with a line for each reason.
    ///
    /// # Errors
    /// If the metrics library rejects a name; it rejects none of those used here.
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
